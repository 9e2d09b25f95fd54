//! Decides whether a request spills to another region.
//!
//! A request goes to a server of its own region as long as one of them serves it in time. Another
//! region costs round trips, bytes on a narrow link, and a second copy of the prompt in a cache. A
//! request spills only if its own region is full or has no server, if it can still meet its
//! objective after the round trips, and if the link's budget allows it.
//!
//! Each node has an equal share of its region's budget. The budget covers the requests and
//! responses themselves, in both directions; messages between nodes use the rest of the link.
//!
//! A deployment with a single region never gets past [`Offer::get_cause`].

use std::collections::BTreeMap;

use super::choice::{Candidate, Choice, Criteria};
use super::topology::Topology;
use crate::Millis;
use crate::bucket::TokenBucket;

/// Round trips from the choice of a remote server to the first byte of its response: one for a new
/// connection and one for the request. Few requests spill, so an idle connection is often closed by
/// then.
const REQUEST_ROUND_TRIPS: u64 = 2;
/// Round trips of the query for the loads of remote servers.
const QUERY_ROUND_TRIPS: u64 = 1;
/// How long a region that did not respond is not queried. A request that waits for a missing
/// response may miss its objective, and a partitioned region stays unreachable for seconds.
const UNRESPONSIVE_PERIOD_MS: Millis = 1_000;
/// The `Retry-After` if there is no budget at all. The budget does not recover, so callers retry to
/// find servers of their own region: a list of servers takes about this long to reach all nodes.
const NO_BUDGET_RETRY_AFTER_MS: Millis = 700;
/// Bytes in a megabit.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// The region of all data centres that the settings do not name.
const UNKNOWN_REGION: &str = "unknown";

/// What the servers of a region offer a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// A server that is neither full nor ejected.
    Free,
    /// The best server is full: the request would wait for a slot.
    Full,
    /// All servers are ejected.
    Ejected,
    /// Every server would miss the objective; retry after this time in milliseconds.
    Busy(Millis),
    /// No server is available.
    None,
}

/// Why a request leaves its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The servers of its own region are full.
    Full,
    /// Its own region has no server, or all of them are ejected.
    NoServer,
}

/// The region that serves a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// The request's own region.
    Local,
    /// The other region.
    Remote,
    /// None of them; retry after this time in milliseconds.
    Busy(Millis),
    /// None of them: no server is available.
    None,
}

impl Offer {
    /// Returns the offer of a region, given the choice among its candidates.
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

    /// Returns why a request may leave the region with this offer, or `None` if it stays.
    pub fn get_cause(self) -> Option<Cause> {
        match self {
            Self::Free => None,
            Self::Full | Self::Busy(_) => Some(Cause::Full),
            Self::Ejected | Self::None => Some(Cause::NoServer),
        }
    }
}

impl Cause {
    /// Returns the name of the cause in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::NoServer => "no_server",
        }
    }
}

/// The path of a request to another region. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemotePath {
    /// The time that the caller has waited.
    pub waited: Millis,
    /// The time until the caller gives up.
    pub time_remaining: Millis,
    /// The smoothed round trip.
    pub round_trip: Millis,
    /// The time that the request's body takes at the rate of the budget.
    pub transfer: Millis,
    /// Whether the loads of the remote servers are queried before the choice.
    pub is_load_requested: bool,
}

impl RemotePath {
    /// Returns the time from now to the first byte of the response, without the server's own
    /// processing time.
    pub fn get_travel_time(&self) -> Millis {
        let query = if self.is_load_requested { QUERY_ROUND_TRIPS } else { 0 };
        let trips = (REQUEST_ROUND_TRIPS + query) * self.round_trip;
        trips.saturating_add(self.transfer)
    }

    /// Returns `true` if an idle server of the other region would serve the request in time.
    ///
    /// If the own region is full, this means within the objective, since a retry may find a free
    /// server in the own region. If it has no server, this means before the caller gives up: a late response
    /// is better than none.
    pub fn is_in_time(&self, criteria: &Criteria, cause: Cause) -> bool {
        let reading = criteria.estimate_idle().unwrap_or(0);
        let from_now = self.get_travel_time().saturating_add(reading);
        let is_within = from_now < self.time_remaining;
        match (cause, criteria.ttft_objective) {
            (Cause::NoServer, _) | (_, 0) => is_within,
            (Cause::Full, objective) => {
                is_within && self.waited.saturating_add(from_now) <= objective
            }
        }
    }

    /// Returns the criteria for the choice in the other region, with the travel time taken off the
    /// objective.
    ///
    /// An objective that can no longer be met stays as it is: the request is late, and is refused
    /// only if servers are busy for longer than the objective.
    pub fn adjust_criteria(&self, criteria: &Criteria) -> Criteria {
        let used = self.waited.saturating_add(self.get_travel_time());
        let remaining = criteria.ttft_objective.saturating_sub(used);
        let ttft_objective = if remaining == 0 { criteria.ttft_objective } else { remaining };
        Criteria { ttft_objective, ..*criteria }
    }
}

