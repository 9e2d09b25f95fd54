//! Whether a request spills to another region.

use std::collections::BTreeMap;

use keeljunction_core::serving::choice::{Candidate, Choice, Criteria, choose};
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::load::Load;
use keeljunction_core::serving::spill::{
    Cause, Destination, LinkBudgets, Offer, RemotePath, get_region, list_remote_regions,
    pick_destination,
};
use keeljunction_core::serving::topology::Topology;
use proptest::prelude::*;

use crate::support::server;

/// A prompt that an idle server reads in 100 ms, with an objective of 500 ms.
const CRITERIA: Criteria = Criteria {
    shared_prefix: None,
    prompt_tokens: 5_000,
    priority: 1,
    prefill_rate: Some(50.0),
    ttft_objective: 500,
    gap_objective: None,
};

/// A path with a round trip of 60 ms and a query for loads: 180 ms until the first byte.
const PATH: RemotePath = RemotePath {
    waited: 0,
    time_remaining: 10_000,
    round_trip: 60,
    transfer: 0,
    is_load_requested: true,
};

fn topology(own: &str, regions: &[(&str, &str)]) -> Topology {
    let regions = regions
        .iter()
        .map(|(data_centre, region)| ((*data_centre).to_owned(), (*region).to_owned()));
    Topology::new(own, regions.collect()).expect("regions")
}

fn offer(servers: &[Server], requests: u32, tokens: u64, is_ejected: bool) -> Offer {
    let mut load = Load { requests, waiting: requests, ..Load::default() };
    load.waiting_tokens[1] = tokens;
    let candidates: Vec<Candidate<'_>> = servers
        .iter()
        .map(|server| Candidate { server, load, is_ejected, slowness: 1.0 })
        .collect();
    Offer::of(&choose(&candidates, &CRITERIA, 7), &candidates)
}

#[test]
fn a_request_stays_if_a_server_of_its_region_is_free() {
    let servers = [server("a", "z1"), server("b", "z1")];
    let local = offer(&servers, 0, 0, false);

    assert_eq!(local, Offer::Free);
    assert_eq!(local.get_cause(), None);
    for remote in [Offer::Free, Offer::Full, Offer::Ejected, Offer::Busy(1), Offer::None] {
        assert_eq!(pick_destination(local, remote), Destination::Local);
    }
}

#[test]
fn a_request_spills_if_its_region_has_no_slot_or_would_miss_the_objective() {
    let servers = [server("a", "z1"), server("b", "z1")];

    // Four slots each.
    assert_eq!(offer(&servers, 4, 0, false), Offer::Full);
    // 25,000 tokens and 5,000 of its own take 600 ms; after 350 ms half of the objective of 500 ms
    // is available.
    assert_eq!(offer(&servers, 1, 25_000, false), Offer::Busy(350));
    for local in [Offer::Full, Offer::Busy(350)] {
        assert_eq!(local.get_cause(), Some(Cause::Full));
        assert_eq!(pick_destination(local, Offer::Free), Destination::Remote);
    }
}

#[test]
fn a_request_spills_if_its_region_has_no_server_or_all_are_ejected() {
    let servers = [server("a", "z1")];

    assert_eq!(offer(&[], 0, 0, false), Offer::None);
    assert_eq!(offer(&servers, 0, 0, true), Offer::Ejected);
    for local in [Offer::None, Offer::Ejected] {
        assert_eq!(local.get_cause(), Some(Cause::NoServer));
        assert_eq!(pick_destination(local, Offer::Free), Destination::Remote);
    }
}

#[test]
fn if_the_remote_region_is_no_better_the_own_one_serves_or_refuses() {
    assert_eq!(pick_destination(Offer::Full, Offer::Full), Destination::Local);
    assert_eq!(pick_destination(Offer::Ejected, Offer::Ejected), Destination::Local);
    assert_eq!(pick_destination(Offer::Full, Offer::Busy(10)), Destination::Local);
    assert_eq!(pick_destination(Offer::Busy(350), Offer::Busy(200)), Destination::Busy(200));
    assert_eq!(pick_destination(Offer::Busy(150), Offer::Busy(200)), Destination::Busy(150));
    assert_eq!(pick_destination(Offer::Busy(350), Offer::Full), Destination::Busy(350));
    assert_eq!(pick_destination(Offer::Busy(350), Offer::None), Destination::Busy(350));
}

