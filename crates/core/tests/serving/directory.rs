use keeljunction_core::serving::directory::{Batch, Change, Directory, Entry, Server, Update};

use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::table_version::TableVersion;

use crate::support::{at, server};

fn listed(version: u64, server: Server) -> Batch {
    let entry = Entry { id: server.id.clone(), version: at(version), server: Some(server) };
    Batch { after: at(version - 1), version: at(version), entries: vec![entry] }
}

fn removed(version: u64, id: &str) -> Batch {
    let entry = Entry { id: id.to_owned(), version: at(version), server: None };
    Batch { after: at(version - 1), version: at(version), entries: vec![entry] }
}

fn ready(directory: &Directory) -> Vec<&str> {
    directory.iter_ready("llm").map(|server| server.id.as_str()).collect()
}

#[test]
fn a_full_list_replaces_the_known_servers() {
    let mut directory = Directory::default();
    directory.replace(at(5), vec![server("a", "z1"), server("b", "z1")]);
    let changes = directory.replace(at(6), vec![server("b", "z1"), server("c", "z1")]);
    assert_eq!(changes, [Change::Gone(server("a", "z1")), Change::Joined(server("c", "z1"))]);
    assert_eq!(ready(&directory), ["b", "c"]);
    assert_eq!(directory.get_version(), at(6));
}

#[test]
fn a_leaving_server_gets_no_work_and_never_comes_back() {
    let mut directory = Directory::default();
    directory.replace(at(1), vec![server("a", "z1")]);
    let mut leaving = server("a", "z1");
    leaving.is_leaving = true;
    let changes = directory.apply_batch(listed(2, leaving.clone()));
    assert_eq!(changes, Some(vec![Change::Leaving(leaving)]));
    assert!(ready(&directory).is_empty());
    directory.apply_batch(listed(3, server("a", "z1")));
    assert!(ready(&directory).is_empty());
}

// Guards against missing that a server runs other software if it does not tell its incarnation: the
// entry was replaced without a change.
#[test]
fn a_server_of_another_version_replaces_the_one_before() {
    let mut directory = Directory::default();
    directory.replace(at(1), vec![server("a", "z1")]);
    let other = Server { version: "v-next".to_owned(), ..server("a", "z1") };
    let changes = directory.apply_batch(listed(2, other.clone()));
    assert_eq!(changes, Some(vec![Change::Gone(server("a", "z1")), Change::Joined(other)]));
    assert_eq!(ready(&directory), ["a"]);
}

#[test]
fn a_removed_server_is_gone() {
    let mut directory = Directory::default();
    directory.replace(at(1), vec![server("a", "z1")]);
    let changes = directory.apply_batch(removed(2, "a"));
    assert_eq!(changes, Some(vec![Change::Gone(server("a", "z1"))]));
    assert_eq!(directory.apply_batch(removed(3, "a")), Some(Vec::new()));
}

#[test]
fn a_response_of_another_server_removes_the_old_one() {
    let mut directory = Directory::default();
    directory.replace(at(1), vec![server("a", "z1")]);
    assert!(directory.record_leaving("a", 0).is_some());
    assert!(directory.record_leaving("a", 0).is_none());
    assert!(ready(&directory).is_empty());
}

#[test]
fn a_batch_after_a_gap_is_rejected() {
    let mut directory = Directory::default();
    directory.replace(at(7), Vec::new());
    assert_eq!(directory.apply_batch(listed(9, server("a", "z1"))), None);
    assert_eq!(directory.get_version(), at(7));
}

#[test]
fn batches_of_several_sources_may_overlap() {
    let mut directory = Directory::default();
    directory.replace(at(1), vec![server("a", "z1")]);
    directory.apply_batch(removed(2, "a"));
    let mut late = listed(1, server("a", "z1"));
    late.after = at(0);
    assert_eq!(directory.apply_batch(late), Some(Vec::new()));
    assert!(ready(&directory).is_empty());
    assert_eq!(directory.get_version(), at(2));
}

#[test]
fn an_older_list_changes_nothing() {
    let mut directory = Directory::default();
    directory.replace(at(7), vec![server("a", "z1")]);
    assert!(directory.replace(at(6), Vec::new()).is_empty());
    assert_eq!(ready(&directory), ["a"]);
}

