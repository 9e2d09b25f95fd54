use std::collections::BTreeMap;

use keeljunction_core::serving::demand::{DemandTotals, DemandTracker, RegionTotals, Report};

fn totals(requests: u64) -> DemandTotals {
    DemandTotals { requests, prompt_tokens: requests * 1_000, ..DemandTotals::default() }
}

fn reported(requests: u64) -> Vec<(String, Report)> {
    vec![("llm".to_owned(), Report { totals: totals(requests), ..Report::default() })]
}

/// Returns the totals of a deployment without regions.
fn in_one_region(requests: u64) -> RegionTotals {
    BTreeMap::from([(String::new(), totals(requests))])
}

fn in_flight<const N: usize>(counts: [(&str, u32); N]) -> BTreeMap<String, u32> {
    counts.map(|(region, count)| (region.to_owned(), count)).into()
}

#[test]
fn demand_is_averaged_from_the_first_request_on() {
    let mut tracker = DemandTracker::default();
    tracker.sample(10_000, "llm");
    tracker.sample(12_000, "llm");
    for step in 1..=10u64 {
        tracker.count("llm", &totals(1));
        tracker.sample(12_000 + step * 200, "llm");
    }
    assert_eq!(tracker.get_recent(14_000, "llm", 4_000), Some((in_one_region(10), 2_000)));
}

#[test]
fn a_short_time_gives_no_demand() {
    let mut tracker = DemandTracker::default();
    tracker.sample(10_000, "llm");
    tracker.count("llm", &totals(1));
    tracker.sample(11_400, "llm");
    assert_eq!(tracker.get_recent(11_400, "llm", 4_000), None);
}

#[test]
fn requests_of_a_peer_before_it_was_heard_are_no_current_demand() {
    let mut tracker = DemandTracker::default();
    tracker.sample(10_000, "llm");
    tracker.merge(10_000, false, ("peer", 1), &reported(50_000));
    tracker.sample(10_200, "llm");
    tracker.merge(10_000, false, ("peer", 1), &reported(50_030));
    tracker.sample(12_200, "llm");
    assert_eq!(tracker.get_recent(12_200, "llm", 4_000), Some((in_one_region(30), 2_000)));
}

#[test]
fn a_service_is_never_requested_until_a_node_gets_a_request() {
    let mut tracker = DemandTracker::default();
    assert!(tracker.is_never_requested("llm"));
    tracker.merge(10_000, false, ("peer", 1), &reported(0));
    tracker.count("other", &totals(1));
    assert!(tracker.is_never_requested("llm"));
    // Requests that a peer received before it was first heard count as well.
    tracker.merge(10_000, false, ("another", 1), &reported(3));
    assert!(!tracker.is_never_requested("llm"));
}

#[test]
fn a_group_reports_the_requests_of_its_members_since_they_were_heard() {
    let report = |requests, in_flight| {
        let region = String::new();
        vec![("llm".to_owned(), Report { region, totals: totals(requests), in_flight })]
    };
    let mut tracker = DemandTracker::default();
    tracker.count("llm", &totals(5));
    tracker.begin_request("llm");
    tracker.merge(10_000, true, ("member", 1), &report(100, 2));
    tracker.merge(10_400, true, ("member", 1), &report(110, 3));
    tracker.merge(10_400, false, ("other", 1), &report(1_000, 7));
    tracker.merge(10_800, false, ("other", 1), &report(1_030, 8));
    let sum = Report { region: String::new(), totals: totals(15), in_flight: 4 };
    assert_eq!(tracker.sum_group(10_800), [("llm".to_owned(), sum.clone())]);
    assert_eq!(tracker.get_in_flight(10_800, "llm"), in_flight([("", 12)]));
    // The member has left; its earlier requests still count.
    tracker.forget("member", 1);
    tracker.end_request("llm");
    assert_eq!(tracker.sum_group(10_900), [("llm".to_owned(), Report { in_flight: 0, ..sum })]);
    assert_eq!(tracker.get_in_flight(12_800, "llm"), in_flight([("", 0)]));
}

#[test]
fn demand_is_separated_by_the_region_where_it_arrives() {
    let report = |region: &str, requests, in_flight| {
        let region = region.to_owned();
        ("llm".to_owned(), Report { region, totals: totals(requests), in_flight })
    };
    let mut tracker = DemandTracker::new("east");
    tracker.merge(10_000, true, ("member", 1), &[report("west", 0, 0)]);
    tracker.merge(10_000, false, ("other", 1), &[report("east", 0, 0), report("west", 0, 0)]);
    tracker.sample(10_000, "llm");
    tracker.count("llm", &totals(5));
    tracker.begin_request("llm");
    tracker.merge(11_000, true, ("member", 1), &[report("west", 20, 2)]);
    tracker.merge(11_000, false, ("other", 1), &[report("east", 3, 1), report("west", 100, 8)]);
    tracker.sample(12_000, "llm");

    let requested =
        BTreeMap::from([("east".to_owned(), totals(8)), ("west".to_owned(), totals(120))]);
    assert_eq!(tracker.get_recent(12_000, "llm", 4_000), Some((requested, 2_000)));
    assert_eq!(tracker.get_in_flight(12_000, "llm"), in_flight([("east", 2), ("west", 10)]));
    // Reports from other aggregators are not passed on.
    assert_eq!(tracker.sum_group(12_000), [report("east", 5, 1), report("west", 20, 2)]);
}

#[test]
fn requests_of_a_peer_while_it_was_not_heard_are_no_current_demand() {
    let mut tracker = DemandTracker::default();
    tracker.merge(8_000, false, ("peer", 1), &reported(100));
    tracker.merge(8_200, false, ("peer", 1), &reported(110));
    tracker.sample(8_200, "llm");
    // The regions are partitioned for a minute.
    tracker.sample(68_000, "llm");
    tracker.merge(68_200, false, ("peer", 1), &reported(3_000));
    tracker.sample(68_200, "llm");
    tracker.merge(68_400, false, ("peer", 1), &reported(3_010));
    tracker.sample(71_000, "llm");
    assert_eq!(tracker.get_recent(71_000, "llm", 4_000), Some((in_one_region(10), 3_000)));
}
