//! The description of a server.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Millis;

/// The description that a server gives of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// The ID of the server, which may stay the same across restarts.
    pub id: String,
    /// The start time of the server, in milliseconds since the Unix epoch; 0 if unknown.
    ///
    /// A later incarnation invalidates the state of an earlier one.
    pub incarnation: u64,
    /// The service that the server belongs to.
    pub service: String,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// The version of its software.
    pub version: String,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Whether the provider may reclaim it at short notice.
    pub is_spot: bool,
    /// The time until it is gone, if it announced that.
    pub leaves_within: Option<Millis>,
    /// The time until it reaches full speed, if it has just started.
    pub warm_within: Option<Millis>,
}
