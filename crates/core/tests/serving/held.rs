use keeljunction_core::serving::in_flight_bytes::{Limiter, MIN_SUSPECT_BYTES};

fn limiter_with(id: &str, bytes: u64) -> Limiter {
    let mut limiter = Limiter::default();
    limiter.begin(id, bytes);
    limiter
}

#[test]
fn bytes_are_in_flight_until_their_requests_end() {
    let mut limiter = limiter_with("a", 100);
    limiter.begin("a", 50);
    limiter.begin("b", 7);
    assert_eq!((limiter.get("a"), limiter.get("b"), limiter.get_total()), (150, 7, 157));
    limiter.end("a", 100);
    limiter.end("b", 7);
    assert_eq!((limiter.get("a"), limiter.get("b"), limiter.get_total()), (50, 0, 50));
}

#[test]
fn a_service_without_disconnects_has_no_limit() {
    let limiter = limiter_with("a", 1 << 40);
    assert_eq!(limiter.get_limit(1_000, "llm"), None);
    assert!(!limiter.is_full(1_000, "llm", "a", 1 << 40));
}

#[test]
fn a_disconnect_with_many_bytes_in_flight_lowers_the_limit_of_the_service() {
    let mut limiter = limiter_with("a", 1_000_000);
    assert_eq!(limiter.record_disconnect(1_000, "llm", "a"), Some(500_000));
    limiter.begin("b", 400_000);
    assert!(limiter.is_full(1_000, "llm", "b", 100_001));
    assert!(!limiter.is_full(1_000, "llm", "b", 100_000));
    assert!(!limiter.is_full(1_000, "orders", "b", 100_001));
}

#[test]
fn a_disconnect_with_few_bytes_in_flight_lowers_nothing() {
    let mut limiter = limiter_with("a", MIN_SUSPECT_BYTES - 1);
    assert_eq!(limiter.record_disconnect(1_000, "llm", "a"), None);
    assert_eq!(limiter.get_limit(1_000, "llm"), None);
}

#[test]
fn one_request_is_not_too_large_for_an_idle_server() {
    let mut limiter = limiter_with("a", 1_000_000);
    limiter.record_disconnect(1_000, "llm", "a");
    assert!(!limiter.is_full(1_000, "llm", "b", 9_000_000));
}

#[test]
fn a_limit_falls_with_each_disconnect_down_to_the_minimum() {
    let mut limiter = limiter_with("a", 100_000);
    assert_eq!(limiter.record_disconnect(1_000, "llm", "a"), Some(50_000));
    assert_eq!(limiter.record_disconnect(1_001, "llm", "a"), Some(50_000));
    limiter.end("a", 60_000);
    assert_eq!(limiter.record_disconnect(1_002, "llm", "a"), Some(MIN_SUSPECT_BYTES));
}

#[test]
fn a_limit_doubles_every_five_seconds_and_expires_after_forty() {
    let mut limiter = limiter_with("a", 1_000_000);
    limiter.record_disconnect(1_000, "llm", "a");
    let limits = [5_999, 6_000, 11_000, 40_999, 41_000].map(|now| limiter.get_limit(now, "llm"));
    let expected = [Some(500_000), Some(1_000_000), Some(2_000_000), Some(64_000_000), None];
    assert_eq!(limits, expected);
}
