//! Which software version began a stream, and who may go on with it.

use std::collections::BTreeSet;
use std::sync::Arc;

use keeljunction_core::serving::stream_origin::{
    Answer, Batch, Decision, Key, MAX_BATCHED_STREAMS, MAX_RECORDS, Origin, PossibleOrigins,
    Record, Registry, Standing, Stream, decide, decide_confirmed,
};
use keeljunction_core::serving::version_history::{MAX_STREAM_AGE_MS, PossibleVersions};
use proptest::prelude::*;

fn key(number: usize) -> Key {
    Key::new("acme", &number.to_string())
}

fn origin(version: &str) -> Origin {
    Origin::new("llm", version)
}

fn known(version: &str) -> Standing {
    Standing::Known(Arc::new(origin(version)))
}

fn batch(version: &str, keys: impl IntoIterator<Item = Key>, expires_in: u64) -> Batch {
    let streams = keys.into_iter().map(|key| Stream { key, expires_in });
    Batch { origin: Some(origin(version)), streams: streams.collect() }
}

#[test]
fn a_request_id_of_another_account_is_another_stream() {
    assert_ne!(Key::new("acme", "1"), Key::new("other", "1"));
    assert_ne!(Key::new("", "1"), Key::new("acme", "1"));
    assert_eq!(Key::new("acme", "1"), key(1));
}

#[test]
fn a_record_is_found_until_the_callers_deadline() {
    let mut registry = Registry::default();
    registry.begin(1_000, key(1), &origin("v1"), 9_000);
    assert_eq!(registry.find(8_999, key(1)), Some(known("v1")));
    assert_eq!(registry.find(9_000, key(1)), None);
    assert_eq!(registry.find(1_000, key(2)), None);
}

#[test]
fn no_record_outlives_the_longest_stream() {
    let mut registry = Registry::default();
    registry.begin(0, key(1), &origin("v1"), u64::MAX);
    registry.end(0, key(1));
    registry.merge(0, &batch("v1", [key(2)], u64::MAX));
    for number in [1, 2] {
        assert!(registry.find(MAX_STREAM_AGE_MS - 1, key(number)).is_some());
        assert!(registry.find(MAX_STREAM_AGE_MS, key(number)).is_none());
    }
    registry.expire(MAX_STREAM_AGE_MS);
    assert!(registry.is_empty());
}

#[test]
fn different_origins_of_one_stream_make_it_ambiguous_in_any_order() {
    for order in [["v1", "v2", "v1"], ["v2", "v1", "v1"], ["v1", "v1", "v2"]] {
        let mut registry = Registry::default();
        for version in order {
            registry.merge(0, &batch(version, [key(1)], 1_000));
        }
        assert_eq!(registry.find(0, key(1)), Some(Standing::Ambiguous));
        registry.merge(0, &batch("v1", [key(1)], 1_000));
        assert_eq!(registry.find(0, key(1)), Some(Standing::Ambiguous));
    }
}

#[test]
fn an_ambiguous_record_stays_ambiguous_at_other_nodes() {
    let mut registry = Registry::default();
    registry.begin(0, key(1), &origin("v1"), 1_000);
    registry.merge(0, &batch("v2", [key(1)], 1_000));
    let mut other = Registry::default();
    for batch in Batch::pack(registry.list(0)).into_iter().flatten() {
        other.merge(0, &batch);
    }
    other.merge(0, &batch("v2", [key(1)], 1_000));
    assert_eq!(other.find(0, key(1)), Some(Standing::Ambiguous));
}

#[test]
fn a_key_is_free_again_once_its_record_has_expired() {
    let mut registry = Registry::default();
    registry.begin(0, key(1), &origin("v1"), 1_000);
    registry.begin(1_000, key(1), &origin("v2"), 2_000);
    assert_eq!(registry.find(1_000, key(1)), Some(known("v2")));
    assert_eq!(registry.len(), 1);
}

#[test]
fn the_oldest_records_make_room_for_new_ones() {
    let mut registry = Registry::default();
    for number in 0..MAX_RECORDS + 10 {
        registry.begin(0, key(number), &origin("v1"), 1_000);
    }
    assert_eq!(registry.len(), MAX_RECORDS);
    assert_eq!(registry.find(0, key(9)), None);
    assert!(registry.find(0, key(10)).is_some());
    assert!(registry.find(0, key(MAX_RECORDS + 9)).is_some());
}

