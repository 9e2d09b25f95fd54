//! What was decided of a request.

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::Millis;

/// Whether a request crashes servers, in the order in which one takes precedence over another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    /// Two servers crashed under it. It is served; a node that has its whole answer says so.
    Suspected,
    /// It crashes servers, and is refused.
    Quarantined,
    /// A server has answered it whole: it does not crash servers.
    Cleared,
}

impl Standing {
    /// Names the standing in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Suspected => "suspected",
            Self::Quarantined => "quarantined",
            Self::Cleared => "cleared",
        }
    }
}

/// What the keeper of a service decided of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Names the request's content.
    pub fingerprint: Fingerprint,
    /// The short name of the service.
    pub service: u64,
    /// What was decided.
    pub standing: Standing,
    /// Milliseconds for which it still holds.
    pub left: Millis,
    /// Servers that crashed under the request, one after the other.
    pub servers_crashed: u32,
}
