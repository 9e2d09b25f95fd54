//! The resources of one run of a process that exist before its node.

use keeljunction_core::serving::topology::Topology;
use keeljunction_core::serving::usage::Incarnation;

use super::peers::link::Link;
use crate::http::{Connections, Shutdown};
use crate::runtime::Clock;

/// Resources of one process run that exist before the node.
pub struct ProcessContext {
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// The monotonic clock.
    pub clock: Clock,
    /// The datagram socket for messages between nodes.
    pub link: Link,
    /// The region of each data centre.
    pub topology: Topology,
    /// The listener for clients.
    pub clients: Listener,
    /// The listener for peers.
    pub peers: Listener,
}

/// The shutdown and the connections of a listener.
pub struct Listener {
    /// The steps of its shutdown.
    pub shutdown: Shutdown,
    /// Its connections.
    pub connections: Connections,
}