/// Picks the region of a request, given the offers of its own region and of another one.
///
/// A remote server that is full or ejected is no better than a local one.
pub fn pick_destination(local: Offer, remote: Offer) -> Destination {
    match (local, remote) {
        (Offer::Free | Offer::Full | Offer::Ejected, Offer::Full | Offer::Ejected)
        | (Offer::Free | Offer::Full | Offer::Ejected, Offer::Busy(_) | Offer::None)
        | (Offer::Free, Offer::Free) => Destination::Local,
        (_, Offer::Free) => Destination::Remote,
        (Offer::Busy(local), Offer::Busy(remote)) => Destination::Busy(local.min(remote)),
        (Offer::Busy(wait), _) | (Offer::None, Offer::Busy(wait)) => Destination::Busy(wait),
        (Offer::None, Offer::Full | Offer::Ejected) => Destination::Remote,
        (Offer::None, Offer::None) => Destination::None,
    }
}

/// The budgets of a node on the links to other regions.
#[derive(Clone, Debug)]
pub struct LinkBudgets {
    /// Bytes per second, for all nodes of the region together.
    rate: f64,
    by_region: BTreeMap<String, Link>,
}

#[derive(Clone, Copy, Debug)]
struct Link {
    bytes: TokenBucket,
    unresponsive_until: Millis,
}

impl LinkBudgets {
    /// Creates full budgets of `spill_mbps` megabits per second for all nodes of the region
    /// together.
    pub fn new(spill_mbps: f64) -> Self {
        Self { rate: spill_mbps * BYTES_PER_MBIT, by_region: BTreeMap::new() }
    }

    /// Checks whether the budget lets a request spill to a region. `nodes` is the number of nodes
    /// of this node's own region, which share the budget.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds until the budget has recovered.
    pub fn check(&mut self, now: Millis, region: &str, nodes: usize) -> Result<(), Millis> {
        if self.rate <= 0.0 {
            return Err(NO_BUDGET_RETRY_AFTER_MS);
        }
        let share = self.rate / nodes.max(1) as f64;
        let link = self.get_or_insert_link(now, region);
        link.bytes.set_limits(now, share, share);
        if link.bytes.available > 0.0 {
            return Ok(());
        }
        let deficit = -link.bytes.available;
        Err(((deficit / share * 1_000.0).ceil() as Millis).saturating_add(1))
    }

    /// Charges bytes of a request or its response that were sent to or received from a region.
    ///
    /// Responses are charged as they arrive: the budget may become negative, and must recover
    /// before another request spills.
    pub fn count(&mut self, now: Millis, region: &str, bytes: usize) {
        self.get_or_insert_link(now, region).bytes.available -= bytes as f64;
    }

    /// Returns the milliseconds that a body takes at the rate of the whole budget, or 0 if there is
    /// no budget and [`check`](Self::check) refuses.
    pub fn get_transfer_time(&self, bytes: usize) -> Millis {
        if self.rate <= 0.0 {
            return 0;
        }
        (bytes as f64 / self.rate * 1_000.0) as Millis
    }

    /// Records whether a region responded to the query for the loads of its servers.
    pub fn record_response(&mut self, now: Millis, region: &str, is_answered: bool) {
        let unresponsive_until = if is_answered { 0 } else { now + UNRESPONSIVE_PERIOD_MS };
        self.get_or_insert_link(now, region).unresponsive_until = unresponsive_until;
    }

    /// Returns `true` if a region did not respond to its latest query, a short time ago.
    pub fn is_unresponsive(&self, now: Millis, region: &str) -> bool {
        self.by_region.get(region).is_some_and(|link| now < link.unresponsive_until)
    }

    /// Returns the link to a region, and creates it with a full budget if it was not used yet.
    fn get_or_insert_link(&mut self, now: Millis, region: &str) -> &mut Link {
        let rate = self.rate;
        let full = || Link { bytes: TokenBucket::new(now, rate), unresponsive_until: 0 };
        self.by_region.entry(region.to_owned()).or_insert_with(full)
    }
}

/// Returns the region of a data centre, in a deployment with several regions.
pub fn get_region<'a>(topology: &'a Topology, data_centre: &str) -> &'a str {
    topology.get_region(data_centre).unwrap_or(UNKNOWN_REGION)
}

/// Lists the regions other than the node's own: the nearest first, the unknown region last.
pub fn list_remote_regions(
    topology: &Topology,
    mut get_round_trip: impl FnMut(&str) -> Millis,
) -> Vec<&str> {
    let regions = topology.list_regions().into_iter();
    let mut remote: Vec<&str> =
        regions.filter(|region| *region != topology.get_own_region()).collect();
    remote.sort_by_key(|region| get_round_trip(region));
    remote.push(UNKNOWN_REGION);
    remote
}
