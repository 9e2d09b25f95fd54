//! What a node knows of a stream's origin.

use serde::{Deserialize, Serialize};

use super::origin::Origin;
use super::possible::PossibleOrigins;
use super::record::Standing;

/// What a node knows of a stream's origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The origin is recorded.
    Known(Origin),
    /// Different origins are recorded.
    Ambiguous,
    /// Nothing is recorded.
    Unknown(PossibleOrigins),
}

impl Answer {
    /// Returns `true` if the node has a record of the stream.
    pub fn is_recorded(&self) -> bool {
        !matches!(self, Self::Unknown(_))
    }
}

impl From<Standing> for Answer {
    fn from(standing: Standing) -> Self {
        match standing {
            Standing::Known(origin) => Self::Known(origin.as_ref().clone()),
            Standing::Ambiguous => Self::Ambiguous,
        }
    }
}
