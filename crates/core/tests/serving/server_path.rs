//! Whether a node reaches the servers of a service, and which peers relay its requests if not.

use std::net::SocketAddr;

use fastrand::Rng;
use keeljunction_core::serving::server_path::{
    Candidate, Path, Paths, ProbeResult, Refusal, Relays, Way,
};
use proptest::prelude::*;

const SERVERS: usize = 9;

/// Returns a path whose service was cut off at a time.
fn cut_off_path(now: u64) -> Path {
    let mut path = Path::default();
    assert!(!path.record_unreachable(1, SERVERS));
    assert!(path.record_unreachable(2, SERVERS));
    assert_eq!(path.record_probes(now, 0, 3), ProbeResult::CutOff);
    path
}

#[test]
fn a_single_server_that_is_not_reached_is_no_cut() {
    let mut path = Path::default();
    for _ in 0..10 {
        assert!(!path.record_unreachable(1, SERVERS));
    }
    assert_eq!(path.get_way(1_000), Way::Direct);
}

#[test]
fn servers_that_crash_while_others_are_reached_are_no_cut() {
    let mut path = Path::default();
    path.record_unreachable(1, SERVERS);
    assert!(path.record_unreachable(2, SERVERS));
    assert_eq!(path.record_probes(1_000, 2, 3), ProbeResult::Unchanged);
    assert_eq!(path.get_way(1_000), Way::Direct);
}

#[test]
fn a_cut_begins_only_if_no_server_is_reached() {
    let mut path = Path::default();
    path.record_unreachable(1, SERVERS);
    assert!(path.record_unreachable(2, SERVERS));
    assert_eq!(path.record_probes(1_000, 1, 3), ProbeResult::Unchanged);
    assert_eq!(path.get_way(1_000), Way::Direct);
}

#[test]
fn a_response_between_two_failures_shows_that_the_node_is_not_cut_off() {
    let mut path = Path::default();
    path.record_unreachable(1, SERVERS);
    path.record_response(1_000);
    assert!(!path.record_unreachable(2, SERVERS));
}

#[test]
fn the_only_server_of_a_service_that_is_not_reached_leads_to_probes() {
    assert!(Path::default().record_unreachable(1, 1));
}

#[test]
fn only_one_round_of_probes_runs_at_a_time() {
    let mut path = Path::default();
    path.record_unreachable(1, SERVERS);
    assert!(path.record_unreachable(2, SERVERS));
    assert!(!path.record_unreachable(3, SERVERS));
    assert!(!path.begin_probes());
    path.record_probes(1_000, 3, 3);
    assert!(path.begin_probes());
}

#[test]
fn a_service_without_a_server_is_not_cut_off() {
    let mut path = Path::default();
    assert_eq!(path.record_probes(1_000, 0, 0), ProbeResult::Unchanged);
    assert_eq!(path.get_way(1_000), Way::Direct);
}

#[test]
fn requests_go_through_peers_until_servers_are_reached_twice_in_a_row() {
    let mut path = cut_off_path(1_000);
    assert_eq!(path.get_way(1_000), Way::Relay);
    assert_eq!(path.record_probes(1_500, 3, 3), ProbeResult::Unchanged);
    assert_eq!(path.record_probes(2_000, 1, 3), ProbeResult::Unchanged);
    assert_eq!(path.record_probes(2_500, 2, 3), ProbeResult::Unchanged);
    assert_eq!(path.get_way(2_500), Way::Relay);
    assert_eq!(path.record_probes(3_000, 3, 3), ProbeResult::Reached { cut_for: 2_000 });
    assert_eq!(path.get_way(3_000), Way::Direct);
}

#[test]
fn open_connections_that_respond_during_a_cut_stay_in_use() {
    let mut path = cut_off_path(1_000);
    path.record_response(1_200);
    assert_eq!(path.get_way(1_300), Way::Kept);
    assert_eq!(path.get_way(2_200), Way::Relay);
}

#[test]
fn nothing_is_relayed_for_a_while_if_peers_do_not_reach_the_servers_either() {
    let mut path = cut_off_path(1_000);
    path.record_unreachable_for_peer(1_100, 1, SERVERS);
    assert_eq!(path.get_way(1_100), Way::Relay);
    path.record_unreachable_for_peer(1_200, 2, SERVERS);
    assert_eq!(path.get_way(1_200), Way::Direct);
    assert_eq!(path.get_way(2_200), Way::Relay);
}

#[test]
fn a_relayed_response_shows_that_servers_are_there() {
    let mut path = cut_off_path(1_000);
    path.record_unreachable_for_peer(1_100, 1, SERVERS);
    path.record_relayed();
    path.record_unreachable_for_peer(1_200, 2, SERVERS);
    assert_eq!(path.get_way(1_200), Way::Relay);
}

