//! What an adapter to a platform provides, as plain structs of functions and closures.

mod control;
mod dialect;
mod rollouts;
mod table;

use keeljunction_core::Error;
use keeljunction_core::serving::configuration::Configuration;
use keeljunction_core::serving::directory::Server;

pub use control::{CapacityOrder, Control, ControlFuture, LeaseHolder, UsageReport};
pub use dialect::{
    ForwardContext, HeaderCodec, Prompt, PromptPart, RequestHead, ResponseHead, UnreadableHeader,
};
pub use rollouts::{RolloutCodec, RolloutRow};
pub use table::{
    Condition, Row, RowRange, Rows, Table, TableError, TableFuture, TableName, Transaction, Write,
    with_timeout,
};

/// An adapter to a platform.
pub struct Platform {
    /// Reads and writes the heads of requests and answers.
    pub header_codec: HeaderCodec,
    /// The platform's table service.
    pub table: Table,
    /// The calls that one node at a time may make.
    pub control: Control,
    /// Reads a configuration as the operator wrote it.
    pub decode_configuration: fn(&[u8]) -> Result<Configuration, Error>,
    /// Reads a server's own entry, given its key.
    pub decode_server: fn(&str, &[u8]) -> Result<Server, Error>,
    /// Reads orders of roll-outs, and writes their status.
    pub rollout_codec: RolloutCodec,
}
