//! Estimates of how long responses take.

use keeljunction_core::serving::response_times::ResponseTimes;

#[test]
fn an_estimate_covers_nine_of_ten_recent_responses() {
    let mut times = ResponseTimes::default();
    (1..=10).for_each(|time| times.record("chat", time * 100));
    assert_eq!(times.estimate("chat"), Some(900));
}

#[test]
fn too_few_responses_give_no_estimate() {
    let mut times = ResponseTimes::default();
    (0..3).for_each(|_| times.record("chat", 5_000));
    assert_eq!((times.estimate("chat"), times.estimate("other")), (None, None));
}

#[test]
fn an_estimate_forgets_earlier_responses() {
    let mut times = ResponseTimes::default();
    (0..100).for_each(|_| times.record("chat", 9_000));
    (0..32).for_each(|_| times.record("chat", 50));
    assert_eq!(times.estimate("chat"), Some(50));
}

#[test]
fn routes_beyond_the_bound_drop_the_samples_of_others() {
    let mut times = ResponseTimes::default();
    for route in 0..2_000 {
        (0..4).for_each(|_| times.record(&format!("route-{route}"), 10));
    }
    assert_eq!((times.estimate("route-0"), times.estimate("route-1999")), (None, Some(10)));
}
