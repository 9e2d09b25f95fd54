//! Which region each data centre stands in.
//!
//! Data centres of one region are about a millisecond apart and share wide links. Two regions are
//! tens of milliseconds apart, and share one narrow link. A deployment of one region is the plain
//! case: everything is near.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Error, ErrorKind};

/// The data centres of a deployment by region, as seen from one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    /// The region that the node stands in; empty where no regions are known.
    own: String,
    /// The region of each data centre; empty where no regions are known.
    regions: BTreeMap<String, String>,
}

impl Topology {
    /// Makes the topology of a node in a data centre, given the region of each data centre.
    ///
    /// Without regions, all data centres are in one.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::InvalidValue`] where regions are given and the node's own data centre is
    /// in none of them, or where a region has no name.
    pub fn new(own: &str, regions: BTreeMap<String, String>) -> Result<Self, Error> {
        if let Some((data_centre, _)) = regions.iter().find(|(_, region)| region.is_empty()) {
            return Err(Error::new(ErrorKind::InvalidValue, "a region has no name")
                .key(format!("regions.data_centres.{data_centre}"))
                .value("\"\"")
                .allowed("any text")
                .tip("name the region that the data centre stands in"));
        }
        let Some(region) = regions.get(own) else {
            if regions.is_empty() {
                return Ok(Self::default());
            }
            let known: Vec<&str> = regions.keys().map(String::as_str).collect();
            return Err(Error::new(ErrorKind::InvalidValue, "a data centre is in no region")
                .key("node.data_centre")
                .value(own)
                .allowed(known.join(", "))
                .tip("list the node's data centre under regions.data_centres"));
        };
        Ok(Self { own: region.clone(), regions })
    }

    /// Returns the region that the node stands in; empty where no regions are known.
    pub fn get_own_region(&self) -> &str {
        &self.own
    }

    /// Returns the region of a data centre; `None` where it is not known.
    pub fn get_region(&self, data_centre: &str) -> Option<&str> {
        self.regions.get(data_centre).map(String::as_str)
    }

    /// Returns `true` if a data centre stands in the node's own region.
    ///
    /// One that the settings do not name is far: what crosses a region's border costs more than an
    /// unused server.
    pub fn is_local(&self, data_centre: &str) -> bool {
        self.regions.is_empty() || self.get_region(data_centre) == Some(self.own.as_str())
    }

    /// Returns `true` if a data centre stands in one of some regions.
    pub fn is_in_any(&self, regions: &BTreeSet<String>, data_centre: &str) -> bool {
        self.get_region(data_centre).is_some_and(|region| regions.contains(region))
    }

    /// Returns `true` if there is more than one region.
    pub fn is_multi_region(&self) -> bool {
        self.regions.values().any(|region| *region != self.own)
    }

    /// Lists the regions by name.
    pub fn list_regions(&self) -> BTreeSet<&str> {
        self.regions.values().map(String::as_str).collect()
    }
}