#[test]
fn a_region_without_servers_uses_those_of_the_other_one() {
    assert_eq!(pick_destination(Offer::None, Offer::Full), Destination::Remote);
    assert_eq!(pick_destination(Offer::None, Offer::Ejected), Destination::Remote);
    assert_eq!(pick_destination(Offer::None, Offer::Busy(200)), Destination::Busy(200));
    assert_eq!(pick_destination(Offer::None, Offer::None), Destination::None);
}

#[test]
fn a_request_spills_from_a_full_region_only_within_its_objective() {
    // A query, a connection and a request, 60 ms each, and 100 ms of reading.
    assert_eq!(PATH.get_travel_time(), 180);
    let with = |ttft_objective| Criteria { ttft_objective, ..CRITERIA };
    assert!(PATH.is_in_time(&with(280), Cause::Full));
    assert!(!PATH.is_in_time(&with(279), Cause::Full));

    let known = RemotePath { is_load_requested: false, ..PATH };
    assert!(known.is_in_time(&with(220), Cause::Full));

    let late = RemotePath { waited: 300, ..PATH };
    assert!(!late.is_in_time(&with(500), Cause::Full));

    let long = RemotePath { transfer: 221, ..PATH };
    assert!(!long.is_in_time(&with(500), Cause::Full));
}

#[test]
fn a_request_spills_from_a_region_without_servers_even_if_it_is_late() {
    let short = Criteria { ttft_objective: 50, ..CRITERIA };
    assert!(PATH.is_in_time(&short, Cause::NoServer));
    assert!(!RemotePath { time_remaining: 280, ..PATH }.is_in_time(&short, Cause::NoServer));
    assert!(RemotePath { time_remaining: 281, ..PATH }.is_in_time(&short, Cause::NoServer));
}

#[test]
fn the_travel_time_is_taken_off_the_objective_of_the_remote_choice() {
    assert_eq!(PATH.adjust_criteria(&CRITERIA).ttft_objective, 320);
    assert_eq!(RemotePath { waited: 20, ..PATH }.adjust_criteria(&CRITERIA).ttft_objective, 300);
    // A request that is late anyway is refused only if it would be late because of waiting.
    let short = Criteria { ttft_objective: 50, ..CRITERIA };
    assert_eq!(PATH.adjust_criteria(&short).ttft_objective, 50);
    // Without an objective it stays 0.
    let none = Criteria { ttft_objective: 0, ..CRITERIA };
    assert_eq!(PATH.adjust_criteria(&none).ttft_objective, 0);
}

#[test]
fn a_remote_server_that_would_miss_the_shorter_objective_is_busy() {
    let servers = [server("a", "z2")];
    let mut load = Load { requests: 1, waiting: 1, ..Load::default() };
    load.waiting_tokens[1] = 15_000;
    let candidates = [Candidate { server: &servers[0], load, is_ejected: false, slowness: 1.0 }];

    // 400 ms of reading: within the 500 ms of the own region, but beyond the 320 ms that the travel
    // time leaves.
    assert!(matches!(choose(&candidates, &CRITERIA, 7), Choice::Server(_)));
    assert_eq!(choose(&candidates, &PATH.adjust_criteria(&CRITERIA), 7), Choice::Busy(240));
}

#[test]
fn other_regions_are_tried_by_round_trip_and_unknown_data_centres_last() {
    let regions = [("a1", "a"), ("b1", "b"), ("c1", "c")];
    let topology = topology("a1", &regions);
    let get_round_trip = |region: &str| if region == "c" { 20 } else { 60 };

    assert_eq!(list_remote_regions(&topology, get_round_trip), ["c", "b", "unknown"]);
    assert_eq!(get_region(&topology, "b1"), "b");
    assert_eq!(get_region(&topology, "elsewhere"), "unknown");
}

#[test]
fn a_node_spends_its_share_of_the_budget_and_waits_for_more() {
    // 8 Mbit/s are 1,000,000 bytes per second, a tenth of which for each of ten nodes.
    let mut links = LinkBudgets::new(8.0);

    assert_eq!(links.check(0, "b", 10), Ok(()));
    links.count(0, "b", 150_000);
    assert_eq!(links.check(0, "b", 10), Err(501));
    assert_eq!(links.check(500, "b", 10), Err(1));
    assert_eq!(links.check(501, "b", 10), Ok(()));
}

#[test]
fn each_region_has_a_budget_of_its_own() {
    let mut links = LinkBudgets::new(8.0);
    links.count(0, "b", 5_000_000);

    assert!(links.check(0, "b", 1).is_err());
    assert_eq!(links.check(0, "c", 1), Ok(()));
}

