//! Compression of the documents that nodes fetch from each other.

use keeljunction_gateway::node::document::{Document, decompress};
use proptest::prelude::*;

#[test]
fn long_configuration_compresses_well() {
    let route =
        r#"{"name":"r","host":"bahu79.example","path_prefix":"/nywu900/no2/","service":"s"}"#;
    let text = format!("[{}]", vec![route; 1_400].join(","));
    let compressed = Document::new(text.clone().into_bytes()).get_compressed();
    assert!(compressed.len() * 20 < text.len(), "{} of {}", compressed.len(), text.len());
    assert_eq!(decompress(&compressed), Some(text.into_bytes()));
}

#[test]
fn malformed_bytes_are_rejected() {
    assert_eq!(decompress(b"\xff\xff\xff\xff"), None);
}

#[test]
fn document_beyond_the_maximum_size_is_rejected() {
    let compressed = Document::new(vec![b'a'; (16 << 20) + 1]).get_compressed();
    assert_eq!(decompress(&compressed), None);
}

proptest! {
    #[test]
    fn every_document_survives_a_round_trip(text in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let compressed = Document::new(text.clone()).get_compressed();
        prop_assert_eq!(decompress(&compressed), Some(text));
    }
}
