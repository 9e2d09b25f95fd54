//! Decodes rollout orders and encodes their status.

use keeljunction_core::Error;
use keeljunction_core::serving::rollout::{Order, Status};
use keeljunction_core::serving::table_version::TableVersion;

/// Codec of rollouts, whose orders are stored in the configuration table.
pub struct RolloutCodec {
    /// Returns `true` if the key of a configuration row belongs to a rollout order.
    pub is_order: fn(&str) -> bool,
    /// Decodes an order, given its key, value and row version.
    pub decode: fn(&str, &[u8], TableVersion) -> Result<Order, Error>,
    /// Encodes a status.
    pub encode_status: fn(&Status) -> RolloutRow,
}

/// A row of [`super::TableName::Status`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRow {
    /// The row key.
    pub key: String,
    /// The encoded status.
    pub value: Vec<u8>,
}
