//! The rows in which records outlast a restart of all nodes.

use std::collections::BTreeSet;

use keeljunction_core::Millis;
use keeljunction_core::serving::stream_origin::{
    Archive, ArchivedRow, Batch, Decision, Key, MAX_SEGMENT_AGE_MS, MAX_SEGMENT_RECORDS, Origin,
    Record, Registry, SHARDS, Shard, Stream, decide_archived, get_write_interval,
};
use keeljunction_core::serving::version_history::MAX_STREAM_AGE_MS;

/// The writes per second that the archivists of a deployment of any size may make together.
const MAX_WRITES_PER_SECOND: f64 = 32.0;

fn make_archive() -> Archive {
    Archive::new("n-1".to_owned())
}

/// Makes records of streams of the first shard.
fn make_records(count: usize, expires_in: Millis) -> Vec<Record> {
    let mut registry = Registry::default();
    let first = Shard::iter().next().expect("a shard");
    let keys = (0_u32..).map(|number| Key::new("acme", &number.to_string()));
    for key in keys.filter(|key| Shard::of(*key) == first).take(count) {
        registry.begin(0, key, &Origin::new("llm", "v1"), expires_in);
    }
    registry.list(0)
}

fn count_records(rows: &[ArchivedRow]) -> usize {
    rows.iter().map(|row| row.records.len()).sum()
}

/// Guards against shards that no stream or no node has.
#[test]
fn streams_spread_over_all_shards() {
    let keys = (0..10_000).map(|number| Key::new("acme", &number.to_string()));
    let shards: BTreeSet<Shard> = keys.map(Shard::of).collect();
    assert_eq!(shards, Shard::iter().collect());
    assert_eq!(shards.len(), usize::from(SHARDS));
    let prefixes: Vec<String> = Shard::iter().map(Shard::get_prefix).collect();
    assert!(prefixes.is_sorted() && prefixes.iter().all(|prefix| prefix.len() == 3));
}

/// Guards against writes that grow with the number of nodes.
#[test]
fn all_archivists_together_write_some_times_a_second() {
    for nodes in 1..=1_000 {
        let archivists = nodes.min(usize::from(SHARDS)) as f64;
        let writes = archivists * 1_000.0 / get_write_interval(nodes) as f64;
        assert!(writes <= MAX_WRITES_PER_SECOND, "{writes} a second of {nodes} nodes");
    }
}

/// Guards against an archivist that has no copy, because a datagram was lost or another node became the archivist.
#[test]
fn the_archivist_gets_one_more_copy_until_it_has_confirmed_it() {
    let mut registry = Registry::default();
    let key = Key::new("acme", "1");
    registry.begin(0, key, &Origin::new("llm", "v1"), 60_000);
    let mut plan = |now, archivist, confirmed: &[u64]| {
        confirmed.iter().for_each(|holder| registry.confirm(*holder, &[key]));
        registry.set_archivist(key, archivist);
        registry.plan_copies(now, key, |_| true, || vec![11, 12, 13, 14])
    };
    assert_eq!(plan(0, Some(99), &[]), [11, 12, 13, 99]);
    assert_eq!(plan(250, Some(99), &[11, 12, 13]), [99]);
    assert_eq!(plan(750, Some(99), &[]), [99]);
    assert!(plan(1_750, Some(99), &[99]).is_empty());
    assert_eq!(plan(2_250, Some(98), &[]), [98]);
    assert!(plan(2_750, None, &[98]).is_empty());
}

/// Guards against records that are written again and again.
#[test]
fn a_row_is_written_only_if_it_has_changed() {
    let mut archive = make_archive();
    let records = make_records(3, 30_000);
    archive.add(0, records[..2].to_vec());
    assert_eq!(count_records(&archive.take_rows(0)), 2);
    assert!(archive.take_rows(250).is_empty());
    assert!(!archive.is_missing(250, &records[0]) && archive.is_missing(250, &records[2]));
    archive.add(250, records[2..].to_vec());
    let rows = archive.take_rows(250);
    assert_eq!((rows.len(), count_records(&rows)), (1, 3));
}

