//! Which requests are refused because servers crash under them, one case at a time.

use std::net::{Ipv4Addr, SocketAddr};

use keeljunction_core::Millis;
use keeljunction_core::serving::quarantine::{
    Content, Crash, Fingerprint, InterruptedRequest, QUARANTINE_PERIOD, Standing, Tracker, Verdict,
};

const SERVICE: u64 = 7;
/// Some time after a crash, when its keeper judges it.
const SETTLED: Millis = 600;

fn fingerprint(number: u64) -> Fingerprint {
    Fingerprint::from_number(number)
}

/// A server that crashed just now, with requests that were sent to it 50 ms before.
fn crash(server: u64, requests: &[u64]) -> Crash {
    let run = |number: &u64| InterruptedRequest { fingerprint: fingerprint(*number), ran_for: 50 };
    Crash { service: SERVICE, server, age: 0, runs: requests.iter().map(run).collect() }
}

/// Lets servers crash one after the other, and returns the requests that are refused then.
fn judge(keeper: &mut Tracker, crashes: &[(Millis, Crash)]) -> Vec<u64> {
    let mut refused = Vec::new();
    let last = crashes.iter().map(|(at, _)| *at).max().unwrap_or(0);
    for now in (0..=last + SETTLED).step_by(10) {
        for (_, crash) in crashes.iter().filter(|(at, _)| *at == now) {
            keeper.merge_report(now, crash);
        }
        refused.extend(list_refused(&keeper.judge(now)));
    }
    refused
}

fn list_refused(verdicts: &[Verdict]) -> Vec<u64> {
    let refused = verdicts.iter().filter(|verdict| verdict.standing == Standing::Quarantined);
    refused.map(|verdict| verdict.fingerprint.get_number()).collect()
}

#[test]
fn a_request_is_refused_after_three_ends_in_a_row() {
    let mut keeper = Tracker::default();
    let crashes =
        [(1_000, crash(1, &[5, 11])), (2_000, crash(2, &[5, 12])), (3_000, crash(3, &[5, 13]))];
    assert_eq!(judge(&mut keeper, &crashes[..2]), Vec::<u64>::new());
    assert_eq!(judge(&mut keeper, &crashes[2..]), [5]);
    let refused_for = keeper.get_quarantine_left(4_000, fingerprint(5)).unwrap_or(0);
    assert!(refused_for > QUARANTINE_PERIOD - 1_000, "{refused_for}");
    assert_eq!(keeper.get_quarantine_left(4_000, fingerprint(11)), None);
}

#[test]
fn a_request_that_ran_beside_each_time_is_refused_only_once_nothing_else_can_be_the_cause() {
    let mut keeper = Tracker::default();
    // The second request goes to the same three servers as the cause, and then elsewhere.
    let crashes = [
        (1_000, crash(1, &[5, 11])),
        (2_000, crash(2, &[5, 11])),
        (3_000, crash(3, &[5, 11])),
        (4_000, crash(4, &[5])),
    ];
    assert_eq!(judge(&mut keeper, &crashes[..3]), Vec::<u64>::new());
    assert_eq!(judge(&mut keeper, &crashes[3..]), [5]);
}

#[test]
fn requests_that_run_together_at_five_servers_that_end_are_both_refused() {
    let mut keeper = Tracker::default();
    let crashes: Vec<_> = (1..=5).map(|n| (n * 1_000, crash(n, &[5, 6]))).collect();
    assert_eq!(judge(&mut keeper, &crashes), [5, 6]);
}

#[test]
fn two_causes_at_different_servers_are_both_refused_and_none_between_them() {
    let mut keeper = Tracker::default();
    // Request 11 ran beside either cause, and at three servers in all.
    let crashes = [
        (1_000, crash(1, &[5, 11])),
        (1_500, crash(2, &[6, 11])),
        (2_000, crash(3, &[5])),
        (2_500, crash(4, &[6])),
        (3_000, crash(5, &[5])),
        (3_500, crash(6, &[6, 11])),
        (4_000, crash(7, &[5])),
        (4_500, crash(8, &[6])),
    ];
    let mut refused = judge(&mut keeper, &crashes);
    refused.sort_unstable();
    assert_eq!(refused, [5, 6]);
}

#[test]
fn a_popular_request_is_not_refused_where_a_data_centre_is_lost() {
    let mut keeper = Tracker::default();
    // All its runs had been sent before the loss: together they are one crash in the row.
    let crashes: Vec<_> = (1..=40).map(|n| (1_000 + n * 10, crash(n, &[9]))).collect();
    let long = |(at, mut crash): (Millis, Crash)| {
        crash.runs[0].ran_for = 900;
        (at, crash)
    };
    let crashes: Vec<_> = crashes.into_iter().map(long).collect();
    assert_eq!(judge(&mut keeper, &crashes), Vec::<u64>::new());
}

#[test]
fn a_request_that_was_answered_whole_is_neither_reported_nor_refused() {
    let mut node = Tracker::default();
    assert_eq!(node.record_completion(500, fingerprint(9)), None);
    for (n, at) in [1_000, 2_000, 3_000].into_iter().enumerate() {
        node.record_crash(at, crash(n as u64, &[9]));
    }
    let keeper = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    assert_eq!(node.take_due(3_000, |_| Some(keeper)), []);
}

