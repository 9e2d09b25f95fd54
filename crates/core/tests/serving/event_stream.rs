use keeljunction_core::serving::event_stream::{
    MAX_PENDING_BYTES, Scanner, Sequence, SequenceCheck, Splitter,
};
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

/// Returns `true` if a stream that ends with this text ends inside an event.
fn is_inside_event(text: &str) -> bool {
    let mut scanner = Scanner::default();
    scanner.push(text.as_bytes());
    scanner.is_inside_event()
}

#[test]
fn a_stream_ends_inside_an_event_at_each_byte_but_the_last() {
    for line_end in ["\n", "\r\n", "\r"] {
        let event = format!("id: 7{line_end}: comment{line_end}data: x{line_end}{line_end}");
        let before = format!("data: y{line_end}{line_end}");
        for length in 1..event.len() {
            let text = format!("{before}{}", &event[..length]);
            assert!(is_inside_event(&text), "{text:?}");
        }
        assert!(!is_inside_event(&format!("{before}{event}")), "{event:?}");
    }
}

#[test]
fn comments_and_blank_lines_between_events_belong_to_no_event() {
    let texts =
        ["", ": ping\n", ": ping\r\n", "data: x\n\n: ping\n", "data: x\n\n\n", "data: x\r\r: p\r"];
    for text in texts {
        assert!(!is_inside_event(text), "{text:?}");
    }
    assert!(is_inside_event("data: x\n\n: pi"));
}

#[test]
fn a_stream_of_comments_has_no_event() {
    let mut scanner = Scanner::default();
    scanner.push(b": ping\n\n: ping\n\n");
    assert!(!scanner.has_event());
    scanner.push(b"data: x\n\n");
    assert!(scanner.has_event());
}

#[test]
fn events_whose_lines_end_with_a_carriage_return_alone_are_split_at_once() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\rdata: x\r\r");
    let event = splitter.next_event().expect("a complete event");
    assert_eq!((event.id, &event.bytes[..]), (Some(1), &b"id: 1\rdata: x\r\r"[..]));
}

#[test]
fn a_comment_between_events_is_passed_on_at_once() {
    let mut splitter = Splitter::default();
    splitter.push(b": ping\n");
    assert_eq!(splitter.next_event().map(|event| event.bytes), Some((&b": ping\n"[..]).into()));
}

/// Guards against a stream of comments or blank lines that costs a chunk for each of them, and against an event that is
/// taken for a part of them.
#[test]
fn comments_and_blank_lines_between_events_are_passed_on_together() {
    for between in [": ping\n", "\n", "\n: ping\n\n"] {
        let between = between.repeat(1_000);
        let events = ["id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"];
        let mut splitter = Splitter::default();
        splitter.push(format!("{between}{}{}{between}: pi", events[0], events[1]).as_bytes());
        let mut next =
            || splitter.next_event().map(|event| (event.id, event.bytes, event.is_complete));
        assert_eq!(next(), Some((None, between.clone().into(), true)));
        assert_eq!(next(), Some((Some(1), events[0].into(), true)));
        assert_eq!(next(), Some((Some(2), events[1].into(), true)));
        assert_eq!(next(), Some((None, between.into(), true)));
        assert_eq!(next(), None);
        assert_eq!(splitter.get_rest(), b": pi");
    }
}

#[test]
fn a_long_event_is_passed_on_in_parts() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 3\ndata: ");
    let mut passed = 0;
    for _ in 0..100 {
        splitter.push(&[b'x'; MAX_PENDING_BYTES / 10]);
        while let Some(event) = splitter.next_event() {
            assert_eq!((event.id, event.is_complete), ((passed == 0).then_some(3), false));
            passed += event.bytes.len();
        }
        assert!(splitter.get_rest().len() <= MAX_PENDING_BYTES);
    }
    splitter.push(b"\n\nid: 4\n\n");
    assert!(splitter.next_event().is_some_and(|event| event.is_complete && event.id.is_none()));
    assert_eq!(splitter.next_event().and_then(|event| event.id), Some(4));
}

#[test]
fn a_byte_order_mark_does_not_hide_the_first_number() {
    let mut splitter = Splitter::default();
    splitter.push(b"\xef\xbb\xbfid: 1\ndata: x\n\n");
    assert_eq!(splitter.next_event().and_then(|event| event.id), Some(1));
}

proptest! {
    /// No byte is lost or changed, whatever the stream consists of and however it is split into pieces.
    #[test]
    fn all_bytes_are_passed_on(pieces in proptest::collection::vec("[:a\n\r]{0,6}", 0..40)) {
        let mut splitter = Splitter::default();
        let mut passed = Vec::new();
        for piece in &pieces {
            splitter.push(piece.as_bytes());
            while let Some(event) = splitter.next_event() {
                passed.extend_from_slice(&event.bytes);
            }
        }
        passed.extend_from_slice(splitter.get_rest());
        prop_assert_eq!(passed, pieces.concat().into_bytes());
    }

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
