//! Assembly of a response from tokens.

use keeljunction_core::stream::{Cursor, Disposition};
use proptest::prelude::*;

#[test]
fn a_full_buffer_requests_the_attempt_again() {
    let mut cursor = Cursor::new("a", 0);
    for offset in 1..65 {
        assert_eq!(cursor.take("a", offset, "x"), Disposition::Buffered);
    }
    assert_eq!(cursor.take("a", 65, "x"), Disposition::Gap(0));
    assert!(cursor.has_gap());
}

#[test]
fn buffered_tokens_of_one_attempt_are_not_used_for_another() {
    let mut cursor = Cursor::new("a", 3);
    assert_eq!(cursor.take("a", 4, "old"), Disposition::Buffered);
    cursor.switch("b");
    assert_eq!(cursor.take("b", 3, "x"), Disposition::Accept(vec!["x".to_owned()]));
    assert_eq!(cursor.take("a", 4, "old"), Disposition::Foreign);
    assert_eq!(cursor.get_next(), 4);
}

proptest! {
    /// With duplicate, foreign and reordered tokens, the response is the attempt's tokens, each once and in
    /// order.
    #[test]
    fn the_response_is_complete_and_in_order(
        count in 1..60u64,
        noise in prop::collection::vec((0..60u64, any::<bool>()), 0..60),
        seed in any::<u64>(),
    ) {
        let mut events: Vec<(String, u64)> = (0..count).map(|offset| ("a".to_owned(), offset)).collect();
        for (offset, is_foreign) in noise {
            let attempt = if is_foreign { "b" } else { "a" };
            events.push((attempt.to_owned(), offset % count));
        }
        fastrand::Rng::with_seed(seed).shuffle(&mut events);
        let mut cursor = Cursor::new("a", 0);
        let mut response = Vec::new();
        for (attempt, offset) in events {
            if let Disposition::Accept(tokens) = cursor.take(&attempt, offset, &format!("{attempt}{offset}")) {
                response.extend(tokens);
            }
        }
        let expected: Vec<String> = (0..count).map(|offset| format!("a{offset}")).collect();
        prop_assert_eq!(response, expected);
        prop_assert!(!cursor.has_gap());
    }
}
