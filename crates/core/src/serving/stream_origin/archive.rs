//! Plans the rows of the table service in which records outlast a restart of all nodes.
//!
//! Streams are divided into shards. The archivist of a shard, the node that ranks first for it,
//! collects the records of the shard in segments of one row each. New records extend the open segment,
//! whose row is written again, until the segment is full or old. Only its writer changes a row, so two
//! nodes that both consider themselves the archivist do not overwrite each other's records.

use std::collections::{BTreeMap, HashMap};

use super::key::Key;
use super::record::{Record, Standing};
use crate::Millis;
use crate::serving::version_history::MAX_STREAM_AGE_MS;

/// The number of shards, and so the maximum number of archivists.
pub const SHARDS: u8 = 32;
/// The maximum number of records in a row. Each new record rewrites the whole row.
pub const MAX_SEGMENT_RECORDS: usize = 1_024;
/// The time for which new records extend a segment, in milliseconds.
pub const MAX_SEGMENT_AGE_MS: Millis = 10_000;
/// The maximum number of writes per second that all archivists make together.
const WRITES_PER_SECOND: u64 = 32;
/// The minimum time between two writes of an archivist, in milliseconds.
const MIN_WRITE_INTERVAL_MS: Millis = 250;
/// The remaining life of an archived record below which it is archived again if its stream goes on.
const MIN_RECORD_LIFE_MS: Millis = 20_000;
/// The number of leading bits of a key that select its shard.
const SHARD_BITS: u32 = SHARDS.trailing_zeros();

/// Returns the time between two writes of an archivist in a cluster of a number of nodes.
pub fn get_write_interval(nodes: usize) -> Millis {
    let archivists = (nodes as u64).min(u64::from(SHARDS));
    (archivists * 1_000).div_ceil(WRITES_PER_SECOND).max(MIN_WRITE_INTERVAL_MS)
}

/// A part of all streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(u8);

impl Shard {
    /// Returns the shard of a stream.
    pub fn of(key: Key) -> Self {
        Self((key.get_number() >> (u64::BITS - SHARD_BITS)) as u8)
    }

    /// Iterates over all shards.
    pub fn iter() -> impl Iterator<Item = Self> {
        (0..SHARDS).map(Self)
    }

    /// Returns the shard as a number.
    pub fn get_number(self) -> u64 {
        self.0.into()
    }

    /// Returns the start of the keys of the shard's rows, which precedes those of the next shard.
    pub fn get_prefix(self) -> String {
        format!("{:02x}-", self.0)
    }
}

/// A row to be written, or to be removed if it has no records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArchivedRow {
    /// The key of the row.
    pub key: String,
    /// The records.
    pub records: Vec<Record>,
}

/// What an archivist has written, or is about to write.
#[derive(Debug)]
pub struct Archive {
    /// Identifies the process, as part of the keys of its rows.
    writer: String,
    /// The number of segments so far.
    segments: u64,
    /// The segments that new records extend.
    open: BTreeMap<Shard, Segment>,
    /// Full segments that are to be written.
    full: Vec<Segment>,
    /// The rows that are no longer written, with the time at which they are removed.
    closed: Vec<(Millis, String)>,
    /// The archived records, with the time at which they expire.
    archived: HashMap<Key, (Standing, Millis)>,
}

/// The records of a row.
#[derive(Debug)]
struct Segment {
    row: String,
    begun_at: Millis,
    records: Vec<(Key, Standing, Millis)>,
    is_changed: bool,
}

impl Archive {
    /// Creates the archive of a process. `writer` differs for each process.
    pub fn new(writer: String) -> Self {
        Self {
            writer,
            segments: 0,
            open: BTreeMap::new(),
            full: Vec::new(),
            closed: Vec::new(),
            archived: HashMap::new(),
        }
    }

    /// Returns `true` if a row was written by this process.
    pub fn is_own(&self, row: &str) -> bool {
        row.get(Shard(0).get_prefix().len()..).is_some_and(|rest| rest.starts_with(&self.writer))
    }

