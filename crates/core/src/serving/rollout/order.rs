//! Orders of rollouts, and their stages.

use serde::{Deserialize, Serialize};

use super::standing::Standings;
use crate::Millis;
use crate::serving::table_version::TableVersion;

/// An order to move the traffic of a service to servers of another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The service.
    pub service: String,
    /// The version to move to.
    pub target_version: String,
    /// The time within which the rollout should be decided, in milliseconds.
    pub duration: Millis,
    /// The version of the order's row, which rises with each order for the service.
    pub number: TableVersion,
}

impl Order {
    /// Returns `true` if another order requests the same rollout.
    pub fn is_same(&self, other: &Self) -> bool {
        self.service == other.service
            && self.target_version == other.target_version
            && self.duration == other.duration
    }
}

/// The stage of a rollout. Stages only advance, in this order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Ordered, and not started by the duty holder yet.
    #[default]
    Pending,
    /// The target version gets a small share of the requests.
    Canary,
    /// The target version gets a larger share, so that faults under load show.
    Ramp,
    /// The target version gets all new requests. Requests in flight on other versions complete
    /// there.
    Shifting,
    /// The target version was worse, and gets no more requests.
    RolledBack,
    /// The other versions are gone.
    Completed,
}

impl Stage {
    /// Returns `true` if there is a verdict.
    pub fn is_final(self) -> bool {
        matches!(self, Self::RolledBack | Self::Completed)
    }

    /// Returns the name of the stage in logs and metrics.
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

/// A rollout as nodes announce it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The order.
    pub order: Order,
    /// The stage.
    pub stage: Stage,
    /// Milliseconds since the duty holder confirmed the stage, or `None` if the sender does not
    /// know.
    pub age: Option<Millis>,
    /// What the sender knows of the target versions of earlier orders.
    pub standings: Standings,
}

/// The status of a rollout, for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The service.
    pub service: String,
    /// The version to move to.
    pub target_version: String,
    /// The stage.
    pub stage: Stage,
}
