use keeljunction_core::serving::upload::RateMonitor;

/// Tells at which tick a body that brings so many bytes at each is too slow.
fn find_slow_tick(mut pace: RateMonitor, bytes_at: impl Fn(u64) -> u64) -> Option<u64> {
    let mut received = 0;
    (1..=100).find(|tick| {
        received += bytes_at(*tick);
        pace.record_tick(received)
    })
}

#[test]
fn a_body_that_rests_is_too_slow_after_a_window() {
    let pace = RateMonitor::new(3_000, Some(4_190_000));
    assert_eq!(pace.get_tick_interval(), 750);
    assert_eq!(find_slow_tick(pace.clone(), |_| 0), Some(4));
    let rests_later = |tick| if tick <= 10 { 100_000 } else { 0 };
    assert_eq!(find_slow_tick(pace, rests_later), Some(14));
}

#[test]
fn a_body_over_a_poor_link_is_fast_enough() {
    let pace = RateMonitor::new(3_000, Some(4_190_000));
    assert_eq!(find_slow_tick(pace.clone(), |_| 6_000), None);
    assert_eq!(find_slow_tick(pace, |_| 5_999), Some(4));
}

#[test]
fn the_last_bytes_need_no_rate() {
    let pace = RateMonitor::new(3_000, Some(6_400));
    let comes = |tick| if tick % 4 == 0 { 1_600 } else { 0 };
    assert_eq!(find_slow_tick(pace, comes), Some(4), "6,400 bytes are due in one window");
    let mut pace = RateMonitor::new(3_000, Some(101_000));
    for received in [20_000, 40_000, 60_000, 80_000, 100_000, 100_000, 100_000] {
        assert!(!pace.record_tick(received));
    }
    assert!(pace.record_tick(100_500), "20,500 of the last 21,000 bytes came in the window");
}

#[test]
fn without_a_length_the_rate_is_due_to_the_end() {
    assert_eq!(find_slow_tick(RateMonitor::new(3_000, None), |_| 6_000), None);
    assert_eq!(find_slow_tick(RateMonitor::new(3_000, None), |_| 100), Some(4));
}
