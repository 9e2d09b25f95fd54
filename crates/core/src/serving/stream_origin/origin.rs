//! The service and the software version that began a stream.

use serde::{Deserialize, Serialize};

/// The service and the software version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// The service.
    pub service: String,
    /// The software version of the server.
    pub version: String,
}

impl Origin {
    /// Creates an origin.
    pub fn new(service: &str, version: &str) -> Self {
        Self { service: service.to_owned(), version: version.to_owned() }
    }
}
