//! How the list of all nodes spreads among many.
//!
//! An aggregator hears of newcomers from all others, a few in each message. What it missed it gets from
//! another aggregator whose list is another one; a node of a group gets from its aggregator what was
//! added there since it last did. So a list of any length is complete after a few calls, also where
//! messages get lost.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::entry::Entry;
use super::{Member, Members, Role};
use crate::Millis;

/// The time between two calls for what other lists hold.
const ASKED_EACH: Millis = 400;
/// A node that was not heard of for this long is not passed on.
const LIVE_FOR: Millis = 10_000;

/// Stands for the list of nodes that a node knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterSummary {
    /// How many entries were added or have changed, since the start of the process.
    pub additions: u64,
    /// The same for equal lists.
    pub digest: u64,
}

/// An entry of another node's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// What the node says of itself.
    pub entry: Entry,
    /// Milliseconds since it was last heard, heard of or listed.
    pub age: Millis,
}

/// What was added to a list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterDelta {
    /// The list's count of additions with these.
    pub additions: u64,
    /// The added entries.
    pub entries: Vec<RosterEntry>,
}

/// Another node's list, and how much of it this node has got.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Copied {
    /// The list as the node described it last.
    pub described: RosterSummary,
    /// The additions that this node has got.
    pub taken: u64,
    /// When this node last asked for more.
    pub asked_at: Option<Millis>,
}

impl Members {
    /// Describes the list of this node.
    pub fn get_roster_summary(&self) -> RosterSummary {
        RosterSummary { additions: self.additions, digest: self.view.digest }
    }

    /// Takes over how another node describes its list.
    pub fn record_roster_summary(&mut self, from: &str, roster: RosterSummary) {
        let Some(member) = self.known.get_mut(from) else { return };
        if roster.additions < member.copied.taken {
            // The node has started again, and counts anew.
            member.copied.taken = 0;
        }
        member.copied.described = roster;
    }

    /// Picks a node whose list holds what this one lacks, with the additions that this node has got of
    /// it: its aggregator, or one of the other aggregators in turn.
    ///
    /// Each call returns another one, and none within 0.4 s of the last. Few nodes, which all hear
    /// each other, need none.
    pub fn pick_roster_source(&mut self, now: Millis) -> Option<(SocketAddr, u64)> {
        let is_early = self.roster_asked_at.is_some_and(|at| now < at + ASKED_EACH);
        if is_early || !self.view.is_grouped {
            return None;
        }
        let own_aggregator = self.get_own_aggregator().map(|entry| entry.name.clone());
        let (digest, within) = (self.view.digest, self.get_heard_within());
        let is_source = |member: &&mut Member| match &own_aggregator {
            Some(name) => member.entry.name == *name,
            None => member.role == Role::Aggregator && member.is_heard_within(now, within),
        };
        let sources = self.known.values_mut().filter(is_source);
        let lacking = sources.filter(|member| {
            let copied = member.copied;
            copied.described.additions > copied.taken && copied.described.digest != digest
        });
        let member = lacking.min_by_key(|member| member.copied.asked_at)?;
        member.copied.asked_at = Some(now);
        self.roster_asked_at = Some(now);
        Some((member.entry.address, member.copied.taken))
    }

    /// Lists what was added to this node's list after a count of additions.
    pub fn get_roster_delta(&self, now: Millis, after: u64) -> RosterDelta {
        let added = self.known.values().filter(|member| member.added_in > after);
        let known = added.map(|member| RosterEntry {
            entry: member.entry.clone(),
            age: now.saturating_sub(member.known_at),
        });
        let live = known.filter(|known| known.age < LIVE_FOR || self.is_lost(&known.entry));
        RosterDelta { additions: self.additions, entries: live.collect() }
    }

    /// Takes over what was added to the list of a node at an address.
    ///
    /// A node is known since the time at which the other one heard of it: one that is gone is not kept by
    /// nodes that go on to pass it on to each other.
    pub fn apply_roster_delta(&mut self, now: Millis, from: SocketAddr, additions: &RosterDelta) {
        let source = self.known.values_mut().find(|member| member.entry.address == from);
        if let Some(source) = source {
            source.copied.taken = additions.additions;
        }
        for RosterEntry { entry, age } in &additions.entries {
            let known_at = now.saturating_sub(*age);
            let before = self.known.get(&entry.name).map(|member| member.known_at);
            self.add(now, entry);
            if let Some(member) = self.known.get_mut(&entry.name) {
                member.known_at = before.unwrap_or(known_at).max(known_at);
            }
        }
    }

    /// Computes what stands for the known nodes and this one.
    pub(super) fn compute_digest(&self) -> u64 {
        let entries = self.known.values().map(|member| (member.short, &member.entry));
        let others = entries.map(|(short, entry)| digest_of(short, entry));
        let own = digest_of(super::short_id(&self.own.name), &self.own);
        others.fold(own, u64::wrapping_add)
    }
}

/// Returns what stands for an entry. Sums of these do not depend on the order.
fn digest_of(short: u64, entry: &Entry) -> u64 {
    let port = u64::from(entry.address.port());
    xxh3_64_with_seed(&port.to_le_bytes(), short ^ u64::from(entry.link_mbps))
}
