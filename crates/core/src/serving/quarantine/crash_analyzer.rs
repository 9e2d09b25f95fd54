//! Decides, at a service's owner, which request or part of prompts crashes servers.
//!
//! The analysis explains the crashes by as few requests as possible. A request with several
//! consecutive crashes counts as the cause if no other request ran at as many of the crashed
//! servers; the others are judged by the remaining crashes. A request that merely ran next to the
//! cause has fewer crashes than the cause, and none once the cause is known. The same holds for parts
//! that prompts share (`part_suspects`): a part that explains crashes clears the requests, and a
//! request is not the cause while a part of others explains its crashes as well.
//!
//! The alternative, counting three crashes for each request separately, at each node and at the
//! owner, is measured against this in `tests/serving/quarantine_trials.rs`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::crash_record::{Record, Run};
use super::part_suspects::{self, PartSuspect, PartSuspects};
use super::{
    CompletedRequests, Crash, Fingerprint, PromptCrash, QUARANTINE_PERIOD_MS, Standing, Verdict,
};
use crate::Millis;

/// Consecutive crashes of a request, with no other explanation, after which it is quarantined. One
/// may happen by chance, and two if a caller retries while a data centre is lost.
const QUARANTINE_THRESHOLD: u32 = 3;
/// The same for a request that was quarantined before: it is known to crash servers.
const REPEATED_QUARANTINE_THRESHOLD: u32 = 1;
/// Consecutive crashes after which all nodes must report whether they completed the request.
const SUSPICION_THRESHOLD: u32 = 2;
/// Consecutive crashes after which requests are quarantined together if they always ran at the same
/// servers, so that nothing shows which of them is the cause.
const GROUP_QUARANTINE_THRESHOLD: u32 = 5;
/// How long after a crash requests may first be quarantined for it. Meanwhile other nodes report
/// the crash, and nodes that completed a suspected request report that. Both messages are sent at once,
/// 40 ms after a connection broke, and cross at most three nodes and one region.
const SETTLE_PERIOD_MS: Millis = 300;
/// Reports of crashes of one server within this time are about the same crash, as seen by several
/// nodes: a server takes longer than this to start.
const DEDUP_WINDOW_MS: Millis = 1_000;
/// How long a crash is remembered: as long as a quarantine.
const EVIDENCE_TTL_MS: Millis = QUARANTINE_PERIOD_MS;
/// How long a suspicion is gossiped: several times the duration of a response.
const SUSPICION_TTL_MS: Millis = 60_000;
/// The number of crashes that are remembered: most of the servers at the size planned for in two
/// years.
const CRASH_CAPACITY: usize = 512;
/// The number of interrupted requests that are remembered, over all crashes: 0.3 MB.
const RUN_CAPACITY: usize = 8_192;

/// The number of requests that are remembered as quarantined: twice those that are quarantined at a
/// time.
const QUARANTINED_CAPACITY: usize = 512;

/// Collects the crashes of servers and finds the requests that cause them.
#[derive(Clone, Debug, Default)]
pub struct CrashAnalyzer {
    crashes: VecDeque<Record>,
    /// Requests that are or were quarantined, with the time until which this is remembered.
    quarantined: BTreeMap<Fingerprint, Millis>,
    suspected: BTreeSet<Fingerprint>,
    /// Whether there are crashes that were not judged yet.
    has_unjudged: bool,
}

/// A request that was running when servers crashed.
#[derive(Clone, Debug, Default)]
struct Suspect {
    service: u64,
    /// Indexes of its crashes in [`CrashAnalyzer::crashes`].
    indexes: Vec<usize>,
    /// Crashes, each of an attempt that was sent after the previous crash.
    consecutive_crashes: u32,
    last_crash: Option<Millis>,
}

