use keeljunction_core::serving::directory::{Batch, Change, Directory, Entry, Server, Update};

use crate::support::server;

fn listed(version: u64, server: Server) -> Batch {
    let entry = Entry { id: server.id.clone(), version, server: Some(server) };
    Batch { after: version - 1, version, entries: vec![entry] }
}

fn removed(version: u64, id: &str) -> Batch {
    let entry = Entry { id: id.to_owned(), version, server: None };
    Batch { after: version - 1, version, entries: vec![entry] }
}

fn ready(directory: &Directory) -> Vec<&str> {
    directory.iter_ready("llm").map(|server| server.id.as_str()).collect()
}

#[test]
fn a_whole_list_replaces_what_was_known() {
    let mut directory = Directory::default();
    directory.replace(5, vec![server("a", "z1"), server("b", "z1")]);
    let changes = directory.replace(6, vec![server("b", "z1"), server("c", "z1")]);
    assert_eq!(changes, [Change::Gone(server("a", "z1")), Change::Joined(server("c", "z1"))]);
    assert_eq!(ready(&directory), ["b", "c"]);
    assert_eq!(directory.get_version(), 6);
}

#[test]
fn a_leaving_server_gets_nothing_and_never_comes_back() {
    let mut directory = Directory::default();
    directory.replace(1, vec![server("a", "z1")]);
    let mut leaving = server("a", "z1");
    leaving.is_leaving = true;
    let changes = directory.update(listed(2, leaving.clone()));
    assert_eq!(changes, Some(vec![Change::Leaving(leaving)]));
    assert!(ready(&directory).is_empty());
    directory.update(listed(3, server("a", "z1")));
    assert!(ready(&directory).is_empty());
}

#[test]
fn a_removed_server_is_gone() {
    let mut directory = Directory::default();
    directory.replace(1, vec![server("a", "z1")]);
    let changes = directory.update(removed(2, "a"));
    assert_eq!(changes, Some(vec![Change::Gone(server("a", "z1"))]));
    assert_eq!(directory.update(removed(3, "a")), Some(Vec::new()));
}

#[test]
fn an_answer_that_shows_another_server_takes_the_old_one_out() {
    let mut directory = Directory::default();
    directory.replace(1, vec![server("a", "z1")]);
    assert!(directory.note_leaving("a", 0).is_some());
    assert!(directory.note_leaving("a", 0).is_none());
    assert!(ready(&directory).is_empty());
}

#[test]
fn a_batch_after_a_gap_is_not_taken() {
    let mut directory = Directory::default();
    directory.replace(7, Vec::new());
    assert_eq!(directory.update(listed(9, server("a", "z1"))), None);
    assert_eq!(directory.get_version(), 7);
}

#[test]
fn batches_of_several_sources_may_overlap() {
    let mut directory = Directory::default();
    directory.replace(1, vec![server("a", "z1")]);
    directory.update(removed(2, "a"));
    let mut late = listed(1, server("a", "z1"));
    late.after = 0;
    assert_eq!(directory.update(late), Some(Vec::new()));
    assert!(ready(&directory).is_empty());
    assert_eq!(directory.get_version(), 2);
}

#[test]
fn an_older_list_changes_nothing() {
    let mut directory = Directory::default();
    directory.replace(7, vec![server("a", "z1")]);
    assert!(directory.replace(6, Vec::new()).is_empty());
    assert_eq!(ready(&directory), ["a"]);
}

#[test]
fn an_answer_without_changes_leaves_the_version() {
    let mut directory = Directory::default();
    directory.replace(7, vec![server("a", "z1")]);
    let nothing = Batch { after: 7, version: 900, entries: Vec::new() };
    assert_eq!(directory.update(nothing), Some(Vec::new()));
    assert_eq!(directory.get_version(), 7);
}

