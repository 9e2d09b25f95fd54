//! All that a node knows of requests that crash servers.

use std::collections::VecDeque;
use std::net::SocketAddr;

use super::completed_requests::SHOWN_FOR;
use super::{
    CompletedRequests, Crash, CrashAnalyzer, Fingerprint, Outbox, Standing, Verdict, VerdictCache,
};
use crate::Millis;

/// The most verdicts that wait to be written to the platform's table.
const MOST_UNSAVED: usize = 64;

/// All that a node knows of requests that crash servers.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    list: VerdictCache,
    answered: CompletedRequests,
    outbox: Outbox,
    evidence: CrashAnalyzer,
    /// Verdicts of this node, as the keeper, that the platform's table does not hold yet.
    unsaved: VecDeque<Verdict>,
}

/// What came of a verdict that another node sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Whether it is news, to be passed on.
    pub is_news: bool,
    /// Whether this node has answered the request whole, which the keeper must be notified of.
    pub is_answered_here: bool,
}

impl Tracker {
    /// Notes that a server crashed under requests of this node. Those that were answered whole lately do
    /// not crash servers.
    pub fn record_crash(&mut self, now: Millis, mut crash: Crash) {
        crash.runs.retain(|run| !self.answered.is_known(now, run.fingerprint));
        if !crash.runs.is_empty() {
            self.outbox.push(now, crash);
        }
    }

    /// Takes out the reports that are to be sent to their keepers now. `find_keeper` gives the address for
    /// the short name of a service, or `None` where this node keeps the evidence itself.
    pub fn take_due(
        &mut self,
        now: Millis,
        find_keeper: impl Fn(u64) -> Option<SocketAddr>,
    ) -> Vec<(SocketAddr, Crash)> {
        let due = self.outbox.take_due(now, find_keeper);
        let mut to_send = Vec::new();
        for (keeper, crash) in due {
            match keeper {
                Some(keeper) => to_send.push((keeper, crash)),
                None => self.evidence.record(now, &crash, &self.answered),
            }
        }
        to_send
    }

    /// Takes a report, as the keeper.
    pub fn merge_report(&mut self, now: Millis, crash: &Crash) {
        self.evidence.record(now, crash, &self.answered);
    }

    /// Notes that a server answered a request whole at this node; returns the short name of its service
    /// where the keeper must be notified, once.
    pub fn record_completion(&mut self, now: Millis, fingerprint: Fingerprint) -> Option<u64> {
        self.answered.record(now, fingerprint);
        let verdict = self.list.get(now, fingerprint)?;
        if verdict.standing == Standing::Cleared {
            return None;
        }
        self.list.merge(now, clear(verdict));
        Some(verdict.service)
    }

    /// Takes the word of a node that a request was answered whole, as the keeper; returns the verdict
    /// that all nodes are notified of.
    pub fn merge_completion(&mut self, now: Millis, fingerprint: Fingerprint) -> Option<Verdict> {
        self.answered.record(now, fingerprint);
        if !self.evidence.record_completion(fingerprint) {
            return None;
        }
        let known = self.list.get(now, fingerprint)?;
        let cleared = clear(known);
        self.list.merge(now, cleared);
        if known.standing == Standing::Quarantined {
            self.save(cleared);
        }
        Some(cleared)
    }

    /// Keeps a verdict to be written to the platform's table. Without it the request would be judged
    /// anew after a restart of all nodes, so that the oldest are dropped where there are too many.
    pub fn save(&mut self, verdict: Verdict) {
        if self.unsaved.len() == MOST_UNSAVED {
            self.unsaved.pop_front();
        }
        self.unsaved.push_back(verdict);
    }

    /// Keeps all requests that are refused to be written to the platform's table again, which has lost rows.
    pub fn save_all(&mut self, now: Millis) {
        let refused: Vec<Verdict> = self.list.iter_quarantined(now).collect();
        refused.into_iter().for_each(|verdict| self.save(verdict));
    }

    /// Takes out the next verdict that is to be written to the platform's table.
    pub fn take_unsaved(&mut self) -> Option<Verdict> {
        self.unsaved.pop_front()
    }

    /// Decides, as the keeper, which requests are suspected or refused from now on.
    pub fn judge(&mut self, now: Millis) -> Vec<Verdict> {
        let mut verdicts = self.evidence.judge(now);
        verdicts.retain(|verdict| self.list.merge(now, *verdict));
        for verdict in &verdicts {
            if verdict.standing == Standing::Quarantined {
                self.save(*verdict);
            }
        }
        verdicts
    }

    /// Takes over a verdict of another node, or of the platform's table.
    pub fn merge(&mut self, now: Millis, verdict: Verdict) -> MergeOutcome {
        let is_answered_here = self.answered.is_known(now, verdict.fingerprint);
        let is_news = self.list.merge(now, verdict);
        if is_news {
            self.evidence.note_refused(now, &verdict);
        }
        let is_doubted = is_news && verdict.standing != Standing::Cleared;
        MergeOutcome { is_news, is_answered_here: is_answered_here && is_doubted }
    }

    /// Returns the milliseconds for which a request is still refused; `None` where it is served.
    pub fn get_quarantine_left(&self, now: Millis, fingerprint: Fingerprint) -> Option<Millis> {
        self.list.get_quarantine_left(now, fingerprint)
    }

    /// Lists some verdicts for other nodes; each turn gives the next ones.
    pub fn get_gossip_batch(&self, now: Millis, turn: usize) -> Vec<Verdict> {
        self.list.get_gossip_batch(now, turn)
    }

    /// Counts the requests that are refused.
    pub fn count_quarantined(&self, now: Millis) -> usize {
        self.list.count_quarantined(now)
    }
}

fn clear(verdict: Verdict) -> Verdict {
    Verdict { standing: Standing::Cleared, left: SHOWN_FOR, ..verdict }
}
