//! Decodes roll-out orders and encodes their status.

use keeljunction_core::Error;
use keeljunction_core::serving::rollout::{Order, Status};
use keeljunction_core::serving::table_version::TableVersion;

/// Codec of roll-outs, whose orders are stored in the configuration table.
pub struct RolloutCodec {
    /// Returns `true` if the key of a configuration row belongs to a roll-out order.
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
