use std::collections::HashMap;

use keeljunction_core::serving::load::{Load, LoadTracker, RequestCost, short_id};
use proptest::prelude::*;

const WORK: RequestCost = RequestCost { prompt_tokens: 100, memory_tokens: 150, priority: 1 };

#[test]
fn a_request_counts_until_it_ends() {
    let mut book = LoadTracker::default();
    book.begin("a", &WORK);
    let load = book.total("a");
    assert_eq!((load.requests, load.waiting, load.memory_tokens), (1, 1, 150));
    assert_eq!((load.get_tokens_ahead(0), load.get_tokens_ahead(1)), (0, 100));
    book.record_first_token("a", &WORK);
    assert_eq!(book.total("a").get_waiting_tokens(), 0);
    assert_eq!(book.total("a").requests, 1);
    book.end("a", &WORK, true);
    assert_eq!(book.total("a"), Load::default());
}

#[test]
fn a_request_that_ends_before_its_first_token_leaves_nothing() {
    let mut book = LoadTracker::default();
    book.begin("a", &WORK);
    book.begin("a", &WORK);
    book.end("a", &WORK, false);
    assert_eq!(book.total("a").get_waiting_tokens(), 100);
    book.end("a", &WORK, false);
    assert!(book.get_own().is_empty());
}

#[test]
fn counts_of_peers_are_added_until_they_are_too_old() {
    let mut peer = LoadTracker::default();
    peer.begin("a", &WORK);
    let mut book = LoadTracker::default();
    book.begin("a", &WORK);
    book.merge(2_000, "peer", peer.get_own());
    book.expire(1_999);
    assert_eq!(book.total("a").requests, 2);
    book.expire(2_000);
    assert_eq!(book.total("a").requests, 1);
    book.merge(9_000, "peer", vec![(short_id("b"), Load::default())]);
    assert_eq!(book.total("a").requests, 1);
}

#[test]
fn a_request_that_a_peer_has_just_sent_counts_until_it_is_read_or_told_with_the_others() {
    let mut book = LoadTracker::default();
    let peers = vec![(short_id("a"), Load { requests: 1, ..Load::default() })];
    book.merge_started(1_500, "peer", short_id("a"), &WORK);
    assert_eq!(book.total("a"), Load::default());
    book.merge(9_000, "peer", peers.clone());
    book.merge_started(1_500, "peer", short_id("a"), &WORK);
    book.expire(1_499);
    let load = book.total("a");
    assert_eq!((load.requests, load.waiting, load.get_waiting_tokens()), (2, 1, 100));
    assert_eq!(book.total("b"), Load::default());
    book.merge_started(1_600, "peer", short_id("b"), &WORK);
    book.expire(1_500);
    assert_eq!(book.total("a").get_waiting_tokens(), 0);
    assert_eq!(book.total("b").get_waiting_tokens(), 100);
    book.merge(9_000, "peer", peers);
    assert_eq!((book.total("a").requests, book.total("b").requests), (1, 0));
}

#[test]
fn what_a_peer_reports_of_one_server_replaces_only_that() {
    let load = |requests| Load { requests, ..Load::default() };
    let mut book = LoadTracker::default();
    book.merge_server(2_000, "peer", short_id("a"), load(3));
    book.merge_server(2_500, "peer", short_id("b"), load(2));
    book.merge_server(2_000, "other", short_id("a"), load(1));
    book.merge_server(2_000, "peer", short_id("a"), load(5));
    assert_eq!((book.total("a").requests, book.total("b").requests), (6, 2));
    assert_eq!(book.get_others("peer", short_id("a")).requests, 1);
    assert_eq!(book.get_others("unknown", short_id("a")).requests, 6);
    book.expire(2_000);
    assert_eq!((book.total("a").requests, book.total("b").requests), (0, 2));
    book.merge_server(3_000, "peer", short_id("b"), Load::default());
    assert_eq!(book.total("b"), Load::default());
}

#[test]
fn nothing_of_a_peer_that_is_forgotten_counts() {
    let mut book = LoadTracker::default();
    book.merge(9_000, "peer", vec![(short_id("a"), Load { requests: 2, ..Load::default() })]);
    book.merge_started(9_000, "peer", short_id("b"), &WORK);
    book.forget("peer");
    assert_eq!((book.total("a"), book.total("b")), (Load::default(), Load::default()));
}