#[test]
fn an_empty_batch_keeps_the_version() {
    let mut directory = Directory::default();
    directory.replace(at(7), vec![server("a", "z1")]);
    let nothing = Batch { after: at(7), version: at(900), entries: Vec::new() };
    assert_eq!(directory.apply_batch(nothing), Some(Vec::new()));
    assert_eq!(directory.get_version(), at(7));
}

#[test]
fn entries_that_lapsed_during_an_outage_have_time_to_come_back() {
    let mut directory = Directory::default();
    directory.replace(at(1), vec![server("a", "z1"), server("b", "z1"), server("c", "z1")]);
    directory.record_table_unavailable();
    directory.record_table_recovered(10_000);
    assert!(directory.replace(at(5), vec![server("c", "z1")]).is_empty());
    assert_eq!(ready(&directory), ["c", "a", "b"]);
    assert!(directory.apply_batch(listed(6, server("a", "z1"))).expect("no gap").is_empty());
    assert!(directory.expire_lapsed(11_999).is_empty());
    assert_eq!(directory.expire_lapsed(12_000), [Change::Gone(server("b", "z1"))]);
    assert_eq!(ready(&directory), ["a", "c"]);
}

#[test]
fn servers_with_lapsed_entries_are_not_sent_to_peers() {
    let mut directory = Directory::default();
    directory.replace(at(1), vec![server("a", "z1")]);
    directory.record_table_unavailable();
    directory.record_table_recovered(10_000);
    directory.apply_batch(removed(2, "a"));
    assert_eq!(ready(&directory), ["a"]);
    assert_eq!(directory.iter().count(), 0);
}

#[test]
fn a_server_that_had_started_to_leave_does_not_lapse() {
    let mut directory = Directory::default();
    let leaving = Server { is_leaving: true, ..server("a", "z1") };
    directory.replace(at(1), vec![leaving.clone()]);
    directory.record_table_unavailable();
    directory.record_table_recovered(10_000);
    assert_eq!(directory.apply_batch(removed(2, "a")), Some(vec![Change::Gone(leaving)]));
}

#[test]
fn a_server_with_a_lapsed_entry_is_gone_once_another_responds_in_its_place() {
    let mut directory = Directory::default();
    directory.replace(at(1), vec![server("a", "z1")]);
    directory.record_table_unavailable();
    directory.record_table_recovered(10_000);
    directory.apply_batch(removed(2, "a"));
    assert_eq!(directory.record_leaving("a", 0), Some(Change::Gone(server("a", "z1"))));
    assert!(ready(&directory).is_empty());
}

#[test]
fn a_server_that_left_while_the_list_was_out_of_date_gets_no_work() {
    let mut directory = Directory::default();
    directory.replace(at(1), vec![server("a", "z1"), server("b", "z1")]);
    directory.record_table_recovered(10_000);
    let changes = directory.replace(at(5), vec![server("b", "z1")]);
    assert_eq!(changes, [Change::Gone(server("a", "z1"))]);
    assert_eq!(ready(&directory), ["b"]);
}

#[test]
fn one_outage_gives_time_to_come_back_once() {
    let mut directory = Directory::default();
    directory.replace(at(1), vec![server("a", "z1")]);
    directory.record_table_unavailable();
    directory.record_table_recovered(10_000);
    assert!(directory.expire_lapsed(12_000).is_empty());
    directory.record_table_recovered(20_000);
    assert_eq!(directory.replace(at(5), Vec::new()), [Change::Gone(server("a", "z1"))]);
}

fn started(at: u64) -> Server {
    Server { incarnation: at, ..server("a", "z1") }
}

#[test]
fn a_restarted_server_joins_again_and_late_entries_are_ignored() {
    let mut directory = Directory::default();
    directory.replace(at(1), vec![started(10)]);
    let leaving = Server { is_leaving: true, ..started(10) };
    assert_eq!(directory.replace(at(2), vec![leaving.clone()]), [Change::Leaving(leaving.clone())]);
    let again = started(20);
    let changes = directory.replace(at(3), vec![again.clone()]);
    assert_eq!(changes, [Change::Gone(leaving.clone()), Change::Joined(again.clone())]);
    assert_eq!(directory.replace(at(4), vec![leaving]), []);
    assert_eq!(directory.record_leaving("a", 10), None);
    assert_eq!(directory.get("a"), Some(&again));
    assert!(directory.is_superseded(&started(10)));
    assert!(!directory.is_superseded(&again));
}

