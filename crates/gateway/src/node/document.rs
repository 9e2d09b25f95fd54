//! A document that peers get from each other, packed for the way.
//!
//! Configurations are long and repeat themselves, and small VMs have narrow links: packed, a
//! document of 1,400 routes is a small part of its size.

use std::io::{Read, Write};
use std::sync::OnceLock;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// The longest document that is unpacked, in bytes.
const LONGEST: u64 = 16 << 20;

/// A document as the operator wrote it.
#[derive(Debug, Default)]
pub struct Document {
    text: Vec<u8>,
    packed: OnceLock<Bytes>,
}

impl Document {
    /// Makes a document from its text.
    pub fn new(text: Vec<u8>) -> Self {
        Self { text, packed: OnceLock::new() }
    }

    /// Returns the document as peers get it; it is packed at the first use.
    pub fn get_packed(&self) -> Bytes {
        self.packed.get_or_init(|| pack(&self.text)).clone()
    }
}

/// Packs bytes.
pub fn pack(text: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory does not fail.
    let _ = encoder.write_all(text);
    encoder.finish().unwrap_or_default().into()
}

/// Unpacks a document; `None` where it is none, or too long.
pub fn unpack(packed: &[u8]) -> Option<Vec<u8>> {
    let mut text = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(LONGEST + 1);
    decoder.read_to_end(&mut text).ok()?;
    (text.len() as u64 <= LONGEST).then_some(text)
}
