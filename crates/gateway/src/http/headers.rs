//! Headers that apply to a single connection, the framing of a body, and text in headers.

use hyper::body::Body as HttpBody;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use keeljunction_core::serving::response_body::Framing;

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

/// Returns what declares the end of a received response body. The library has checked that the
/// headers are consistent, and knows the length of a body that cannot have chunks. A framing among
/// the extensions is that of the server behind a peer.
pub fn get_framing(parts: &Parts, body: &impl HttpBody) -> Framing {
    if let Some(framing) = parts.extensions.get() {
        return *framing;
    }
    let codings = parts.headers.get_all(header::TRANSFER_ENCODING);
    if let Some(codings) = codings.iter().next_back() {
        return if ends_with_chunked(codings) { Framing::Chunks } else { Framing::Connection };
    }
    match body.size_hint().exact() {
        Some(_) => Framing::Length,
        None => Framing::Connection,
    }
}

/// Returns `true` if the last transfer coding is chunks. The library reads a body with any other one
/// until the end of the connection.
fn ends_with_chunked(codings: &HeaderValue) -> bool {
    let last = codings.to_str().ok().and_then(|codings| codings.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Encodes a text as the value of a header. Returns `None` if a header cannot hold it, or if its
/// recipient would remove blanks around it or take it for absent.
pub fn encode_text(text: &str) -> Option<HeaderValue> {
    let is_unchanged = !text.is_empty() && text.trim_matches([' ', '\t']) == text;
    HeaderValue::from_bytes(text.as_bytes()).ok().filter(|_| is_unchanged)
}

/// Decodes the value of a header that [`encode_text`] has encoded. Returns `None` if it is no text.
pub fn decode_text(value: &HeaderValue) -> Option<&str> {
    std::str::from_utf8(value.as_bytes()).ok()
}
