//! Which aggregator keeps the load of a server.
//!
//! A server's load is kept in the server's own region, where most of its requests come from. All
//! nodes find the same aggregator from the same list, wherever they stand themselves.

use std::net::SocketAddr;

use super::Members;
use crate::succession;

/// The aggregator that keeps a server's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadOwner<'a> {
    /// Where it listens for other nodes.
    pub address: SocketAddr,
    /// Its region, where that is not the asking node's own.
    pub far_region: Option<&'a str>,
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
            return Some(LoadOwner { address, far_region: None });
        }
        let own = self.topology.get_own();
        let region = self.topology.get_region(data_centre).unwrap_or(own);
        let owner = self.find_owner_in(server, region).or_else(|| self.find_owner_in(server, own));
        let entry = &self.known.get(owner?)?.entry;
        Some(LoadOwner { address: entry.address, far_region: self.get_far_region(entry) })
    }

    /// Finds the name of the aggregator of a region that owns a key; this node's own name too.
    fn find_owner_in(&self, key: u64, region: &str) -> Option<&str> {
        let ranking = &self.view.ranking;
        let own = ranking.is_aggregator.then_some(self.own.name.as_str());
        let names = ranking.aggregators.iter().map(String::as_str).chain(own);
        let of_region = names.filter(|name| self.get_region_of(name) == Some(region));
        succession::owner_of_number(key, of_region)
    }

    /// Returns the region of a node; `None` where it is not known.
    fn get_region_of(&self, name: &str) -> Option<&str> {
        if name == self.own.name {
            return Some(self.topology.get_own());
        }
        let data_centre = &self.known.get(name)?.entry.data_centre;
        self.topology.get_region(data_centre)
    }

    /// Counts the nodes of this node's own region that may be serving, this one included.
    pub fn count_own_region(&self) -> usize {
        let serving = self.known.values().filter(|member| !member.is_stopping);
        1 + serving.filter(|member| self.topology.is_near(&member.entry.data_centre)).count()
    }
}
