//! The nodes that one node knows.

use std::collections::BTreeMap;

use super::{Member, State};
use crate::Millis;
use crate::gossip::TransmitQueue;

/// The times that membership goes by, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long a suspect has to refute before it counts as dead.
    pub suspicion: Millis,
    /// How long a dead node is remembered, so that late news cannot bring it back.
    pub dead_retention: Millis,
}

/// The nodes that one node knows, itself included.
#[derive(Clone, Debug)]
pub struct List {
    me: Member,
    others: BTreeMap<String, Entry>,
    news: TransmitQueue<Member>,
    round: Vec<String>,
    timing: Timing,
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    since: Millis,
    missed_since: Option<Millis>,
}

impl List {
    /// Starts a list with the node itself.
    pub fn new(me: Member, timing: Timing) -> Self {
        let mut news = TransmitQueue::new();
        news.push(&me.name, me.clone());
        Self { me, others: BTreeMap::new(), news, round: Vec::new(), timing }
    }

    /// Returns the node itself.
    pub fn get_local(&self) -> &Member {
        &self.me
    }

    /// Finds a node by name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        if name == self.me.name {
            return Some(&self.me);
        }
        self.others.get(name).map(|entry| &entry.member)
    }

    /// Walks all known nodes, the node itself first.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.me).chain(self.others.values().map(|entry| &entry.member))
    }

    /// Walks the nodes that may be given work: alive ones, and suspects that may yet refute.
    pub fn iter_usable(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| matches!(member.state, State::Alive | State::Suspect))
    }

    /// Adds a node from a list that lags; it never overrides what is known.
    pub fn seed(&mut self, now: Millis, member: Member) {
        if member.name != self.me.name && !self.others.contains_key(&member.name) {
            self.apply(now, member);
        }
    }

    /// Merges news; returns `true` if they were new.
    ///
    /// News of the node's own death or suspicion are refuted with a higher incarnation.
    pub fn apply(&mut self, now: Millis, news: Member) -> bool {
        if news.name == self.me.name {
            return self.refute(&news);
        }
        let known = self.others.get(&news.name);
        if known.is_some_and(|entry| !news.overrides(&entry.member)) {
            return false;
        }
        self.news.push(&news.name, news.clone());
        let entry = Entry { member: news, since: now, missed_since: None };
        self.others.insert(entry.member.name.clone(), entry);
        true
    }

    /// Picks the node to probe next; each is picked once in a round of random order.
    pub fn next_probe(&mut self, random: &mut fastrand::Rng) -> Option<Member> {
        loop {
            if self.round.is_empty() {
                self.round = self.probable().map(|member| member.name.clone()).collect();
                random.shuffle(&mut self.round);
            }
            let name = self.round.pop()?;
            let entry = self.others.get(&name);
            if let Some(entry) = entry.filter(|entry| entry.member.state != State::Dead) {
                return Some(entry.member.clone());
            }
        }
    }

    /// Picks up to `count` nodes to probe `target` on this node's behalf.
    pub fn pick_helpers(
        &self,
        target: &str,
        count: usize,
        random: &mut fastrand::Rng,
    ) -> Vec<Member> {
        let fit = self.probable().filter(|m| m.name != target && m.state == State::Alive);
        let mut fit: Vec<Member> = fit.cloned().collect();
        random.shuffle(&mut fit);
        fit.truncate(count);
        fit
    }

    /// Notes that a node answered.
    pub fn record_answer(&mut self, name: &str) {
        if let Some(entry) = self.others.get_mut(name) {
            entry.missed_since = None;
        }
    }

    /// Notes that a node answered neither directly nor through others.
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

    /// Declares silent nodes dead, forgets the long dead, and returns those newly dead.
    pub fn expire(&mut self, now: Millis) -> Vec<Member> {
        let timing = self.timing;
        self.others
            .retain(|_, e| e.member.state != State::Dead || now < e.since + timing.dead_retention);
        let is_over = |entry: &&Entry| match entry.member.state {
            State::Suspect => now >= entry.since + timing.suspicion,
            State::Leaving => entry.missed_since.is_some_and(|at| now >= at + timing.suspicion),
            State::Alive | State::Dead => false,
        };
        let over = self.others.values().filter(is_over);
        let dead: Vec<Member> =
            over.map(|entry| Member { state: State::Dead, ..entry.member.clone() }).collect();
        for member in &dead {
            self.apply(now, member.clone());
        }
        dead
    }

    /// Says that the node itself is leaving.
    pub fn leave(&mut self) {
        self.me.state = State::Leaving;
        self.announce();
    }

    /// Takes up to `most` pieces of news for one message.
    pub fn take_updates(&mut self, most: usize) -> Vec<Member> {
        let nodes = self.others.len() + 1;
        self.news.take(most, nodes)
    }

    fn probable(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|entry| &entry.member).filter(|m| m.state != State::Dead)
    }

    fn refute(&mut self, news: &Member) -> bool {
        let is_own = news.incarnation == self.me.incarnation && news.state == self.me.state;
        let is_old = news.incarnation < self.me.incarnation;
        if is_own || is_old || news.state == State::Alive {
            return false;
        }
        self.me.incarnation = news.incarnation;
        self.announce();
        true
    }

    fn announce(&mut self) {
        self.me.incarnation += 1;
        self.news.push(&self.me.name, self.me.clone());
    }
}