// Guards against a stream of one software version being taken for one of another, because the process
// that began or resumed it was replaced under its ID.
#[test]
fn other_software_under_the_id_of_a_server_replaces_it_even_if_its_start_is_unknown() {
    let next = |at| Server { version: "v-next".to_owned(), ..started(at) };
    let other_service = Server { service: "other".to_owned(), ..started(20) };
    let cases = [
        (started(0), next(0), true),
        (started(10), next(20), true),
        (started(10), other_service, true),
        (started(10), started(20), false),
        (started(20), next(10), false),
    ];
    for (before, listed, expected) in cases {
        let mut directory = Directory::default();
        assert!(!directory.is_software_replaced(&before));
        directory.replace(at(1), vec![listed]);
        assert_eq!(directory.is_software_replaced(&before), expected, "{before:?}");
    }
}

#[test]
fn a_server_restarted_with_a_lapsed_entry_replaces_the_old_one() {
    let mut directory = Directory::default();
    directory.replace(at(1), vec![started(10)]);
    directory.record_table_unavailable();
    directory.record_table_recovered(1_000);
    assert_eq!(directory.replace(at(2), vec![]), []);
    let changes = directory.replace(at(3), vec![started(20)]);
    assert_eq!(changes, [Change::Gone(started(10)), Change::Joined(started(20))]);
    assert_eq!(directory.expire_lapsed(9_000), []);
}

#[test]
fn batches_in_any_order_keep_the_latest_incarnation() {
    let entry =
        |version, server| Entry { id: "a".to_owned(), version: at(version), server: Some(server) };
    for [first, second] in [[10, 20], [20, 10]] {
        let mut directory = Directory::default();
        directory.replace(at(1), vec![]);
        let entries = vec![entry(2, started(first)), entry(3, started(second))];
        directory.apply_batch(Batch { after: at(1), version: at(3), entries });
        assert_eq!(directory.get("a").map(|server| server.incarnation), Some(20));
    }
}

/// Returns a directory of `count` servers, read in full at version 1.
fn directory_of(count: usize) -> Directory {
    let mut directory = Directory::default();
    directory
        .replace(at(1), (0..count).map(|number| server(&format!("s{number}"), "z1")).collect());
    directory
}

#[test]
fn an_update_grows_with_the_changes_and_not_with_the_list() {
    for count in [1_000, 10_000, 20_000] {
        let mut directory = directory_of(count);
        for number in 0..30 {
            directory.apply_batch(removed(2 + 2 * number, &format!("s{number}")));
            let mut leaving = server(&format!("s{}", number + 100), "z1");
            leaving.is_leaving = true;
            directory.apply_batch(listed(3 + 2 * number, leaving));
        }
        let Update::Delta(all) = directory.get_update(Some(at(1))) else {
            panic!("the whole list")
        };
        assert_eq!((all.after, all.version, all.entries.len()), (at(1), at(61), 60));
        let Update::Delta(last) = directory.get_update(Some(at(59))) else {
            panic!("the whole list")
        };
        assert_eq!(last.entries.len(), 2);
    }
}

#[test]
fn a_node_without_a_list_or_with_a_very_old_one_gets_the_full_list() {
    let mut directory = Directory::default();
    directory.replace(at(7), vec![server("a", "z1")]);
    for after in [None, Some(6)] {
        let Update::Full { version, servers } = directory.get_update(after.map(at)) else {
            panic!("changes after {after:?}")
        };
        assert_eq!((version, servers.len()), (at(7), 1));
    }
}

