//! At-most-once execution of non-repeatable requests.
//!
//! A claim row is inserted into the table service, only if absent, before the request is sent.
//! The row names the single attempt that may run. Its response is added later, so that a caller
//! that retries gets the recorded response instead of a second run.
//!
//! An unused claim is *released*, never deleted: a node that was suspended, or a node that holds a
//! replica of the request's record, must still find that the request ended as not run. A retry by
//! the caller is a new instance of the request, which may take over a released claim.

use serde::{Deserialize, Serialize};

use crate::percent;

/// A claim, as stored in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The single attempt that may run.
    pub attempt: String,
    /// The instance of the request; each retry by the caller is a new instance.
    pub instance: String,
    /// The node that made the claim.
    pub node: String,
    /// The SHA-256 digest of the request, in hex.
    pub digest: String,
    /// Time of the claim, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Whether the attempt was abandoned before anything was sent.
    #[serde(default)]
    pub released: bool,
    /// The recorded response, if any.
    #[serde(default)]
    pub answer: Option<Answer>,
}

/// A recorded response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status returned to the caller.
    pub status: u16,
    /// The media type of the body.
    pub media_type: String,
    /// The body, in hex, so that arbitrary bytes are preserved.
    pub body: String,
}

/// What a node may do with a request, given the stored row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The claim belongs to this attempt: send the request.
    Run,
    /// The request already ran: return the recorded response.
    Recorded(Answer),
    /// Another attempt, made by the named node, holds the claim and has no response yet: the request
    /// must not be sent.
    HeldByOther(String),
    /// This instance was abandoned before it was sent: it must never be sent.
    Released,
    /// An earlier instance was abandoned: the claim may be taken over by replacing the row.
    Available,
    /// The idempotency key was used for a different request.
    Mismatch,
}

/// Evaluates the row that is stored after an insert, or after the result of an insert was lost.
pub fn evaluate(stored: &Row, own: &Row) -> Verdict {
    if stored.digest != own.digest {
        return Verdict::Mismatch;
    }
    if let Some(answer) = &stored.answer {
        return Verdict::Recorded(answer.clone());
    }
    match (stored.released, stored.instance == own.instance) {
        (true, true) => Verdict::Released,
        (true, false) => Verdict::Available,
        (false, _) if stored.attempt == own.attempt => Verdict::Run,
        (false, _) => Verdict::HeldByOther(stored.node.clone()),
    }
}

/// Returns the row key of a request key. Request keys are scoped to their client account.
pub fn row_key(account: &str, key: &str) -> String {
    format!("claim/{}/{key}", percent::encode(account))
}
