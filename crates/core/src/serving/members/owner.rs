//! Which aggregator tracks the load of a server.
//!
//! The load of a server is tracked in the server's own region, where most of its requests come
//! from. All nodes find the same aggregator from the same list, whatever their own region is.

use std::net::SocketAddr;

use super::Members;
use crate::rendezvous;

/// The aggregator that tracks the load of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadOwner<'a> {
    /// The address at which it listens for other nodes.
    pub address: SocketAddr,
    /// Its region, if that differs from the region of the asking node.
    pub remote_region: Option<&'a str>,
}

impl Members {
    /// Finds the aggregator that tracks the load of a server, given by its short name and data
    /// centre.
    ///
    /// Returns `None` if this node tracks it. If no aggregator of the server's region is known, or
    /// the region itself is unknown, an aggregator of this node's region is used: the nodes of one
    /// region still agree.
    pub fn find_load_owner(&self, server: u64, data_centre: &str) -> Option<LoadOwner<'_>> {
        if !self.topology.is_multi_region() {
            let address = self.find_owner(server)?;
            return Some(LoadOwner { address, remote_region: None });
        }
        let own = self.topology.get_own_region();
        let region = self.topology.get_region(data_centre).unwrap_or(own);
        let owner = self.find_owner_in(server, region).or_else(|| self.find_owner_in(server, own));
        let entry = &self.known.get(owner?)?.entry;
        Some(LoadOwner { address: entry.address, remote_region: self.get_remote_region(entry) })
    }

    /// Returns `true` if this node tracks the load of a server.
    pub fn is_load_owner(&self, server: u64, data_centre: &str) -> bool {
        match self.topology.is_multi_region() {
            true => {
                let is_known = self.view.ranking.is_aggregator;
                is_known && self.find_load_owner(server, data_centre).is_none()
            }
            false => self.is_owner(server),
        }
    }

    /// Finds the name of the aggregator of a region that owns a key; this may be this node.
    ///
    /// Each request looks up several servers, so aggregators are indexed by region.
    fn find_owner_in(&self, key: u64, region: &str) -> Option<&str> {
        let names = self.view.ranking.by_region.get(region)?;
        rendezvous::owner_of_hash(key, names.iter().map(String::as_str))
    }

    /// Returns how many nodes of this node's region may be serving, this one included.
    pub fn count_own_region(&self) -> usize {
        self.view.local_nodes
    }
}