#[test]
fn a_peer_that_applies_updates_knows_the_same_servers() {
    let mut random = fastrand::Rng::with_seed(7);
    let mut known = directory_of(400);
    let mut peer = directory_of(400);
    for version in 2..600 {
        let id = format!("s{}", random.usize(..500));
        match random.bool() {
            true => known.apply_batch(removed(version, &id)),
            false => known.apply_batch(listed(version, server(&id, "z1"))),
        };
        if random.u8(..40) == 0 {
            peer.apply_update(known.get_update(Some(peer.get_version()))).expect("no gap");
            assert!(known.iter().eq(peer.iter()), "at {version}");
        }
    }
}

#[test]
fn a_peer_that_was_down_while_most_servers_were_replaced_knows_the_same_servers() {
    let mut known = directory_of(1_000);
    let mut peer = directory_of(1_000);
    for number in 0..2_000 {
        known.apply_batch(removed(2 + 2 * number, &format!("s{number}")));
        known.apply_batch(listed(3 + 2 * number, server(&format!("s{}", number + 1_000), "z1")));
    }
    peer.apply_update(known.get_update(Some(at(1)))).expect("no gap");
    assert!(known.iter().eq(peer.iter()));
}

#[test]
fn a_long_batch_is_split_into_consecutive_parts() {
    let entry = |version, number: usize| Entry {
        id: format!("s{number}"),
        version: at(version),
        server: None,
    };
    let mut entries: Vec<Entry> = (0..10_000).map(|n| entry(2 + n as u64 / 3, n)).collect();
    entries.reverse();
    let parts = Batch { after: at(1), version: at(5_000), entries }.split(64);
    assert_eq!(parts.len(), 152);
    assert!(parts.iter().all(|part| part.entries.len() <= 66));
    assert_eq!((parts[0].after, parts[151].version), (at(1), at(5_000)));
    assert!(parts.windows(2).all(|pair| pair[0].version == pair[1].after));
    let mut directory = directory_of(10_000);
    for part in parts {
        directory.apply_batch(part).expect("no gap");
    }
    assert_eq!((directory.count(), directory.get_version()), (0, at(5_000)));
}

#[test]
fn a_service_with_few_servers_is_listed_without_the_others() {
    let mut directory = directory_of(10_000);
    let other = Server { service: "api".to_owned(), ..server("x", "z1") };
    directory.apply_batch(listed(2, other));
    assert_eq!(directory.iter_ready("api").count(), 1);
    assert_eq!(directory.iter_ready("llm").count(), 10_000);
}

/// Guards against a peer that misses the version of such a change and requests it again and again.
#[test]
fn a_change_without_effect_updates_the_version_of_a_peer() {
    let mut known = directory_of(10);
    let mut peer = directory_of(10);
    known.apply_batch(removed(2, "never-listed"));
    known.apply_batch(listed(3, server("s1", "z1")));
    assert_eq!(known.get_version(), at(3));
    peer.apply_update(known.get_update(Some(peer.get_version()))).expect("no gap");
    assert_eq!(peer.get_version(), at(3));
}

/// Guards against a server that gets requests again after it announced that it is leaving, because
/// its entry was missing for a while and came back as ready.
#[test]
fn a_departure_overrides_the_entry_of_the_server() {
    let mut directory = Directory::default();
    directory.replace(at(1), vec![started(10)]);
    let departed = directory.record_departure(1_000, "a", 10);
    assert!(departed.is_news && departed.change.is_some());
    assert!(!directory.record_departure(1_100, "a", 10).is_news);
    // The entry is rewritten, is missing from a full list, and comes back.
    directory.apply_batch(listed(2, started(10)));
    assert!(ready(&directory).is_empty());
    directory.replace(at(3), Vec::new());
    directory.apply_batch(listed(4, started(10)));
    assert!(ready(&directory).is_empty());
    // The entry lapses while the table service is unavailable.
    directory.record_table_unavailable();
    directory.record_table_recovered(2_000);
    directory.replace(at(5), Vec::new());
    assert!(ready(&directory).is_empty());
    directory.replace(at(6), vec![started(10)]);
    assert!(ready(&directory).is_empty());
    // The next incarnation is another server.
    directory.apply_batch(listed(7, started(11)));
    assert_eq!(ready(&directory), ["a"]);
    // A late response of the former incarnation changes nothing.
    assert!(!directory.record_departure(3_000, "a", 10).is_news);
    assert_eq!(ready(&directory), ["a"]);
}

