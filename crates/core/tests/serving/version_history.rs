use std::collections::BTreeSet;

use keeljunction_core::serving::version_history::{MAX_STREAM_AGE_MS, VersionHistory};
use proptest::prelude::*;

const SERVICE: &str = "api";

fn versions(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn observed(now: u64, names: &[&str]) -> VersionHistory {
    let mut history = VersionHistory::default();
    history.record_list_known(now);
    history.observe(now, SERVICE, &versions(names));
    history
}

#[test]
fn one_listed_version_is_possible_and_not_mixed() {
    let history = observed(0, &["v1"]);
    assert_eq!(history.get_possible(10 * MAX_STREAM_AGE_MS, SERVICE).versions, versions(&["v1"]));
    assert!(!history.is_mixed(0, SERVICE));
}

#[test]
fn two_listed_versions_are_mixed_for_as_long_as_they_are_listed() {
    let history = observed(0, &["v1", "v2"]);
    assert!(history.is_mixed(0, SERVICE));
    assert!(history.is_mixed(10 * MAX_STREAM_AGE_MS, SERVICE));
}

#[test]
fn a_version_that_is_gone_stays_possible_until_its_streams_have_ended() {
    let mut history = observed(0, &["v1", "v2"]);
    history.observe(1_000, SERVICE, &versions(&["v2"]));
    history.observe(30_000, SERVICE, &versions(&["v2"]));
    let until = 1_000 + MAX_STREAM_AGE_MS;
    assert_eq!(history.get_possible(until - 1, SERVICE).versions, versions(&["v1", "v2"]));
    assert!(history.is_mixed(until - 1, SERVICE));
    assert_eq!(history.get_possible(until, SERVICE).versions, versions(&["v2"]));
    assert!(!history.is_mixed(until, SERVICE));
}

#[test]
fn a_version_that_is_listed_again_is_possible_anew() {
    let mut history = observed(0, &["v1", "v2"]);
    history.observe(1_000, SERVICE, &versions(&["v2"]));
    history.observe(50_000, SERVICE, &versions(&["v1", "v2"]));
    assert!(history.is_listed(SERVICE, "v1"));
    history.observe(70_000, SERVICE, &versions(&["v2"]));
    assert!(!history.is_listed(SERVICE, "v1"));
    assert!(history.is_mixed(70_000 + MAX_STREAM_AGE_MS - 1, SERVICE));
    assert!(!history.is_mixed(70_000 + MAX_STREAM_AGE_MS, SERVICE));
}

#[test]
fn the_versions_of_one_service_say_nothing_of_another() {
    let mut history = observed(0, &["v1", "v2"]);
    history.observe(0, "other", &versions(&["v3"]));
    assert!(!history.is_mixed(0, "other"));
    assert_eq!(history.get_possible(0, "other").versions, versions(&["v3"]));
    assert_eq!(history.get_possible(0, "unknown").versions, versions(&[]));
}

#[test]
fn a_service_without_servers_is_forgotten_when_its_streams_have_ended() {
    let mut history = observed(0, &["v1"]);
    history.observe(1_000, SERVICE, &versions(&[]));
    assert_eq!(history.list_possible(1_000).len(), 1);
    assert_eq!(history.list_possible(1_000 + MAX_STREAM_AGE_MS).len(), 0);
}

#[test]
fn a_history_is_incomplete_until_the_rows_are_read() {
    let mut history = observed(5_000, &["v1"]);
    assert!(!history.get_possible(5_000, SERVICE).is_complete);
    history.record_rows_read();
    assert!(history.get_possible(5_000, SERVICE).is_complete);
}

#[test]
fn a_history_without_rows_is_complete_when_all_earlier_streams_have_ended() {
    let mut history = observed(5_000, &["v1"]);
    history.record_list_known(30_000);
    let until = 5_000 + MAX_STREAM_AGE_MS;
    assert!(!history.get_possible(until - 1, SERVICE).is_complete);
    assert!(history.get_possible(until, SERVICE).is_complete);
}

// Guards against taking a service without known servers for one whose versions are all known: the
// rows may arrive before the server list.
#[test]
fn a_history_without_a_server_list_is_incomplete() {
    let mut history = VersionHistory::default();
    history.record_rows_read();
    assert!(!history.get_possible(10 * MAX_STREAM_AGE_MS, SERVICE).is_complete);
}

#[test]
fn a_version_of_a_row_that_is_not_listed_counts_as_seen_now() {
    let mut history = observed(0, &["v2"]);
    history.merge_row(3_000, SERVICE, &versions(&["v1", "v2"]));
    assert!(history.is_mixed(3_000 + MAX_STREAM_AGE_MS - 1, SERVICE));
    assert!(!history.is_mixed(3_000 + MAX_STREAM_AGE_MS, SERVICE));
    assert!(history.is_listed(SERVICE, "v2"));
}

#[test]
fn a_row_that_is_read_before_the_server_list_is_kept() {
    let mut history = VersionHistory::default();
    history.merge_row(0, SERVICE, &versions(&["v1", "v2"]));
    history.observe(500, SERVICE, &versions(&["v2"]));
    assert_eq!(history.get_possible(500, SERVICE).versions, versions(&["v1", "v2"]));
    assert_eq!(history.get_possible(MAX_STREAM_AGE_MS, SERVICE).versions, versions(&["v2"]));
}

/// Guards against a version that stays possible for as long as nodes read its row again.
#[test]
fn a_row_that_is_merged_repeatedly_keeps_no_version_alive() {
    let mut history = observed(0, &["v1", "v2"]);
    history.observe(1_000, SERVICE, &versions(&["v2"]));
    let until = 1_000 + MAX_STREAM_AGE_MS;
    for now in [2_000, 30_000, until - 1] {
        history.merge_missing(now, SERVICE, &versions(&["v1", "v2"]));
    }
    assert!(history.is_mixed(until - 1, SERVICE));
    assert!(!history.is_mixed(until, SERVICE));
}

/// Guards against a version that came and went unseen.
#[test]
fn a_version_of_a_row_that_was_never_seen_counts_as_seen_now() {
    let mut history = observed(0, &["v1"]);
    history.merge_missing(5_000, SERVICE, &versions(&["v1", "v2"]));
    assert!(history.is_mixed(5_000 + MAX_STREAM_AGE_MS - 1, SERVICE));
    assert!(!history.is_mixed(5_000 + MAX_STREAM_AGE_MS, SERVICE));
    assert!(history.is_listed(SERVICE, "v1"));
}

proptest! {
    /// For any sequence of lists: a version is possible exactly while it is listed and until its
    /// streams have ended, and a service is mixed exactly if more than one is possible.
    #[test]
    fn possible_is_what_was_listed_within_the_age_of_a_stream(
        lists in proptest::collection::vec((0u64..40_000, proptest::collection::btree_set(0u8..4, 0..4)), 1..30)
    ) {
        let mut history = VersionHistory::default();
        let mut now = 0;
        let mut last_listed = [None::<u64>; 4];
        let mut before = BTreeSet::new();
        for (wait, listed) in lists {
            now += wait;
            before.iter().for_each(|version: &u8| last_listed[usize::from(*version)] = Some(now));
            listed.iter().for_each(|version| last_listed[usize::from(*version)] = Some(now));
            let names = listed.iter().map(|version| format!("v{version}")).collect();
            history.observe(now, SERVICE, &names);
            before = listed;
            let expected: BTreeSet<String> = (0..4u8)
                .filter(|version| {
                    let at = last_listed[usize::from(*version)];
                    at.is_some_and(|at| now < at + MAX_STREAM_AGE_MS)
                })
                .map(|version| format!("v{version}"))
                .collect();
            prop_assert_eq!(history.is_mixed(now, SERVICE), expected.len() > 1);
            prop_assert_eq!(history.get_possible(now, SERVICE).versions, expected);
        }
    }
}