/// Guards against rows that exceed what the table service takes, and against rewriting a large row for each new record.
#[test]
fn a_full_or_old_segment_is_followed_by_another_row() {
    let mut archive = make_archive();
    archive.add(0, make_records(MAX_SEGMENT_RECORDS + 1, 60_000));
    let rows = archive.take_rows(0);
    assert_eq!((rows.len(), count_records(&rows)), (2, MAX_SEGMENT_RECORDS + 1));
    assert!(rows.iter().all(|row| row.records.len() <= MAX_SEGMENT_RECORDS));
    archive.add(MAX_SEGMENT_AGE_MS, make_records(1, 60_000));
    let later = archive.take_rows(MAX_SEGMENT_AGE_MS);
    assert!(later.iter().all(|row| rows.iter().all(|known| known.key != row.key)), "{later:?}");
    assert_eq!(count_records(&later), 1);
}

/// Guards against rows that stay for ever, and against rows that are removed while a record in them is valid.
#[test]
fn a_row_is_removed_once_its_last_record_has_expired() {
    let mut archive = make_archive();
    archive.add(0, make_records(1, 30_000));
    archive.add(1_000, make_records(2, 40_000));
    let written = archive.take_rows(1_000);
    assert!((1_000..41_000).step_by(250).all(|now| archive.take_rows(now).is_empty()));
    let removed = archive.take_rows(41_000);
    assert_eq!(removed, [ArchivedRow { key: written[0].key.clone(), records: Vec::new() }]);
    assert!((41_000..200_000).step_by(1_000).all(|now| archive.take_rows(now).is_empty()));
}

/// Guards against rows that stay for ever because their writer was killed, and against rows that are removed while it
/// may still extend them.
#[test]
fn the_row_of_a_former_archivist_is_removed_after_the_longest_time_that_it_may_be_valid() {
    let mut archive = make_archive();
    archive.adopt(5_000, "00-n-2-0".to_owned());
    archive.adopt(6_000, "00-n-2-0".to_owned());
    let removed_at = 5_000 + MAX_SEGMENT_AGE_MS + MAX_STREAM_AGE_MS;
    assert!(archive.take_rows(removed_at - 1).is_empty());
    assert_eq!(archive.take_rows(removed_at).len(), 1);
    assert!(archive.take_rows(removed_at + 1).is_empty());
    assert!(archive.is_own("00-n-1-0") && !archive.is_own("00-n-2-0") && !archive.is_own(""));
}

/// Guards against records that are lost with a write that failed, and against a write of it that is applied late and
/// undoes another one.
#[test]
fn records_of_a_failed_write_are_written_again_to_another_row() {
    let mut archive = make_archive();
    let records = make_records(2, 30_000);
    archive.add(0, records.clone());
    let failed = archive.take_rows(0);
    archive.record_failure(500, failed.clone());
    assert!(records.iter().all(|record| archive.is_missing(500, record)));
    archive.add(500, records);
    let rows = archive.take_rows(500);
    assert_eq!(count_records(&rows), 2);
    assert_ne!(rows[0].key, failed[0].key);
    let removed: BTreeSet<String> = (500..40_000)
        .step_by(250)
        .flat_map(|now| archive.take_rows(now))
        .map(|row| row.key)
        .collect();
    assert_eq!(removed, BTreeSet::from([rows[0].key.clone(), failed[0].key.clone()]));
}

/// Guards against streams that outlive their archived record, and against an origin that stays archived after another
/// one was recorded.
#[test]
fn a_record_is_archived_again_when_it_changes() {
    let mut archive = make_archive();
    let record = make_records(1, 60_000).remove(0);
    archive.add(0, [record.clone()]);
    assert!(!archive.is_missing(30_000, &record));
    assert!(archive.is_missing(45_000, &record));
    let mut registry = Registry::default();
    for version in ["v1", "v2"] {
        let streams = vec![Stream { key: record.key, expires_in: 10_000 }];
        registry.merge(0, &Batch { origin: Some(Origin::new("llm", version)), streams });
    }
    let ambiguous = registry.get_record(0, record.key).expect("a record");
    assert!(archive.is_missing(0, &ambiguous));
    assert_eq!(decide_archived(Some(&ambiguous.standing.into())), Decision::Ambiguous);
}

/// Guards against a stream that goes on at any version because its archived record is missing.
#[test]
fn a_stream_goes_on_at_its_archived_origin_only() {
    let record = make_records(1, 30_000).remove(0);
    let origin = Origin::new("llm", "v1");
    assert_eq!(decide_archived(Some(&record.standing.into())), Decision::Archived(origin));
    assert_eq!(decide_archived(None), Decision::Unknown);
    assert_eq!(decide_archived(None).get_origin(), None);
}
