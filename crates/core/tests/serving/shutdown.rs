//! Which requests a node that shuts down still begins.

use keeljunction_core::serving::response_times::ResponseTimes;
use keeljunction_core::serving::shutdown::Shutdown;

const ROUTE: &str = "chat";
const TIMEOUT: u64 = 15_000;
const NOW: u64 = 1_000_000;

/// Returns `true` if a request is begun after the given response times.
fn is_begun(shutdown: Shutdown, times: &ResponseTimes, timeout: u64) -> bool {
    shutdown.admits(shutdown.estimate(NOW, times, ROUTE), timeout)
}

/// Returns the times of 32 responses, one of which took long.
fn times(usual: u64, longest: u64) -> ResponseTimes {
    let mut times = ResponseTimes::default();
    (0..31).for_each(|_| times.record(ROUTE, NOW - 60_000, usual));
    times.record(ROUTE, NOW - 60_000, longest);
    times
}

#[test]
fn a_request_is_begun_early_in_a_shutdown_if_it_usually_ends_before_the_exit() {
    let shutdown = Shutdown { elapsed: 2_800, remaining: 4_700 };
    assert!(is_begun(shutdown, &times(4_000, 9_000), TIMEOUT));
    assert!(is_begun(shutdown, &ResponseTimes::default(), TIMEOUT));
    assert!(!is_begun(shutdown, &times(5_000, 9_000), TIMEOUT));
}

/// Guards against responses that are cut off at the exit although their requests came late in the shutdown.
#[test]
fn a_late_request_is_begun_only_if_it_almost_certainly_ends_before_the_exit() {
    let shutdown = Shutdown { elapsed: 3_000, remaining: 4_500 };
    assert!(!is_begun(shutdown, &times(4_000, 7_000), TIMEOUT));
    assert!(!is_begun(shutdown, &times(100, 3_100), TIMEOUT));
    assert!(is_begun(shutdown, &times(100, 3_000), TIMEOUT));
    assert!(!is_begun(shutdown, &ResponseTimes::default(), TIMEOUT));
}

#[test]
fn a_request_that_is_abandoned_before_the_exit_is_begun() {
    let shutdown = Shutdown { elapsed: 5_000, remaining: 2_500 };
    assert!(is_begun(shutdown, &ResponseTimes::default(), 2_500));
    assert!(!is_begun(shutdown, &ResponseTimes::default(), 2_501));
}

/// Guards against an expected time that is drawn from responses that have ended, while servers become
/// slower and those that take long have not.
#[test]
fn an_open_response_shows_how_long_others_take() {
    let mut times = times(100, 200);
    times.begin(ROUTE, NOW - 4_000);
    let late = Shutdown { elapsed: 3_100, remaining: 4_400 };
    assert!(!is_begun(late, &times, TIMEOUT));
    times.end(ROUTE, NOW - 4_000);
    assert!(is_begun(late, &times, TIMEOUT));
}

/// Guards against a bound from ten responses, one of which is far longer than the others: the next one may be longer still.
#[test]
fn a_late_request_is_not_begun_if_few_responses_of_different_lengths_are_known() {
    let mut times = ResponseTimes::default();
    (0..9).for_each(|_| times.record(ROUTE, NOW - 60_000, 100));
    times.record(ROUTE, NOW - 60_000, 3_000);
    let late = Shutdown { elapsed: 3_000, remaining: 4_500 };
    assert!(!is_begun(late, &times, TIMEOUT));
}
