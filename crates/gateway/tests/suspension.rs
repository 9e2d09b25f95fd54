//! What the clock shows of a suspended machine, and what timers do then.

use std::time::Duration;

use keeljunction_gateway::runtime::{self, Clock, SuspensionDetector};

const fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

#[test]
fn the_difference_of_the_two_clocks_is_a_suspension() {
    let mut suspension = SuspensionDetector::new(ms(90_000), ms(50_000));
    assert_eq!(suspension.check(ms(90_200), ms(50_200)), None);
    assert_eq!(suspension.check(ms(97_400), ms(50_400)), Some(ms(7_000)));
    assert_eq!(suspension.check(ms(97_600), ms(50_600)), None);
}

#[test]
fn a_pause_that_both_clocks_count_is_none() {
    let mut suspension = SuspensionDetector::new(ms(90_000), ms(50_000));
    assert_eq!(suspension.check(ms(99_000), ms(59_000)), None);
}

#[test]
fn clocks_that_are_read_one_after_the_other_are_no_suspension() {
    let mut suspension = SuspensionDetector::new(ms(90_000), ms(50_000));
    assert_eq!(suspension.check(ms(90_240), ms(50_200)), None);
    assert_eq!(suspension.check(ms(90_400), ms(50_400)), None);
}

#[test]
fn a_sleep_that_is_woken_goes_on_for_the_time_that_is_left() {
    let clock = Clock::new();
    let began = clock.now();
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
    assert!(clock.now() - began >= 299, "{}", clock.now() - began);
}
