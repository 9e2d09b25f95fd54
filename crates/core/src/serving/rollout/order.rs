//! What was ordered, and how far it has come.

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::serving::table_version::TableVersion;

/// An order to move a service's traffic to servers of another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The service.
    pub service: String,
    /// The version that its servers should have.
    pub target_version: String,
    /// The time within which the roll-out should be decided.
    pub duration: Millis,
    /// Rises with each order for the service: the version of its row.
    pub number: TableVersion,
}

impl Order {
    /// Returns `true` if another order asks for the same.
    pub fn is_same(&self, other: &Self) -> bool {
        self.service == other.service
            && self.target_version == other.target_version
            && self.duration == other.duration
    }
}

/// How far a roll-out has come. Stages only advance, in this order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Ordered, and not begun by the holder of the duties.
    #[default]
    Pending,
    /// The new version gets a small share of the requests.
    Canary,
    /// The new version gets a larger share, so that what it is bad at under load shows.
    Ramp,
    /// The new version gets all requests that begin; those that began elsewhere end there.
    Shifting,
    /// The new version was worse and gets nothing more.
    RolledBack,
    /// The other versions are gone.
    Completed,
}

impl Stage {
    /// Returns `true` if there is a verdict.
    pub fn is_final(self) -> bool {
        matches!(self, Self::RolledBack | Self::Completed)
    }

    /// Names the stage in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Pending => "pending",
            Self::Canary => "canary",
            Self::Ramp => "ramp",
            Self::Shifting => "shifting",
            Self::RolledBack => "rolled_back",
            Self::Completed => "completed",
        }
    }
}

/// A roll-out as nodes announce it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// What was ordered.
    pub order: Order,
    /// How far it has come.
    pub stage: Stage,
    /// Milliseconds since the holder of the duties was known to hold to this stage; `None` where
    /// the sender has not heard of that.
    pub age: Option<Millis>,
    /// Versions of earlier orders that were never completed: their servers get nothing.
    pub barred: Vec<String>,
}

/// The status of a roll-out that the operator reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The service.
    pub service: String,
    /// The version that was ordered.
    pub target_version: String,
    /// How far the roll-out has come.
    pub stage: Stage,
}
