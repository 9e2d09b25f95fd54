//! The decision on a request.

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::Millis;

/// Whether a request crashes servers. A later standing takes precedence over an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    /// Two servers crashed while they ran it. It is still served, and a node that completed it
    /// reports that.
    Suspected,
    /// It crashes servers and is refused.
    Quarantined,
    /// A server completed it, so it does not crash servers.
    Cleared,
}

impl Standing {
    /// Returns the name of the standing in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Suspected => "suspected",
            Self::Quarantined => "quarantined",
            Self::Cleared => "cleared",
        }
    }
}

/// The decision of a service's owner on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The short id of the service.
    pub service: u64,
    /// The decision.
    pub standing: Standing,
    /// Milliseconds for which the verdict still holds.
    pub left: Millis,
    /// Servers that crashed one after the other while they ran the request.
    pub servers_crashed: u32,
}
