//! Requests that are quarantined because servers crash while they run them, one case at a time.

use std::net::{Ipv4Addr, SocketAddr};

use keeljunction_core::Millis;
use keeljunction_core::serving::quarantine::{
    Content, Crash, Fingerprint, InterruptedRequest, QUARANTINE_PERIOD_MS, Report, Standing,
    Tracker, Verdict,
};

const SERVICE: u64 = 7;
/// Time after a crash at which its owner has judged it, in milliseconds.
const SETTLE_MS: Millis = 600;

fn fingerprint(number: u64) -> Fingerprint {
    Fingerprint::from_number(number)
}

/// A server that crashed just now, with requests that were sent to it 50 ms before.
fn crash(server: u64, requests: &[u64]) -> Crash {
    let run = |number: &u64| InterruptedRequest { fingerprint: fingerprint(*number), ran_for: 50 };
    Crash { service: SERVICE, server, age: 0, runs: requests.iter().map(run).collect() }
}

/// Reports crashes one after the other, and returns the requests that are quarantined because of
/// them.
fn judge(owner: &mut Tracker, crashes: &[(Millis, Crash)]) -> Vec<u64> {
    let mut quarantined = Vec::new();
    let last = crashes.iter().map(|(at, _)| *at).max().unwrap_or(0);
    for now in (0..=last + SETTLE_MS).step_by(10) {
        for (_, crash) in crashes.iter().filter(|(at, _)| *at == now) {
            owner.merge_report(now, crash);
        }
        quarantined.extend(list_quarantined(&owner.judge(now)));
    }
    quarantined
}

fn list_quarantined(verdicts: &[Verdict]) -> Vec<u64> {
    let quarantined = verdicts.iter().filter(|verdict| verdict.standing == Standing::Quarantined);
    quarantined.map(|verdict| verdict.fingerprint.get_number()).collect()
}

#[test]
fn a_request_is_quarantined_after_three_consecutive_crashes() {
    let mut owner = Tracker::default();
    let crashes =
        [(1_000, crash(1, &[5, 11])), (2_000, crash(2, &[5, 12])), (3_000, crash(3, &[5, 13]))];
    assert_eq!(judge(&mut owner, &crashes[..2]), Vec::<u64>::new());
    assert_eq!(judge(&mut owner, &crashes[2..]), [5]);
    let remaining = owner.get_quarantine_remaining(4_000, fingerprint(5)).unwrap_or(0);
    assert!(remaining > QUARANTINE_PERIOD_MS - 1_000, "{remaining}");
    assert_eq!(owner.get_quarantine_remaining(4_000, fingerprint(11)), None);
}

#[test]
fn a_concurrent_request_delays_the_quarantine_until_the_cause_is_certain() {
    let mut owner = Tracker::default();
    // The second request is sent to the same three servers as the cause, and then elsewhere.
    let crashes = [
        (1_000, crash(1, &[5, 11])),
        (2_000, crash(2, &[5, 11])),
        (3_000, crash(3, &[5, 11])),
        (4_000, crash(4, &[5])),
    ];
    assert_eq!(judge(&mut owner, &crashes[..3]), Vec::<u64>::new());
    assert_eq!(judge(&mut owner, &crashes[3..]), [5]);
}

#[test]
fn two_requests_that_ran_together_in_five_crashes_are_both_quarantined() {
    let mut owner = Tracker::default();
    let crashes: Vec<_> = (1..=5).map(|n| (n * 1_000, crash(n, &[5, 6]))).collect();
    assert_eq!(judge(&mut owner, &crashes), [5, 6]);
}

#[test]
fn two_causes_at_different_servers_are_both_quarantined_and_nothing_else_is() {
    let mut owner = Tracker::default();
    // Request 11 ran next to both causes, at three servers in total.
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
    let mut quarantined = judge(&mut owner, &crashes);
    quarantined.sort_unstable();
    assert_eq!(quarantined, [5, 6]);
}

#[test]
fn a_popular_request_is_not_quarantined_when_a_data_centre_is_lost() {
    let mut owner = Tracker::default();
    // All attempts were sent before the loss, so together they count as one consecutive crash.
    let crashes: Vec<_> = (1..=40).map(|n| (1_000 + n * 10, crash(n, &[9]))).collect();
    let long = |(at, mut crash): (Millis, Crash)| {
        crash.runs[0].ran_for = 900;
        (at, crash)
    };
    let crashes: Vec<_> = crashes.into_iter().map(long).collect();
    assert_eq!(judge(&mut owner, &crashes), Vec::<u64>::new());
}