#[test]
fn an_answer_at_any_node_clears_a_request_that_is_suspected() {
    let (mut keeper, mut node) = (Tracker::default(), Tracker::default());
    keeper.merge_report(1_000, &crash(1, &[9]));
    keeper.merge_report(2_000, &crash(2, &[9]));
    let suspected = keeper.judge(2_000);
    assert_eq!(suspected.len(), 1);
    assert_eq!(suspected[0].standing, Standing::Suspected);
    assert!(node.merge(50_000, suspected[0]).is_news);
    // It is told once.
    assert_eq!(node.record_completion(50_100, fingerprint(9)), Some(SERVICE));
    assert_eq!(node.record_completion(50_200, fingerprint(9)), None);
    let cleared = keeper.merge_completion(2_300, fingerprint(9)).map(|verdict| verdict.standing);
    assert_eq!(cleared, Some(Standing::Cleared));
    let later = [(3_000, crash(3, &[9])), (4_000, crash(4, &[9]))];
    assert_eq!(judge(&mut keeper, &later), Vec::<u64>::new());
}

#[test]
fn a_node_that_has_served_a_suspected_request_says_so() {
    let mut node = Tracker::default();
    node.record_completion(1_000, fingerprint(9));
    let verdict = verdict(9, Standing::Suspected, 60_000);
    assert!(node.merge(2_000, verdict).is_answered_here);
    assert!(!node.merge(2_100, verdict).is_news);
}

#[test]
fn a_request_that_is_answered_after_all_is_served_again() {
    let mut keeper = Tracker::default();
    let crashes: Vec<_> = (1..=3).map(|n| (n * 1_000, crash(n, &[5]))).collect();
    assert_eq!(judge(&mut keeper, &crashes), [5]);
    // It was running at another server meanwhile.
    let cleared = keeper.merge_completion(4_000, fingerprint(5));
    assert_eq!(cleared.map(|verdict| verdict.standing), Some(Standing::Cleared));
    assert_eq!(keeper.get_quarantine_left(4_000, fingerprint(5)), None);
}

#[test]
fn a_refusal_ends_with_time_and_comes_back_after_one_more_end() {
    let mut keeper = Tracker::default();
    let crashes: Vec<_> = (1..=3).map(|n| (n * 1_000, crash(n, &[5]))).collect();
    assert_eq!(judge(&mut keeper, &crashes), [5]);
    let later = 3_700 + QUARANTINE_PERIOD;
    assert_eq!(keeper.get_quarantine_left(later, fingerprint(5)), None);
    keeper.merge_report(later, &crash(9, &[5, 11]));
    assert_eq!(list_refused(&keeper.judge(later + SETTLED)), [5]);
    assert!(keeper.get_quarantine_left(later + SETTLED, fingerprint(5)).is_some());
}

#[test]
fn the_reports_of_several_nodes_are_one_end_and_a_server_that_is_back_ends_anew() {
    let mut keeper = Tracker::default();
    let same = [(1_000, crash(1, &[5])), (1_100, crash(1, &[5])), (1_300, crash(1, &[5]))];
    assert_eq!(judge(&mut keeper, &same), Vec::<u64>::new());
    // The server comes back under its name, and crashes twice more.
    let again = [(4_000, crash(1, &[5])), (8_000, crash(1, &[5]))];
    assert_eq!(judge(&mut keeper, &again), [5]);
}

#[test]
fn a_keeper_that_takes_the_place_of_another_gets_the_reports_of_the_last_minute() {
    let mut node = Tracker::default();
    let first = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let second = SocketAddr::from((Ipv4Addr::LOCALHOST, 2));
    node.record_crash(1_000, crash(1, &[5]));
    node.record_crash(2_000, crash(2, &[5]));
    for now in [2_000, 2_200, 2_400] {
        let due = node.take_due(now, |_| Some(first));
        assert_eq!(due.len(), 2, "each report is sent three times");
    }
    assert_eq!(node.take_due(2_600, |_| Some(first)), []);
    let due = node.take_due(30_000, |_| Some(second));
    let ages: Vec<_> = due.iter().map(|(keeper, crash)| (*keeper, crash.age)).collect();
    assert_eq!(ages, [(second, 29_000), (second, 28_000)]);
    assert_eq!(node.take_due(62_500, |_| Some(first)), []);
}

#[test]
fn verdicts_do_not_outlive_their_time_by_being_passed_on() {
    let (mut one, mut other) = (Tracker::default(), Tracker::default());
    one.merge(0, verdict(5, Standing::Quarantined, 60_000));
    for now in (100..120_000).step_by(100) {
        for verdict in one.get_gossip_batch(now - 90, 0) {
            other.merge(now, verdict);
        }
        for verdict in other.get_gossip_batch(now, 0) {
            one.merge(now + 9, verdict);
        }
    }
    assert_eq!((one.count_quarantined(80_100), other.count_quarantined(80_100)), (0, 0));
}

#[test]
fn what_is_kept_is_bounded() {
    let mut book = Tracker::default();
    for number in 0..5_000 {
        book.merge(1_000, verdict(number, Standing::Quarantined, 60_000 + number));
        book.merge_report(1_000 + number, &crash(number, &[number, number + 1, number + 2]));
    }
    assert_eq!(book.count_quarantined(1_001), 256);
    assert_eq!(book.get_gossip_batch(1_001, 3).len(), 8);
}

#[test]
fn the_same_content_gives_the_same_fingerprint_and_any_difference_another() {
    let content = Content { account: "acme", host: "h", path: "/a?b", body: b"body" };
    let own = Fingerprint::new(&content);
    assert_eq!(own, Fingerprint::new(&content));
    let others = [
        Content { account: "other", ..content },
        Content { host: "i", ..content },
        Content { path: "/a?c", ..content },
        Content { body: b"bodx", ..content },
        Content { body: b"", ..content },
    ];
    assert!(others.iter().all(|other| Fingerprint::new(other) != own));
}

fn verdict(number: u64, standing: Standing, left: Millis) -> Verdict {
    let fingerprint = fingerprint(number);
    Verdict { fingerprint, service: SERVICE, standing, left, servers_crashed: 3 }
}
