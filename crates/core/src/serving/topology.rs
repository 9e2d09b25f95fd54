//! The regions of data centres.
//!
//! Data centres of one region are about a millisecond apart and share wide links. Regions are tens
//! of milliseconds apart and share one narrow link. A deployment with a single region is the simple
//! case: every data centre is local.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Error, ErrorKind};

/// The regions of a deployment, as seen from one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    /// The region of the node, or an empty string if no regions are configured.
    own: String,
    /// The region of each data centre; empty if no regions are configured.
    regions: BTreeMap<String, String>,
}

impl Topology {
    /// Creates the topology of a node in the data centre `own`, given the region of each data
    /// centre.
    ///
    /// Without regions, all data centres are in one region.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::InvalidValue`] if regions are given and none of them contains the
    /// node's own data centre, or if a region has an empty name.
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

    /// Returns the region of the node, or an empty string if no regions are configured.
    pub fn get_own_region(&self) -> &str {
        &self.own
    }

    /// Returns the region of a data centre, or `None` if it is not configured.
    pub fn get_region(&self, data_centre: &str) -> Option<&str> {
        self.regions.get(data_centre).map(String::as_str)
    }

    /// Returns `true` if a data centre is in the node's own region.
    ///
    /// A data centre that the settings do not name is remote: traffic across regions costs more
    /// than an unused server.
    pub fn is_local(&self, data_centre: &str) -> bool {
        self.regions.is_empty() || self.get_region(data_centre) == Some(self.own.as_str())
    }

    /// Returns `true` if a data centre is in one of the given regions.
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
