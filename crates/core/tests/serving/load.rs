use keeljunction_core::serving::load::{Load, LoadBook, Work, short_id};

const WORK: Work = Work { prompt_tokens: 100, memory_tokens: 150, priority: 1 };

#[test]
fn a_request_counts_until_it_ends() {
    let mut book = LoadBook::default();
    book.begin("a", &WORK);
    let load = book.total(0, "a");
    assert_eq!((load.requests, load.waiting, load.memory_tokens), (1, 1, 150));
    assert_eq!((load.get_tokens_ahead(0), load.get_tokens_ahead(1)), (0, 100));
    book.note_first_token("a", &WORK);
    assert_eq!(book.total(0, "a").get_waiting_tokens(), 0);
    assert_eq!(book.total(0, "a").requests, 1);
    book.end("a", &WORK, true);
    assert_eq!(book.total(0, "a"), Load::default());
}

#[test]
fn a_request_that_ends_before_its_first_token_leaves_nothing() {
    let mut book = LoadBook::default();
    book.begin("a", &WORK);
    book.begin("a", &WORK);
    book.end("a", &WORK, false);
    assert_eq!(book.total(0, "a").get_waiting_tokens(), 100);
    book.end("a", &WORK, false);
    assert!(book.get_own().is_empty());
}

#[test]
fn counts_of_peers_are_added_until_they_are_too_old() {
    let mut peer = LoadBook::default();
    peer.begin("a", &WORK);
    let mut book = LoadBook::default();
    book.begin("a", &WORK);
    book.merge(2_000, "peer", peer.get_own());
    assert_eq!(book.total(1_999, "a").requests, 2);
    assert_eq!(book.total(2_000, "a").requests, 1);
    book.merge(9_000, "peer", vec![(short_id("b"), Load::default())]);
    assert_eq!(book.total(2_000, "a").requests, 1);
}

#[test]
fn a_request_that_a_peer_has_just_sent_counts_until_it_is_read_or_told_with_the_others() {
    let mut book = LoadBook::default();
    let peers = vec![(short_id("a"), Load { requests: 1, ..Load::default() })];
    book.merge_begun(1_500, "peer", short_id("a"), &WORK);
    assert_eq!(book.total(1_000, "a"), Load::default());
    book.merge(9_000, "peer", peers.clone());
    book.merge_begun(1_500, "peer", short_id("a"), &WORK);
    let load = book.total(1_499, "a");
    assert_eq!((load.requests, load.waiting, load.get_waiting_tokens()), (2, 1, 100));
    assert_eq!(book.total(1_499, "b"), Load::default());
    assert_eq!(book.total(1_500, "a").get_waiting_tokens(), 0);
    book.merge(9_000, "peer", peers);
    assert_eq!(book.total(1_499, "a").requests, 1);
}
