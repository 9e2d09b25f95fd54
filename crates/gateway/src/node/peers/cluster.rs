//! The cluster that a message between nodes belongs to.
//!
//! A node that is gone may be sent messages for some time. If its address has been given to a node of
//! another cluster meanwhile, that node would take the servers, the configuration and the counts of a
//! foreign cluster for its own. All nodes of a cluster therefore have the same cluster name in their
//! settings. Datagrams carry a tag of it, and HTTP calls between nodes the name itself. A cluster
//! without a name sends neither.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use keeljunction_core::serving::load::short_id;

use super::message::FORMAT;

/// The name of the sender's cluster in HTTP calls between nodes.
const CLUSTER_HEADER: HeaderName = HeaderName::from_static("keeljunction-cluster");
/// The flag in the format of datagrams that carry a tag of their cluster.
const TAG_FLAG: u8 = 0x80;

/// The cluster of a node.
#[derive(Clone, Debug)]
pub struct Cluster {
    /// `None` if the cluster has no name.
    header: Option<HeaderValue>,
    /// The first bytes of each datagram: its format, and the tag.
    prefix: Vec<u8>,
}

/// Why a datagram is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// It has an unsupported format.
    Format,
    /// It belongs to another cluster.
    Cluster,
}

impl Mismatch {
    /// Returns the reason's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Format => "format",
            Self::Cluster => "cluster",
        }
    }
}

impl Cluster {
    /// Creates the cluster with a name, which may be empty. The settings allow no name that cannot be
    /// part of a header.
    pub fn new(name: &str) -> Self {
        let header = HeaderValue::from_str(name).ok().filter(|value| !value.is_empty());
        let mut prefix = vec![FORMAT];
        if header.is_some() {
            prefix = vec![FORMAT | TAG_FLAG];
            prefix.extend_from_slice(&(short_id(name) as u32).to_le_bytes());
        }
        Self { header, prefix }
    }

    /// Returns the first bytes of each datagram.
    pub fn get_prefix(&self) -> &[u8] {
        &self.prefix
    }

    /// Returns the content of a datagram.
    ///
    /// # Errors
    ///
    /// Returns the reason if a node of this cluster did not send it, or sent it in another format.
    pub fn strip_prefix<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], Mismatch> {
        if let Some(content) = datagram.strip_prefix(self.prefix.as_slice()) {
            return Ok(content);
        }
        let format = datagram.first().map(|format| format & !TAG_FLAG);
        Err(if format == Some(FORMAT) { Mismatch::Cluster } else { Mismatch::Format })
    }

    /// Adds the name to the headers of a call to another node.
    pub fn add_to(&self, headers: &mut HeaderMap) {
        if let Some(name) = &self.header {
            headers.insert(CLUSTER_HEADER, name.clone());
        }
    }

    /// Removes the name from the headers of a call; returns `true` if a node of this cluster made it.
    pub fn take_from(&self, headers: &mut HeaderMap) -> bool {
        headers.remove(CLUSTER_HEADER) == self.header
    }
}
