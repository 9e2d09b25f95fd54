//! The interface of a platform adapter, as plain structs of functions and closures.

mod control;
mod cursor;
mod header_codec;
mod rollouts;
mod table;

use keeljunction_core::Error;
use keeljunction_core::serving::configuration::Configuration;
use keeljunction_core::serving::directory::Server;

pub use control::{CapacityOrder, Control, ControlFuture, DutyHolder, UsageReport};
pub use cursor::Cursor;
pub use header_codec::{
    ForwardContext, HeaderCodec, Prompt, PromptPart, RequestHead, ResponseHead, UnreadableHeader,
};
pub use rollouts::{RolloutCodec, RolloutRow};
pub use table::{
    Condition, Row, RowRange, Rows, Table, TableError, TableFuture, TableName, Transaction, Write,
    with_timeout,
};

/// A platform adapter.
pub struct Platform {
    /// Decodes and encodes the heads of requests and responses.
    pub header_codec: HeaderCodec,
    /// The platform's table service.
    pub table: Table,
    /// Control calls, which only one node at a time may make.
    pub control: Control,
    /// Decodes the operator's configuration.
    pub decode_configuration: fn(&[u8]) -> Result<Configuration, Error>,
    /// Decodes a server's entry, given its key.
    pub decode_server: fn(&str, &[u8]) -> Result<Server, Error>,
    /// Decodes rollout orders and encodes their status.
    pub rollout_codec: RolloutCodec,
}