#[test]
fn a_departure_may_precede_the_entry_and_is_sent_to_peers_with_it() {
    let mut directory = Directory::default();
    assert!(directory.record_departure(0, "a", 10).is_news);
    directory.replace(at(1), vec![started(10)]);
    assert!(ready(&directory).is_empty());
    let mut peer = Directory::default();
    peer.apply_update(directory.get_update(None));
    assert!(ready(&peer).is_empty());
}

#[test]
fn departures_expire_and_are_bounded() {
    let mut directory = Directory::default();
    directory.record_departure(0, "a", 10);
    directory.expire_departures(599_999);
    directory.replace(at(1), vec![started(10)]);
    assert!(ready(&directory).is_empty());
    directory.expire_departures(600_000);
    directory.replace(at(2), Vec::new());
    directory.replace(at(3), vec![started(10)]);
    assert_eq!(ready(&directory), ["a"]);
    // Of more than a thousand departures, the latest are kept.
    for number in 0..1_030 {
        assert!(directory.record_departure(700_000 + number, &format!("s-{number}"), 1).is_news);
    }
    assert!(directory.record_departure(800_000, "s-0", 1).is_news);
    assert!(!directory.record_departure(800_000, "s-1029", 1).is_news);
}

/// Guards against a node that missed a departure, and against reports that grow with the number of
/// departures.
#[test]
fn departures_are_repeated_in_turns_for_a_while() {
    let mut directory = Directory::default();
    assert!(directory.list_departures(0, 0).is_empty());
    (0..9).for_each(|number| drop(directory.record_departure(0, &format!("s-{number}"), 1)));
    let listed = |turn| directory.list_departures(29_999, turn);
    let mut seen: Vec<String> = (0..3).flat_map(listed).map(|departure| departure.server).collect();
    assert_eq!(seen.len(), 12);
    seen.sort_unstable();
    seen.dedup();
    assert_eq!(seen.len(), 9);
    assert!(directory.list_departures(30_000, 0).is_empty());
}

/// Returns a version of the table service's second era, after a restore from an older copy.
fn restored(number: u64) -> TableVersion {
    TableVersion::new(Era::named(2), number)
}

fn changed(version: TableVersion, server: Server) -> Batch {
    let after = TableVersion { number: version.number - 1, ..version };
    Batch {
        after,
        version,
        entries: vec![Entry { id: server.id.clone(), version, server: Some(server) }],
    }
}

// Guards against a list that is no longer updated after a restore: versions are reused, and lower
// ones are newer.
#[test]
fn a_lower_version_of_a_later_era_is_newer() {
    let mut directory = Directory::default();
    directory.replace(at(900), vec![started(10)]);
    directory.record_table_restored(1_000);
    directory.replace(restored(700), vec![started(10)]);
    let leaving = Server { is_leaving: true, ..started(10) };
    let changes = directory.apply_batch(changed(restored(701), leaving.clone()));
    assert_eq!(changes, Some(vec![Change::Leaving(leaving)]));
    assert_eq!(directory.get_version(), restored(701));
}

// Guards against late responses and peers that have not heard of the restore.
#[test]
fn updates_of_an_earlier_era_are_ignored() {
    let mut directory = Directory::default();
    directory.replace(restored(5), vec![started(10)]);
    assert_eq!(directory.replace(at(900), Vec::new()), []);
    assert_eq!(directory.apply_batch(removed(901, "a")), Some(Vec::new()));
    let mut peer = Directory::default();
    peer.replace(at(900), Vec::new());
    directory.apply_update(peer.get_update(None));
    assert_eq!(ready(&directory), ["a"]);
    assert_eq!(directory.get_version(), restored(5));
}

#[test]
fn changes_of_a_later_era_are_rejected_without_its_full_list() {
    let mut directory = Directory::default();
    directory.replace(at(900), vec![started(10)]);
    assert_eq!(directory.apply_batch(changed(restored(6), started(20))), None);
    assert_eq!(directory.get_version(), at(900));
}

