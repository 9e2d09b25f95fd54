//! The software version that a stream stays at.

use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::stream_origin::Origin;

use crate::node::Node;
use crate::node::stream_origins::RunningStream;

/// The servers that may continue a stream.
pub(super) enum Pin {
    /// Those of the software version that began it.
    Pinned {
        /// The origin of the stream.
        origin: Origin,
        /// Counts the records of the stream as running.
        _running: Vec<RunningStream>,
    },
    /// None, because the server was replaced by one of another version meanwhile.
    Unpinnable,
}

impl Pin {
    /// Returns `true` if a server may continue the stream.
    pub fn is_allowed(&self, server: &Server) -> bool {
        match self {
            Self::Pinned { origin, .. } => {
                origin.service == server.service && origin.version == server.version
            }
            Self::Unpinnable => false,
        }
    }

    /// Returns the service that the stream is pinned to.
    pub fn get_service(&self) -> Option<&str> {
        self.get_origin().map(|origin| origin.service.as_str())
    }

    /// Returns the software version that the stream is pinned to.
    pub fn get_version(&self) -> Option<&str> {
        self.get_origin().map(|origin| origin.version.as_str())
    }

    /// Returns `true` if no server is left that may continue the stream.
    pub fn is_gone(&self, node: &Node) -> bool {
        self.get_origin().is_none_or(|origin| !has_server(node, origin))
    }

    fn get_origin(&self) -> Option<&Origin> {
        match self {
            Self::Pinned { origin, .. } => Some(origin),
            Self::Unpinnable => None,
        }
    }
}

/// Returns `true` if a server of an origin is listed as ready, and its software version was not
/// withdrawn by a rollout.
pub(super) fn has_server(node: &Node, origin: &Origin) -> bool {
    let Origin { service, version } = origin;
    !is_withdrawn(node, origin)
        && node.with(|state| {
            state.directory.iter_ready(service).any(|server| server.version == *version)
        })
}

/// Returns `true` if the software version of an origin was withdrawn by a rollout.
pub(super) fn is_withdrawn(node: &Node, origin: &Origin) -> bool {
    let now = node.now();
    node.with(|state| state.rollouts.is_withdrawn(now, &origin.service, &origin.version))
}