#[test]
fn entries_that_lapsed_while_the_table_service_was_away_have_time_to_come_back() {
    let mut directory = Directory::default();
    directory.replace(1, vec![server("a", "z1"), server("b", "z1"), server("c", "z1")]);
    directory.note_away();
    directory.note_return(10_000);
    assert!(directory.replace(5, vec![server("c", "z1")]).is_empty());
    assert_eq!(ready(&directory), ["c", "a", "b"]);
    assert!(directory.update(listed(6, server("a", "z1"))).expect("no gap").is_empty());
    assert!(directory.expire_lapsed(11_999).is_empty());
    assert_eq!(directory.expire_lapsed(12_000), [Change::Gone(server("b", "z1"))]);
    assert_eq!(ready(&directory), ["a", "c"]);
}

#[test]
fn peers_are_not_told_of_servers_whose_entries_lapsed() {
    let mut directory = Directory::default();
    directory.replace(1, vec![server("a", "z1")]);
    directory.note_away();
    directory.note_return(10_000);
    directory.update(removed(2, "a"));
    assert_eq!(ready(&directory), ["a"]);
    assert_eq!(directory.iter().count(), 0);
}

#[test]
fn a_server_that_had_begun_to_leave_does_not_lapse() {
    let mut directory = Directory::default();
    let leaving = Server { is_leaving: true, ..server("a", "z1") };
    directory.replace(1, vec![leaving.clone()]);
    directory.note_away();
    directory.note_return(10_000);
    assert_eq!(directory.update(removed(2, "a")), Some(vec![Change::Gone(leaving)]));
}

#[test]
fn a_server_whose_entry_lapsed_is_gone_once_another_answers_in_its_place() {
    let mut directory = Directory::default();
    directory.replace(1, vec![server("a", "z1")]);
    directory.note_away();
    directory.note_return(10_000);
    directory.update(removed(2, "a"));
    assert_eq!(directory.note_leaving("a", 0), Some(Change::Gone(server("a", "z1"))));
    assert!(ready(&directory).is_empty());
}

#[test]
fn a_server_that_left_while_the_list_grew_old_gets_nothing() {
    let mut directory = Directory::default();
    directory.replace(1, vec![server("a", "z1"), server("b", "z1")]);
    directory.note_return(10_000);
    let changes = directory.replace(5, vec![server("b", "z1")]);
    assert_eq!(changes, [Change::Gone(server("a", "z1"))]);
    assert_eq!(ready(&directory), ["b"]);
}

#[test]
fn one_outage_gives_time_to_come_back_once() {
    let mut directory = Directory::default();
    directory.replace(1, vec![server("a", "z1")]);
    directory.note_away();
    directory.note_return(10_000);
    assert!(directory.expire_lapsed(12_000).is_empty());
    directory.note_return(20_000);
    assert_eq!(directory.replace(5, Vec::new()), [Change::Gone(server("a", "z1"))]);
}

fn started(at: u64) -> Server {
    Server { incarnation: at, ..server("a", "z1") }
}

#[test]
fn a_server_that_starts_again_joins_anew_and_its_late_entries_change_nothing() {
    let mut directory = Directory::default();
    directory.replace(1, vec![started(10)]);
    let leaving = Server { is_leaving: true, ..started(10) };
    assert_eq!(directory.replace(2, vec![leaving.clone()]), [Change::Leaving(leaving.clone())]);
    let again = started(20);
    let changes = directory.replace(3, vec![again.clone()]);
    assert_eq!(changes, [Change::Gone(leaving.clone()), Change::Joined(again.clone())]);
    assert_eq!(directory.replace(4, vec![leaving]), []);
    assert_eq!(directory.note_leaving("a", 10), None);
    assert_eq!(directory.get("a"), Some(&again));
    assert!(directory.is_superseded(&started(10)));
    assert!(!directory.is_superseded(&again));
}

#[test]
fn a_server_that_starts_again_while_its_entry_had_lapsed_takes_the_place_of_the_old_one() {
    let mut directory = Directory::default();
    directory.replace(1, vec![started(10)]);
    directory.note_away();
    directory.note_return(1_000);
    assert_eq!(directory.replace(2, vec![]), []);
    let changes = directory.replace(3, vec![started(20)]);
    assert_eq!(changes, [Change::Gone(started(10)), Change::Joined(started(20))]);
    assert_eq!(directory.expire_lapsed(9_000), []);
}

