use keeljunction_core::serving::health::Health;

#[test]
fn one_failure_is_tolerated() {
    let mut health = Health::default();
    assert_eq!(health.record_failure(1_000, "a"), None);
    assert!(!health.is_ejected(1_000, "a"));
}

#[test]
fn failures_in_a_row_double_the_pause_up_to_a_bound() {
    let mut health = Health::default();
    let pauses: Vec<Option<u64>> = (0..8).map(|_| health.record_failure(1_000, "a")).collect();
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
    assert_eq!(pauses, expected);
    assert!(health.is_ejected(4_999, "a"));
    assert!(!health.is_ejected(5_000, "a"));
}

#[test]
fn a_good_answer_ends_the_pause() {
    let mut health = Health::default();
    health.record_failure(1_000, "a");
    health.record_failure(1_000, "a");
    health.record_success("a");
    assert!(!health.is_ejected(1_000, "a"));
    assert_eq!(health.record_failure(1_000, "a"), None);
}

#[test]
fn a_server_that_cannot_be_reached_is_passed_over_at_once() {
    let mut health = Health::default();
    health.record_connect_failure(1_000, "a");
    assert!(health.is_ejected(1_000, "a"));
}

#[test]
fn a_server_that_was_out_of_reach_gets_its_work_back_within_two_seconds() {
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
fn a_server_that_failed_requests_only_gets_its_work_back_at_once() {
    let mut health = Health::default();
    health.record_failure(1_000, "a");
    health.record_failure(1_000, "a");
    assert!(!health.is_ramping(1_250, "a", 0.0));
}

#[test]
fn a_server_gets_its_work_back_gradually_after_a_back_off() {
    let mut health = Health::default();
    health.record_back_off("a", 3_000);
    assert!(!health.is_ejected(1_000, "a"));
    assert!(health.is_ramping(3_000, "a", 0.5));
    assert!(!health.is_ramping(4_500, "a", 0.5));
    assert!(!health.is_ramping(5_000, "a", 0.0001));
    // A good answer does not shorten that.
    health.record_success("a");
    assert!(health.is_ramping(3_000, "a", 0.5));
}
