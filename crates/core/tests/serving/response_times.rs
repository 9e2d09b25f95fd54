//! Estimates of how long responses take.

use keeljunction_core::serving::response_times::ResponseTimes;

const NOW: u64 = 1_000_000;

#[test]
fn an_estimate_covers_nine_of_ten_recent_responses() {
    let mut times = ResponseTimes::default();
    (1..=10).for_each(|time| times.record("chat", time * 100));
    assert_eq!(times.estimate(NOW, "chat"), Some(900));
}

#[test]
fn too_few_responses_give_no_estimate() {
    let mut times = ResponseTimes::default();
    (0..3).for_each(|_| times.record("chat", 5_000));
    assert_eq!((times.estimate(NOW, "chat"), times.estimate(NOW, "other")), (None, None));
}

#[test]
fn an_estimate_forgets_earlier_responses() {
    let mut times = ResponseTimes::default();
    (0..100).for_each(|_| times.record("chat", 9_000));
    (0..32).for_each(|_| times.record("chat", 50));
    assert_eq!(times.estimate(NOW, "chat"), Some(50));
}

#[test]
fn routes_beyond_the_bound_drop_the_samples_of_others() {
    let mut times = ResponseTimes::default();
    for route in 0..2_000 {
        (0..4).for_each(|_| times.record(&format!("route-{route}"), 10));
    }
    assert_eq!(
        (times.estimate(NOW, "route-0"), times.estimate(NOW, "route-1999")),
        (None, Some(10))
    );
}

#[test]
fn the_oldest_open_response_counts_as_the_longest() {
    let mut times = ResponseTimes::default();
    (0..4).for_each(|_| times.record("chat", 100));
    [800, 3_000, 50].into_iter().for_each(|age| times.begin("chat", NOW - age));
    assert_eq!(times.get_longest(NOW, "chat"), Some(3_000));
    times.end("chat", NOW - 3_000);
    assert_eq!(times.get_longest(NOW, "chat"), Some(800));
    [800, 50].into_iter().for_each(|age| times.end("chat", NOW - age));
    assert_eq!(times.get_longest(NOW, "chat"), Some(100));
}

/// Guards against the longest responses being left out, because their callers give up on them.
#[test]
fn an_abandoned_response_counts_if_it_took_longer_than_all_others() {
    let mut times = ResponseTimes::default();
    (0..4).for_each(|_| times.record("chat", 100));
    times.record_abandoned("chat", 20);
    assert_eq!(times.get_longest(NOW, "chat"), Some(100));
    times.record_abandoned("chat", 6_000);
    assert_eq!(times.get_longest(NOW, "chat"), Some(6_000));
}

#[test]
fn open_responses_alone_give_no_estimate() {
    let mut times = ResponseTimes::default();
    (0..9).for_each(|_| times.begin("chat", NOW - 500));
    assert_eq!((times.estimate(NOW, "chat"), times.get_longest(NOW, "chat")), (None, None));
}
