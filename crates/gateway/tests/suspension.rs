//! Detection of a suspended machine by its clocks, and the behaviour of timers.

use std::time::Duration;

use keeljunction_gateway::runtime::{self, Clock, SuspensionDetector};

const fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

#[test]
fn difference_of_the_clocks_is_a_suspension() {
    let mut suspension = SuspensionDetector::new(ms(90_000), ms(50_000));
    assert_eq!(suspension.check(ms(90_200), ms(50_200)), None);
    assert_eq!(suspension.check(ms(97_400), ms(50_400)), Some(ms(7_000)));
    assert_eq!(suspension.check(ms(97_600), ms(50_600)), None);
}

#[test]
fn pause_counted_by_both_clocks_is_no_suspension() {
    let mut suspension = SuspensionDetector::new(ms(90_000), ms(50_000));
    assert_eq!(suspension.check(ms(99_000), ms(59_000)), None);
}

#[test]
fn delay_between_clock_reads_is_no_suspension() {
    let mut suspension = SuspensionDetector::new(ms(90_000), ms(50_000));
    assert_eq!(suspension.check(ms(90_240), ms(50_200)), None);
    assert_eq!(suspension.check(ms(90_400), ms(50_400)), None);
}

#[test]
fn woken_sleep_continues_for_the_remaining_time() {
    let clock = Clock::new();
    let started_at = clock.now();
    runtime::run(1, async {
        let waking = runtime::spawn_with_handle(async {
            for _ in 0..10 {
                runtime::sleep(ms(20)).await;
                runtime::wake_sleepers();
            }
        });
        runtime::sleep(ms(300)).await;
        waking.await;
    });
    assert!(clock.now() - started_at >= 299, "{}", clock.now() - started_at);
}