#[test]
fn records_are_listed_with_the_time_until_they_expire() {
    let mut registry = Registry::default();
    registry.begin(0, key(1), &origin("v1"), 1_000);
    registry.merge(0, &batch("v2", [key(2)], 700));
    registry.merge(0, &batch("v1", [key(3)], 300));
    let listed = registry.list(400);
    let own = Record { key: key(1), standing: known("v1"), expires_in: 600 };
    let copy = Record { key: key(2), standing: known("v2"), expires_in: 300 };
    assert!(listed.len() == 2 && listed.contains(&own) && listed.contains(&copy), "{listed:?}");
}

#[test]
fn a_stream_runs_until_its_last_response_has_ended() {
    let mut registry = Registry::default();
    let deadline = 3 * MAX_STREAM_AGE_MS;
    registry.begin(0, key(1), &origin("v1"), deadline);
    registry.begin(0, key(1), &origin("v1"), deadline);
    registry.end(0, key(1));
    assert!(registry.find(MAX_STREAM_AGE_MS, key(1)).is_some());
    registry.end(MAX_STREAM_AGE_MS, key(1));
    registry.end(MAX_STREAM_AGE_MS, key(1));
    assert!(registry.find(2 * MAX_STREAM_AGE_MS - 1, key(1)).is_some());
    assert!(registry.find(2 * MAX_STREAM_AGE_MS, key(1)).is_none());
}

#[test]
fn records_are_packed_into_datagrams_of_bounded_size() {
    let record = |number: usize| Record {
        key: key(number),
        standing: known(if number.is_multiple_of(2) { "v1" } else { "v2" }),
        expires_in: MAX_STREAM_AGE_MS,
    };
    let datagrams = Batch::pack((0..200).map(record).collect());
    assert_eq!(datagrams.len(), 200usize.div_ceil(MAX_BATCHED_STREAMS));
    let mut registry = Registry::default();
    for datagram in datagrams {
        let streams: usize = datagram.iter().map(|batch| batch.streams.len()).sum();
        assert!(streams <= MAX_BATCHED_STREAMS && datagram.len() <= 2);
        datagram.iter().for_each(|batch| registry.merge(0, batch));
    }
    for number in 0..200 {
        assert_eq!(registry.find(0, key(number)), Some(record(number).standing));
    }
}

fn unknown(versions: &[&str], is_complete: bool) -> Answer {
    let versions = versions.iter().map(|version| (*version).to_owned()).collect();
    let possible = PossibleVersions { versions, is_complete };
    Answer::Unknown(PossibleOrigins::collect([("llm", possible)].into_iter()))
}

#[test]
fn a_recorded_origin_decides() {
    let none = unknown(&["v1", "v2"], true);
    let (v1, v2) = (Answer::Known(origin("v1")), Answer::Known(origin("v2")));
    assert_eq!(decide(&v1, &[]), Decision::Local(origin("v1")));
    assert_eq!(decide(&none, &[none.clone(), v2.clone()]), Decision::Holder(origin("v2")));
    assert_eq!(decide(&none, &[v2.clone(), v2.clone()]), Decision::Holder(origin("v2")));
    assert_eq!(decide(&none, &[v1.clone(), v2.clone()]), Decision::Ambiguous);
    assert_eq!(decide(&none, &[v1, Answer::Ambiguous]), Decision::Ambiguous);
    assert_eq!(decide(&Answer::Ambiguous, &[v2]), Decision::Ambiguous);
}

#[test]
fn a_stream_without_a_record_goes_on_only_if_one_version_is_possible() {
    let only = Decision::OnlyVersion(origin("v1"));
    let (complete, incomplete) = (unknown(&["v1"], true), unknown(&["v1"], false));
    let cases = [
        (&complete, vec![], only.clone()),
        (&incomplete, vec![], Decision::Unknown),
        (&incomplete, vec![incomplete.clone(), complete.clone()], only.clone()),
        (&complete, vec![incomplete.clone()], only),
        (&complete, vec![unknown(&["v2"], false)], Decision::Unknown),
        (&complete, vec![unknown(&["v1", "v2"], false)], Decision::Unknown),
        (&unknown(&["v1", "v2"], true), vec![complete.clone()], Decision::Unknown),
        (&unknown(&[], true), vec![], Decision::Unknown),
    ];
    for (own, answers, expected) in cases {
        assert_eq!(decide(own, &answers), expected, "{own:?} {answers:?}");
    }
}