impl CrashAnalyzer {
    /// Records a node's report, without the requests that were completed recently.
    pub fn record(&mut self, now: Millis, crash: &Crash, completed: &CompletedRequests) {
        let at = now.saturating_sub(crash.age);
        let runs: Vec<(Fingerprint, Millis)> = crash
            .runs
            .iter()
            .filter(|run| !completed.is_known(now, run.fingerprint))
            .map(|run| (run.fingerprint, at.saturating_sub(run.ran_for)))
            .collect();
        if runs.is_empty() {
            return;
        }
        let known = self.get_record(crash.service, crash.server, at);
        for (fingerprint, sent_at) in runs {
            known.runs.entry(fingerprint).or_insert(sent_at);
        }
        self.expire(now);
    }

    /// Records the parts in a node's report, without those of prompts that were completed recently.
    pub fn record_prompts(
        &mut self,
        now: Millis,
        crash: &PromptCrash,
        completed: &CompletedRequests,
    ) {
        let at = now.saturating_sub(crash.age);
        let mut parts: Vec<(Fingerprint, Run)> = Vec::new();
        for prompt in &crash.prompts {
            let run = Run { request: prompt.request, sent_at: at.saturating_sub(prompt.ran_for) };
            let suspected = prompt.parts.iter().filter(|part| !completed.is_known(now, **part));
            parts.extend(suspected.map(|part| (*part, run)));
        }
        if parts.is_empty() {
            return;
        }
        let known = self.get_record(crash.service, crash.server, at);
        for (part, run) in parts {
            let runs = known.parts.entry(part).or_default();
            if !runs.iter().any(|known| known.request == run.request) {
                runs.push(run);
            }
        }
        self.expire(now);
    }

    /// Returns the record of a crash, and creates it if it is new.
    fn get_record(&mut self, service: u64, server: u64, at: Millis) -> &mut Record {
        self.has_unjudged = true;
        let is_same = |old: &Record| old.server == server && old.at.abs_diff(at) < DEDUP_WINDOW_MS;
        let index = self.crashes.iter().position(is_same).unwrap_or_else(|| {
            let (runs, parts) = (BTreeMap::new(), BTreeMap::new());
            self.crashes.push_back(Record { service, server, at, runs, parts });
            self.crashes.len() - 1
        });
        &mut self.crashes[index]
    }

    /// Removes expired crashes, and the oldest ones above the capacity.
    fn expire(&mut self, now: Millis) {
        self.crashes.retain(|crash| now < crash.at + EVIDENCE_TTL_MS);
        self.quarantined.retain(|_, until| now < *until);
        let mut entries: usize = self.crashes.iter().map(Record::count_entries).sum();
        while self.crashes.len() > CRASH_CAPACITY || entries > RUN_CAPACITY {
            let Some(oldest) = self.crashes.pop_front() else { break };
            entries -= oldest.count_entries();
        }
        let crashes = &self.crashes;
        self.suspected.retain(|known| {
            let is_in =
                |crash: &Record| crash.runs.contains_key(known) || crash.parts.contains_key(known);
            crashes.iter().any(is_in)
        });
    }

    /// Records that a server completed a request, or one with a part. Returns `true` if it was
    /// suspected or quarantined.
    pub fn record_completion(&mut self, fingerprint: Fingerprint) -> bool {
        for crash in &mut self.crashes {
            crash.runs.remove(&fingerprint);
            crash.parts.remove(&fingerprint);
        }
        self.crashes.retain(|crash| !crash.is_empty());
        let was_suspected = self.suspected.remove(&fingerprint);
        self.quarantined.remove(&fingerprint).is_some() || was_suspected
    }

    /// Records that an earlier owner quarantined a request.
    pub fn record_quarantined(&mut self, now: Millis, verdict: &Verdict) {
        if verdict.standing == Standing::Quarantined {
            let until = now + verdict.left + EVIDENCE_TTL_MS;
            self.remember_quarantined(now, verdict.fingerprint, until);
        }
    }

    /// Remembers that a request is quarantined. Above the capacity, removes the one that expires
    /// first.
    fn remember_quarantined(&mut self, now: Millis, fingerprint: Fingerprint, until: Millis) {
        self.quarantined.retain(|_, until| now < *until);
        if self.quarantined.len() >= QUARANTINED_CAPACITY {
            let first = self.quarantined.iter().min_by_key(|(_, until)| **until);
            if let Some(first) = first.map(|(fingerprint, _)| *fingerprint) {
                self.quarantined.remove(&first);
            }
        }
        let known = self.quarantined.entry(fingerprint).or_insert(until);
        *known = until.max(*known);
    }

