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
fn without_regions_everything_is_local() {
    let topology = Topology::new("a1", BTreeMap::new()).unwrap();

    assert!(topology.is_local("a1") && topology.is_local("elsewhere"));
    assert!(!topology.is_multi_region());
}

#[test]
fn data_centres_of_other_regions_and_unknown_ones_are_remote() {
    let topology = Topology::new("a1", two_regions()).unwrap();

    assert!(topology.is_local("a2"));
    assert!(!topology.is_local("b1"));
    assert!(!topology.is_local("unknown"));
    assert!(topology.is_multi_region());
    assert_eq!(topology.get_own_region(), "a");
    assert_eq!(topology.get_region("b1"), Some("b"));
}

#[test]
fn a_node_in_no_region_is_an_error_that_lists_the_known_data_centres() {
    let error = Topology::new("c1", two_regions()).unwrap_err();

    assert_eq!(error.get_kind(), ErrorKind::InvalidValue);
    assert!(format!("{:?}", error.get_context()).contains("a1, a2, b1"), "{error:?}");
}

#[test]
fn the_timeout_of_an_unmeasured_region_is_longer_than_one_round_trip() {
    let round_trips = RoundTrips::default();

    assert_eq!(round_trips.get_round_trip("b"), 100);
    assert_eq!(round_trips.get_timeout("b", 25), 150);
}

#[test]
fn the_timeout_follows_the_measured_round_trips_and_is_bounded() {
    let mut round_trips = RoundTrips::default();
    for _ in 0..50 {
        round_trips.record("b", 60);
    }

    assert_eq!(round_trips.get_round_trip("b"), 60);
    assert_eq!(round_trips.get_timeout("b", 25), 61);
    assert_eq!(round_trips.get_timeout("b", 90), 90);

    for _ in 0..50 {
        round_trips.record("b", 2_000);
    }
    assert_eq!(round_trips.get_timeout("b", 25), 300);
}
