use keeljunction_core::serving::health::Health;

#[test]
fn one_failure_is_tolerated() {
    let mut health = Health::default();
    assert_eq!(health.record_failure(1_000, "a"), None);
    assert!(!health.is_ejected(1_000, "a"));
}

#[test]
fn consecutive_failures_double_the_ejection_up_to_a_limit() {
    let mut health = Health::default();
    let ejections: Vec<Option<u64>> = (0..8).map(|_| health.record_failure(1_000, "a")).collect();
    let expected = [
        None,
        Some(250),
        Some(500),
        Some(1_000),
        Some(2_000),
        Some(4_000),
        Some(4_000),
        Some(4_000),
    ];
    assert_eq!(ejections, expected);
    assert!(health.is_ejected(4_999, "a"));
    assert!(!health.is_ejected(5_000, "a"));
}

#[test]
fn a_good_response_ends_the_ejection() {
    let mut health = Health::default();
    health.record_failure(1_000, "a");
    health.record_failure(1_000, "a");
    health.record_success("a");
    assert!(!health.is_ejected(1_000, "a"));
    assert_eq!(health.record_failure(1_000, "a"), None);
}

#[test]
fn an_unreachable_server_is_ejected_at_once() {
    let mut health = Health::default();
    health.record_connect_failure(1_000, "a");
    assert!(health.is_ejected(1_000, "a"));
}

#[test]
fn a_server_that_was_unreachable_gets_its_share_back_within_two_seconds() {
    let mut health = Health::default();
    health.record_connect_failure(1_000, "a");
    health.record_success("a");
    assert!(!health.is_ejected(1_000, "a"));
    let is_ramping = |now| [0.0, 0.3, 0.7, 1.0].map(|draw| health.is_ramping(now, "a", draw));
    assert_eq!(is_ramping(1_250), [true, true, true, false]);
    assert_eq!(is_ramping(2_250), [true, true, false, false]);
    assert_eq!(is_ramping(3_250), [false, false, false, false]);
    assert_eq!(is_ramping(9_000), [false, false, false, false]);
}

#[test]
fn a_server_that_only_failed_requests_gets_its_share_back_at_once() {
    let mut health = Health::default();
    health.record_failure(1_000, "a");
    health.record_failure(1_000, "a");
    assert!(!health.is_ramping(1_250, "a", 0.0));
}

#[test]
fn a_server_gets_its_share_back_gradually_after_a_back_off() {
    let mut health = Health::default();
    health.record_back_off("a", 3_000);
    assert!(!health.is_ejected(1_000, "a"));
    assert!(health.is_ramping(3_000, "a", 0.5));
    assert!(!health.is_ramping(4_500, "a", 0.5));
    assert!(!health.is_ramping(5_000, "a", 0.0001));
    // A good response does not shorten the ramp.
    health.record_success("a");
    assert!(health.is_ramping(3_000, "a", 0.5));
}
