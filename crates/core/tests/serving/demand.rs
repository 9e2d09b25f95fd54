use keeljunction_core::serving::demand::{DemandBook, DemandTotals};

fn totals(requests: u64) -> DemandTotals {
    DemandTotals { requests, prompt_tokens: requests * 1_000, ..DemandTotals::default() }
}

fn told(requests: u64) -> Vec<(String, DemandTotals)> {
    vec![("llm".to_owned(), totals(requests))]
}

#[test]
fn demand_is_averaged_from_the_first_request_on() {
    let mut book = DemandBook::default();
    book.sample(10_000, "llm");
    book.sample(12_000, "llm");
    for step in 1..=10u64 {
        book.count("llm", &totals(1));
        book.sample(12_000 + step * 200, "llm");
    }
    assert_eq!(book.within(14_000, "llm", 4_000), Some((totals(10), 2_000)));
}

#[test]
fn a_short_time_tells_no_demand() {
    let mut book = DemandBook::default();
    book.sample(10_000, "llm");
    book.count("llm", &totals(1));
    book.sample(11_400, "llm");
    assert_eq!(book.within(11_400, "llm", 4_000), None);
}

#[test]
fn what_a_peer_was_asked_before_it_was_heard_is_no_demand_of_now() {
    let mut book = DemandBook::default();
    book.sample(10_000, "llm");
    book.merge("peer", 1, &told(50_000));
    book.sample(10_200, "llm");
    book.merge("peer", 1, &told(50_030));
    book.sample(12_200, "llm");
    assert_eq!(book.within(12_200, "llm", 4_000), Some((totals(30), 2_000)));
}

#[test]
fn a_service_is_untouched_until_some_node_was_asked() {
    let mut book = DemandBook::default();
    assert!(book.is_untouched("llm"));
    book.merge("peer", 1, &told(0));
    book.count("other", &totals(1));
    assert!(book.is_untouched("llm"));
    // Also what a peer was asked for before it was first heard.
    book.merge("another", 1, &told(3));
    assert!(!book.is_untouched("llm"));
}
