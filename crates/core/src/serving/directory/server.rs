//! A server as it describes itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Millis;

/// A server as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Names the server; it may start again under the same id.
    pub id: String,
    /// Which start of the server this is: its time, in milliseconds since the Unix epoch, or 0 where it
    /// does not say. What is known of an earlier one holds no more.
    pub incarnation: u64,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// The version of its software.
    pub version: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to end.
    pub is_leaving: bool,
    /// Whether the provider may take it away at short notice.
    pub is_spot: bool,
    /// Time until it is gone, where it said so.
    pub leaves_within: Option<Millis>,
    /// Time until it is as fast as others, where it has just started.
    pub warm_within: Option<Millis>,
}
