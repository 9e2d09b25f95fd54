//! The path from this node to the servers of one service.

use std::collections::BTreeSet;

use crate::Millis;

/// Servers that cannot be connected to before others are probed to find out whether the service is
/// cut off.
const MIN_UNREACHABLE_SERVERS: usize = 2;
/// Time between two rounds of probes while the service is cut off.
const PROBE_INTERVAL_MS: Millis = 500;
/// Consecutive rounds of probes that reach servers before requests are sent directly again.
/// Hysteresis keeps requests from alternating between ways while a cut comes and goes.
const REACHED_ROUNDS: u32 = 2;
/// The time since the last response for which open connections count as usable during a cut.
const KEPT_CONNECTION_TTL_MS: Millis = 1_000;
/// How long nothing is relayed after peers did not reach the servers either.
const NO_RELAY_PERIOD_MS: Millis = 1_000;
/// Time between two checks of a service that is silent.
const CHECK_INTERVAL_MS: Millis = 1_000;

/// The way that a request takes to its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Over a connection to the server.
    Direct,
    /// Over an open connection to the server, or through a peer if there is none.
    Kept,
    /// Through a peer.
    Relay,
}

/// The path from this node to the servers of one service. Servers are given by their short ids.
#[derive(Clone, Debug, Default)]
pub struct Path {
    /// Servers that could not be connected to since the last response.
    unreachable: BTreeSet<u64>,
    /// When a response was last received over a connection to a server.
    received_at: Option<Millis>,
    /// When servers were last checked because none had responded.
    checked_at: Option<Millis>,
    /// Whether a round of probes is in progress.
    is_probing: bool,
    cut: Option<Cut>,
}

/// What a round of probes has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The service is cut off from now on.
    CutOff,
    /// The cut has ended.
    Reached {
        /// The duration of the cut, in milliseconds.
        cut_for: Millis,
    },
    /// Nothing has changed.
    Unchanged,
}

/// A time in which the service is cut off.
#[derive(Clone, Debug)]
struct Cut {
    since: Millis,
    probe_at: Millis,
    reached_rounds: u32,
    /// Servers that peers could not connect to since the last relayed response.
    gone: BTreeSet<u64>,
    no_relay_until: Millis,
}

impl Path {
    /// Records a response that was received over a connection to a server.
    pub fn record_response(&mut self, now: Millis) {
        self.unreachable.clear();
        self.received_at = Some(now);
    }

    /// Records that a server, one of `ready` servers of the service, could not be connected to.
    /// Returns `true` if other servers must be probed now, because the service may be cut off.
    pub fn record_unreachable(&mut self, server: u64, ready: usize) -> bool {
        self.unreachable.insert(server);
        let is_suspected = self.unreachable.len() >= MIN_UNREACHABLE_SERVERS.min(ready.max(1));
        if !is_suspected || self.cut.is_some() || self.is_probing {
            return false;
        }
        self.is_probing = true;
        true
    }

    /// Records that a round of probes begins, if none is in progress.
    pub fn begin_probes(&mut self) -> bool {
        !std::mem::replace(&mut self.is_probing, true)
    }

    /// Returns `true` if a server could not be connected to since the last response.
    pub fn is_unreachable(&self, server: u64) -> bool {
        self.unreachable.contains(&server)
    }

    /// Records a round of probes, which may begin or end a cut. A cut begins if no server is reached,
    /// and ends once most are: some of the listed servers may be gone.
    pub fn record_probes(&mut self, now: Millis, reached: usize, probed: usize) -> ProbeResult {
        self.is_probing = false;
        let Some(cut) = &mut self.cut else {
            return self.record_check(now, reached > 0 || probed == 0);
        };
        let is_reached = reached * 2 > probed;
        cut.reached_rounds = if is_reached { cut.reached_rounds + 1 } else { 0 };
        if cut.reached_rounds < REACHED_ROUNDS {
            return ProbeResult::Unchanged;
        }
        let since = cut.since;
        self.cut = None;
        self.unreachable.clear();
        ProbeResult::Reached { cut_for: now.saturating_sub(since) }
    }

    fn record_check(&mut self, now: Millis, is_reached: bool) -> ProbeResult {
        self.unreachable.clear();
        if is_reached {
            return ProbeResult::Unchanged;
        }
        self.cut = Some(Cut {
            since: now,
            probe_at: now + PROBE_INTERVAL_MS,
            reached_rounds: 0,
            gone: BTreeSet::new(),
            no_relay_until: 0,
        });
        ProbeResult::CutOff
    }

    /// Records a response that a peer relayed.
    pub fn record_relayed(&mut self) {
        if let Some(cut) = &mut self.cut {
            cut.gone.clear();
        }
    }

    /// Records that a peer could not connect to a server, one of `ready` servers of the service. If
    /// that happens with several servers, nothing is relayed for some time.
    pub fn record_unreachable_for_peer(&mut self, now: Millis, server: u64, ready: usize) {
        let Some(cut) = &mut self.cut else { return };
        cut.gone.insert(server);
        if cut.gone.len() >= MIN_UNREACHABLE_SERVERS.min(ready.max(1)) {
            cut.gone.clear();
            cut.no_relay_until = now + NO_RELAY_PERIOD_MS;
        }
    }

    /// Returns the way that a request takes now.
    pub fn get_way(&self, now: Millis) -> Way {
        let Some(cut) = &self.cut else { return Way::Direct };
        if now < cut.no_relay_until {
            return Way::Direct;
        }
        let is_recent = |at: Millis| at > cut.since && now < at + KEPT_CONNECTION_TTL_MS;
        if self.received_at.is_some_and(is_recent) { Way::Kept } else { Way::Relay }
    }

    /// Returns `true` if this node is cut off from the servers.
    pub fn is_cut_off(&self) -> bool {
        self.cut.is_some()
    }

    /// Returns `true` if a response was received over a connection to a server since a time.
    pub fn has_response_since(&self, since: Millis) -> bool {
        self.received_at.is_some_and(|at| at >= since)
    }

    /// Returns `true` if servers should be checked, because none has responded since a request was
    /// sent at `sent_at`. Returns `true` only once per interval.
    pub fn begin_check(&mut self, now: Millis, sent_at: Millis) -> bool {
        let is_recent = self.checked_at.is_some_and(|at| now < at + CHECK_INTERVAL_MS);
        if self.cut.is_some() || is_recent || self.has_response_since(sent_at) {
            return false;
        }
        self.checked_at = Some(now);
        true
    }

    /// Returns `true` if the next round of probes is due.
    pub(super) fn is_probe_due(&self, now: Millis) -> bool {
        !self.is_probing && self.cut.as_ref().is_some_and(|cut| now >= cut.probe_at)
    }

    /// Schedules the next round of probes.
    pub(super) fn schedule_probe(&mut self, now: Millis) {
        self.is_probing = true;
        if let Some(cut) = &mut self.cut {
            cut.probe_at = now + PROBE_INTERVAL_MS;
        }
    }
}
