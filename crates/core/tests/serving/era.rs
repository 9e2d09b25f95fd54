use keeljunction_core::serving::era::{Era, EraChange, Eras, Origin};

const READ_FROM_ROW: Origin = Origin { age: 500, unix_ms: 1_000_000 };

#[test]
fn an_era_is_new_once_and_an_earlier_one_never() {
    let mut eras = Eras::default();
    assert_eq!(eras.record(0, Era::named(2)), Some(EraChange { era: Era::named(2), before: None }));
    assert_eq!(eras.record(10, Era::named(2)), None);
    assert_eq!(eras.record(20, Era::named(1)), None);
    assert!(eras.is_superseded(Era::named(1)));
    assert_eq!(
        eras.record(30, Era::named(4)),
        Some(EraChange { era: Era::named(4), before: Some(Era::named(2)) })
    );
    assert_eq!(eras.get(), Era::named(4));
}

#[test]
fn a_service_without_eras_is_settled_from_the_start() {
    let mut eras = Eras::default();
    assert!(eras.is_settled(0));
    eras.record(0, Era::UNNAMED);
    assert!(eras.is_settled(0));
    assert!(eras.is_certainly_after_restore(0));
}

#[test]
fn a_node_that_saw_an_era_begin_waits_until_it_is_settled() {
    let mut eras = Eras::default();
    eras.record(0, Era::named(1));
    eras.record(10_000, Era::named(2));
    assert!(!eras.is_settled(11_999));
    assert!(eras.is_settled(12_000));
}

#[test]
fn a_node_that_starts_later_does_not_know_the_age_of_an_era_until_it_reads_its_origin() {
    let mut eras = Eras::default();
    eras.record(10_000, Era::named(2));
    assert_eq!(eras.get_age(60_000), None);
    assert!(!eras.is_settled(60_000));
    eras.set_origin(10_100, Era::named(2), READ_FROM_ROW);
    assert_eq!(eras.get_age(10_100), Some(500));
    assert!(!eras.is_settled(11_599));
    assert!(eras.is_settled(11_600));
}

#[test]
fn an_origin_of_another_era_is_ignored() {
    let mut eras = Eras::default();
    eras.record(10_000, Era::named(2));
    eras.set_origin(10_100, Era::named(1), READ_FROM_ROW);
    assert_eq!(eras.get_origin(), None);
}

#[test]
fn a_rewritten_configuration_settles_only_the_operators_rows() {
    let mut eras = Eras::default();
    eras.record(0, Era::named(1));
    eras.record(10_000, Era::named(2));
    eras.record_configuration_rewritten();
    assert!(eras.is_configuration_current(10_100));
    assert!(!eras.is_settled(10_100));
    eras.record(10_200, Era::named(3));
    assert!(!eras.is_configuration_current(10_200));
}

#[test]
fn work_that_could_start_before_an_era_may_have_been_done_in_an_earlier_one() {
    let mut eras = Eras::default();
    eras.record(0, Era::named(1));
    eras.record(10_000, Era::named(2));
    assert!(!eras.is_certainly_after_restore(9_000_000));
    eras.set_origin(10_100, Era::named(2), READ_FROM_ROW);
    assert!(!eras.is_certainly_after_restore(1_003_999));
    assert!(eras.is_certainly_after_restore(1_004_000));
}

// Guards against a node that takes an era for the first one of the deployment, in which nothing was
// lost: a copy from before the first write holds no origin of an earlier era either.
#[test]
fn an_era_that_may_be_the_first_one_is_settled_as_late_as_any() {
    let mut eras = Eras::default();
    eras.record(0, Era::named(1));
    eras.set_origin(10, Era::named(1), Origin { age: 0, ..READ_FROM_ROW });
    assert!(!eras.is_settled(2_009));
    assert!(eras.is_settled(2_010));
    assert!(!eras.is_certainly_after_restore(0));
}

#[test]
fn a_node_that_saw_a_restore_does_not_take_the_era_for_the_first_one() {
    let mut eras = Eras::default();
    eras.record(0, Era::named(1));
    eras.record(10_000, Era::named(2));
    eras.set_origin(10_100, Era::named(2), READ_FROM_ROW);
    assert!(!eras.is_settled(10_100));
    assert!(!eras.is_certainly_after_restore(0));
}
