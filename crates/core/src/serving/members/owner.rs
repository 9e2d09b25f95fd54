//! Which aggregator keeps the load of a server.
//!
//! A server's load is kept in the server's own region, where most of its requests come from. All
//! nodes find the same aggregator from the same list, wherever they stand themselves.

use std::net::SocketAddr;

use super::Members;
use crate::rendezvous;

/// The aggregator that keeps a server's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadOwner<'a> {
    /// Where it listens for other nodes.
    pub address: SocketAddr,
    /// Its region, where that is not the asking node's own.
    pub remote_region: Option<&'a str>,
}

impl Members {
    /// Finds the aggregator that keeps the load of a server, by the server's short name and data
    /// centre; `None` where this node does itself.
    ///
    /// Where no aggregator of the server's region is known, and where the region itself is not, one
    /// of this node's own region keeps it: nodes of one region still agree.
    pub fn find_load_owner(&self, server: u64, data_centre: &str) -> Option<LoadOwner<'_>> {
        if !self.topology.is_multi_region() {
            let address = self.find_owner(server)?;
            return Some(LoadOwner { address, remote_region: None });
        }
        let own = self.topology.get_own_region();
        let region = self.topology.get_region(data_centre).unwrap_or(own);
        let owner = self.find_owner_in(server, region).or_else(|| self.find_owner_in(server, own));
        let entry = &self.known.get(owner?)?.entry;
        Some(LoadOwner { address: entry.address, remote_region: self.get_far_region(entry) })
    }

    /// Returns `true` if this node keeps the load of a server.
    pub fn is_load_owner(&self, server: u64, data_centre: &str) -> bool {
        match self.topology.is_multi_region() {
            true => {
                let is_known = self.view.ranking.is_aggregator;
                is_known && self.find_load_owner(server, data_centre).is_none()
            }
            false => self.is_owner(server),
        }
    }

    /// Finds the name of the aggregator of a region that owns a key, which may be this node.
    ///
    /// Each request looks up some servers, so that the aggregators are kept by region.
    /// `benches/serving.rs` measures it: 0.17 us among 83 nodes, 0.28 us among 1,000.
    fn find_owner_in(&self, key: u64, region: &str) -> Option<&str> {
        let names = self.view.ranking.by_region.get(region)?;
        rendezvous::owner_of_hash(key, names.iter().map(String::as_str))
    }

    /// Returns how many nodes of this node's own region may be serving, this one included.
    pub fn count_own_region(&self) -> usize {
        self.view.near_nodes
    }
}
