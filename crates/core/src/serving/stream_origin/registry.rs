//! Keeps the origins of streams.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use super::batch::Batch;
use super::key::Key;
use super::origin::Origin;
use super::record::{Record, Standing};
use super::replication::{HolderId, Replication};
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
    /// The copies of the records of streams that this node began or resumed.
    replications: HashMap<Key, Replication>,
    /// These streams by the time at which their copies are to be checked.
    due: BTreeSet<(Millis, Key)>,
}

#[derive(Debug)]
struct Entry {
    standing: Standing,
    expires_at: Millis,
    /// Responses of this node that belong to the stream and have not ended.
    running: u32,
    /// Time until which the caller may resume the stream, if a response of this node belongs to it.
    caller_deadline: Millis,
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
        let replication = self.replications.entry(key).or_default();
        self.due.insert((replication.get_due_at(), key));
    }

    /// Lists the streams of this node whose copies are to be checked.
    pub fn list_due(&self, now: Millis) -> Vec<Key> {
        let due = self.due.iter().take_while(|(due_at, _)| *due_at <= now);
        due.map(|(_, key)| *key).collect()
    }

    /// Sets the node that gets one more copy of a stream's record, to archive it.
    pub fn set_archivist(&mut self, key: Key, archivist: Option<HolderId>) {
        if let Some(replication) = self.replications.get_mut(&key) {
            replication.set_archivist(archivist);
        }
    }

    /// Checks the copies of a stream's record, and returns the nodes that get one now.
    ///
    /// `is_live` returns `true` if a holder is a live member. `rank` lists the other nodes in the order
    /// in which they are queried for the record.
    pub fn plan_copies(
        &mut self,
        now: Millis,
        key: Key,
        is_live: impl Fn(HolderId) -> bool,
        rank: impl FnOnce() -> Vec<HolderId>,
    ) -> Vec<HolderId> {
        let expiry = self.entries.get(&key).map(|entry| entry.get_expiry(now));
        let expiry = expiry.filter(|expiry| now < *expiry);
        let Some(replication) = self.replications.get_mut(&key) else { return Vec::new() };
        self.due.remove(&(replication.get_due_at(), key));
        let Some(expiry) = expiry else {
            self.replications.remove(&key);
            return Vec::new();
        };
        let recipients = replication.plan(now, expiry, is_live, rank);
        self.due.insert((replication.get_due_at(), key));
        recipients
    }

    /// Records that a node holds copies of records.
    pub fn confirm(&mut self, holder: HolderId, keys: &[Key]) {
        for key in keys {
            if let Some(replication) = self.replications.get_mut(key) {
                replication.confirm(holder);
            }
        }
    }

    /// Records that a node holds no copies any more, because its process has restarted.
    pub fn forget_holder(&mut self, holder: HolderId) {
        self.replications.values_mut().for_each(|replication| replication.forget(holder));
    }

    /// Returns the number of this node's records that fewer nodes hold than should.
    pub fn count_incomplete(&self) -> usize {
        self.replications.values().filter(|replication| !replication.is_complete()).count()
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

    /// Returns the record of a stream.
    pub fn find(&self, now: Millis, key: Key) -> Option<Standing> {
        self.get_record(now, key).map(|record| record.standing)
    }

    /// Returns the record of a stream, to be sent to other nodes.
    pub fn get_record(&self, now: Millis, key: Key) -> Option<Record> {
        let entry = self.entries.get(&key).filter(|entry| now < entry.get_expiry(now))?;
        Some(entry.describe(now, key))
    }

    /// Lists all records.
    pub fn list(&self, now: Millis) -> Vec<Record> {
        self.iter(now).collect()
    }

    /// Iterates over all records.
    pub fn iter(&self, now: Millis) -> impl Iterator<Item = Record> {
        let kept = self.entries.iter().filter(move |(_, entry)| now < entry.get_expiry(now));
        kept.map(move |(key, entry)| entry.describe(now, *key))
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
        let Some(key) = self.order.pop_front() else { return };
        self.entries.remove(&key);
        if let Some(replication) = self.replications.remove(&key) {
            self.due.remove(&(replication.get_due_at(), key));
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
}
