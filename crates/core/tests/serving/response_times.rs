//! Estimates of how long responses take.

use keeljunction_core::serving::response_times::ResponseTimes;

const NOW: u64 = 1_000_000;
/// When requests arrived that show any bound.
const LONG_AGO: u64 = NOW - 60_000;
const LIMIT: u64 = 4_500;

#[test]
fn an_estimate_covers_nine_of_ten_recent_responses() {
    let mut times = ResponseTimes::default();
    (1..=10).for_each(|time| times.record("chat", LONG_AGO, time * 100));
    assert_eq!(times.estimate("chat"), Some(900));
}

#[test]
fn too_few_responses_give_no_estimate() {
    let mut times = ResponseTimes::default();
    (0..3).for_each(|_| times.record("chat", LONG_AGO, 5_000));
    assert_eq!((times.estimate("chat"), times.estimate("other")), (None, None));
}

#[test]
fn an_estimate_forgets_earlier_responses() {
    let mut times = ResponseTimes::default();
    (0..100).for_each(|_| times.record("chat", LONG_AGO, 9_000));
    (0..32).for_each(|_| times.record("chat", LONG_AGO, 50));
    assert_eq!(times.estimate("chat"), Some(50));
}

#[test]
fn routes_beyond_the_bound_drop_the_samples_of_others() {
    let mut times = ResponseTimes::default();
    for route in 0..2_000 {
        (0..4).for_each(|_| times.record(&format!("route-{route}"), LONG_AGO, 10));
    }
    assert_eq!((times.estimate("route-0"), times.estimate("route-1999")), (None, Some(10)));
}

#[test]
fn the_oldest_open_response_raises_the_upper_bound() {
    let mut times = ResponseTimes::default();
    (0..16).for_each(|_| times.record("chat", LONG_AGO, 100));
    [800, 3_000, 50].into_iter().for_each(|age| times.begin("chat", NOW - age));
    assert_eq!(times.get_upper_bound(NOW, "chat", LIMIT), Some(5_900));
    times.end("chat", NOW - 3_000);
    assert_eq!(times.get_upper_bound(NOW, "chat", LIMIT), Some(1_500));
    [800, 50].into_iter().for_each(|age| times.end("chat", NOW - age));
    assert_eq!(times.get_upper_bound(NOW, "chat", LIMIT), Some(150));
}

/// Guards against the longest responses being left out, because their callers give up on them.
#[test]
fn an_abandoned_response_counts_if_it_took_longer_than_all_others() {
    let mut times = ResponseTimes::default();
    (0..16).for_each(|_| times.record("chat", LONG_AGO, 100));
    times.record_abandoned("chat", LONG_AGO, 20);
    assert_eq!(times.get_upper_bound(NOW, "chat", LIMIT), Some(150));
    times.record_abandoned("chat", LONG_AGO, 6_000);
    assert_eq!(times.get_upper_bound(NOW, "chat", LIMIT), Some(11_552));
}

#[test]
fn open_responses_alone_give_no_estimate() {
    let mut times = ResponseTimes::default();
    (0..9).for_each(|_| times.begin("chat", NOW - 500));
    assert_eq!((times.estimate("chat"), times.get_upper_bound(NOW, "chat", LIMIT)), (None, None));
}

/// Guards against a usual time that rises with the long responses of a route, most of which are open at any time.
#[test]
fn open_responses_do_not_change_the_usual_time() {
    let mut times = ResponseTimes::default();
    (0..32).for_each(|_| times.record("chat", LONG_AGO, 1_000));
    (0..30).for_each(|age| times.begin("chat", NOW - age * 2_000));
    assert_eq!(times.estimate("chat"), Some(1_000));
}

/// Guards against a bound that is drawn from the first responses of a process to end, which are the short ones.
#[test]
fn responses_of_requests_that_came_too_late_to_exceed_a_limit_show_no_bound() {
    let mut times = ResponseTimes::default();
    (0..32).for_each(|_| times.record("chat", NOW - 2_900, 500));
    assert_eq!(times.get_upper_bound(NOW, "chat", 4_500), None);
    assert_eq!(times.get_upper_bound(NOW, "chat", 4_300), Some(750));
}

/// Guards against a bound from a handful of responses of different lengths, which the next ones exceed.
#[test]
fn few_responses_of_different_lengths_show_a_higher_bound() {
    let mut times = ResponseTimes::default();
    [200, 400, 700, 1_000].iter().for_each(|time| times.record("chat", LONG_AGO, *time));
    assert_eq!(times.get_upper_bound(NOW, "chat", LIMIT), Some(4_200));
    let mut even = ResponseTimes::default();
    (0..4).for_each(|_| even.record("chat", LONG_AGO, 1_000));
    assert_eq!(even.get_upper_bound(NOW, "chat", LIMIT), Some(1_500));
}

/// Guards against a busy route that shows no bound, because its kept responses are all too recent.
#[test]
fn a_busy_route_with_short_responses_shows_a_bound() {
    let mut times = ResponseTimes::default();
    // 60 responses per second, each of 50 ms, for 30 s.
    (0..1_800).for_each(|index| times.record("chat", NOW - 30_050 + index * 1_000 / 60, 50));
    assert_eq!(times.get_upper_bound(NOW, "chat", LIMIT), Some(75));
}
