use std::time::Duration;

use keeljunction_core::serving::refusal::Refusal;

#[test]
fn a_request_that_may_have_run_never_gets_a_status_that_denies_it() {
    for refusal in [Refusal::Timeout, Refusal::BrokenAnswer] {
        assert!(refusal.may_have_run());
        assert!(![408, 421, 429, 503].contains(&refusal.get_status()));
        assert_eq!(refusal.get_retry_after(500, 10_000), None);
    }
}

#[test]
fn a_node_without_knowledge_responds_with_503() {
    for refusal in [Refusal::NotConfigured, Refusal::Stale, Refusal::NoServer, Refusal::Busy] {
        assert_eq!(refusal.get_status(), 503);
        assert!(!refusal.may_have_run());
    }
}

#[test]
fn a_node_without_memory_says_when_to_retry_and_that_nothing_has_run() {
    assert_eq!(Refusal::NoMemory.get_status(), 503);
    assert!(!Refusal::NoMemory.may_have_run());
    let wait = Refusal::NoMemory.get_retry_after(400, 15_000);
    assert_eq!(wait, Some(Duration::from_millis(400)));
}

#[test]
fn callers_retry_within_a_third_of_their_remaining_time() {
    assert_eq!(Refusal::Busy.get_retry_after(400, 15_000), Some(Duration::from_millis(400)));
    assert_eq!(Refusal::Busy.get_retry_after(9_000, 3_000), Some(Duration::from_millis(900)));
    assert_eq!(Refusal::OverQuota.get_retry_after(0, 3_000), Some(Duration::from_millis(1)));
}

#[test]
fn a_refusal_that_a_retry_cannot_fix_has_no_retry_time() {
    for refusal in [Refusal::BadRequest, Refusal::NoRoute, Refusal::UnknownKey] {
        assert_eq!(refusal.get_retry_after(400, 15_000), None);
    }
}

#[test]
fn a_stream_that_cannot_go_on_has_not_run_and_has_no_retry_time() {
    for refusal in [Refusal::UnknownStream, Refusal::VersionGone] {
        assert_eq!(refusal.get_status(), 503);
        assert!(!refusal.may_have_run());
        assert_eq!(refusal.get_retry_after(400, 15_000), None);
    }
}
