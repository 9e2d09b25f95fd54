//! The origins that a stream of unknown origin may have.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::origin::Origin;
use crate::serving::version_history::PossibleVersions;

/// The origins that a stream of unknown origin may have, over all services of its route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PossibleOrigins {
    /// The origins.
    pub origins: BTreeSet<Origin>,
    /// Whether no other origin is possible.
    pub is_complete: bool,
}

impl PossibleOrigins {
    /// Collects the possible versions of a route's services.
    pub fn collect<'a>(services: impl Iterator<Item = (&'a str, PossibleVersions)>) -> Self {
        let mut collected = Self { origins: BTreeSet::new(), is_complete: true };
        for (service, possible) in services {
            let origins = possible.versions.iter().map(|version| Origin::new(service, version));
            collected.origins.extend(origins);
            collected.is_complete &= possible.is_complete;
        }
        collected
    }
}
