//! The final outcome of a request, as its caller gets it.

use serde::{Deserialize, Serialize};

/// Says how a request ended. Each accepted request has exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer was given.
    Done,
    /// No byte of the request can have reached a backend server that could run it.
    NotRun,
    /// The request may have run in part or as a whole.
    Unknown,
}

impl Outcome {
    /// Names the outcome as it stands in answers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}
