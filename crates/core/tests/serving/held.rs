use keeljunction_core::serving::in_flight_bytes::{Limiter, MIN_SUSPECT_BYTES};

fn book_with(id: &str, bytes: u64) -> Limiter {
    let mut book = Limiter::default();
    book.begin(id, bytes);
    book
}

#[test]
fn bytes_lie_at_a_server_until_their_requests_end() {
    let mut book = book_with("a", 100);
    book.begin("a", 50);
    book.begin("b", 7);
    assert_eq!((book.get("a"), book.get("b"), book.get_total()), (150, 7, 157));
    book.end("a", 100);
    book.end("b", 7);
    assert_eq!((book.get("a"), book.get("b"), book.get_total()), (50, 0, 50));
}

#[test]
fn nothing_bounds_a_service_whose_servers_do_not_end() {
    let book = book_with("a", 1 << 40);
    assert_eq!(book.get_limit(1_000, "llm"), None);
    assert!(!book.is_full(1_000, "llm", "a", 1 << 40));
}

#[test]
fn a_server_that_ends_under_much_lowers_the_bound_of_its_service() {
    let mut book = book_with("a", 1_000_000);
    assert_eq!(book.record_disconnect(1_000, "llm", "a"), Some(500_000));
    book.begin("b", 400_000);
    assert!(book.is_full(1_000, "llm", "b", 100_001));
    assert!(!book.is_full(1_000, "llm", "b", 100_000));
    assert!(!book.is_full(1_000, "orders", "b", 100_001));
}

#[test]
fn a_server_that_ends_under_little_lowers_nothing() {
    let mut book = book_with("a", MIN_SUSPECT_BYTES - 1);
    assert_eq!(book.record_disconnect(1_000, "llm", "a"), None);
    assert_eq!(book.get_limit(1_000, "llm"), None);
}

#[test]
fn one_request_is_not_too_large_for_an_idle_server() {
    let mut book = book_with("a", 1_000_000);
    book.record_disconnect(1_000, "llm", "a");
    assert!(!book.is_full(1_000, "llm", "b", 9_000_000));
}

#[test]
fn a_bound_falls_with_each_end_and_no_lower_than_much() {
    let mut book = book_with("a", 100_000);
    assert_eq!(book.record_disconnect(1_000, "llm", "a"), Some(50_000));
    assert_eq!(book.record_disconnect(1_001, "llm", "a"), Some(50_000));
    book.end("a", 60_000);
    assert_eq!(book.record_disconnect(1_002, "llm", "a"), Some(MIN_SUSPECT_BYTES));
}

#[test]
fn a_bound_doubles_each_five_seconds_and_is_forgotten_after_forty() {
    let mut book = book_with("a", 1_000_000);
    book.record_disconnect(1_000, "llm", "a");
    let bounds = [5_999, 6_000, 11_000, 40_999, 41_000].map(|now| book.get_limit(now, "llm"));
    let expected = [Some(500_000), Some(1_000_000), Some(2_000_000), Some(64_000_000), None];
    assert_eq!(bounds, expected);
}