#[test]
fn a_completed_request_is_neither_reported_nor_quarantined() {
    let mut node = Tracker::default();
    assert_eq!(node.record_completion(500, fingerprint(9)), None);
    for (n, at) in [1_000, 2_000, 3_000].into_iter().enumerate() {
        node.record_crash(at, crash(n as u64, &[9]));
    }
    let owner = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    assert_eq!(node.take_due(3_000, |_| Some(owner)), []);
}

#[test]
fn a_completion_at_any_node_clears_a_suspected_request() {
    let (mut owner, mut node) = (Tracker::default(), Tracker::default());
    owner.merge_report(1_000, &crash(1, &[9]));
    owner.merge_report(2_000, &crash(2, &[9]));
    let suspected = owner.judge(2_000);
    assert_eq!(suspected.len(), 1);
    assert_eq!(suspected[0].standing, Standing::Suspected);
    assert!(node.merge(50_000, suspected[0]).is_news);
    // The owner is told once.
    assert_eq!(node.record_completion(50_100, fingerprint(9)), Some(SERVICE));
    assert_eq!(node.record_completion(50_200, fingerprint(9)), None);
    let cleared = owner.merge_completion(2_300, fingerprint(9)).map(|verdict| verdict.standing);
    assert_eq!(cleared, Some(Standing::Cleared));
    let later = [(3_000, crash(3, &[9])), (4_000, crash(4, &[9]))];
    assert_eq!(judge(&mut owner, &later), Vec::<u64>::new());
}

#[test]
fn a_node_that_completed_a_suspected_request_says_so() {
    let mut node = Tracker::default();
    node.record_completion(1_000, fingerprint(9));
    let verdict = verdict(9, Standing::Suspected, 60_000);
    assert!(node.merge(2_000, verdict).is_answered_here);
    assert!(!node.merge(2_100, verdict).is_news);
}

#[test]
fn a_quarantined_request_that_completes_is_served_again() {
    let mut owner = Tracker::default();
    let crashes: Vec<_> = (1..=3).map(|n| (n * 1_000, crash(n, &[5]))).collect();
    assert_eq!(judge(&mut owner, &crashes), [5]);
    // It was still running at another server.
    let cleared = owner.merge_completion(4_000, fingerprint(5));
    assert_eq!(cleared.map(|verdict| verdict.standing), Some(Standing::Cleared));
    assert_eq!(owner.get_quarantine_remaining(4_000, fingerprint(5)), None);
}

#[test]
fn a_quarantine_expires_and_returns_after_one_more_crash() {
    let mut owner = Tracker::default();
    let crashes: Vec<_> = (1..=3).map(|n| (n * 1_000, crash(n, &[5]))).collect();
    assert_eq!(judge(&mut owner, &crashes), [5]);
    let later = 3_700 + QUARANTINE_PERIOD_MS;
    assert_eq!(owner.get_quarantine_remaining(later, fingerprint(5)), None);
    owner.merge_report(later, &crash(9, &[5, 11]));
    assert_eq!(list_quarantined(&owner.judge(later + SETTLE_MS)), [5]);
    assert!(owner.get_quarantine_remaining(later + SETTLE_MS, fingerprint(5)).is_some());
}

#[test]
fn the_reports_of_several_nodes_are_one_crash_and_a_restarted_server_may_crash_again() {
    let mut owner = Tracker::default();
    let same = [(1_000, crash(1, &[5])), (1_100, crash(1, &[5])), (1_300, crash(1, &[5]))];
    assert_eq!(judge(&mut owner, &same), Vec::<u64>::new());
    // The server returns under its name, and crashes twice more.
    let again = [(4_000, crash(1, &[5])), (8_000, crash(1, &[5]))];
    assert_eq!(judge(&mut owner, &again), [5]);
}

#[test]
fn a_new_owner_gets_the_reports_of_the_last_minute() {
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
    let get_age = |report: &Report| match report {
        Report::Requests(crash) => crash.age,
        Report::Prompts(crash) => crash.age,
    };
    let ages: Vec<_> = due.iter().map(|(owner, report)| (*owner, get_age(report))).collect();
    assert_eq!(ages, [(second, 29_000), (second, 28_000)]);
    assert_eq!(node.take_due(62_500, |_| Some(first)), []);
}

#[test]
fn gossip_does_not_extend_verdicts() {
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
fn the_state_is_bounded() {
    let mut tracker = Tracker::default();
    for number in 0..5_000 {
        tracker.merge(1_000, verdict(number, Standing::Quarantined, 60_000 + number));
        tracker.merge_report(1_000 + number, &crash(number, &[number, number + 1, number + 2]));
    }
    assert_eq!(tracker.count_quarantined(1_001), 256);
    assert_eq!(tracker.get_gossip_batch(1_001, 3).len(), 8);
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
