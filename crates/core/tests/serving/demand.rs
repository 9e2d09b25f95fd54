use std::collections::BTreeMap;

use keeljunction_core::serving::demand::{DemandTotals, DemandTracker, RegionTotals, Report};

fn totals(requests: u64) -> DemandTotals {
    DemandTotals { requests, prompt_tokens: requests * 1_000, ..DemandTotals::default() }
}

fn told(requests: u64) -> Vec<(String, Report)> {
    vec![("llm".to_owned(), Report { totals: totals(requests), ..Report::default() })]
}

/// Where no regions are known.
fn in_one_region(requests: u64) -> RegionTotals {
    BTreeMap::from([(String::new(), totals(requests))])
}

fn in_flight<const N: usize>(counts: [(&str, u32); N]) -> BTreeMap<String, u32> {
    counts.map(|(region, count)| (region.to_owned(), count)).into()
}

#[test]
fn demand_is_averaged_from_the_first_request_on() {
    let mut book = DemandTracker::default();
    book.sample(10_000, "llm");
    book.sample(12_000, "llm");
    for step in 1..=10u64 {
        book.count("llm", &totals(1));
        book.sample(12_000 + step * 200, "llm");
    }
    assert_eq!(book.get_recent(14_000, "llm", 4_000), Some((in_one_region(10), 2_000)));
}

#[test]
fn a_short_time_tells_no_demand() {
    let mut book = DemandTracker::default();
    book.sample(10_000, "llm");
    book.count("llm", &totals(1));
    book.sample(11_400, "llm");
    assert_eq!(book.get_recent(11_400, "llm", 4_000), None);
}

#[test]
fn what_a_peer_was_asked_before_it_was_heard_is_no_demand_of_now() {
    let mut book = DemandTracker::default();
    book.sample(10_000, "llm");
    book.merge(10_000, false, ("peer", 1), &told(50_000));
    book.sample(10_200, "llm");
    book.merge(10_000, false, ("peer", 1), &told(50_030));
    book.sample(12_200, "llm");
    assert_eq!(book.get_recent(12_200, "llm", 4_000), Some((in_one_region(30), 2_000)));
}

#[test]
fn a_service_is_untouched_until_some_node_was_asked() {
    let mut book = DemandTracker::default();
    assert!(book.is_never_requested("llm"));
    book.merge(10_000, false, ("peer", 1), &told(0));
    book.count("other", &totals(1));
    assert!(book.is_never_requested("llm"));
    // Also what a peer was asked for before it was first heard.
    book.merge(10_000, false, ("another", 1), &told(3));
    assert!(!book.is_never_requested("llm"));
}

#[test]
fn a_group_reports_what_its_members_were_asked_since_they_were_heard() {
    let report = |requests, in_flight| {
        let region = String::new();
        vec![("llm".to_owned(), Report { region, totals: totals(requests), in_flight })]
    };
    let mut book = DemandTracker::default();
    book.count("llm", &totals(5));
    book.begin_request("llm");
    book.merge(10_000, true, ("member", 1), &report(100, 2));
    book.merge(10_400, true, ("member", 1), &report(110, 3));
    book.merge(10_400, false, ("other", 1), &report(1_000, 7));
    book.merge(10_800, false, ("other", 1), &report(1_030, 8));
    let sum = Report { region: String::new(), totals: totals(15), in_flight: 4 };
    assert_eq!(book.sum_group(10_800), [("llm".to_owned(), sum.clone())]);
    assert_eq!(book.get_in_flight(10_800, "llm"), in_flight([("", 12)]));
    // The member is gone; what it was asked for stays.
    book.forget("member", 1);
    book.end_request("llm");
    assert_eq!(book.sum_group(10_900), [("llm".to_owned(), Report { in_flight: 0, ..sum })]);
    assert_eq!(book.get_in_flight(12_800, "llm"), in_flight([("", 0)]));
}

#[test]
fn demand_stays_apart_by_the_region_where_it_arrives() {
    let report = |region: &str, requests, in_flight| {
        let region = region.to_owned();
        ("llm".to_owned(), Report { region, totals: totals(requests), in_flight })
    };
    let mut book = DemandTracker::new("east");
    book.merge(10_000, true, ("member", 1), &[report("west", 0, 0)]);
    book.merge(10_000, false, ("other", 1), &[report("east", 0, 0), report("west", 0, 0)]);
    book.sample(10_000, "llm");
    book.count("llm", &totals(5));
    book.begin_request("llm");
    book.merge(11_000, true, ("member", 1), &[report("west", 20, 2)]);
    book.merge(11_000, false, ("other", 1), &[report("east", 3, 1), report("west", 100, 8)]);
    book.sample(12_000, "llm");

    let asked = BTreeMap::from([("east".to_owned(), totals(8)), ("west".to_owned(), totals(120))]);
    assert_eq!(book.get_recent(12_000, "llm", 4_000), Some((asked, 2_000)));
    assert_eq!(book.get_in_flight(12_000, "llm"), in_flight([("east", 2), ("west", 10)]));
    // What other aggregators report is not passed on.
    assert_eq!(book.sum_group(12_000), [report("east", 5, 1), report("west", 20, 2)]);
}

#[test]
fn what_a_peer_was_asked_while_it_was_not_heard_is_no_demand_of_now() {
    let mut book = DemandTracker::default();
    book.merge(8_000, false, ("peer", 1), &told(100));
    book.merge(8_200, false, ("peer", 1), &told(110));
    book.sample(8_200, "llm");
    // A cut of a minute between regions.
    book.sample(68_000, "llm");
    book.merge(68_200, false, ("peer", 1), &told(3_000));
    book.sample(68_200, "llm");
    book.merge(68_400, false, ("peer", 1), &told(3_010));
    book.sample(71_000, "llm");
    assert_eq!(book.get_recent(71_000, "llm", 4_000), Some((in_one_region(10), 3_000)));
}
