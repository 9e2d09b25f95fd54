//! Keeps the origins of streams.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use super::batch::Batch;
use super::key::Key;
use super::origin::Origin;
use super::record::{Record, Standing};
use crate::Millis;
use crate::serving::version_history::MAX_STREAM_AGE_MS;

/// The maximum number of records that a node keeps.
pub const MAX_RECORDS: usize = 65_536;

/// The origins of streams that this node began, and of those that other nodes sent.
#[derive(Debug, Default)]
pub struct Registry {
    entries: HashMap<Key, Entry>,
    /// The keys of all entries, the oldest first.
    order: VecDeque<Key>,
    /// The origins of all entries, each held once.
    origins: BTreeSet<Arc<Origin>>,
    /// Streams whose records are to be sent with the next batch.
    unsent: Vec<Key>,
}

#[derive(Debug)]
struct Entry {
    standing: Standing,
    expires_at: Millis,
    /// Responses of this node that belong to the stream and have not ended.
    running: u32,
    /// Time until which the caller may resume the stream, if a response of this node belongs to it.
    caller_deadline: Millis,
    /// Whether this node began or resumed the stream.
    is_own: bool,
}

impl Registry {
    /// Records the origin of a stream that this node begins or resumes. The record counts as running
    /// until [`Registry::end`] is called.
    ///
    /// It expires at `caller_deadline`, and at the latest [`MAX_STREAM_AGE_MS`] after the stream has
    /// stopped running.
    pub fn begin(&mut self, now: Millis, key: Key, origin: &Origin, caller_deadline: Millis) {
        let standing = self.intern(origin);
        let entry = self.store(now, key, standing, caller_deadline);
        entry.running += 1;
        entry.caller_deadline = entry.caller_deadline.max(caller_deadline);
        entry.is_own = true;
    }

    /// Adds a stream to the next batch.
    pub fn queue(&mut self, key: Key) {
        self.unsent.push(key);
    }

    /// Takes the records of the streams that were queued since the last batch.
    pub fn take_queued(&mut self, now: Millis) -> Vec<Record> {
        let keys = std::mem::take(&mut self.unsent);
        keys.into_iter().filter_map(|key| self.get_record(now, key)).collect()
    }

    /// Records that a response of this node that belongs to the stream has ended.
    pub fn end(&mut self, now: Millis, key: Key) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.expires_at = entry.get_expiry(now);
            entry.running = entry.running.saturating_sub(1);
        }
    }

    /// Merges the records of another node.
    pub fn merge(&mut self, now: Millis, batch: &Batch) {
        let standing = match &batch.origin {
            Some(origin) => self.intern(origin),
            None => Standing::Ambiguous,
        };
        for stream in &batch.streams {
            let expires_at = now.saturating_add(stream.expires_in);
            self.store(now, stream.key, standing.clone(), expires_at);
        }
    }

    /// Returns what is recorded of a stream.
    pub fn find(&self, now: Millis, key: Key) -> Option<Standing> {
        self.get_record(now, key).map(|record| record.standing)
    }

    /// Returns the record of a stream, to be sent to other nodes.
    pub fn get_record(&self, now: Millis, key: Key) -> Option<Record> {
        let entry = self.entries.get(&key).filter(|entry| now < entry.get_expiry(now))?;
        Some(entry.describe(now, key))
    }

    /// Lists the records of streams that run at this node, of the services that `is_wanted` selects.
    pub fn list_running(&self, now: Millis, is_wanted: impl Fn(&str) -> bool) -> Vec<Record> {
        self.list(now, |entry| entry.running > 0 && entry.is_of(&is_wanted))
    }

    /// Lists the records of a service's streams that this node began or resumed.
    pub fn list_service(&self, now: Millis, service: &str) -> Vec<Record> {
        self.list(now, |entry| entry.is_own && entry.is_of(|of| of == service))
    }

    /// Discards expired records from the oldest on.
    pub fn expire(&mut self, now: Millis) {
        while let Some(key) = self.order.front() {
            if self.entries.get(key).is_some_and(|entry| now < entry.get_expiry(now)) {
                break;
            }
            self.remove_oldest();
        }
        self.origins.retain(|origin| Arc::strong_count(origin) > 1);
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if there are no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn store(
        &mut self,
        now: Millis,
        key: Key,
        standing: Standing,
        expires_at: Millis,
    ) -> &mut Entry {
        let expires_at = expires_at.min(now + MAX_STREAM_AGE_MS);
        if !self.entries.contains_key(&key) {
            if self.entries.len() >= MAX_RECORDS {
                self.remove_oldest();
            }
            self.order.push_back(key);
        }
        let entry = self.entries.entry(key).or_insert_with(|| Entry {
            standing: standing.clone(),
            expires_at,
            running: 0,
            caller_deadline: 0,
            is_own: false,
        });
        if now >= entry.get_expiry(now) {
            entry.standing = standing;
        } else if entry.standing != standing {
            entry.standing = Standing::Ambiguous;
        }
        entry.expires_at = entry.expires_at.max(expires_at);
        entry
    }

    fn remove_oldest(&mut self) {
        if let Some(key) = self.order.pop_front() {
            self.entries.remove(&key);
        }
    }

    fn intern(&mut self, origin: &Origin) -> Standing {
        if let Some(known) = self.origins.get(origin) {
            return Standing::Known(known.clone());
        }
        let origin = Arc::new(origin.clone());
        self.origins.insert(origin.clone());
        Standing::Known(origin)
    }

    fn list(&self, now: Millis, is_listed: impl Fn(&Entry) -> bool) -> Vec<Record> {
        let kept = self.entries.iter().filter(|(_, entry)| now < entry.get_expiry(now));
        let listed = kept.filter(|(_, entry)| is_listed(entry));
        listed.map(|(key, entry)| entry.describe(now, *key)).collect()
    }
}

impl Entry {
    /// Returns when the record expires if nothing changes after `now`.
    fn get_expiry(&self, now: Millis) -> Millis {
        match self.running {
            0 => self.expires_at,
            _ => self.expires_at.max(self.caller_deadline.min(now + MAX_STREAM_AGE_MS)),
        }
    }

    fn describe(&self, now: Millis, key: Key) -> Record {
        let expires_in = self.get_expiry(now).saturating_sub(now);
        Record { key, standing: self.standing.clone(), expires_in }
    }

    /// Returns `true` if the stream's service is wanted. An ambiguous origin belongs to each service.
    fn is_of(&self, is_wanted: impl Fn(&str) -> bool) -> bool {
        match &self.standing {
            Standing::Known(origin) => is_wanted(&origin.service),
            Standing::Ambiguous => true,
        }
    }
}
