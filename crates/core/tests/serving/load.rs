use std::collections::HashMap;

use keeljunction_core::serving::load::{Load, LoadTracker, RequestCost, short_id};
use proptest::prelude::*;

const COST: RequestCost = RequestCost { prompt_tokens: 100, memory_tokens: 150, priority: 1 };

#[test]
fn a_request_counts_until_it_ends() {
    let mut tracker = LoadTracker::default();
    tracker.begin("a", &COST);
    let load = tracker.total("a");
    assert_eq!((load.requests, load.waiting, load.memory_tokens), (1, 1, 150));
    assert_eq!((load.get_tokens_ahead(0), load.get_tokens_ahead(1)), (0, 100));
    tracker.record_first_token("a", &COST);
    assert_eq!(tracker.total("a").get_waiting_tokens(), 0);
    assert_eq!(tracker.total("a").requests, 1);
    tracker.end("a", &COST, true);
    assert_eq!(tracker.total("a"), Load::default());
}

#[test]
fn a_request_that_ends_before_its_first_token_leaves_no_load() {
    let mut tracker = LoadTracker::default();
    tracker.begin("a", &COST);
    tracker.begin("a", &COST);
    tracker.end("a", &COST, false);
    assert_eq!(tracker.total("a").get_waiting_tokens(), 100);
    tracker.end("a", &COST, false);
    assert!(tracker.get_own().is_empty());
}

#[test]
fn loads_of_peers_are_added_until_they_expire() {
    let mut peer = LoadTracker::default();
    peer.begin("a", &COST);
    let mut tracker = LoadTracker::default();
    tracker.begin("a", &COST);
    tracker.merge(2_000, "peer", peer.get_own());
    tracker.expire(1_999);
    assert_eq!(tracker.total("a").requests, 2);
    tracker.expire(2_000);
    assert_eq!(tracker.total("a").requests, 1);
    tracker.merge(9_000, "peer", vec![(short_id("b"), Load::default())]);
    assert_eq!(tracker.total("a").requests, 1);
}

#[test]
fn a_started_request_of_a_peer_counts_until_it_is_read_or_reported() {
    let mut tracker = LoadTracker::default();
    let peers = vec![(short_id("a"), Load { requests: 1, ..Load::default() })];
    tracker.merge_started(1_500, "peer", short_id("a"), &COST);
    assert_eq!(tracker.total("a"), Load::default());
    tracker.merge(9_000, "peer", peers.clone());
    tracker.merge_started(1_500, "peer", short_id("a"), &COST);
    tracker.expire(1_499);
    let load = tracker.total("a");
    assert_eq!((load.requests, load.waiting, load.get_waiting_tokens()), (2, 1, 100));
    assert_eq!(tracker.total("b"), Load::default());
    tracker.merge_started(1_600, "peer", short_id("b"), &COST);
    tracker.expire(1_500);
    assert_eq!(tracker.total("a").get_waiting_tokens(), 0);
    assert_eq!(tracker.total("b").get_waiting_tokens(), 100);
    tracker.merge(9_000, "peer", peers);
    assert_eq!((tracker.total("a").requests, tracker.total("b").requests), (1, 0));
}

#[test]
fn a_report_of_one_server_replaces_only_that_server() {
    let load = |requests| Load { requests, ..Load::default() };
    let mut tracker = LoadTracker::default();
    tracker.merge_server(2_000, "peer", short_id("a"), load(3));
    tracker.merge_server(2_500, "peer", short_id("b"), load(2));
    tracker.merge_server(2_000, "other", short_id("a"), load(1));
    tracker.merge_server(2_000, "peer", short_id("a"), load(5));
    assert_eq!((tracker.total("a").requests, tracker.total("b").requests), (6, 2));
    assert_eq!(tracker.get_others("peer", short_id("a")).requests, 1);
    assert_eq!(tracker.get_others("unknown", short_id("a")).requests, 6);
    tracker.expire(2_000);
    assert_eq!((tracker.total("a").requests, tracker.total("b").requests), (0, 2));
    tracker.merge_server(3_000, "peer", short_id("b"), Load::default());
    assert_eq!(tracker.total("b"), Load::default());
}

