//! The description of a node.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The description of a node, as stored in the table of nodes and sent in messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The name of the node, which stays the same across restarts.
    pub name: String,
    /// The address at which it listens for other nodes.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// The bandwidth of its link, in megabits per second.
    pub link_mbps: u32,
}
