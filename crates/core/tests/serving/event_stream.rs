use keeljunction_core::serving::event_stream::{Sequence, SequenceCheck, Splitter};
use proptest::prelude::*;

#[test]
fn an_event_ends_with_a_blank_line() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 7\ndata: x\n");
    assert_eq!(splitter.next_event(), None);
    splitter.push(b"\nid: 8\n");
    let event = splitter.next_event().expect("a whole event");
    assert_eq!((event.id, &event.bytes[..]), (Some(7), &b"id: 7\ndata: x\n\n"[..]));
    assert_eq!(splitter.next_event(), None);
    assert_eq!(splitter.get_rest(), b"id: 8\n");
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\r\ndata: x\r\n\r\n");
    assert_eq!(splitter.next_event().and_then(|event| event.id), Some(1));
}

#[test]
fn an_event_without_a_number_has_none() {
    let mut splitter = Splitter::default();
    splitter.push(b"data: id: 3\n\n");
    assert_eq!(splitter.next_event().map(|event| event.id), Some(None));
}

#[test]
fn numbers_pass_once_and_in_order() {
    let mut sequence = Sequence::after(Some(4));
    assert_eq!(sequence.check(4), SequenceCheck::Duplicate);
    assert_eq!(sequence.check(5), SequenceCheck::Next);
    assert_eq!(sequence.check(7), SequenceCheck::Gap);
    assert_eq!(sequence.check(6), SequenceCheck::Next);
    assert_eq!(sequence.get_last(), Some(6));
}

#[test]
fn a_stream_may_begin_with_any_number() {
    assert_eq!(Sequence::default().check(0), SequenceCheck::Next);
    assert_eq!(Sequence::default().check(1), SequenceCheck::Next);
}

proptest! {
    /// The same events are returned however a stream is split into pieces, and no byte is lost.
    #[test]
    fn events_do_not_depend_on_the_pieces(cuts in proptest::collection::vec(1usize..12, 1..60)) {
        let text: Vec<u8> = (1..=20).flat_map(|n| format!("id: {n}\ndata: t{n}\n\n").into_bytes()).collect();
        let mut splitter = Splitter::default();
        let mut events = Vec::new();
        let mut rest = &text[..];
        for cut in cuts.iter().cycle() {
            let (piece, left) = rest.split_at((*cut).min(rest.len()));
            splitter.push(piece);
            while let Some(event) = splitter.next_event() {
                events.push(event);
            }
            rest = left;
            if rest.is_empty() {
                break;
            }
        }
        let ids: Vec<Option<u64>> = events.iter().map(|event| event.id).collect();
        prop_assert_eq!(ids, (1..=20).map(Some).collect::<Vec<_>>());
        let bytes: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        prop_assert_eq!(bytes, text);
    }
}
