//! Routing of requests to backend servers.

use keeljunction_core::route::{
    BLOCK_TOKENS, LoadReport, PrefixIndex, Request, Server, choose, hash_blocks,
};
use proptest::prelude::*;

fn servers(count: usize) -> Vec<Server> {
    (0..count).map(|n| Server::new(&format!("s{n}"), "127.0.0.1:1", "x", 8)).collect()
}

fn prompt(words: usize) -> String {
    (0..words).map(|n| format!("w{n} ")).collect()
}

fn request(prefix: &[u64], tokens: u64, priority: u32) -> Request<'_> {
    Request { prompt_tokens: tokens, prefix, priority, avoid: &[] }
}

fn chosen(servers: &[Server], index: &PrefixIndex, request: &Request<'_>) -> Option<String> {
    choose(10_000, servers, index, 1_000, request).map(|choice| servers[choice.index].name.clone())
}

#[test]
fn a_prompt_is_routed_to_the_server_that_caches_its_prefix() {
    let servers = servers(3);
    let mut index = PrefixIndex::new(100);
    let prefix = hash_blocks(&prompt(320));
    index.insert("s2", &prefix);
    assert_eq!(chosen(&servers, &index, &request(&prefix, 320, 1)), Some("s2".to_owned()));
}

#[test]
fn an_overloaded_server_is_skipped_despite_its_cache() {
    let mut servers = servers(3);
    servers[2].in_flight = 5;
    let mut index = PrefixIndex::new(100);
    let prefix = hash_blocks(&prompt(320));
    index.insert("s2", &prefix);
    assert_eq!(chosen(&servers, &index, &request(&prefix, 320, 1)), Some("s0".to_owned()));
}

#[test]
fn a_leaving_full_avoided_or_failed_server_gets_nothing() {
    let mut servers = servers(5);
    servers[0].is_leaving = true;
    servers[1].in_flight = 8;
    servers[3].failed_at = Some(9_500);
    let avoid = ["s2".to_owned()];
    let request = Request { avoid: &avoid, ..request(&[], 10, 0) };
    assert_eq!(chosen(&servers, &PrefixIndex::new(1), &request), Some("s4".to_owned()));
}

#[test]
fn the_last_slots_are_reserved_for_the_most_urgent_class() {
    let mut servers = servers(1);
    servers[0].in_flight = 7;
    assert_eq!(chosen(&servers, &PrefixIndex::new(1), &request(&[], 10, 1)), None);
    assert_eq!(chosen(&servers, &PrefixIndex::new(1), &request(&[], 10, 0)), Some("s0".to_owned()));
}

#[test]
fn a_quarter_of_the_servers_is_kept_free_of_long_prompts() {
    let mut servers = servers(4);
    for server in servers.iter_mut().take(3) {
        server.long_prompts = 1;
        server.backlog_tokens = 50_000;
    }
    let long = chosen(&servers, &PrefixIndex::new(1), &request(&[], 5_000, 1));
    assert_ne!(long, Some("s3".to_owned()));
    assert_eq!(chosen(&servers, &PrefixIndex::new(1), &request(&[], 50, 0)), Some("s3".to_owned()));
}

#[test]
fn an_old_load_report_is_ignored() {
    let mut servers = servers(2);
    servers[0].report = Some(LoadReport { at: 1_000, requests: 8, queued_tokens: 90_000 });
    assert_eq!(chosen(&servers, &PrefixIndex::new(1), &request(&[], 10, 0)), Some("s0".to_owned()));
    servers[0].report = Some(LoadReport { at: 9_000, requests: 8, queued_tokens: 90_000 });
    assert_eq!(chosen(&servers, &PrefixIndex::new(1), &request(&[], 10, 0)), Some("s1".to_owned()));
}

#[test]
fn a_gap_in_cache_events_clears_the_index_of_the_server() {
    let mut index = PrefixIndex::new(100);
    let prefix = hash_blocks(&prompt(64));
    assert!(index.apply("s0", 0, &prefix, &[]));
    assert_eq!(index.cached_tokens("s0", &prefix), 64);
    assert!(!index.apply("s0", 2, &[], &[]), "event 1 is missing");
    assert_eq!(index.cached_tokens("s0", &prefix), 0);
    assert!(index.apply("s0", 1, &prefix, &[]), "an old event is ignored");
    assert_eq!(index.cached_tokens("s0", &prefix), 0);
}

#[test]
fn an_evicted_block_ends_the_prefix() {
    let mut index = PrefixIndex::new(100);
    let prefix = hash_blocks(&prompt(64));
    index.insert("s0", &prefix);
    index.apply("s0", 0, &[], &prefix[2..3]);
    assert_eq!(index.cached_tokens("s0", &prefix), 2 * BLOCK_TOKENS as u64);
}

proptest! {
    /// For any prompts, the index keeps at most its bound of blocks per server.
    #[test]
    fn the_index_is_bounded(sent in prop::collection::vec(prop::collection::vec(0..200u64, 1..20), 1..60)) {
        let mut index = PrefixIndex::new(50);
        for prefix in &sent {
            index.insert("s0", prefix);
        }
        let known = (0..200u64).filter(|block| index.cached_tokens("s0", &[*block]) > 0).count();
        prop_assert!(known <= 50, "{known}");
        let last = sent.last().and_then(|prefix| prefix.last()).expect("a block");
        prop_assert!(index.cached_tokens("s0", &[*last]) > 0, "the latest block is kept");
    }

    /// Two prompts share exactly the blocks of their common prefix.
    #[test]
    fn block_hashes_identify_whole_prefixes(common in 0..10usize, other in 1..5usize) {
        let start = prompt(common * BLOCK_TOKENS);
        let left = hash_blocks(&format!("{start}{}", "l ".repeat(other * BLOCK_TOKENS)));
        let right = hash_blocks(&format!("{start}{}", "r ".repeat(other * BLOCK_TOKENS)));
        let shared = left.iter().zip(&right).take_while(|(l, r)| l == r).count();
        prop_assert_eq!(shared, common);
    }
}