#[test]
fn a_forgotten_peer_has_no_load() {
    let mut tracker = LoadTracker::default();
    tracker.merge(9_000, "peer", vec![(short_id("a"), Load { requests: 2, ..Load::default() })]);
    tracker.merge_started(9_000, "peer", short_id("b"), &COST);
    tracker.forget("peer");
    assert_eq!((tracker.total("a"), tracker.total("b")), (Load::default(), Load::default()));
}

/// A message that changes what a node knows of its peers.
#[derive(Clone, Debug)]
enum Step {
    Report { peer: usize, loads: Vec<(usize, u32)>, ttl: u64 },
    Server { peer: usize, server: usize, requests: u32, ttl: u64 },
    Started { peer: usize, server: usize, tokens: u64, ttl: u64 },
    Forget { peer: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let (peer, server, ttl) = (0usize..4, 0usize..3, 1u64..400);
    let loads = prop::collection::vec((server.clone(), 0u32..5), 0..3);
    prop_oneof![
        (peer.clone(), loads, ttl.clone()).prop_map(|(peer, loads, ttl)| Step::Report {
            peer,
            loads,
            ttl
        }),
        (peer.clone(), server.clone(), 0u32..5, ttl.clone())
            .prop_map(|(peer, server, requests, ttl)| Step::Server { peer, server, requests, ttl }),
        (peer.clone(), server, 1u64..900, ttl)
            .prop_map(|(peer, server, tokens, ttl)| Step::Started { peer, server, tokens, ttl }),
        peer.prop_map(|peer| Step::Forget { peer }),
    ]
}

proptest! {
    /// The sums match the latest report of each peer, however reports arrive, expire and repeat.
    #[test]
    fn sums_are_those_of_the_latest_reports(steps in prop::collection::vec((step(), 0u64..200), 1..60)) {
        const SERVERS: [&str; 3] = ["a", "b", "c"];
        let mut tracker = LoadTracker::default();
        // By peer and server: requests and the end of the report; then requests reported one by
        // one.
        let mut reported: Vec<HashMap<usize, (u32, u64)>> = vec![HashMap::new(); 4];
        let mut started: Vec<Vec<(usize, u64)>> = vec![Vec::new(); 4];
        let mut valid_until = [0u64; 4];
        let mut now = 1_000;
        for (step, pause) in steps {
            now += pause;
            tracker.expire(now);
            for peer in 0..4 {
                reported[peer].retain(|_, (_, until)| now < *until);
                started[peer].retain(|(_, until)| now < *until);
                if now >= valid_until[peer] {
                    started[peer].clear();
                }
            }
            match step {
                Step::Report { peer, loads, ttl } => {
                    let loads: HashMap<usize, u32> = loads.into_iter().collect();
                    let sent = loads.iter().map(|(server, requests)| {
                        let load = Load { requests: *requests, ..Load::default() };
                        (short_id(SERVERS[*server]), load)
                    });
                    tracker.merge(now + ttl, &peer.to_string(), sent.collect());
                    reported[peer] = loads.into_iter().map(|(s, n)| (s, (n, now + ttl))).collect();
                    started[peer].clear();
                    valid_until[peer] = now + ttl;
                }
                Step::Server { peer, server, requests, ttl } => {
                    let load = Load { requests, ..Load::default() };
                    tracker.merge_server(now + ttl, &peer.to_string(), short_id(SERVERS[server]), load);
                    reported[peer].insert(server, (requests, now + ttl));
                    valid_until[peer] = valid_until[peer].max(now + ttl);
                }
                Step::Started { peer, server, tokens, ttl } => {
                    let work = RequestCost { prompt_tokens: tokens, ..COST };
                    tracker.merge_started(now + ttl, &peer.to_string(), short_id(SERVERS[server]), &work);
                    if now < valid_until[peer] {
                        started[peer].push((server, now + ttl));
                    }
                }
                Step::Forget { peer } => {
                    tracker.forget(&peer.to_string());
                    reported[peer].clear();
                    started[peer].clear();
                    valid_until[peer] = 0;
                }
            }
            for (server, id) in SERVERS.iter().enumerate() {
                let counted: u32 = reported.iter().filter_map(|r| r.get(&server)).map(|(n, _)| n).sum();
                let started = started.iter().flatten().filter(|(s, _)| *s == server).count() as u32;
                prop_assert_eq!(tracker.total(id).requests, counted + started);
            }
        }
    }
}
