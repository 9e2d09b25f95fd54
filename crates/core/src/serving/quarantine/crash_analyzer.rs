//! Decides, at the keeper, which request crashes servers.
//!
//! Crashes of servers are explained by as few requests as possible. A request under which servers crashed
//! one after the other is taken for the cause where no other one ran at as many of the servers that crashed;
//! the others that ran there are judged by the crashes that are left. A request that ran beside the cause has
//! fewer crashes than that one, and none once the cause is known.
//!
//! Weighed and measured against counting three crashes for each request by itself, at each node and at the
//! keeper (`tests/serving/quarantine_trials.rs`).

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{CompletedRequests, Crash, Fingerprint, QUARANTINE_PERIOD, Standing, Verdict};
use crate::Millis;

/// Crashes in a row under a request that nothing else explains, before it is refused. One may happen by
/// chance, and two where a caller comes back while a data centre is lost.
const CRASHES_TO_REFUSE: u32 = 3;
/// The same of a request that was refused before: it has shown what it does.
const CRASHES_TO_REFUSE_AGAIN: u32 = 1;
/// Crashes in a row after which all nodes must report whether they have answered the request whole.
const CRASHES_TO_SUSPECT: u32 = 2;
/// Crashes in a row after which requests are refused that ran together at each of these servers, so that
/// nothing shows which of them is the cause.
const CRASHES_TO_REFUSE_ALL: u32 = 5;
/// The time after a crash before anyone is refused for it, in milliseconds. Other nodes report
/// it meanwhile, and those that have served a suspected request say so: both are sent at once, 40 ms
/// after a connection broke off, and cross three nodes and a region at the most.
const SETTLES_AFTER: Millis = 300;
/// Crashes of one server within this time are one crash, of which several nodes report: a server takes
/// longer to start.
const SAME_CRASH: Millis = 1_000;
/// How long a crash is remembered, in milliseconds: as long as a request is refused.
const REMEMBERED_FOR: Millis = QUARANTINE_PERIOD;
/// How long a suspicion is repeated, in milliseconds: some times what an answer takes.
const SUSPICION_TOLD_FOR: Millis = 60_000;
/// The most crashes that are remembered, which is most of the servers of the two-year size.
const MOST_CRASHES: usize = 512;
/// The most runs that are remembered, over all crashes: 0.3 MB.
const MOST_RUNS: usize = 8_192;

/// The most requests that are remembered as refused: twice those that are refused at a time.
const MOST_REFUSED: usize = 512;

/// What the keeper knows of servers that crashed.
#[derive(Clone, Debug, Default)]
pub struct CrashAnalyzer {
    crashes: VecDeque<Case>,
    /// Requests that are or were refused, with the time until which that is remembered.
    refused: BTreeMap<Fingerprint, Millis>,
    suspected: BTreeSet<Fingerprint>,
    /// Whether crashes were added that nobody was judged for.
    is_open: bool,
}

/// A server that crashed.
#[derive(Clone, Debug)]
struct Case {
    service: u64,
    server: u64,
    at: Millis,
    /// The requests that were cut off there, with the times at which they were sent.
    runs: BTreeMap<Fingerprint, Millis>,
}

/// A request under which servers crashed.
#[derive(Clone, Debug, Default)]
struct Suspect {
    service: u64,
    /// The places of the crashes in [`Evidence::crashes`].
    places: Vec<usize>,
    /// Crashes of which each came to a run that was sent after the one before.
    crashes_in_row: u32,
    last_crash: Option<Millis>,
}

