//! Percent-encoding of text that becomes part of a path, a query or a key.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};

/// The characters that are encoded: all but the unreserved ones of RFC 3986, which mean the same in a
/// path, a query and an HTML form.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Encodes a text so that it is a single path segment, query value or part of a key, whatever
/// characters it contains.
pub fn encode(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, ENCODED)
}
