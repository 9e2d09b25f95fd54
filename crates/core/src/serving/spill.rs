//! Whether a request leaves its region.
//!
//! A request goes to a server of its own region as long as one of them serves it in time. Another
//! region costs round trips, bytes on a narrow link, and a prompt that is cached there too. A request
//! spills to it only where its own region is full or has no server, where the way there and back
//! leaves its objective in reach, and where the budget of the link allows it.
//!
//! Each node has a share of the budget, by how many nodes its region has. The budget counts the
//! requests' own bytes, there and back; what nodes exchange among themselves has the rest of the link.
//!
//! Called once for each choice; a deployment of one region never gets past [`Offer::get_cause`].

use std::collections::BTreeMap;

use super::choice::{Candidate, Choice, Criteria};
use super::topology::Topology;
use crate::Millis;
use crate::bucket::TokenBucket;

/// Round trips from the choice of a far server to the first byte of its answer: one for a new
/// connection and one for the request. Few requests cross, so that an idle connection is often gone.
const TRIPS_OF_REQUEST: u64 = 2;
/// Round trips for the question for the loads of far servers.
const TRIPS_OF_QUESTION: u64 = 1;
/// How long no loads are requested from a region that did not answer, in milliseconds. A request that
/// waits for an answer that does not come may miss its objective, and a region that is cut off stays
/// so for seconds.
const SILENT_FOR: Millis = 1_000;
/// `Retry-After` where there is no budget at all, in milliseconds: it does not recover, and callers
/// come back for servers of their own region, after about what a list takes to reach all nodes.
const NO_BUDGET_RETRY_AFTER: Millis = 700;
/// Bytes in a megabit.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// The name of the region of all data centres that the settings do not name.
const UNKNOWN_REGION: &str = "unknown";

/// What the servers of one region can do for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// A server that is neither full nor ejected.
    Free,
    /// The best server is full: the request would wait for a slot.
    Full,
    /// All servers are ejected.
    Ejected,
    /// All servers would miss the objective; the time after which to retry.
    Busy(Millis),
    /// There is no server.
    None,
}

/// Why a request leaves its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The servers of its own region are full.
    Full,
    /// There is none in its own region, or all are ejected.
    NoServer,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// To the server of its own region.
    Local,
    /// To the server of the other region.
    Remote,
    /// Nowhere; the time after which to retry.
    Busy(Millis),
    /// Nowhere: there is no server.
    None,
}

impl Offer {
    /// Returns what a choice among some candidates offers.
    pub fn of(choice: &Choice<'_>, candidates: &[Candidate<'_>]) -> Self {
        let server = match choice {
            Choice::Server(server) => *server,
            Choice::Busy(wait) => return Self::Busy(*wait),
            Choice::None => return Self::None,
        };
        let chosen = candidates.iter().find(|candidate| candidate.server.id == server.id);
        match chosen {
            Some(candidate) if candidate.is_ejected => Self::Ejected,
            Some(candidate) if candidate.is_full() => Self::Full,
            _ => Self::Free,
        }
    }

    /// Returns why the request may leave the region that offers this; `None` where it stays.
    pub fn get_cause(self) -> Option<Cause> {
        match self {
            Self::Free => None,
            Self::Full | Self::Busy(_) => Some(Cause::Full),
            Self::Ejected | Self::None => Some(Cause::NoServer),
        }
    }
}

impl Cause {
    /// Names the cause in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::NoServer => "no_server",
        }
    }
}

/// The way to another region, for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemotePath {
    /// How long the caller has waited.
    pub waited: Millis,
    /// The time until the caller gives up.
    pub left: Millis,
    /// The smoothed round trip.
    pub round_trip: Millis,
    /// How long the request's body takes at the rate of the budget.
    pub transfer: Millis,
    /// Whether the loads there are requested before the choice.
    pub is_load_requested: bool,
}

impl RemotePath {
    /// Returns the time from now until the first byte of an answer, without the server's own.
    pub fn get_travel_time(&self) -> Millis {
        let question = if self.is_load_requested { TRIPS_OF_QUESTION } else { 0 };
        let trips = (TRIPS_OF_REQUEST + question) * self.round_trip;
        trips.saturating_add(self.transfer)
    }

    /// Returns `true` if an idle server of the other region serves the request in time.
    ///
    /// Where the own region is only full, that is within the objective: a retry may find room at home.
    /// Where it has no server, it is before the caller gives up: a late answer is better than none.
    pub fn is_in_time(&self, criteria: &Criteria, cause: Cause) -> bool {
        let reading = criteria.estimate_idle().unwrap_or(0);
        let from_now = self.get_travel_time().saturating_add(reading);
        let is_within = from_now < self.left;
        match (cause, criteria.ttft_objective) {
            (Cause::NoServer, _) | (_, 0) => is_within,
            (Cause::Full, objective) => {
                is_within && self.waited.saturating_add(from_now) <= objective
            }
        }
    }