    /// Returns `true` if a record is not archived, or not for long enough.
    pub fn is_missing(&self, now: Millis, record: &Record) -> bool {
        let Some((standing, expires_at)) = self.archived.get(&record.key) else { return true };
        let is_renewable = *expires_at < now + MIN_RECORD_LIFE_MS
            && now + record.expires_in > *expires_at + MIN_WRITE_INTERVAL_MS;
        *standing != record.standing || is_renewable
    }

    /// Adds records to the open segments of their shards.
    pub fn add(&mut self, now: Millis, records: impl IntoIterator<Item = Record>) {
        for Record { key, standing, expires_in } in records {
            let expires_at = now + expires_in.min(MAX_STREAM_AGE_MS);
            self.archived.insert(key, (standing.clone(), expires_at));
            let segment = self.get_open(now, Shard::of(key));
            segment.records.push((key, standing, expires_at));
            segment.is_changed = true;
        }
    }

    /// Adds the row of a former archivist, to be removed once its writer has ceased to extend it and all
    /// of its records have expired.
    pub fn adopt(&mut self, now: Millis, row: String) {
        if !self.closed.iter().any(|(_, known)| *known == row) {
            self.closed.push((now + MAX_SEGMENT_AGE_MS + MAX_STREAM_AGE_MS, row));
        }
    }

    /// Takes the rows that are to be written or removed now.
    pub fn take_rows(&mut self, now: Millis) -> Vec<ArchivedRow> {
        let finished = self.open.extract_if(.., |_, segment| segment.is_finished(now));
        self.full.extend(finished.map(|(_, segment)| segment));
        let mut rows = Vec::new();
        for mut segment in self.full.drain(..) {
            rows.extend(segment.take_row(now));
            self.closed.push((segment.get_expiry(), segment.row));
        }
        rows.extend(self.open.values_mut().filter_map(|segment| segment.take_row(now)));
        let expired = self.closed.extract_if(.., |(expires_at, _)| *expires_at <= now);
        rows.extend(expired.map(|(_, key)| ArchivedRow { key, records: Vec::new() }));
        self.archived.retain(|_, (_, expires_at)| now < *expires_at);
        rows
    }

    /// Records that the outcome of a write is unknown. Its records are missing again, and none of its
    /// rows is extended, because the write may still be applied after a later one.
    pub fn record_failure(&mut self, now: Millis, rows: Vec<ArchivedRow>) {
        for row in rows {
            self.open.retain(|_, segment| segment.row != row.key);
            for record in &row.records {
                self.archived.remove(&record.key);
            }
            self.closed.retain(|(_, known)| *known != row.key);
            let life = row.records.iter().map(|record| record.expires_in).max().unwrap_or(0);
            self.closed.push((now + life, row.key));
        }
    }

    fn get_open(&mut self, now: Millis, shard: Shard) -> &mut Segment {
        if let Some(finished) = self.open.remove(&shard) {
            match finished.is_finished(now) {
                true => self.full.push(finished),
                false => return self.open.entry(shard).or_insert(finished),
            }
        }
        let row = format!("{}{}-{:08x}", shard.get_prefix(), self.writer, self.segments);
        self.segments += 1;
        self.open.entry(shard).or_insert(Segment {
            row,
            begun_at: now,
            records: Vec::new(),
            is_changed: false,
        })
    }
}

impl Segment {
    fn is_finished(&self, now: Millis) -> bool {
        now >= self.begun_at + MAX_SEGMENT_AGE_MS || self.records.len() >= MAX_SEGMENT_RECORDS
    }

    fn get_expiry(&self) -> Millis {
        self.records.iter().map(|(.., expires_at)| *expires_at).max().unwrap_or(0)
    }

    /// Returns the row if it has changed since it was last taken.
    fn take_row(&mut self, now: Millis) -> Option<ArchivedRow> {
        if !std::mem::take(&mut self.is_changed) {
            return None;
        }
        let live = self.records.iter().filter(|(.., expires_at)| now < *expires_at);
        let records = live.map(|(key, standing, expires_at)| Record {
            key: *key,
            standing: standing.clone(),
            expires_in: expires_at - now,
        });
        Some(ArchivedRow { key: self.row.clone(), records: records.collect() })
    }
}
