//! Compression of the documents that nodes fetch from each other.
//!
//! Configurations are long and repetitive, and small VMs have narrow links. A document of 1,400
//! routes compresses to a small part of its size.

use std::io::{Read, Write};
use std::sync::OnceLock;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// The maximum decompressed size of a document.
const MAX_DECOMPRESSED_BYTES: u64 = 16 << 20;

/// A document as the operator wrote it.
#[derive(Debug, Default)]
pub struct Document {
    text: Vec<u8>,
    compressed: OnceLock<Bytes>,
}

impl Document {
    /// Creates a document from its text.
    pub fn new(text: Vec<u8>) -> Self {
        Self { text, compressed: OnceLock::new() }
    }

    /// Returns the document in compressed form. It is compressed on first use.
    pub fn get_compressed(&self) -> Bytes {
        self.compressed.get_or_init(|| compress(&self.text)).clone()
    }
}

/// Compresses bytes.
pub fn compress(text: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory does not fail.
    let _ = encoder.write_all(text);
    encoder.finish().unwrap_or_default().into()
}

/// Decompresses a document; returns `None` if the input is malformed or the document is too long.
pub fn decompress(compressed: &[u8]) -> Option<Vec<u8>> {
    let mut text = Vec::new();
    let mut decoder = DeflateDecoder::new(compressed).take(MAX_DECOMPRESSED_BYTES + 1);
    decoder.read_to_end(&mut text).ok()?;
    (text.len() as u64 <= MAX_DECOMPRESSED_BYTES).then_some(text)
}
