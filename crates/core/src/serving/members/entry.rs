//! What a node says of itself to the others.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What a node says of itself, in the table of nodes and in messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The node's name, the same at each start.
    pub name: String,
    /// Where it listens for other nodes.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// Bandwidth of its link, in megabits a second.
    pub link_mbps: u32,
}
