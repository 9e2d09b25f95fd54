//! Compression of the documents that nodes fetch from each other.

use keeljunction_core::serving::directory::{Directory, Server, Update};
use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::table_version::TableVersion;
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
fn a_document_whose_end_is_missing_is_rejected() {
    for text in ["", "a", "{\"version\": 1, \"routes\": []}", &"ab".repeat(200_000)] {
        let compressed = Document::new(text.as_bytes().to_vec()).get_compressed();
        for length in 0..compressed.len() {
            let decompressed = decompress(&compressed[..length]).map(|text| text.len());
            assert_eq!(decompressed, None, "{length} of {} bytes", compressed.len());
        }
    }
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

// Guards against a server list that lacks its last entries: nodes fetch it from each other in this
// encoding.
#[test]
fn no_start_of_a_server_list_is_taken_for_the_whole() {
    let server = |id: &str| Server {
        id: id.to_owned(),
        incarnation: 1,
        service: "api".to_owned(),
        address: "127.0.0.1:80".parse().expect("an address"),
        data_centre: "z1".to_owned(),
        version: "v1".to_owned(),
        slots: 8,
        is_leaving: false,
        is_spot: false,
        leaves_within: None,
        warm_within: None,
    };
    let mut directory = Directory::default();
    directory.replace(TableVersion::new(Era::named(1), 5), vec![server("a"), server("b")]);
    for update in [directory.get_update(None), directory.get_update(Some(directory.get_version()))]
    {
        let encoded = postcard::to_stdvec(&update).expect("an encoding");
        assert!(postcard::from_bytes::<Update<'_>>(&encoded).is_ok());
        for length in 0..encoded.len() {
            let decoded = postcard::from_bytes::<Update<'_>>(&encoded[..length]);
            assert!(decoded.is_err(), "{length} of {} bytes", encoded.len());
        }
    }
}
