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

    /// Returns `true` if the node has a record of the stream, or knows that no other origins than those
    /// that it names are possible.
    pub fn is_conclusive(&self) -> bool {
        match self {
            Self::Known(_) | Self::Ambiguous => true,
            Self::Unknown(possible) => possible.is_complete,
        }
    }

    /// Returns the answer without the claim that no other origins are possible.
    pub(super) fn to_incomplete(&self) -> Self {
        match self {
            Self::Unknown(possible) => {
                Self::Unknown(PossibleOrigins { is_complete: false, ..possible.clone() })
            }
            recorded => recorded.clone(),
        }
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
