//! Token buckets as rate limiters.

use keeljunction_core::bucket::TokenBucket;
use proptest::prelude::*;

#[test]
fn an_exhausted_bucket_returns_the_time_until_the_next_unit() {
    let mut bucket = TokenBucket::full(0, 2);
    assert_eq!([bucket.take(0), bucket.take(0)], [Ok(()), Ok(())]);
    assert_eq!(bucket.take(0), Err(500));
    assert_eq!(bucket.take(500), Ok(()));
}

proptest! {
    /// Over any window, the number of calls is bounded by the rate plus one burst.
    #[test]
    fn calls_stay_below_the_rate(per_second in 1..200u32, gaps in prop::collection::vec(0..50u64, 1..300)) {
        let mut bucket = TokenBucket::full(0, per_second);
        let (mut now, mut taken) = (0, 0u64);
        for gap in gaps {
            now += gap;
            taken += u64::from(bucket.take(now).is_ok());
        }
        prop_assert!(taken <= u64::from(per_second) * (now + 1_000) / 1_000 + 1);
    }
}