#[test]
fn a_silent_service_is_checked_once_a_second() {
    let mut path = Path::default();
    assert!(path.begin_check(1_400, 1_000));
    assert!(!path.begin_check(1_500, 1_000));
    assert!(path.begin_check(2_400, 1_000));
    path.record_response(3_000);
    assert!(!path.begin_check(4_000, 2_900));
}

#[test]
fn services_are_cut_off_one_by_one() {
    let mut paths = Paths::default();
    *paths.get("llm") = cut_off_path(1_000);
    assert_eq!(paths.get_way(1_000, "llm"), Way::Relay);
    assert_eq!(paths.get_way(1_000, "api"), Way::Direct);
    assert_eq!(paths.iter_cut_off().collect::<Vec<_>>(), ["llm"]);
    assert!(paths.take_due_probes(1_400).is_empty());
    assert_eq!(paths.take_due_probes(1_500), ["llm"]);
    assert!(paths.take_due_probes(1_500).is_empty());
}

fn peer(number: usize, is_local: bool) -> Candidate {
    let address = SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7_000));
    Candidate { address, is_local }
}

/// Creates a cluster whose first `local` peers are in the node's data centre.
fn cluster(nodes: usize, local: usize) -> Vec<Candidate> {
    (0..nodes).map(|number| peer(number, number < local)).collect()
}

#[test]
fn the_last_offer_goes_to_another_data_centre() {
    let peers = cluster(20, 5);
    let mut relays = Relays::default();
    let picked = relays.pick(0, peers.iter().copied(), &mut Rng::with_seed(1));
    assert_eq!(picked.iter().map(|peer| peer.is_local).collect::<Vec<_>>(), [true, true, false]);
}

#[test]
fn other_data_centres_come_first_after_several_local_refusals() {
    let peers = cluster(986, 246);
    let mut relays = Relays::default();
    for peer in &peers[..2] {
        relays.record_refusal(1_000, *peer, Refusal::Unavailable);
    }
    let mut random = Rng::with_seed(1);
    let picked = relays.pick(1_100, peers.iter().copied(), &mut random);
    assert!(picked.iter().all(|peer| !peer.is_local), "{picked:?}");
    let picked = relays.pick(3_100, peers.iter().copied(), &mut random);
    assert!(picked[0].is_local);
}

#[test]
fn a_peer_that_does_not_relay_is_avoided_for_longer() {
    let peers = cluster(1, 1);
    let mut relays = Relays::default();
    relays.record_refusal(1_000, peers[0], Refusal::Unavailable);
    let mut random = Rng::with_seed(1);
    assert!(relays.pick(2_900, peers.iter().copied(), &mut random).is_empty());
    assert_eq!(relays.pick(3_000, peers.iter().copied(), &mut random).len(), 1);
    relays.record_refusal(3_000, peers[0], Refusal::Unsupported);
    assert!(relays.pick(50_000, peers.iter().copied(), &mut random).is_empty());
}

proptest! {
    /// Requests find a peer outside the cut within few offers in any cluster, and no such peer gets
    /// much more than its share of them.
    #[test]
    fn requests_of_cut_nodes_spread_over_the_others(
        nodes in 12usize..990,
        cut_percent in 10usize..70,
        seed in any::<u64>(),
    ) {
        let local = nodes / 4;
        let cut = (nodes * cut_percent / 100).max(1);
        let peers = cluster(nodes, local);
        let mut random = Rng::with_seed(seed);
        let mut relayed = vec![0usize; nodes];
        let (mut offers, mut unserved, requests) = (0usize, 0usize, 400usize);
        let mut relays = Relays::default();
        for number in 0..requests {
            let now = 1_000 + number as u64 * 10;
            let picked = relays.pick(now, peers[1..].iter().copied(), &mut random);
            let mut is_served = false;
            for candidate in picked {
                offers += 1;
                let index = peers.iter().position(|peer| *peer == candidate).unwrap_or(0);
                if index >= cut {
                    relays.record_relayed(now, candidate);
                    relayed[index] += 1;
                    is_served = true;
                    break;
                }
                relays.record_refusal(now, candidate, Refusal::Unavailable);
            }
            unserved += usize::from(!is_served);
        }
        prop_assert!(unserved * 20 <= requests, "{} of {} not served", unserved, requests);
        prop_assert!(offers <= requests * 3 / 2 + nodes, "{} offers", offers);
        // Where the whole data centre is cut off, no peer is preferred.
        let carriers = (nodes - cut).min(8);
        let most = relayed.iter().max().copied().unwrap_or(0);
        let is_spread = most <= 3 * requests / carriers + 10;
        prop_assert!(cut < local || is_spread, "{} carriers, most {}", carriers, most);
    }
}
