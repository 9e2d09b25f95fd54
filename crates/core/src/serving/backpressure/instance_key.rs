//! Identifies an incarnation of a server in messages between nodes.

use serde::{Deserialize, Serialize};

use crate::serving::directory::Server;
use crate::serving::load::short_id;

/// Identifies an incarnation of a server. What an earlier incarnation reported is void.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceKey {
    /// The server's short id.
    pub server: u64,
    /// The server's incarnation; a later start has a higher number.
    pub incarnation: u64,
}

impl InstanceKey {
    /// Returns the key of a server.
    pub fn of(server: &Server) -> Self {
        Self { server: short_id(&server.id), incarnation: server.incarnation }
    }
}
