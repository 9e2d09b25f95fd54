//! Scripted faults of the platform.

use serde::{Deserialize, Serialize};

/// The calls that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// Reads, scans and transactions of the table service.
    Table,
    /// Only transactions of the table service.
    Commit,
    /// The object store.
    Store,
    /// The VM list and the reclaim notices.
    Vms,
    /// VM starts in the cloud API.
    Cloud,
}

/// How an affected call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// The call is rejected and has no effect.
    Down,
    /// The call is delayed.
    Slow,
    /// The call takes effect, but its response is lost.
    Lost,
    /// The response is lost immediately, and the call takes effect after a delay.
    Late,
    /// Clears the fault.
    None,
}

/// A fault that lasts for a number of calls or until it is cleared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The affected calls.
    pub target: Target,
    /// How the affected calls fail.
    pub mode: Mode,
    /// The delay of slow and late calls, in milliseconds.
    #[serde(default)]
    pub ms: u64,
    /// The number of calls to affect; `None` affects all calls.
    #[serde(default)]
    pub count: Option<u32>,
}
