//! How orders of roll-outs are read, and how their status is written.

use keeljunction_core::Error;
use keeljunction_core::serving::rollout::{Order, Status};
use keeljunction_core::serving::table_version::TableVersion;

/// The translation of roll-outs, whose orders stand in the table of the configuration.
pub struct RolloutCodec {
    /// Returns `true` if a row of that table, given its key, is an order.
    pub is_order: fn(&str) -> bool,
    /// Reads an order, given its key and the version of its row.
    pub decode: fn(&str, &[u8], TableVersion) -> Result<Order, Error>,
    /// Writes a status.
    pub encode_status: fn(&Status) -> RolloutRow,
}

/// A row of [`super::TableName::Status`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRow {
    /// Its key.
    pub key: String,
    /// Its content.
    pub value: Vec<u8>,
}
