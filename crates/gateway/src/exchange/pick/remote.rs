//! Picks a server in another region if the node's own region is full or has no server.

use keeljunction_core::Millis;
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::refusal::Refusal;
use keeljunction_core::serving::rollout::VersionFilter;
use keeljunction_core::serving::spill::{
    Cause, Destination, Offer, RemotePath, get_region, list_remote_regions, pick_destination,
};

use super::region::{RegionPick, RegionScope, pick_in_region};
use super::{Attempts, Pick, into_result};
use crate::exchange::admission::Exchange;
use crate::exchange::rejection::Rejection;
use crate::metrics::RegionLabels;
use crate::node::Node;

/// A choice among the other regions.
pub(super) struct RemotePick<'a> {
    /// The node.
    pub node: &'a Node,
    /// The request.
    pub exchange: &'a Exchange,
    /// The attempts so far.
    pub attempts: Attempts<'a>,
    /// The versions that the request may go to.
    pub version_filter: VersionFilter,
    /// Reason for sending the request to another region.
    pub cause: Cause,
    /// How the servers of the node's own region are considered.
    pub local_scope: RegionScope<'a>,
}

/// Whether a request may go to another region.
enum RemoteAccess {
    Allowed(RemotePath),
    Denied,
    /// The bandwidth budget of the link is used up; holds the time until it recovers, in
    /// milliseconds.
    LinkFull(Millis),
}

impl RemotePick<'_> {
    /// Tries the other regions, nearest first.
    pub async fn run(self, found: RegionPick) -> Result<Pick, Rejection> {
        let node = self.node;
        let regions = node.with(|state| {
            list_remote_regions(&node.topology, |region| state.round_trips.get_round_trip(region))
        });
        let mut offer = found.offer;
        let mut link_wait: Option<Millis> = None;
        for region in regions {
            let path = match self.check(region) {
                RemoteAccess::Allowed(path) => path,
                RemoteAccess::Denied => continue,
                RemoteAccess::LinkFull(wait) => {
                    link_wait = Some(link_wait.map_or(wait, |known| known.min(wait)));
                    continue;
                }
            };
            let picked = self.pick_remote(region, &path).await;
            match (pick_destination(offer, picked.offer), picked.server) {
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
            _ => into_result(RegionPick { offer, ..found }),
        }
    }

    /// Picks a server in another region, within the part of the latency objective that remains
    /// after the round trip.
    async fn pick_remote(&self, region: &str, path: &RemotePath) -> RegionPick {
        let scope = RegionScope {
            remote: Some((region, self.cause)),
            criteria: path.adjust_criteria(&self.local_scope.criteria),
            is_load_requested: path.is_load_requested,
            is_version_fixed: self.local_scope.is_version_fixed,
        };
        pick_in_region(self.node, self.exchange, self.attempts, self.version_filter, &scope).await
    }

    /// Checks whether the region has a server, can respond in time, and is within the link budget.
    fn check(&self, region: &str) -> RemoteAccess {
        let node = self.node;
        let now = node.now();
        let access = node.with(|state| {
            let mut ready = state.directory.iter_ready(&self.exchange.service);
            let is_candidate = |server: &Server| {
                let is_tried = self.attempts.tried.contains(&server.id);
                !is_tried
                    && self.exchange.is_pin_met(server)
                    && !state.is_throttled(now, server)
                    && get_region(&node.topology, &server.data_centre) == region
            };
            if !ready.any(is_candidate) {
                return RemoteAccess::Denied;
            }
            let is_unresponsive = state.link_budgets.is_unresponsive(now, region);
            let path = RemotePath {
                waited: now - self.attempts.waiting_since,
                time_remaining: self.exchange.get_time_remaining(now),
                round_trip: state.round_trips.get_round_trip(region),
                transfer: state.link_budgets.get_transfer_time(self.exchange.body_bytes),
                is_load_requested: self.local_scope.is_load_requested && !is_unresponsive,
            };
            let is_unreachable = is_unresponsive && self.cause == Cause::Full;
            if is_unreachable || !path.is_in_time(&self.local_scope.criteria, self.cause) {
                return RemoteAccess::Denied;
            }
            let nodes = state.members.count_own_region();
            match state.link_budgets.check(now, region, nodes) {
                Ok(()) => RemoteAccess::Allowed(path),
                Err(wait) => RemoteAccess::LinkFull(wait),
            }
        });
        if matches!(access, RemoteAccess::LinkFull(_)) {
            let labels = RegionLabels::new(region);
            node.metrics.link_full.get_or_create(&labels).inc();
        }
        access
    }
}
