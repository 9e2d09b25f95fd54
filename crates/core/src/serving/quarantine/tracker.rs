//! The quarantine state of a node.

use std::collections::VecDeque;
use std::net::SocketAddr;

use super::completed_requests::COMPLETION_TTL_MS;
use super::{
    CompletedRequests, Crash, CrashAnalyzer, Fingerprint, Outbox, PromptCrash, Report, Standing,
    Verdict, VerdictCache,
};
use crate::Millis;

/// The number of verdicts that wait to be written to the table service.
const UNSAVED_CAPACITY: usize = 64;

/// The time since the last completed prompt within which interruptions at servers that listen may be
/// crashes.
const SERVING_PERIOD_MS: Millis = 2_000;

/// Tracks the requests that crash servers, at one node.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    verdicts: VerdictCache,
    completed: CompletedRequests,
    /// Parts of prompts that were completed recently. There are far fewer of them than requests.
    completed_parts: CompletedRequests,
    /// When a prompt with parts was last completed.
    last_completed_at: Option<Millis>,
    outbox: Outbox,
    analyzer: CrashAnalyzer,
    /// Verdicts of this node, as the owner, that the table service does not have yet.
    unsaved: VecDeque<Verdict>,
}

/// The outcome of merging a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Whether the verdict is new, and is to be gossiped on.
    pub is_news: bool,
    /// Whether this node completed the request, so that the owner must be notified.
    pub is_answered_here: bool,
}

impl Tracker {
    /// Records that a server crashed while it ran requests of this node. Requests that were
    /// completed recently do not crash servers and are left out.
    pub fn record_crash(&mut self, now: Millis, mut crash: Crash) {
        crash.runs.retain(|run| !self.completed.is_known(now, run.fingerprint));
        if !crash.runs.is_empty() {
            self.outbox.push(now, Report::Requests(crash));
        }
    }

    /// Records that a server reset connections while it ran prompts of this node, and listens. Returns
    /// `true` if that may have been a crash because of a part.
    ///
    /// A server that restarts at once still serves other prompts. If none was completed recently, the
    /// servers or the network may be at fault.
    pub fn record_prompt_reset(&mut self, now: Millis, crash: PromptCrash) -> bool {
        let is_serving =
            self.last_completed_at.is_some_and(|at| now < at.saturating_add(SERVING_PERIOD_MS));
        is_serving && self.record_prompt_crash(now, crash)
    }

    /// Records that a server crashed while it ran prompts of this node. Parts of prompts that were
    /// completed recently do not crash servers and are left out. Returns `true` if there are others.
    pub fn record_prompt_crash(&mut self, now: Millis, mut crash: PromptCrash) -> bool {
        for prompt in &mut crash.prompts {
            prompt.parts.retain(|part| !self.completed_parts.is_known(now, *part));
        }
        crash.prompts.retain(|prompt| !prompt.parts.is_empty());
        let is_suspicious = !crash.prompts.is_empty();
        if is_suspicious {
            self.outbox.push(now, Report::Prompts(crash));
        }
        is_suspicious
    }

    /// Returns the reports to send to the owners of their services now. `find_owner` returns the
    /// owner's address for the short id of a service, or `None` if this node is the owner.
    pub fn take_due(
        &mut self,
        now: Millis,
        find_owner: impl Fn(u64) -> Option<SocketAddr>,
    ) -> Vec<(SocketAddr, Report)> {
        let due = self.outbox.take_due(now, find_owner);
        let mut to_send = Vec::new();
        for (owner, report) in due {
            match (owner, report) {
                (Some(owner), report) => to_send.push((owner, report)),
                (None, Report::Requests(crash)) => self.merge_report(now, &crash),
                (None, Report::Prompts(crash)) => self.merge_prompt_report(now, &crash),
            }
        }
        to_send
    }

    /// Merges a report, as the owner.
    pub fn merge_report(&mut self, now: Millis, crash: &Crash) {
        self.analyzer.record(now, crash, &self.completed);
    }

    /// Merges a report of prompts, as the owner.
    pub fn merge_prompt_report(&mut self, now: Millis, crash: &PromptCrash) {
        self.analyzer.record_prompts(now, crash, &self.completed_parts);
    }

    /// Records that a server completed a request of this node whose prompt has a part. Returns the
    /// short id of the service if the owner must be notified, which happens once.
    pub fn record_part_completion(&mut self, now: Millis, part: Fingerprint) -> Option<u64> {
        self.completed_parts.record(now, part);
        self.last_completed_at = Some(now);
        self.clear_verdict(now, part)
    }

