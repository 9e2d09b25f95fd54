use keeljunction_core::serving::upload::RateMonitor;

/// Returns the tick at which a body with the given bytes per tick is too slow.
fn find_slow_tick(mut monitor: RateMonitor, bytes_at: impl Fn(u64) -> u64) -> Option<u64> {
    let mut received = 0;
    (1..=100).find(|tick| {
        received += bytes_at(*tick);
        monitor.record_tick(received)
    })
}

#[test]
fn a_stalled_body_is_too_slow_after_a_window() {
    let monitor = RateMonitor::new(3_000, Some(4_190_000));
    assert_eq!(monitor.get_tick_interval(), 750);
    assert_eq!(find_slow_tick(monitor.clone(), |_| 0), Some(4));
    let stalls_later = |tick| if tick <= 10 { 100_000 } else { 0 };
    assert_eq!(find_slow_tick(monitor, stalls_later), Some(14));
}

#[test]
fn a_body_over_a_poor_link_is_fast_enough() {
    let monitor = RateMonitor::new(3_000, Some(4_190_000));
    assert_eq!(find_slow_tick(monitor.clone(), |_| 6_000), None);
    assert_eq!(find_slow_tick(monitor, |_| 5_999), Some(4));
}

#[test]
fn the_last_bytes_need_no_rate() {
    let monitor = RateMonitor::new(3_000, Some(6_400));
    let received_at = |tick| if tick % 4 == 0 { 1_600 } else { 0 };
    assert_eq!(find_slow_tick(monitor, received_at), Some(4), "6,400 bytes are due in one window");
    let mut monitor = RateMonitor::new(3_000, Some(101_000));
    for received in [20_000, 40_000, 60_000, 80_000, 100_000, 100_000, 100_000] {
        assert!(!monitor.record_tick(received));
    }
    assert!(monitor.record_tick(100_500), "20,500 of the last 21,000 bytes came in the window");
}

#[test]
fn without_a_length_the_rate_is_due_to_the_end() {
    assert_eq!(find_slow_tick(RateMonitor::new(3_000, None), |_| 6_000), None);
    assert_eq!(find_slow_tick(RateMonitor::new(3_000, None), |_| 100), Some(4));
}
