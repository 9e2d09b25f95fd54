//! Helpers shared by several tests.

use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::table_version::TableVersion;

/// Returns a version of a table service without eras.
pub fn at(number: u64) -> TableVersion {
    TableVersion::new(Era::UNNAMED, number)
}

/// Creates a server that gets new work.
pub fn server(id: &str, data_centre: &str) -> Server {
    Server {
        id: id.to_owned(),
        incarnation: 0,
        service: "llm".to_owned(),
        address: "127.0.0.1:8000".parse().expect("an address"),
        data_centre: data_centre.to_owned(),
        slots: 4,
        is_leaving: false,
        is_spot: false,
        leaves_within: None,
        warm_within: None,
        version: "v1".to_owned(),
    }
}
