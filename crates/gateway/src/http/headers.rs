//! Headers that apply to a single connection.

use hyper::header::{self, HeaderMap};

/// Names of headers that apply to a single connection, and of those that frame the body.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
];

/// Removes the hop-by-hop headers of a request, including those that its `Connection` header names,
/// and the framing of the body, which is written anew.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(&name);
    }
    remove_standard_hop_by_hop(headers);
}

/// Removes the standard hop-by-hop headers and the framing of the body.
pub fn remove_standard_hop_by_hop(headers: &mut HeaderMap) {
    for name in HOP_BY_HOP {
        headers.remove(*name);
    }
}
