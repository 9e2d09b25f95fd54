//! Whether a request that must not be repeated may run.
//!
//! A claim row is inserted in the table service, only if absent, before the request is sent. The
//! row names the one attempt that may run. Its outcome is added later, so that a caller who asks
//! again gets what was recorded and not a second run.
//!
//! A claim that was not used is *released*, never deleted: a node that slept, or a holder of the
//! same request's record, must still find that the request ended as not run. A caller who asks
//! again makes a new instance of the request, which may take a released claim over.

use serde::{Deserialize, Serialize};

/// A claim, as the table service keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The one attempt that may run.
    pub attempt: String,
    /// The instance of the request: one for each time that the caller asks.
    pub instance: String,
    /// The node that claimed it.
    pub node: String,
    /// The SHA-256 digest of the request, in hex.
    pub digest: String,
    /// When it was claimed, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Whether the attempt was given up before anything was sent.
    #[serde(default)]
    pub released: bool,
    /// The recorded answer, once there is one.
    #[serde(default)]
    pub answer: Option<Answer>,
}

/// A recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status that the caller got.
    pub status: u16,
    /// The media type of the body.
    pub media_type: String,
    /// The body, in hex, so that any bytes come back whole.
    pub body: String,
}

/// Says what a node may do about a request, given the row that stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The claim is this attempt's own: send it.
    Run,
    /// It ran before: give the recorded answer.
    Recorded(Answer),
    /// Another attempt, of the named node, holds the claim and has no answer yet: nothing may be
    /// sent.
    HeldByOther(String),
    /// This instance was given up before it was sent: it must never be sent.
    Released,
    /// An earlier instance was given up: the claim may be taken over, by replacing the row.
    Available,
    /// The key was used for another request.
    Mismatch,
}

/// Judges the row that stands after an insert, or after its answer was lost.
pub fn evaluate(stands: &Row, mine: &Row) -> Verdict {
    if stands.digest != mine.digest {
        return Verdict::Mismatch;
    }
    if let Some(answer) = &stands.answer {
        return Verdict::Recorded(answer.clone());
    }
    match (stands.released, stands.instance == mine.instance) {
        (true, true) => Verdict::Released,
        (true, false) => Verdict::Available,
        (false, _) if stands.attempt == mine.attempt => Verdict::Run,
        (false, _) => Verdict::HeldByOther(stands.node.clone()),
    }
}

/// Names the row of a request key. The key belongs to its account.
pub fn row_key(account: &str, key: &str) -> String {
    format!("claim/{account}/{key}")
}
