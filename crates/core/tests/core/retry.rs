//! Whether another try is allowed.

use keeljunction_core::retry::{Budget, backoff};
use proptest::prelude::*;

#[test]
fn a_wave_of_failures_gets_no_more_than_the_share_and_the_burst() {
    let mut budget = Budget::new(100, 3);
    for _ in 0..100 {
        budget.deposit();
    }
    let allowed = (0..100).filter(|_| budget.withdraw()).count();
    assert_eq!(allowed, 3, "what was not used is not saved beyond the burst");
}

proptest! {
    /// Over any order of tries and failures, retries stay within the share and the burst.
    #[test]
    fn retries_stay_within_the_share(tries in prop::collection::vec(any::<bool>(), 0..500), share in 0..500u64, burst in 0..10u64) {
        let mut budget = Budget::new(share, burst);
        let (mut first, mut again) = (0, 0);
        for is_first in tries {
            if is_first {
                budget.deposit();
                first += 1;
            } else {
                again += u64::from(budget.withdraw());
            }
        }
        prop_assert!(again <= burst + first * share / 1000);
    }

    /// A wait lies between half and the whole of its bound.
    #[test]
    fn a_backoff_is_bounded(attempt in 1..40u32, random in 0.0..1.0f64) {
        let wait = backoff(attempt, 100, 5_000, random);
        prop_assert!((50..=5_000).contains(&wait));
    }
}
