use keeljunction_core::serving::choice::{Candidate, Choice, Criteria, choose, shortlist};
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::load::Load;

use crate::support::server;

fn servers() -> Vec<Server> {
    ["a", "b", "c"].map(|id| server(id, "z1")).into()
}

fn candidate(server: &Server, requests: u32, tokens: u64) -> Candidate<'_> {
    let mut load = Load { requests, ..Load::default() };
    load.waiting_tokens[1] = tokens;
    Candidate { server, load, is_ejected: false, slowness: 1.0 }
}

fn choose_id(candidates: &[Candidate<'_>], criteria: &Criteria) -> String {
    match choose(candidates, criteria, 7) {
        Choice::Server(server) => server.id.clone(),
        other => format!("{other:?}"),
    }
}

#[test]
fn nothing_is_chosen_without_candidates() {
    assert_eq!(choose(&[], &Criteria::default(), 1), Choice::None);
}

#[test]
fn the_least_loaded_server_is_chosen() {
    let servers = servers();
    let candidates =
        [candidate(&servers[0], 3, 0), candidate(&servers[1], 1, 0), candidate(&servers[2], 2, 0)];
    assert_eq!(choose_id(&candidates, &Criteria::default()), "b");
}

#[test]
fn an_ejected_server_is_used_if_no_other_is_left() {
    let servers = servers();
    let mut candidates = [candidate(&servers[0], 0, 0), candidate(&servers[1], 3, 0)];
    candidates[0].is_ejected = true;
    assert_eq!(choose_id(&candidates, &Criteria::default()), "b");
    assert_eq!(choose_id(&candidates[..1], &Criteria::default()), "a");
}

#[test]
fn prompts_with_a_shared_prefix_go_to_the_same_server() {
    let servers = servers();
    let candidates: Vec<Candidate<'_>> = servers.iter().map(|s| candidate(s, 0, 0)).collect();
    for prefix in 0..50 {
        let criteria =
            Criteria { shared_prefix: Some(prefix), prompt_tokens: 100, ..Criteria::default() };
        let first = choose_id(&candidates, &criteria);
        let without: Vec<Candidate<'_>> =
            candidates.iter().filter(|c| c.server.id != first).copied().collect();
        let second = choose_id(&without, &criteria);
        assert_ne!(first, second);
        assert_eq!(choose_id(&candidates, &criteria), first);
    }
}

#[test]
fn a_server_much_busier_than_the_mean_loses_its_preference() {
    let servers = servers();
    let criteria = Criteria { shared_prefix: Some(3), prompt_tokens: 100, ..Criteria::default() };
    let idle: Vec<Candidate<'_>> = servers.iter().map(|s| candidate(s, 0, 0)).collect();
    let first = choose_id(&idle, &criteria);
    let busy: Vec<Candidate<'_>> = servers
        .iter()
        .map(|s| candidate(s, 1, if s.id == first { 10_000 } else { 1_000 }))
        .collect();
    assert_ne!(choose_id(&busy, &criteria), first);
}

#[test]
fn a_request_that_would_be_late_everywhere_is_refused_with_a_retry_time() {
    let servers = servers();
    let candidates = [candidate(&servers[0], 1, 90_000), candidate(&servers[1], 1, 80_000)];
    let criteria = Criteria {
        prompt_tokens: 10_000,
        priority: 1,
        prefill_rate: Some(50.0),
        ttft_objective: 600,
        ..Criteria::default()
    };
    assert_eq!(choose(&candidates, &criteria, 1), Choice::Busy(1_500));
}

#[test]
fn a_more_urgent_request_does_not_wait_for_the_others() {
    let servers = servers();
    let candidates = [candidate(&servers[0], 1, 90_000)];
    let criteria = Criteria {
        prompt_tokens: 10_000,
        priority: 0,
        prefill_rate: Some(50.0),
        ttft_objective: 600,
        ..Criteria::default()
    };
    assert_eq!(choose_id(&candidates, &criteria), "a");
}

#[test]
fn a_request_is_not_refused_for_its_own_size() {
    let servers = servers();
    let candidates = [candidate(&servers[0], 0, 0)];
    let criteria = Criteria {
        prompt_tokens: 90_000,
        priority: 1,
        prefill_rate: Some(50.0),
        ttft_objective: 600,
        ..Criteria::default()
    };
    assert_eq!(choose_id(&candidates, &criteria), "a");
}

#[test]
fn without_a_known_prefill_rate_nothing_is_refused() {
    let servers = servers();
    let candidates = [candidate(&servers[0], 1, 900_000)];
    let criteria =
        Criteria { prompt_tokens: 10_000, priority: 1, ttft_objective: 600, ..Criteria::default() };
    assert_eq!(choose_id(&candidates, &criteria), "a");
}

#[test]
fn prompts_of_any_length_with_a_shared_prefix_go_to_the_same_idle_server() {
    let servers: Vec<Server> = (0..10).map(|n| server(&format!("s{n}"), "z1")).collect();
    let idle: Vec<Candidate<'_>> = servers.iter().map(|s| candidate(s, 0, 0)).collect();
    for prefix in 0..50 {
        let criteria = |prompt_tokens| Criteria {
            shared_prefix: Some(prefix),
            prompt_tokens,
            prefill_rate: Some(50.0),
            ttft_objective: 10_000,
            gap_objective: Some(500),
            ..Criteria::default()
        };
        assert_eq!(choose_id(&idle, &criteria(200)), choose_id(&idle, &criteria(50_000)));
    }
}

#[test]
fn a_slow_server_counts_its_prompts_for_more() {
    let servers = servers();
    let mut candidates = [candidate(&servers[0], 1, 4_000), candidate(&servers[1], 1, 5_000)];
    let criteria = Criteria { prompt_tokens: 1_000, priority: 1, ..Criteria::default() };
    assert_eq!(choose_id(&candidates, &criteria), "a");
    candidates[0].slowness = 1.25;
    assert_eq!(choose_id(&candidates, &criteria), "b");
}

#[test]
fn a_slow_server_with_the_only_free_slot_is_chosen() {
    let servers = servers();
    let mut candidates =
        [candidate(&servers[0], 0, 0), candidate(&servers[1], servers[1].slots, 0)];
    candidates[0].slowness = 4.0;
    let criteria = Criteria { prompt_tokens: 1_000, ..Criteria::default() };
    assert_eq!(choose_id(&candidates, &criteria), "a");
}

#[test]
fn streams_are_not_stalled_for_a_cached_prompt() {
    let servers = servers();
    let criteria = Criteria {
        shared_prefix: Some(3),
        prompt_tokens: 5_000,
        prefill_rate: Some(50.0),
        ttft_objective: 10_000,
        gap_objective: Some(500),
        ..Criteria::default()
    };
    let idle: Vec<Candidate<'_>> = servers.iter().map(|s| candidate(s, 1, 0)).collect();
    let first = choose_id(&idle, &criteria);
    let reading = |running: u32| -> Vec<Candidate<'_>> {
        let tokens = |id: &str| if id == first { 8_000 } else { 7_900 };
        let mut candidates: Vec<Candidate<'_>> =
            servers.iter().map(|s| candidate(s, 1 + running, tokens(&s.id))).collect();
        candidates.iter_mut().for_each(|c| c.load.waiting = 1);
        candidates
    };
    assert_ne!(choose_id(&reading(1), &criteria), first);
    assert_eq!(choose_id(&reading(0), &criteria), first);
}