#[test]
fn batches_in_any_order_leave_the_newest_start() {
    let entry = |version, server| Entry { id: "a".to_owned(), version, server: Some(server) };
    for [first, second] in [[10, 20], [20, 10]] {
        let mut directory = Directory::default();
        directory.replace(1, vec![]);
        let entries = vec![entry(2, started(first)), entry(3, started(second))];
        directory.update(Batch { after: 1, version: 3, entries });
        assert_eq!(directory.get("a").map(|server| server.incarnation), Some(20));
    }
}

/// A list of so many servers, read whole at version 1.
fn of_size(count: usize) -> Directory {
    let mut directory = Directory::default();
    directory.replace(1, (0..count).map(|number| server(&format!("s{number}"), "z1")).collect());
    directory
}

#[test]
fn what_a_peer_lacks_grows_with_the_changes_and_not_with_the_list() {
    for count in [1_000, 10_000, 20_000] {
        let mut directory = of_size(count);
        for number in 0..30 {
            directory.update(removed(2 + 2 * number, &format!("s{number}")));
            let mut leaving = server(&format!("s{}", number + 100), "z1");
            leaving.is_leaving = true;
            directory.update(listed(3 + 2 * number, leaving));
        }
        let Update::Changes(all) = directory.get_update(Some(1)) else { panic!("the whole list") };
        assert_eq!((all.after, all.version, all.entries.len()), (1, 61, 60));
        let Update::Changes(last) = directory.get_update(Some(59)) else {
            panic!("the whole list")
        };
        assert_eq!(last.entries.len(), 2);
    }
}

#[test]
fn a_node_without_a_list_or_with_one_from_before_what_is_remembered_gets_the_whole() {
    let mut directory = Directory::default();
    directory.replace(7, vec![server("a", "z1")]);
    for after in [None, Some(6)] {
        let Update::Whole { version, servers } = directory.get_update(after) else {
            panic!("changes after {after:?}")
        };
        assert_eq!((version, servers.len()), (7, 1));
    }
}

#[test]
fn a_peer_that_takes_what_it_lacks_knows_the_same_servers() {
    let mut random = fastrand::Rng::with_seed(7);
    let mut known = of_size(400);
    let mut peer = of_size(400);
    for version in 2..600 {
        let id = format!("s{}", random.usize(..500));
        match random.bool() {
            true => known.update(removed(version, &id)),
            false => known.update(listed(version, server(&id, "z1"))),
        };
        if random.u8(..40) == 0 {
            peer.take(known.get_update(Some(peer.get_version()))).expect("no gap");
            assert!(known.iter().eq(peer.iter()), "at {version}");
        }
    }
}

#[test]
fn a_peer_that_was_away_while_most_servers_were_replaced_knows_the_same_servers() {
    let mut known = of_size(1_000);
    let mut peer = of_size(1_000);
    for number in 0..2_000 {
        known.update(removed(2 + 2 * number, &format!("s{number}")));
        known.update(listed(3 + 2 * number, server(&format!("s{}", number + 1_000), "z1")));
    }
    peer.take(known.get_update(Some(1))).expect("no gap");
    assert!(known.iter().eq(peer.iter()));
}

#[test]
fn a_long_batch_is_split_into_parts_that_follow_each_other() {
    let entry = |version, number: usize| Entry { id: format!("s{number}"), version, server: None };
    let mut entries: Vec<Entry> = (0..10_000).map(|n| entry(2 + n as u64 / 3, n)).collect();
    entries.reverse();
    let parts = Batch { after: 1, version: 5_000, entries }.split(64);
    assert_eq!(parts.len(), 152);
    assert!(parts.iter().all(|part| part.entries.len() <= 66));
    assert_eq!((parts[0].after, parts[151].version), (1, 5_000));
    assert!(parts.windows(2).all(|pair| pair[0].version == pair[1].after));
    let mut directory = of_size(10_000);
    for part in parts {
        directory.update(part).expect("no gap");
    }
    assert_eq!((directory.count(), directory.get_version()), (0, 5_000));
}