#[test]
fn without_a_budget_nothing_spills() {
    let mut links = LinkBudgets::new(0.0);
    assert!(links.check(0, "b", 1).is_err());
    assert!(links.check(60_000, "b", 1).is_err());
}

#[test]
fn a_region_that_did_not_respond_is_unresponsive_for_a_while_or_until_it_responds() {
    let mut links = LinkBudgets::new(8.0);
    assert!(!links.is_unresponsive(0, "b"));

    links.record_response(100, "b", false);
    assert!(links.is_unresponsive(1_099, "b"));
    assert!(!links.is_unresponsive(1_100, "b"));

    links.record_response(1_200, "b", false);
    links.record_response(1_300, "b", true);
    assert!(!links.is_unresponsive(1_300, "b"));
}

#[test]
fn the_transfer_time_follows_the_rate_of_the_budget() {
    assert_eq!(LinkBudgets::new(8.0).get_transfer_time(50_000), 50);
}

#[test]
fn in_a_single_region_everything_is_local() {
    let topology = Topology::new("a1", BTreeMap::new()).expect("no regions");
    assert!(!topology.is_multi_region());
    assert!(topology.is_local("elsewhere"));
}

fn any_offer() -> impl Strategy<Value = Offer> {
    prop_oneof![
        Just(Offer::Free),
        Just(Offer::Full),
        Just(Offer::Ejected),
        Just(Offer::None),
        (1_u64..5_000).prop_map(Offer::Busy),
    ]
}

proptest! {
    /// A request is served if one region can serve it, spills only if its own region cannot serve
    /// it well, and is never told to wait longer than its own region says.
    #[test]
    fn a_request_spills_only_to_a_better_region(local in any_offer(), remote in any_offer()) {
        let destination = pick_destination(local, remote);
        let can_serve_locally = matches!(local, Offer::Free | Offer::Full | Offer::Ejected);
        match destination {
            Destination::Local => prop_assert!(can_serve_locally),
            Destination::Remote => {
                prop_assert!(local.get_cause().is_some());
                prop_assert!(remote == Offer::Free || local == Offer::None);
            }
            Destination::Busy(wait) => {
                prop_assert!(!can_serve_locally);
                if let Offer::Busy(own) = local {
                    prop_assert!(wait <= own);
                }
            }
            Destination::None => prop_assert_eq!((local, remote), (Offer::None, Offer::None)),
        }
    }

    /// Whatever nodes send, all nodes of a region together stay within the budget over any length
    /// of time, except for the initial second's worth and one request per node beyond it.
    #[test]
    fn all_nodes_together_stay_within_the_budget(
        nodes in 1_usize..20,
        body in 1_000_usize..60_000,
        gaps in proptest::collection::vec(0_u64..400, 50..200),
    ) {
        let mut links: Vec<LinkBudgets> = (0..nodes).map(|_| LinkBudgets::new(8.0)).collect();
        let mut now = 0;
        let mut sent = 0;
        for (turn, gap) in gaps.iter().enumerate() {
            now += gap;
            let own = &mut links[turn % nodes];
            if own.check(now, "b", nodes).is_ok() {
                own.count(now, "b", body);
                sent += body;
            }
        }
        let allowed = 1_000_000.0 * (1.0 + now as f64 / 1_000.0) + (nodes * body) as f64;
        prop_assert!(sent as f64 <= allowed + 1.0, "{sent} sent, {allowed} allowed");
    }
}

#[test]
fn without_a_budget_nothing_spills_however_long_a_body_is() {
    let mut links = LinkBudgets::new(0.0);
    for bytes in [0, 1, 4_000_000] {
        let path = RemotePath { transfer: links.get_transfer_time(bytes), ..PATH };
        // The budget refuses, not the path, so the caller is told that the link is full.
        assert!(path.is_in_time(&CRITERIA, Cause::NoServer), "{bytes} bytes");
        assert_eq!(path.get_travel_time(), 180);
    }
    // The budget does not recover: callers come back as for servers of their own region.
    assert_eq!(links.check(0, "b", 2), Err(700));
    links.count(0, "b", 1_000);
    assert_eq!(links.check(5_000, "b", 2), Err(700));
}

#[test]
fn a_body_with_an_endless_transfer_time_stays() {
    let links = LinkBudgets::new(1e-300);
    let path = RemotePath { transfer: links.get_transfer_time(1), ..PATH };

    assert!(!path.is_in_time(&CRITERIA, Cause::NoServer));
    assert!(!path.is_in_time(&CRITERIA, Cause::Full));
    assert_eq!(path.adjust_criteria(&CRITERIA).ttft_objective, 500);
}
