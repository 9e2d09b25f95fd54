//! The final outcome of a request, as reported to its caller.

use serde::{Deserialize, Serialize};

/// How a request ended. Each accepted request has exactly one outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The complete response was delivered.
    Done,
    /// The request did not run: no byte of it can have reached a backend server able to run it.
    NotRun,
    /// The request may have run in part or completely.
    Unknown,
}

impl Outcome {
    /// Returns the name of the outcome in responses and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}
