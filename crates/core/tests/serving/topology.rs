use std::collections::BTreeMap;

use keeljunction_core::ErrorKind;
use keeljunction_core::serving::round_trip::RoundTrips;
use keeljunction_core::serving::topology::Topology;

fn two_regions() -> BTreeMap<String, String> {
    [("a1", "a"), ("a2", "a"), ("b1", "b")]
        .map(|(data_centre, region)| (data_centre.to_owned(), region.to_owned()))
        .into()
}

#[test]
fn without_regions_everything_is_near() {
    let topology = Topology::new("a1", BTreeMap::new()).unwrap();

    assert!(topology.is_local("a1") && topology.is_local("elsewhere"));
    assert!(!topology.is_multi_region());
}

#[test]
fn data_centres_of_other_regions_and_unknown_ones_are_far() {
    let topology = Topology::new("a1", two_regions()).unwrap();

    assert!(topology.is_local("a2"));
    assert!(!topology.is_local("b1"));
    assert!(!topology.is_local("unknown"));
    assert!(topology.is_multi_region());
    assert_eq!(topology.get_own_region(), "a");
    assert_eq!(topology.get_region("b1"), Some("b"));
}

#[test]
fn a_node_whose_data_centre_is_in_no_region_is_an_error_that_lists_those_that_are() {
    let error = Topology::new("c1", two_regions()).unwrap_err();

    assert_eq!(error.get_kind(), ErrorKind::InvalidValue);
    assert!(format!("{:?}", error.get_context()).contains("a1, a2, b1"), "{error:?}");
}

#[test]
fn a_region_that_was_not_measured_is_waited_for_longer_than_one_round_trip() {
    let distances = RoundTrips::default();

    assert_eq!(distances.get_round_trip("b"), 100);
    assert_eq!(distances.get_timeout("b", 25), 150);
}

#[test]
fn the_wait_follows_the_measured_round_trips_and_is_bounded() {
    let mut distances = RoundTrips::default();
    for _ in 0..50 {
        distances.record("b", 60);
    }

    assert_eq!(distances.get_round_trip("b"), 60);
    assert_eq!(distances.get_timeout("b", 25), 61);
    assert_eq!(distances.get_timeout("b", 90), 90);

    for _ in 0..50 {
        distances.record("b", 2_000);
    }
    assert_eq!(distances.get_timeout("b", 25), 300);
}
