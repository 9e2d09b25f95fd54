//! Documents that peers get from each other.

use keeljunction_gateway::node::document::{Document, decompress};
use proptest::prelude::*;

#[test]
fn a_long_configuration_is_packed_small() {
    let route =
        r#"{"name":"r","host":"bahu79.example","path_prefix":"/nywu900/no2/","service":"s"}"#;
    let text = format!("[{}]", vec![route; 1_400].join(","));
    let compressed = Document::new(text.clone().into_bytes()).get_compressed();
    assert!(compressed.len() * 20 < text.len(), "{} of {}", compressed.len(), text.len());
    assert_eq!(decompress(&compressed), Some(text.into_bytes()));
}

#[test]
fn bytes_that_are_no_document_are_refused() {
    assert_eq!(decompress(b"\xff\xff\xff\xff"), None);
}

#[test]
fn a_document_that_grows_without_end_is_refused() {
    let compressed = Document::new(vec![b'a'; (16 << 20) + 1]).get_compressed();
    assert_eq!(decompress(&compressed), None);
}

proptest! {
    #[test]
    fn every_document_comes_back(text in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let compressed = Document::new(text.clone()).get_compressed();
        prop_assert_eq!(decompress(&compressed), Some(text));
    }
}
