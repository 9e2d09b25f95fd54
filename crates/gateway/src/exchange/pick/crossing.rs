//! Picks a server of another region, where the node's own one is full or has none.

use keeljunction_core::Millis;
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::refusal::Refusal;
use keeljunction_core::serving::rollout::VersionFilter;
use keeljunction_core::serving::spill::{
    Cause, Destination, Offer, RemotePath, get_region, list_remote_regions, pick_destination,
};

use super::region::{Found, Place, pick_in};
use super::{Attempts, Pick, conclude};
use crate::exchange::admission::Exchange;
use crate::exchange::rejection::Rejection;
use crate::metrics::RegionLabels;
use crate::node::Node;

/// The choice among other regions.
pub(super) struct Crossing<'a> {
    /// The node.
    pub node: &'a Node,
    /// The request.
    pub exchange: &'a Exchange,
    /// The attempts so far.
    pub attempts: Attempts<'a>,
    /// The versions that the request may go to.
    pub side: VersionFilter,
    /// Why the request leaves its region.
    pub cause: Cause,
    /// How the servers of its own region are considered.
    pub near: Place<'a>,
}

/// Whether a request may go to another region.
enum Gate {
    Open(RemotePath),
    Closed,
    /// The link's budget is used up; the time until it recovers, in milliseconds.
    LinkFull(Millis),
}

impl Crossing<'_> {
    /// Tries the other regions, the nearest first.
    pub async fn run(self, found: Found) -> Result<Pick, Rejection> {
        let node = self.node;
        let regions = node.with(|state| {
            list_remote_regions(&node.topology, |region| state.round_trips.get_round_trip(region))
        });
        let mut offer = found.offer;
        let mut link_wait: Option<Millis> = None;
        for region in regions {
            let way = match self.check(region) {
                Gate::Open(way) => way,
                Gate::Closed => continue,
                Gate::LinkFull(wait) => {
                    link_wait = Some(link_wait.map_or(wait, |known| known.min(wait)));
                    continue;
                }
            };
            let far = self.pick_far(region, &way).await;
            match (pick_destination(offer, far.offer), far.server) {
                (Destination::Remote, Some(server)) => {
                    return Ok(Pick::new(server, Some(self.cause)));
                }
                (Destination::Busy(wait), _) => offer = Offer::Busy(wait),
                _ => {}
            }
        }
        match link_wait {
            Some(wait) if found.server.is_none() => {
                let retry_after = match offer {
                    Offer::Busy(busy) => busy.min(wait),
                    _ => wait,
                };
                Err(Rejection { reason: Refusal::LinkFull, retry_after })
            }
            _ => conclude(Found { offer, ..found }),
        }
    }

    /// Picks a server of another region, within what the way there leaves of the objective.
    async fn pick_far(&self, region: &str, way: &RemotePath) -> Found {
        let place = Place {
            far: Some((region, self.cause)),
            criteria: way.adjust_criteria(&self.near.criteria),
            is_load_requested: way.is_load_requested,
            is_version_fixed: self.near.is_version_fixed,
        };
        pick_in(self.node, self.exchange, self.attempts, self.side, &place).await
    }

    /// Checks whether another region has a server, may answer in time, and is within the budget.
    fn check(&self, region: &str) -> Gate {
        let node = self.node;
        let now = node.now();
        let gate = node.with(|state| {
            let mut ready = state.directory.iter_ready(&self.exchange.service);
            let is_there = |server: &Server| {
                let is_tried = self.attempts.tried.contains(&server.id);
                !is_tried
                    && !state.is_in_backoff(now, server)
                    && get_region(&node.topology, &server.data_centre) == region
            };
            if !ready.any(is_there) {
                return Gate::Closed;
            }
            let is_silent = state.region_links.is_unresponsive(now, region);
            let way = RemotePath {
                waited: now - self.attempts.began,
                left: self.exchange.get_left(now),
                round_trip: state.round_trips.get_round_trip(region),
                transfer: state.region_links.get_transfer_time(self.exchange.body_bytes),
                is_load_requested: self.near.is_load_requested && !is_silent,
            };
            let is_lost = is_silent && self.cause == Cause::Full;
            if is_lost || !way.is_in_time(&self.near.criteria, self.cause) {
                return Gate::Closed;
            }
            let nodes = state.members.count_own_region();
            match state.region_links.check(now, region, nodes) {
                Ok(()) => Gate::Open(way),
                Err(wait) => Gate::LinkFull(wait),
            }
        });
        if matches!(gate, Gate::LinkFull(_)) {
            let labels = RegionLabels::new(region);
            node.metrics.link_full.get_or_create(&labels).inc();
        }
        gate
    }
}