fn names(count: usize) -> Vec<Server> {
    (0..count).map(|number| server(&format!("s-{number}"), "z1")).collect()
}

#[test]
fn a_shortlist_contains_the_preferred_server_and_some_others() {
    let servers = names(200);
    let all: Vec<Candidate<'_>> = servers.iter().map(|s| candidate(s, 0, 0)).collect();
    for prefix in 0..20 {
        let criteria =
            Criteria { shared_prefix: Some(prefix), prompt_tokens: 100, ..Criteria::default() };
        let drawn = shortlist(servers.iter(), &criteria, prefix * 7 + 1, false, |_| true);
        let mut ids: Vec<&str> = drawn.iter().map(|server| server.id.as_str()).collect();
        assert!(ids.contains(&choose_id(&all, &criteria).as_str()));
        ids.sort_unstable();
        ids.dedup();
        assert_eq!(ids.len(), 5);
    }
}

#[test]
fn a_shortlist_without_a_prefix_is_drawn_anew_each_time() {
    let servers = names(200);
    let drawn = |random| -> Vec<&str> {
        let drawn = shortlist(servers.iter(), &Criteria::default(), random, false, |_| true);
        drawn.into_iter().map(|server| server.id.as_str()).collect()
    };
    assert_eq!(drawn(1).len(), 3);
    let different: std::collections::BTreeSet<Vec<&str>> = (0..50).map(drawn).collect();
    assert!(different.len() > 45, "{}", different.len());
}

#[test]
fn a_shortlist_of_few_servers_contains_them_all_and_a_wide_one_more() {
    let few = names(3);
    let criteria = Criteria { shared_prefix: Some(1), ..Criteria::default() };
    assert_eq!(shortlist(few.iter(), &criteria, 1, false, |_| true).len(), 3);
    assert_eq!(shortlist(few[..0].iter(), &criteria, 1, false, |_| true).len(), 0);
    assert_eq!(shortlist(names(200).iter(), &criteria, 1, true, |_| true).len(), 14);
}

#[test]
fn a_choice_checks_few_of_many_servers() {
    let criteria = Criteria { shared_prefix: Some(7), ..Criteria::default() };
    for count in [1_000, 10_000, 20_000] {
        let servers = names(count);
        let checked = std::cell::Cell::new(0);
        let is_usable = |server: &Server| {
            checked.set(checked.get() + 1);
            !server.id.ends_with('0')
        };
        for random in 0..100 {
            let drawn = shortlist(servers.iter(), &criteria, random, false, is_usable);
            assert_eq!(drawn.len(), 5);
        }
        assert!(checked.get() <= 100 * 20, "{} of {count}", checked.get());
    }
}

#[test]
fn the_preferred_servers_are_picked_from_all_usable_ones() {
    let criteria = Criteria { shared_prefix: Some(7), ..Criteria::default() };
    let servers = names(10_000);
    let first = shortlist(servers.iter(), &criteria, 1, false, |_| true);
    let others = shortlist(servers.iter(), &criteria, 2, false, |_| true);
    assert_eq!(first[..2], others[..2]);
    // If the first servers are not usable, the next ones are drawn, as if the first did not exist.
    let without = servers.iter().filter(|server| !first[..2].contains(server));
    let next = shortlist(without, &criteria, 1, false, |_| true);
    let is_usable = |server: &Server| !first[..2].contains(&server);
    let drawn = shortlist(servers.iter(), &criteria, 1, false, is_usable);
    assert_eq!(drawn[..2], next[..2]);
}

#[test]
fn a_single_usable_server_of_many_is_found() {
    let criteria = Criteria { shared_prefix: Some(7), ..Criteria::default() };
    let servers = names(10_000);
    for shared_prefix in [None, Some(7)] {
        let criteria = Criteria { shared_prefix, ..criteria };
        let drawn = shortlist(servers.iter(), &criteria, 1, false, |s| s.id == servers[4_321].id);
        assert_eq!(drawn, [&servers[4_321]]);
    }
}