#[test]
fn a_service_with_few_servers_is_listed_without_the_others() {
    let mut directory = of_size(10_000);
    let other = Server { service: "api".to_owned(), ..server("x", "z1") };
    directory.update(listed(2, other));
    assert_eq!(directory.iter_ready("api").count(), 1);
    assert_eq!(directory.iter_ready("llm").count(), 10_000);
}

/// A peer that stayed behind by such a change would ask for it again and again.
#[test]
fn a_change_without_effect_brings_a_peer_up_to_date_too() {
    let mut known = of_size(10);
    let mut peer = of_size(10);
    known.update(removed(2, "never-listed"));
    known.update(listed(3, server("s1", "z1")));
    assert_eq!(known.get_version(), 3);
    peer.take(known.get_update(Some(peer.get_version()))).expect("no gap");
    assert_eq!(peer.get_version(), 3);
}

/// Guards against a server that gets requests again after it said that it leaves, because its entry was
/// missing for a while and came back as ready.
#[test]
fn the_word_of_a_server_that_it_leaves_outlives_its_entry() {
    let mut directory = Directory::default();
    directory.replace(1, vec![started(10)]);
    let departed = directory.note_departure(1_000, "a", 10);
    assert!(departed.is_news && departed.change.is_some());
    assert!(!directory.note_departure(1_100, "a", 10).is_news);
    // Its entry is written again, is missing from a whole list, and comes back.
    directory.update(listed(2, started(10)));
    assert!(ready(&directory).is_empty());
    directory.replace(3, Vec::new());
    directory.update(listed(4, started(10)));
    assert!(ready(&directory).is_empty());
    // It lapses while the table service is away.
    directory.note_away();
    directory.note_return(2_000);
    directory.replace(5, Vec::new());
    assert!(ready(&directory).is_empty());
    directory.replace(6, vec![started(10)]);
    assert!(ready(&directory).is_empty());
    // Its next start is another server.
    directory.update(listed(7, started(11)));
    assert_eq!(ready(&directory), ["a"]);
    // A late answer of the start before changes nothing.
    assert!(!directory.note_departure(3_000, "a", 10).is_news);
    assert_eq!(ready(&directory), ["a"]);
}

#[test]
fn the_word_of_a_server_that_it_leaves_may_come_before_its_entry_and_goes_to_peers_with_it() {
    let mut directory = Directory::default();
    assert!(directory.note_departure(0, "a", 10).is_news);
    directory.replace(1, vec![started(10)]);
    assert!(ready(&directory).is_empty());
    let mut peer = Directory::default();
    peer.take(directory.get_update(None));
    assert!(ready(&peer).is_empty());
}

#[test]
fn departures_are_forgotten_in_the_end_and_bounded() {
    let mut directory = Directory::default();
    directory.note_departure(0, "a", 10);
    directory.expire_departures(599_999);
    directory.replace(1, vec![started(10)]);
    assert!(ready(&directory).is_empty());
    directory.expire_departures(600_000);
    directory.replace(2, Vec::new());
    directory.replace(3, vec![started(10)]);
    assert_eq!(ready(&directory), ["a"]);
    // Of more than a thousand the latest are kept.
    for number in 0..1_030 {
        assert!(directory.note_departure(700_000 + number, &format!("s-{number}"), 1).is_news);
    }
    assert!(directory.note_departure(800_000, "s-0", 1).is_news);
    assert!(!directory.note_departure(800_000, "s-1029", 1).is_news);
}

/// Guards against a node that missed the news of a departure, and against reports that grow with the number
/// of departures.
#[test]
fn departures_are_repeated_by_turns_for_a_while() {
    let mut directory = Directory::default();
    assert!(directory.list_departures(0, 0).is_empty());
    (0..9).for_each(|number| drop(directory.note_departure(0, &format!("s-{number}"), 1)));
    let listed = |turn| directory.list_departures(29_999, turn);
    let mut seen: Vec<String> = (0..3).flat_map(listed).map(|departure| departure.server).collect();
    assert_eq!(seen.len(), 12);
    seen.sort_unstable();
    seen.dedup();
    assert_eq!(seen.len(), 9);
    assert!(directory.list_departures(30_000, 0).is_empty());
}