    /// Returns the requests and parts that become suspected or quarantined.
    pub fn judge(&mut self, now: Millis) -> Vec<Verdict> {
        if !self.has_unjudged {
            return Vec::new();
        }
        self.has_unjudged = self.crashes.iter().any(|crash| now < crash.at + SETTLE_PERIOD_MS);
        let mut verdicts = self.find_suspected(now);
        verdicts.extend(self.find_suspected_parts(now));
        // Each cause that is found leaves fewer crashes to explain.
        loop {
            let found = self.find_part_causes(now);
            if found.is_empty() {
                break;
            }
            verdicts.extend(found);
        }
        loop {
            let is_settled = |crash: &Record| now >= crash.at + SETTLE_PERIOD_MS;
            let suspects = self.collect_suspects(is_settled);
            let parts = self.collect_parts(is_settled);
            let found: Vec<Fingerprint> = suspects
                .keys()
                .filter(|fingerprint| self.is_cause(**fingerprint, &suspects, &parts))
                .copied()
                .collect();
            if found.is_empty() {
                return verdicts;
            }
            for fingerprint in found {
                self.quarantine(now, fingerprint);
                let (standing, left) = (Standing::Quarantined, QUARANTINE_PERIOD_MS);
                verdicts.push(make_verdict(fingerprint, &suspects, standing, left));
            }
        }
    }

    fn quarantine(&mut self, now: Millis, fingerprint: Fingerprint) {
        let until = now + QUARANTINE_PERIOD_MS + EVIDENCE_TTL_MS;
        self.remember_quarantined(now, fingerprint, until);
    }

    /// Returns the parts that become suspected.
    fn find_suspected_parts(&mut self, now: Millis) -> Vec<Verdict> {
        let suspects = self.collect_parts(|crash| now >= crash.at);
        let mut verdicts = Vec::new();
        for (part, suspect) in &suspects {
            if suspect.indexes.len() >= SUSPICION_THRESHOLD as usize && self.suspected.insert(*part)
            {
                verdicts.push(Verdict {
                    fingerprint: *part,
                    service: suspect.service,
                    standing: Standing::Suspected,
                    left: SUSPICION_TTL_MS,
                    servers_crashed: suspect.crashes,
                });
            }
        }
        verdicts
    }

    /// Quarantines the parts that are the causes of crashes.
    fn find_part_causes(&mut self, now: Millis) -> Vec<Verdict> {
        let suspects = self.collect_parts(|crash| now >= crash.at + SETTLE_PERIOD_MS);
        let is_cause = |(part, suspect): &(&Fingerprint, &PartSuspect)| {
            suspect.is_cause(**part, &suspects, self.quarantined.contains_key(part))
        };
        let causes: Vec<_> = suspects.iter().filter(is_cause).collect();
        causes.iter().for_each(|(part, _)| self.quarantine(now, **part));
        let verdicts = causes.into_iter().map(|(part, suspect)| Verdict {
            fingerprint: *part,
            service: suspect.service,
            standing: Standing::Quarantined,
            left: QUARANTINE_PERIOD_MS,
            servers_crashed: suspect.crashes,
        });
        verdicts.collect()
    }

    /// Collects the parts that ran at crashed servers, without the crashes that a quarantined part
    /// explains.
    fn collect_parts(&self, is_included: impl Fn(&Record) -> bool) -> PartSuspects {
        let included = self.crashes.iter().enumerate().filter(|(_, crash)| {
            is_included(crash) && !crash.parts.keys().any(|part| self.is_caused_by(*part, crash))
        });
        let mut ordered: Vec<(usize, &Record)> = included.collect();
        ordered.sort_by_key(|(_, crash)| crash.at);
        let is_explained = |request, crash: &Record| self.is_caused_by(request, crash);
        part_suspects::collect(ordered.into_iter(), is_explained)
    }