#[test]
fn a_peer_of_an_earlier_era_gets_the_full_list() {
    let mut known = Directory::default();
    known.replace(at(900), vec![started(10)]);
    known.replace(restored(5), vec![started(20)]);
    let mut peer = Directory::default();
    peer.replace(at(900), vec![started(10)]);
    let update = known.get_update(Some(peer.get_version()));
    assert!(matches!(update, Update::Full { .. }), "{update:?}");
    peer.apply_update(update);
    assert_eq!(peer.get("a"), known.get("a"));
    assert_eq!(
        known.get_update(Some(restored(5))),
        Update::Delta(Batch { after: restored(5), version: restored(5), entries: Vec::new() })
    );
}

// Guards against the loss of servers that have not rewritten their entries yet.
#[test]
fn servers_missing_from_an_older_copy_get_work_while_they_rewrite_entries() {
    let mut directory = Directory::default();
    directory.replace(at(900), vec![server("a", "z1"), server("b", "z1")]);
    directory.record_table_restored(1_000);
    assert_eq!(directory.replace(restored(700), vec![server("a", "z1")]), []);
    assert_eq!(ready(&directory), ["a", "b"]);
    directory.apply_batch(changed(restored(701), server("b", "z1")));
    assert_eq!(directory.expire_lapsed(3_000), []);
    assert_eq!(ready(&directory), ["a", "b"]);
}

// Guards against servers that get requests again because an older copy lists them as ready.
#[test]
fn a_server_that_left_before_a_restore_is_not_ready_again() {
    let leaving = Server { is_leaving: true, ..started(10) };
    for is_removed in [false, true] {
        let mut directory = Directory::default();
        directory.replace(at(1), vec![started(10)]);
        directory.apply_batch(listed(2, leaving.clone()));
        if is_removed {
            directory.apply_batch(removed(3, "a"));
        }
        for (now, era) in [(1_000, 2), (1_500, 3)] {
            directory.record_table_restored(now);
            directory.replace(TableVersion::new(Era::named(era), 1), vec![started(10)]);
            assert_eq!(ready(&directory), Vec::<&str>::new(), "era {era}, removed {is_removed}");
        }
        let again = TableVersion::new(Era::named(3), 2);
        directory.apply_batch(changed(again, started(20)));
        assert_eq!(ready(&directory), ["a"]);
    }
}

// A server that was partitioned from the table service has lapsed but is running, and rewrites its
// entry once it is connected again.
#[test]
fn a_server_removed_before_a_restore_is_ready_once_it_rewrites_its_entry() {
    let mut directory = Directory::default();
    directory.replace(at(1), vec![started(10)]);
    directory.apply_batch(removed(2, "a"));
    directory.record_table_restored(1_000);
    directory.replace(restored(1), vec![started(10)]);
    assert_eq!(ready(&directory), Vec::<&str>::new());
    directory.apply_batch(changed(restored(2), started(10)));
    assert_eq!(ready(&directory), ["a"]);
}

// Guards against requests to a server that left before a restore, from a node that started after
// it.
#[test]
fn departed_servers_that_an_older_copy_lists_as_ready_are_announced_again() {
    let departed = |directory: &Directory, now| -> Vec<String> {
        let departures = directory.list_departures(now, 0).into_iter();
        departures.map(|departure| departure.server).collect()
    };
    let mut directory = Directory::default();
    let servers = || ["a", "b", "c", "d"].map(|id| server(id, "z1")).to_vec();
    directory.replace(at(1), servers());
    for (version, id) in [(2, "a"), (3, "b")] {
        directory.apply_batch(listed(version, Server { is_leaving: true, ..server(id, "z1") }));
    }
    directory.apply_batch(removed(4, "b"));
    directory.apply_batch(removed(5, "c"));
    assert_eq!(departed(&directory, 900), Vec::<String>::new());
    for (now, era) in [(1_000, 2), (60_000, 3)] {
        directory.record_table_restored(now);
        directory.replace(TableVersion::new(Era::named(era), 1), servers());
        assert_eq!(departed(&directory, now), ["a", "b"], "era {era}");
    }
    // A server that had not started to leave may be running.
    directory.apply_batch(changed(TableVersion::new(Era::named(3), 2), server("c", "z1")));
    assert_eq!(ready(&directory), ["c", "d"]);
}
