//! Anti-entropy for the list of all nodes.
//!
//! An aggregator learns of new nodes from all other aggregators, a few in each message. It requests
//! what it missed from another aggregator whose list differs. A node of a group requests from its
//! aggregator the entries added since its last request. A list of any length is therefore complete
//! after a few calls, even if messages get lost.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::entry::Entry;
use super::{Member, Members, Role};
use crate::Millis;

/// The minimum time between two requests for entries of other lists.
const REQUEST_INTERVAL_MS: Millis = 400;
/// A node about which nothing was received for this long is not gossiped.
const LIVE_TIMEOUT_MS: Millis = 10_000;

/// The version and digest of a node's list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterSummary {
    /// The number of entries added or changed since the process started.
    pub version: u64,
    /// A digest that is the same for equal lists.
    pub digest: u64,
}

/// An entry of another node's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// The description of the node.
    pub entry: Entry,
    /// Milliseconds since the node was last heard, reported as heard, or listed.
    pub age: Millis,
}

/// Entries that were added to a list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterDelta {
    /// The version of the list that includes these entries.
    pub version: u64,
    /// The added entries.
    pub entries: Vec<RosterEntry>,
}

/// How much of another node's list this node has copied.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CopyProgress {
    /// The latest summary of the list.
    pub summary: RosterSummary,
    /// The version up to which this node has copied it.
    pub version: u64,
    /// When this node last requested entries.
    pub requested_at: Option<Millis>,
}

impl Members {
    /// Returns the summary of this node's list.
    pub fn get_roster_summary(&self) -> RosterSummary {
        RosterSummary { version: self.version, digest: self.view.digest }
    }

    /// Records the summary of another node's list.
    pub fn record_roster_summary(&mut self, from: &str, summary: RosterSummary) {
        let Some(member) = self.known.get_mut(from) else { return };
        if summary.version < member.copied.version {
            // The node has restarted and counts from zero.
            member.copied.version = 0;
        }
        member.copied.summary = summary;
    }

    /// Picks a node whose list holds entries that this one lacks, and the version up to which this
    /// node has copied it.
    ///
    /// The source is this node's aggregator or, for an aggregator, one of the others in turn. Each
    /// call returns another one, at least 400 ms after the previous one. A small cluster, in which
    /// all nodes hear each other, needs none.
    pub fn pick_roster_source(&mut self, now: Millis) -> Option<(SocketAddr, u64)> {
        let is_early = self.roster_requested_at.is_some_and(|at| now < at + REQUEST_INTERVAL_MS);
        if is_early || !self.view.is_grouped {
            return None;
        }
        let own_aggregator = self.get_own_aggregator().map(|entry| entry.name.clone());
        let (digest, timeout) = (self.view.digest, self.get_heard_timeout());
        let is_source = |member: &&mut Member| match &own_aggregator {
            Some(name) => member.entry.name == *name,
            None => member.role == Role::Aggregator && member.is_heard_within(now, timeout),
        };
        let sources = self.known.values_mut().filter(is_source);
        let lacking = sources.filter(|member| {
            let copied = member.copied;
            copied.summary.version > copied.version && copied.summary.digest != digest
        });
        let member = lacking.min_by_key(|member| member.copied.requested_at)?;
        member.copied.requested_at = Some(now);
        self.roster_requested_at = Some(now);
        Some((member.entry.address, member.copied.version))
    }

    /// Returns the entries added to this node's list after a version.
    pub fn get_roster_delta(&self, now: Millis, after: u64) -> RosterDelta {
        let added = self.known.values().filter(|member| member.added_in_version > after);
        let known = added.map(|member| RosterEntry {
            entry: member.entry.clone(),
            age: now.saturating_sub(member.known_at),
        });
        let live =
            known.filter(|known| known.age < LIVE_TIMEOUT_MS || self.is_unreachable(&known.entry));
        RosterDelta { version: self.version, entries: live.collect() }
    }

    /// Merges the entries that were added to the list of the node at an address.
    ///
    /// Each entry keeps the time at which the other node last heard of it. Otherwise nodes that
    /// pass entries on to each other would keep a node that has left.
    pub fn apply_roster_delta(&mut self, now: Millis, from: SocketAddr, delta: &RosterDelta) {
        let source = self.known.values_mut().find(|member| member.entry.address == from);
        if let Some(source) = source {
            source.copied.version = delta.version;
        }
        for RosterEntry { entry, age } in &delta.entries {
            let known_at = now.saturating_sub(*age);
            let before = self.known.get(&entry.name).map(|member| member.known_at);
            self.add(now, entry);
            if let Some(member) = self.known.get_mut(&entry.name) {
                member.known_at = before.unwrap_or(known_at).max(known_at);
            }
        }
    }

    /// Computes the digest of the known nodes and this one.
    pub(super) fn compute_digest(&self) -> u64 {
        let entries = self.known.values().map(|member| (member.short, &member.entry));
        let others = entries.map(|(short, entry)| digest_of(short, entry));
        let own = digest_of(super::short_id(&self.own.name), &self.own);
        others.fold(own, u64::wrapping_add)
    }
}

/// Returns the digest of an entry. The sum of such digests does not depend on their order.
fn digest_of(short: u64, entry: &Entry) -> u64 {
    let port = u64::from(entry.address.port());
    xxh3_64_with_seed(&port.to_le_bytes(), short ^ u64::from(entry.link_mbps))
}
