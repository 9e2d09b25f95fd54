//! Scripted faults.

use serde::{Deserialize, Serialize};

/// What a fault is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The table service, for reads and writes.
    Table,
    /// The table service's transactions alone.
    Commit,
    /// The object store.
    Store,
    /// The VM list and the notices.
    Vms,
    /// The cloud API.
    Cloud,
}

/// How a call goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It is refused and has no effect.
    Down,
    /// It takes longer.
    Slow,
    /// It has its effect, and the answer is lost.
    Lost,
    /// The answer is lost at once, and the effect comes later.
    Late,
    /// All is well again.
    None,
}

/// A fault, for some calls or until it is taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// What it is of.
    pub target: Target,
    /// How calls go wrong.
    pub mode: Mode,
    /// For slow and late ones, how long, in milliseconds.
    #[serde(default)]
    pub ms: u64,
    /// How many calls go wrong; all where it is left out.
    #[serde(default)]
    pub count: Option<u32>,
}
