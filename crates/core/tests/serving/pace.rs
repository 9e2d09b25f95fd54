use keeljunction_core::serving::pace::Pace;

#[test]
fn a_few_samples_give_no_figure() {
    let mut pace = Pace::default();
    for _ in 0..9 {
        pace.add(1_000, 6_000, 110);
    }
    assert_eq!(pace.get_speed(), None);
}

#[test]
fn fixed_costs_are_taken_off() {
    let mut pace = Pace::default();
    for _ in 0..10 {
        pace.add(1_000, 100, 10);
        pace.add(1_000, 6_000, 110);
    }
    assert_eq!(pace.get_fixed_ms(), 10.0);
    assert_eq!(pace.get_speed(), Some(60.0));
}

#[test]
fn requests_that_waited_hardly_count() {
    let mut pace = Pace::default();
    for index in 0..20 {
        pace.add(1_000, 6_000, if index < 12 { 1_000 } else { 100 });
    }
    assert_eq!(pace.get_speed(), Some(60.0));
}

#[test]
fn old_samples_leave() {
    let mut pace = Pace::default();
    for _ in 0..10 {
        pace.add(1_000, 6_000, 1_000);
    }
    for _ in 0..10 {
        pace.add(40_000, 6_000, 100);
    }
    assert_eq!(pace.get_speed(), Some(60.0));
}