/// One message that changes what a node knows of its peers.
#[derive(Clone, Debug)]
enum Step {
    Report { peer: usize, loads: Vec<(usize, u32)>, lasts: u64 },
    Server { peer: usize, server: usize, requests: u32, lasts: u64 },
    Begun { peer: usize, server: usize, tokens: u64, lasts: u64 },
    Forget { peer: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let (peer, server, lasts) = (0usize..4, 0usize..3, 1u64..400);
    let loads = prop::collection::vec((server.clone(), 0u32..5), 0..3);
    prop_oneof![
        (peer.clone(), loads, lasts.clone()).prop_map(|(peer, loads, lasts)| Step::Report {
            peer,
            loads,
            lasts
        }),
        (peer.clone(), server.clone(), 0u32..5, lasts.clone()).prop_map(
            |(peer, server, requests, lasts)| Step::Server { peer, server, requests, lasts }
        ),
        (peer.clone(), server, 1u64..900, lasts)
            .prop_map(|(peer, server, tokens, lasts)| Step::Begun { peer, server, tokens, lasts }),
        peer.prop_map(|peer| Step::Forget { peer }),
    ]
}

proptest! {
    /// The sums are those of what each peer reported last, however reports come, end and repeat.
    #[test]
    fn sums_are_those_of_the_latest_reports(steps in prop::collection::vec((step(), 0u64..200), 1..60)) {
        const SERVERS: [&str; 3] = ["a", "b", "c"];
        let mut book = LoadTracker::default();
        // By peer and server: requests and the end of the report; then requests told one by one.
        let mut reported: Vec<HashMap<usize, (u32, u64)>> = vec![HashMap::new(); 4];
        let mut begun: Vec<Vec<(usize, u64)>> = vec![Vec::new(); 4];
        let mut known_until = [0u64; 4];
        let mut now = 1_000;
        for (step, later) in steps {
            now += later;
            book.expire(now);
            for peer in 0..4 {
                reported[peer].retain(|_, (_, until)| now < *until);
                begun[peer].retain(|(_, until)| now < *until);
                if now >= known_until[peer] {
                    begun[peer].clear();
                }
            }
            match step {
                Step::Report { peer, loads, lasts } => {
                    let loads: HashMap<usize, u32> = loads.into_iter().collect();
                    let sent = loads.iter().map(|(server, requests)| {
                        let load = Load { requests: *requests, ..Load::default() };
                        (short_id(SERVERS[*server]), load)
                    });
                    book.merge(now + lasts, &peer.to_string(), sent.collect());
                    reported[peer] = loads.into_iter().map(|(s, n)| (s, (n, now + lasts))).collect();
                    begun[peer].clear();
                    known_until[peer] = now + lasts;
                }
                Step::Server { peer, server, requests, lasts } => {
                    let load = Load { requests, ..Load::default() };
                    book.merge_server(now + lasts, &peer.to_string(), short_id(SERVERS[server]), load);
                    reported[peer].insert(server, (requests, now + lasts));
                    known_until[peer] = known_until[peer].max(now + lasts);
                }
                Step::Begun { peer, server, tokens, lasts } => {
                    let work = RequestCost { prompt_tokens: tokens, ..WORK };
                    book.merge_started(now + lasts, &peer.to_string(), short_id(SERVERS[server]), &work);
                    if now < known_until[peer] {
                        begun[peer].push((server, now + lasts));
                    }
                }
                Step::Forget { peer } => {
                    book.forget(&peer.to_string());
                    reported[peer].clear();
                    begun[peer].clear();
                    known_until[peer] = 0;
                }
            }
            for (server, id) in SERVERS.iter().enumerate() {
                let counted: u32 = reported.iter().filter_map(|r| r.get(&server)).map(|(n, _)| n).sum();
                let begun = begun.iter().flatten().filter(|(s, _)| *s == server).count() as u32;
                prop_assert_eq!(book.total(id).requests, counted + begun);
            }
        }
    }
}