    /// Records that a server completed a request of this node. Returns the short id of its service
    /// if the owner must be notified, which happens once.
    pub fn record_completion(&mut self, now: Millis, fingerprint: Fingerprint) -> Option<u64> {
        self.completed.record(now, fingerprint);
        self.clear_verdict(now, fingerprint)
    }

    /// Clears a request or part that was completed here. Returns the short id of the service if there
    /// was a verdict.
    fn clear_verdict(&mut self, now: Millis, fingerprint: Fingerprint) -> Option<u64> {
        let verdict = self.verdicts.get(now, fingerprint)?;
        if verdict.standing == Standing::Cleared {
            return None;
        }
        self.verdicts.merge(now, clear(verdict));
        Some(verdict.service)
    }

    /// Merges a node's notice that a request, or one with a part, was completed, as the owner. Returns
    /// the verdict to send to all nodes.
    pub fn merge_completion(&mut self, now: Millis, fingerprint: Fingerprint) -> Option<Verdict> {
        self.completed.record(now, fingerprint);
        self.completed_parts.record(now, fingerprint);
        if !self.analyzer.record_completion(fingerprint) {
            return None;
        }
        let known = self.verdicts.get(now, fingerprint)?;
        let cleared = clear(known);
        self.verdicts.merge(now, cleared);
        if known.standing == Standing::Quarantined {
            self.save(cleared);
        }
        Some(cleared)
    }

    /// Queues a verdict to be written to the table service. If there are too many, the oldest are
    /// dropped: such a request would be judged again after a restart of all nodes.
    pub fn save(&mut self, verdict: Verdict) {
        if self.unsaved.len() == UNSAVED_CAPACITY {
            self.unsaved.pop_front();
        }
        self.unsaved.push_back(verdict);
    }

    /// Queues all quarantined requests to be written again, to a table service that has lost rows.
    pub fn save_all(&mut self, now: Millis) {
        let quarantined: Vec<Verdict> = self.verdicts.iter_quarantined(now).collect();
        quarantined.into_iter().for_each(|verdict| self.save(verdict));
    }

    /// Takes the next verdicts to be written to the table service, at most `max`. The first ones come
    /// first.
    pub fn take_unsaved(&mut self, max: usize) -> Vec<Verdict> {
        let count = self.unsaved.len().min(max);
        self.unsaved.drain(..count).collect()
    }

    /// Returns `true` if verdicts wait to be written to the table service.
    pub fn has_unsaved(&self) -> bool {
        !self.unsaved.is_empty()
    }

    /// Decides, as the owner, which requests become suspected or quarantined.
    pub fn judge(&mut self, now: Millis) -> Vec<Verdict> {
        let mut verdicts = self.analyzer.judge(now);
        verdicts.retain(|verdict| self.verdicts.merge(now, *verdict));
        for verdict in &verdicts {
            if verdict.standing == Standing::Quarantined {
                self.save(*verdict);
            }
        }
        verdicts
    }

    /// Merges a verdict of another node or of the table service.
    pub fn merge(&mut self, now: Millis, verdict: Verdict) -> MergeOutcome {
        let is_answered_here = self.completed.is_known(now, verdict.fingerprint)
            || self.completed_parts.is_known(now, verdict.fingerprint);
        let is_news = self.verdicts.merge(now, verdict);
        if is_news {
            self.analyzer.record_quarantined(now, &verdict);
        }
        let is_accusation = is_news && verdict.standing != Standing::Cleared;
        MergeOutcome { is_news, is_answered_here: is_answered_here && is_accusation }
    }

    /// Returns the milliseconds for which a request is still quarantined, or `None` if it is
    /// served.
    pub fn get_quarantine_remaining(
        &self,
        now: Millis,
        fingerprint: Fingerprint,
    ) -> Option<Millis> {
        self.verdicts.get_quarantine_remaining(now, fingerprint)
    }

    /// Returns the next batch of verdicts to gossip.
    pub fn get_gossip_batch(&self, now: Millis, turn: usize) -> Vec<Verdict> {
        self.verdicts.get_gossip_batch(now, turn)
    }

    /// Returns the number of quarantined requests.
    pub fn count_quarantined(&self, now: Millis) -> usize {
        self.verdicts.count_quarantined(now)
    }
}

fn clear(verdict: Verdict) -> Verdict {
    Verdict { standing: Standing::Cleared, left: COMPLETION_TTL_MS, ..verdict }
}
