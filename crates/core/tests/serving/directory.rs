use keeljunction_core::serving::directory::{Change, Directory, Entry};

use crate::support::server;

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
    let changes = directory.update(2, vec![Entry::Listed(leaving.clone())]);
    assert_eq!(changes, [Change::Leaving(leaving)]);
    assert!(ready(&directory).is_empty());
    directory.update(3, vec![Entry::Listed(server("a", "z1"))]);
    assert!(ready(&directory).is_empty());
}

#[test]
fn a_removed_server_is_gone() {
    let mut directory = Directory::default();
    directory.replace(1, vec![server("a", "z1")]);
    let changes = directory.update(2, vec![Entry::Removed("a".to_owned())]);
    assert_eq!(changes, [Change::Gone(server("a", "z1"))]);
    assert!(directory.update(3, vec![Entry::Removed("a".to_owned())]).is_empty());
}

#[test]
fn an_answer_that_shows_another_server_takes_the_old_one_out() {
    let mut directory = Directory::default();
    directory.replace(1, vec![server("a", "z1")]);
    assert!(directory.note_leaving("a").is_some());
    assert!(directory.note_leaving("a").is_none());
    assert!(ready(&directory).is_empty());
}

#[test]
fn an_update_never_lowers_the_version() {
    let mut directory = Directory::default();
    directory.replace(7, Vec::new());
    directory.update(3, Vec::new());
    assert_eq!(directory.get_version(), 7);
}
