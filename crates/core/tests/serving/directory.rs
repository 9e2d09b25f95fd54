use keeljunction_core::serving::directory::{Batch, Change, Directory, Entry, Server};

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