    /// Returns the criteria for the choice there, with the objective less the time on the way.
    ///
    /// An objective that cannot be met any more stays as it is: the request is late, and is refused
    /// only where servers are busy for longer than that.
    pub fn adjust_criteria(&self, criteria: &Criteria) -> Criteria {
        let used = self.waited.saturating_add(self.get_travel_time());
        let left = criteria.ttft_objective.saturating_sub(used);
        let ttft_objective = if left == 0 { criteria.ttft_objective } else { left };
        Criteria { ttft_objective, ..*criteria }
    }
}

/// Settles where a request goes whose own region offers `near`, and another one `far`.
///
/// A far server that is full or ejected is no better than one that is near.
pub fn pick_destination(near: Offer, far: Offer) -> Destination {
    match (near, far) {
        (Offer::Free | Offer::Full | Offer::Ejected, Offer::Full | Offer::Ejected)
        | (Offer::Free | Offer::Full | Offer::Ejected, Offer::Busy(_) | Offer::None)
        | (Offer::Free, Offer::Free) => Destination::Local,
        (_, Offer::Free) => Destination::Remote,
        (Offer::Busy(near), Offer::Busy(far)) => Destination::Busy(near.min(far)),
        (Offer::Busy(wait), _) | (Offer::None, Offer::Busy(wait)) => Destination::Busy(wait),
        (Offer::None, Offer::Full | Offer::Ejected) => Destination::Remote,
        (Offer::None, Offer::None) => Destination::None,
    }
}

/// What a node may send and get over the links to other regions.
#[derive(Clone, Debug)]
pub struct LinkBudgets {
    /// Bytes a second of all nodes of the region together.
    rate: f64,
    by_region: BTreeMap<String, Link>,
}

#[derive(Clone, Copy, Debug)]
struct Link {
    bytes: TokenBucket,
    silent_until: Millis,
}

impl LinkBudgets {
    /// Makes full budgets of so many megabits a second for all nodes of the region together.
    pub fn new(spill_mbps: f64) -> Self {
        Self { rate: spill_mbps * BYTES_PER_MBIT, by_region: BTreeMap::new() }
    }

    /// Checks whether the budget lets a request cross to a region; `nodes` is the number of nodes of
    /// this node's own region, which share the budget.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds until the budget has recovered.
    pub fn check(&mut self, now: Millis, region: &str, nodes: usize) -> Result<(), Millis> {
        if self.rate <= 0.0 {
            return Err(NO_BUDGET_RETRY_AFTER);
        }
        let share = self.rate / nodes.max(1) as f64;
        let link = self.open_link(now, region);
        link.bytes.set_limits(now, share, share);
        if link.bytes.available > 0.0 {
            return Ok(());
        }
        let lacking = -link.bytes.available;
        Err(((lacking / share * 1_000.0).ceil() as Millis).saturating_add(1))
    }

    /// Counts bytes of a request or its answer that crossed to or from a region. An answer is paid
    /// for as it comes: the budget may fall below zero, and recovers before anything more crosses.
    pub fn count(&mut self, now: Millis, region: &str, bytes: usize) {
        self.open_link(now, region).bytes.available -= bytes as f64;
    }

    /// Returns how long a body takes at the rate of the whole budget; nothing without a budget, where
    /// [`check`](Self::check) refuses.
    pub fn get_transfer_time(&self, bytes: usize) -> Millis {
        if self.rate <= 0.0 {
            return 0;
        }
        (bytes as f64 / self.rate * 1_000.0) as Millis
    }

    /// Notes whether a region answered the question for the loads of its servers.
    pub fn record_reply(&mut self, now: Millis, region: &str, is_answered: bool) {
        let silent_until = if is_answered { 0 } else { now + SILENT_FOR };
        self.open_link(now, region).silent_until = silent_until;
    }

    /// Returns `true` if a region did not answer the latest question, a short time ago.
    pub fn is_unresponsive(&self, now: Millis, region: &str) -> bool {
        self.by_region.get(region).is_some_and(|link| now < link.silent_until)
    }

    /// Returns the link to a region, new with a full budget where it was not used yet.
    fn open_link(&mut self, now: Millis, region: &str) -> &mut Link {
        let rate = self.rate;
        let full = || Link { bytes: TokenBucket::new(now, rate), silent_until: 0 };
        self.by_region.entry(region.to_owned()).or_insert_with(full)
    }
}

/// Returns the region of a data centre, for a deployment of more than one.
pub fn get_region<'a>(topology: &'a Topology, data_centre: &str) -> &'a str {
    topology.get_region(data_centre).unwrap_or(UNKNOWN_REGION)
}

/// Lists the regions other than a node's own, the nearest first and the unknown region last.
pub fn list_remote_regions(
    topology: &Topology,
    mut get_round_trip: impl FnMut(&str) -> Millis,
) -> Vec<&str> {
    let regions = topology.list_regions().into_iter();
    let mut far: Vec<&str> =
        regions.filter(|region| *region != topology.get_own_region()).collect();
    far.sort_by_key(|region| get_round_trip(region));
    far.push(UNKNOWN_REGION);
    far
}