#[test]
fn a_route_with_several_services_has_the_versions_of_all_of_them() {
    let possible =
        |is_complete| PossibleVersions { versions: BTreeSet::from(["v1".to_owned()]), is_complete };
    let one = PossibleOrigins::collect([("a", possible(true)), ("b", possible(true))].into_iter());
    assert_eq!(decide(&Answer::Unknown(one), &[]), Decision::Unknown);
    let empty = PossibleVersions { versions: BTreeSet::new(), is_complete: true };
    let one = PossibleOrigins::collect([("a", possible(true)), ("b", empty)].into_iter());
    let only = Decision::OnlyVersion(Origin::new("a", "v1"));
    assert_eq!(decide(&Answer::Unknown(one), &[]), only);
    let incomplete = PossibleVersions { versions: BTreeSet::new(), is_complete: false };
    let services = [("a", possible(true)), ("b", incomplete)];
    let one = PossibleOrigins::collect(services.into_iter());
    assert_eq!(decide(&Answer::Unknown(one), &[]), Decision::Unknown);
}

proptest! {
    #[test]
    fn records_never_exceed_their_bound_and_expire(
        steps in prop::collection::vec((0usize..40, 0u64..200, 1u64..500, prop::bool::ANY), 1..200)
    ) {
        let mut registry = Registry::default();
        let mut now = 0;
        let mut last_expiry = 0;
        for (number, pause, lasts, is_own) in steps {
            now += pause;
            match is_own {
                true => registry.begin(now, key(number), &origin("v1"), now + lasts),
                false => registry.merge(now, &batch("v1", [key(number)], lasts)),
            }
            last_expiry = last_expiry.max(now + lasts);
            prop_assert!(registry.find(now, key(number)).is_some());
            registry.expire(now);
            prop_assert!(registry.len() <= 40);
        }
        registry.expire(last_expiry);
        prop_assert!(registry.is_empty());
    }
}

// Guards against a stream that its caller may resume being forgotten while a response of it still runs.
#[test]
fn the_record_of_a_stream_that_runs_is_kept_until_the_callers_deadline() {
    let mut registry = Registry::default();
    registry.begin(0, key(1), &origin("v1"), 3 * MAX_STREAM_AGE_MS);
    registry.expire(MAX_STREAM_AGE_MS);
    assert_eq!(registry.find(MAX_STREAM_AGE_MS, key(1)), Some(known("v1")));
    assert_eq!(registry.list(MAX_STREAM_AGE_MS).len(), 1);
}

/// Guards against taking the only version that a node knew once for the only one that there is.
#[test]
fn the_only_version_must_be_confirmed_as_of_the_resume() {
    let only = Decision::OnlyVersion(origin("v1"));
    let (complete, incomplete) = (unknown(&["v1"], true), unknown(&["v1"], false));
    let cases = [
        (None, Decision::Unconfirmed),
        (Some(incomplete.clone()), Decision::Unknown),
        (Some(complete.clone()), only.clone()),
        (Some(unknown(&["v1", "v2"], true)), Decision::Unknown),
        (Some(unknown(&["v2"], true)), Decision::Unknown),
        (Some(Answer::Known(origin("v2"))), Decision::Holder(origin("v2"))),
        (Some(Answer::Ambiguous), Decision::Ambiguous),
    ];
    for (confirmed, expected) in cases {
        for (own, answers) in [
            (&complete, vec![]),
            (&complete, vec![complete.clone(), complete.clone()]),
            (&incomplete, vec![complete.clone()]),
        ] {
            let decided = decide_confirmed(own, &answers, confirmed.as_ref());
            assert_eq!(decided, expected, "{own:?} {answers:?} {confirmed:?}");
        }
    }
    assert_eq!(Decision::Unconfirmed.get_origin(), None);
}
