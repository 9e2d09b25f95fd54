//! The member list of a node.

use std::collections::BTreeMap;

use super::{Member, State};
use crate::Millis;
use crate::gossip::TransmitQueue;

/// Membership timeouts, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long a suspect may refute before it is declared dead.
    pub suspicion: Millis,
    /// How long a dead node is retained, so that late updates cannot revive it.
    pub dead_retention: Millis,
}

/// The nodes known to one node, including itself.
#[derive(Clone, Debug)]
pub struct List {
    local: Member,
    others: BTreeMap<String, Entry>,
    updates: TransmitQueue<Member>,
    probe_round: Vec<String>,
    timing: Timing,
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    since: Millis,
    missed_since: Option<Millis>,
}

impl List {
    /// Creates a list that contains only the local node.
    pub fn new(local: Member, timing: Timing) -> Self {
        let mut updates = TransmitQueue::new();
        updates.push(&local.name, local.clone());
        Self { local, others: BTreeMap::new(), updates, probe_round: Vec::new(), timing }
    }

    /// Returns the local node.
    pub fn get_local(&self) -> &Member {
        &self.local
    }

    /// Returns a node by name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        if name == self.local.name {
            return Some(&self.local);
        }
        self.others.get(name).map(|entry| &entry.member)
    }

    /// Returns an iterator expired all known nodes, the local node first.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.local).chain(self.others.values().map(|entry| &entry.member))
    }

    /// Returns an iterator expired the nodes that may be given work: alive ones, and suspects, which may
    /// still refute.
    pub fn iter_usable(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| matches!(member.state, State::Alive | State::Suspect))
    }

    /// Adds a node from a list that may be stale. Known nodes are never overridden.
    pub fn seed(&mut self, now: Millis, member: Member) {
        if member.name != self.local.name && !self.others.contains_key(&member.name) {
            self.apply(now, member);
        }
    }

    /// Merges an update and returns `true` if it was new.
    ///
    /// If the update declares the local node suspect or dead, the node refutes it with a higher
    /// incarnation.
    pub fn apply(&mut self, now: Millis, update: Member) -> bool {
        if update.name == self.local.name {
            return self.refute(&update);
        }
        let known = self.others.get(&update.name);
        if known.is_some_and(|entry| !update.overrides(&entry.member)) {
            return false;
        }
        self.updates.push(&update.name, update.clone());
        let entry = Entry { member: update, since: now, missed_since: None };
        self.others.insert(entry.member.name.clone(), entry);
        true
    }

    /// Returns the node to probe next. Each node is probed once per probe_round, in random order.
    pub fn next_probe(&mut self, random: &mut fastrand::Rng) -> Option<Member> {
        loop {
            if self.probe_round.is_empty() {
                self.probe_round =
                    self.iter_probe_targets().map(|member| member.name.clone()).collect();
                random.shuffle(&mut self.probe_round);
            }
            let name = self.probe_round.pop()?;
            let entry = self.others.get(&name);
            if let Some(entry) = entry.filter(|entry| entry.member.state != State::Dead) {
                return Some(entry.member.clone());
            }
        }
    }

    /// Returns up to `count` random nodes to probe `target` indirectly on behalf of the local node.
    pub fn pick_helpers(
        &self,
        target: &str,
        count: usize,
        random: &mut fastrand::Rng,
    ) -> Vec<Member> {
        let eligible =
            self.iter_probe_targets().filter(|m| m.name != target && m.state == State::Alive);
        let mut eligible: Vec<Member> = eligible.cloned().collect();
        random.shuffle(&mut eligible);
        eligible.truncate(count);
        eligible
    }

    /// Records that a node answered a probe.
    pub fn record_answer(&mut self, name: &str) {
        if let Some(entry) = self.others.get_mut(name) {
            entry.missed_since = None;
        }
    }

    /// Records that a node answered neither a direct nor an indirect probe.
    pub fn record_missed_probe(&mut self, now: Millis, name: &str) {
        let Some(entry) = self.others.get_mut(name) else { return };
        entry.missed_since.get_or_insert(now);
        if entry.member.state == State::Alive {
            let suspect = Member { state: State::Suspect, ..entry.member.clone() };
            self.apply(now, suspect);
            if let Some(entry) = self.others.get_mut(name) {
                entry.missed_since = Some(now);
            }
        }
    }

    /// Declares nodes dead whose suspicion timed out, forgets those dead for long, and returns the
    /// newly dead ones.
    pub fn expire(&mut self, now: Millis) -> Vec<Member> {
        let timing = self.timing;
        self.others
            .retain(|_, e| e.member.state != State::Dead || now < e.since + timing.dead_retention);
        let is_expired = |entry: &&Entry| match entry.member.state {
            State::Suspect => now >= entry.since + timing.suspicion,
            State::Leaving => entry.missed_since.is_some_and(|at| now >= at + timing.suspicion),
            State::Alive | State::Dead => false,
        };
        let expired = self.others.values().filter(is_expired);
        let dead: Vec<Member> =
            expired.map(|entry| Member { state: State::Dead, ..entry.member.clone() }).collect();
        for member in &dead {
            self.apply(now, member.clone());
        }
        dead
    }

    /// Announces that the local node is leaving.
    pub fn leave(&mut self) {
        self.local.state = State::Leaving;
        self.announce();
    }

    /// Takes up to `max` updates for one message.
    pub fn take_updates(&mut self, max: usize) -> Vec<Member> {
        let nodes = self.others.len() + 1;
        self.updates.take(max, nodes)
    }

    fn iter_probe_targets(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|entry| &entry.member).filter(|m| m.state != State::Dead)
    }

    fn refute(&mut self, update: &Member) -> bool {
        let is_own =
            update.incarnation == self.local.incarnation && update.state == self.local.state;
        let is_old = update.incarnation < self.local.incarnation;
        if is_own || is_old || update.state == State::Alive {
            return false;
        }
        self.local.incarnation = update.incarnation;
        self.announce();
        true
    }

    fn announce(&mut self) {
        self.local.incarnation += 1;
        self.updates.push(&self.local.name, self.local.clone());
    }
}