impl CrashAnalyzer {
    /// Takes a report of a node, without the requests that were answered whole lately.
    pub fn record(&mut self, now: Millis, crash: &Crash, answered: &CompletedRequests) {
        let at = now.saturating_sub(crash.age);
        let runs: Vec<(Fingerprint, Millis)> = crash
            .runs
            .iter()
            .filter(|run| !answered.is_known(now, run.fingerprint))
            .map(|run| (run.fingerprint, at.saturating_sub(run.ran_for)))
            .collect();
        if runs.is_empty() {
            return;
        }
        self.is_open = true;
        let is_same =
            |known: &&mut Case| known.server == crash.server && known.at.abs_diff(at) < SAME_CRASH;
        match self.crashes.iter_mut().find(is_same) {
            Some(known) => runs.into_iter().for_each(|(fingerprint, sent_at)| {
                known.runs.entry(fingerprint).or_insert(sent_at);
            }),
            None => self.crashes.push_back(Case {
                service: crash.service,
                server: crash.server,
                at,
                runs: runs.into_iter().collect(),
            }),
        }
        self.forget(now);
    }

    /// Forgets what is old, and the oldest crashes where there are too many.
    fn forget(&mut self, now: Millis) {
        self.crashes.retain(|crash| now < crash.at + REMEMBERED_FOR);
        self.refused.retain(|_, until| now < *until);
        let mut runs: usize = self.crashes.iter().map(|crash| crash.runs.len()).sum();
        while self.crashes.len() > MOST_CRASHES || runs > MOST_RUNS {
            let Some(oldest) = self.crashes.pop_front() else { break };
            runs -= oldest.runs.len();
        }
        let crashes = &self.crashes;
        self.suspected.retain(|known| crashes.iter().any(|crash| crash.runs.contains_key(known)));
    }

    /// Notes that a server answered a request whole; returns `true` if the request was suspected or is
    /// refused.
    pub fn record_completion(&mut self, fingerprint: Fingerprint) -> bool {
        for crash in &mut self.crashes {
            crash.runs.remove(&fingerprint);
        }
        self.crashes.retain(|crash| !crash.runs.is_empty());
        let was_suspected = self.suspected.remove(&fingerprint);
        self.refused.remove(&fingerprint).is_some() || was_suspected
    }

    /// Notes that a request is refused, by the word of an earlier keeper.
    pub fn note_refused(&mut self, now: Millis, verdict: &Verdict) {
        if verdict.standing == Standing::Quarantined {
            let until = now + verdict.left + REMEMBERED_FOR;
            self.remember_refused(now, verdict.fingerprint, until);
        }
    }

    /// Remembers that a request is refused; forgets the one that ends first where there are too many.
    fn remember_refused(&mut self, now: Millis, fingerprint: Fingerprint, until: Millis) {
        self.refused.retain(|_, until| now < *until);
        if self.refused.len() >= MOST_REFUSED {
            let first = self.refused.iter().min_by_key(|(_, until)| **until);
            if let Some(first) = first.map(|(fingerprint, _)| *fingerprint) {
                self.refused.remove(&first);
            }
        }
        let known = self.refused.entry(fingerprint).or_insert(until);
        *known = until.max(*known);
    }

    /// Decides which requests are suspected or refused from now on.
    pub fn judge(&mut self, now: Millis) -> Vec<Verdict> {
        if !self.is_open {
            return Vec::new();
        }
        self.is_open = self.crashes.iter().any(|crash| now < crash.at + SETTLES_AFTER);
        let mut verdicts = self.suspect(now);
        // Each request that is found to be a cause leaves fewer crashes to be explained.
        loop {
            let suspects = self.gather(|crash| now >= crash.at + SETTLES_AFTER);
            let found: Vec<Fingerprint> = suspects
                .keys()
                .filter(|fingerprint| self.is_cause(**fingerprint, &suspects))
                .copied()
                .collect();
            if found.is_empty() {
                return verdicts;
            }
            for fingerprint in found {
                self.remember_refused(now, fingerprint, now + QUARANTINE_PERIOD + REMEMBERED_FOR);
                let (standing, left) = (Standing::Quarantined, QUARANTINE_PERIOD);
                verdicts.push(make_verdict(fingerprint, &suspects, standing, left));
            }
        }
    }

