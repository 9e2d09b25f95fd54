//! The name of a start of a server, for messages between nodes.

use serde::{Deserialize, Serialize};

use crate::serving::directory::Server;
use crate::serving::load::short_id;

/// Names a start of a server. What an earlier start said holds no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceKey {
    /// The server's short name.
    pub server: u64,
    /// Which of its starts it is; a later one has a higher number.
    pub incarnation: u64,
}

impl InstanceKey {
    /// Returns the key of a server.
    pub fn of(server: &Server) -> Self {
        Self { server: short_id(&server.id), incarnation: server.incarnation }
    }
}