    /// Returns the requests that become suspected.
    fn find_suspected(&mut self, now: Millis) -> Vec<Verdict> {
        let suspects = self.collect_suspects(|crash| now >= crash.at);
        let mut verdicts = Vec::new();
        for (fingerprint, suspect) in &suspects {
            if suspect.consecutive_crashes >= SUSPICION_THRESHOLD
                && self.suspected.insert(*fingerprint)
            {
                let (standing, left) = (Standing::Suspected, SUSPICION_TTL_MS);
                verdicts.push(make_verdict(*fingerprint, &suspects, standing, left));
            }
        }
        verdicts
    }

    /// Collects the requests that ran at crashed servers, without the crashes that a quarantined
    /// request explains.
    fn collect_suspects(
        &self,
        is_included: impl Fn(&Record) -> bool,
    ) -> BTreeMap<Fingerprint, Suspect> {
        let mut indexes: Vec<usize> = (0..self.crashes.len()).collect();
        indexes.retain(|index| {
            let crash = &self.crashes[*index];
            let mut causes = crash.runs.keys().chain(crash.parts.keys());
            is_included(crash) && !causes.any(|cause| self.is_caused_by(*cause, crash))
        });
        indexes.sort_by_key(|index| self.crashes[*index].at);
        let mut suspects: BTreeMap<Fingerprint, Suspect> = BTreeMap::new();
        for index in indexes {
            let crash = &self.crashes[index];
            for (fingerprint, sent_at) in &crash.runs {
                let suspect = suspects.entry(*fingerprint).or_default();
                suspect.service = crash.service;
                suspect.indexes.push(index);
                // Requests that were sent before the last crash may all have been cut off by one
                // event, such as the loss of a data centre.
                if suspect.last_crash.is_none_or(|last| *sent_at >= last) {
                    suspect.consecutive_crashes += 1;
                    suspect.last_crash = Some(crash.at);
                }
            }
        }
        suspects
    }

    /// Returns `true` if a quarantined request caused a crash.
    fn is_caused_by(&self, fingerprint: Fingerprint, crash: &Record) -> bool {
        // A request is judged again if servers crash again after its quarantine.
        let until = self.quarantined.get(&fingerprint);
        until.is_some_and(|until| crash.at + EVIDENCE_TTL_MS < *until)
    }

    /// Returns `true` if a request counts as the cause of its crashes.
    fn is_cause(
        &self,
        fingerprint: Fingerprint,
        suspects: &BTreeMap<Fingerprint, Suspect>,
        parts: &PartSuspects,
    ) -> bool {
        let Some(suspect) = suspects.get(&fingerprint) else { return false };
        let was_quarantined = self.quarantined.contains_key(&fingerprint);
        let threshold =
            if was_quarantined { REPEATED_QUARANTINE_THRESHOLD } else { QUARANTINE_THRESHOLD };
        if suspect.consecutive_crashes < threshold {
            return false;
        }
        // Nothing shows yet whether a part of other requests is the cause.
        let is_rival = |part: &PartSuspect| {
            !part.requests.contains(&fingerprint)
                && suspect.indexes.iter().all(|index| part.indexes.contains(index))
        };
        let is_certain = suspect.consecutive_crashes >= GROUP_QUARANTINE_THRESHOLD;
        if !was_quarantined && !is_certain && parts.values().any(is_rival) {
            return false;
        }
        let concurrent = suspect.indexes.iter().flat_map(|index| self.crashes[*index].runs.keys());
        let others = concurrent.filter(|other| **other != fingerprint);
        let mut rivals = others.filter_map(|other| suspects.get(other));
        match was_quarantined || is_certain {
            true => !rivals.any(|rival| rival.explains_more_than(suspect)),
            false => !rivals.any(|rival| rival.indexes.len() >= suspect.indexes.len()),
        }
    }
}

impl Suspect {
    /// Returns `true` if this request was running in all crashes of the other one, and in more.
    fn explains_more_than(&self, other: &Self) -> bool {
        let runs_at = |index: &usize| self.indexes.contains(index);
        self.indexes.len() > other.indexes.len() && other.indexes.iter().all(runs_at)
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
        servers_crashed: suspect.map_or(0, |suspect| suspect.consecutive_crashes),
    }
}
