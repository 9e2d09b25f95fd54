//! Packs records into datagrams.

use serde::{Deserialize, Serialize};

use super::key::Key;
use super::origin::Origin;
use super::record::{Record, Standing};
use crate::Millis;

/// The maximum number of streams in a datagram, at some 13 bytes each.
pub const MAX_BATCHED_STREAMS: usize = 64;

/// Streams of one origin, as nodes send them to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The origin; `None` if different ones were recorded.
    pub origin: Option<Origin>,
    /// The streams.
    pub streams: Vec<Stream>,
}

/// A stream of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stream {
    /// The stream.
    pub key: Key,
    /// The time until its record expires, in milliseconds.
    pub expires_in: Millis,
}

impl Batch {
    /// Packs records into datagrams of at most [`MAX_BATCHED_STREAMS`] streams.
    pub fn pack(mut records: Vec<Record>) -> Vec<Vec<Self>> {
        records.sort_by(|one, other| one.standing.cmp(&other.standing));
        records.chunks(MAX_BATCHED_STREAMS).map(pack_datagram).collect()
    }
}

/// Groups sorted records by their origin.
fn pack_datagram(records: &[Record]) -> Vec<Batch> {
    let groups = records.chunk_by(|one, other| one.standing == other.standing);
    groups.filter_map(pack_group).collect()
}

fn pack_group(records: &[Record]) -> Option<Batch> {
    let origin = match &records.first()?.standing {
        Standing::Known(origin) => Some(origin.as_ref().clone()),
        Standing::Ambiguous => None,
    };
    let streams =
        records.iter().map(|record| Stream { key: record.key, expires_in: record.expires_in });
    Some(Batch { origin, streams: streams.collect() })
}