    /// Decides which requests are suspected that were not before.
    fn suspect(&mut self, now: Millis) -> Vec<Verdict> {
        let suspects = self.gather(|crash| now >= crash.at);
        let mut verdicts = Vec::new();
        for (fingerprint, suspect) in &suspects {
            if suspect.crashes_in_row >= CRASHES_TO_SUSPECT && self.suspected.insert(*fingerprint) {
                let (standing, left) = (Standing::Suspected, SUSPICION_TOLD_FOR);
                verdicts.push(make_verdict(*fingerprint, &suspects, standing, left));
            }
        }
        verdicts
    }

    /// Gathers the requests that ran where servers crashed, without crashes that a refused one explains.
    fn gather(&self, is_taken: impl Fn(&Case) -> bool) -> BTreeMap<Fingerprint, Suspect> {
        let mut places: Vec<usize> = (0..self.crashes.len()).collect();
        places.retain(|place| {
            let crash = &self.crashes[*place];
            is_taken(crash) && !crash.runs.keys().any(|run| self.is_explained_by(*run, crash))
        });
        places.sort_by_key(|place| self.crashes[*place].at);
        let mut suspects: BTreeMap<Fingerprint, Suspect> = BTreeMap::new();
        for place in places {
            let crash = &self.crashes[place];
            for (fingerprint, sent_at) in &crash.runs {
                let suspect = suspects.entry(*fingerprint).or_default();
                suspect.service = crash.service;
                suspect.places.push(place);
                // Runs that were sent before the last crash may all have been cut off by one cause, such as the
                // loss of a data centre.
                if suspect.last_crash.is_none_or(|last| *sent_at >= last) {
                    suspect.crashes_in_row += 1;
                    suspect.last_crash = Some(crash.at);
                }
            }
        }
        suspects
    }

    /// Returns `true` if a request that is refused ran at a server when it crashed.
    fn is_explained_by(&self, fingerprint: Fingerprint, crash: &Case) -> bool {
        // A request whose refusal has ended, and under which a server crashes again, is judged anew.
        let until = self.refused.get(&fingerprint);
        until.is_some_and(|until| crash.at + REMEMBERED_FOR < *until)
    }

    /// Returns `true` if a request is taken for the cause of the crashes under it.
    fn is_cause(
        &self,
        fingerprint: Fingerprint,
        suspects: &BTreeMap<Fingerprint, Suspect>,
    ) -> bool {
        let Some(suspect) = suspects.get(&fingerprint) else { return false };
        let was_refused = self.refused.contains_key(&fingerprint);
        let needed = if was_refused { CRASHES_TO_REFUSE_AGAIN } else { CRASHES_TO_REFUSE };
        if suspect.crashes_in_row < needed {
            return false;
        }
        let beside = suspect.places.iter().flat_map(|place| self.crashes[*place].runs.keys());
        let others = beside.filter(|other| **other != fingerprint);
        let mut rivals = others.filter_map(|other| suspects.get(other));
        match was_refused || suspect.crashes_in_row >= CRASHES_TO_REFUSE_ALL {
            true => !rivals.any(|rival| rival.explains_more_than(suspect)),
            false => !rivals.any(|rival| rival.places.len() >= suspect.places.len()),
        }
    }
}

impl Suspect {
    /// Returns `true` if this request ran wherever the other one did when servers crashed, and at more.
    fn explains_more_than(&self, other: &Self) -> bool {
        let runs_at = |place: &usize| self.places.contains(place);
        self.places.len() > other.places.len() && other.places.iter().all(runs_at)
    }
}

fn make_verdict(
    fingerprint: Fingerprint,
    suspects: &BTreeMap<Fingerprint, Suspect>,
    standing: Standing,
    left: Millis,
) -> Verdict {
    let suspect = suspects.get(&fingerprint);
    Verdict {
        fingerprint,
        service: suspect.map_or(0, |suspect| suspect.service),
        standing,
        left,
        servers_crashed: suspect.map_or(0, |suspect| suspect.crashes_in_row),
    }
}
