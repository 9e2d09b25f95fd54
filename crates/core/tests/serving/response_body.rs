use keeljunction_core::serving::response_body::{
    Content, EndCheck, Framing, MAX_BYTES_WITHOUT_EVENT, MAX_EVENT_BYTES, Truncation,
};

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Connection];

fn check(framing: Framing, content: Content, body: &str) -> Result<(), Truncation> {
    let mut check = EndCheck::new(framing, content);
    for byte in body.as_bytes() {
        check.push(&[*byte]);
    }
    check.check_end()
}

#[test]
fn opaque_bodies_are_complete_at_their_regular_end() {
    for framing in FRAMINGS {
        for body in ["", "level 3.2 m", "data: x\n"] {
            assert_eq!(check(framing, Content::Opaque, body), Ok(()));
        }
    }
}

#[test]
fn a_stream_that_ends_inside_an_event_is_truncated_however_it_is_framed() {
    for framing in FRAMINGS {
        let ended = check(framing, Content::Events, "data: x\n\ndata: y\n");
        assert_eq!(ended, Err(Truncation::InsideEvent), "{framing:?}");
        assert_eq!(check(framing, Content::Events, "data: x\n\n: ping\n"), Ok(()), "{framing:?}");
    }
}

#[test]
fn only_a_declared_end_completes_a_stream_without_any_event() {
    for (framing, expected) in [
        (Framing::Length, Ok(())),
        (Framing::Chunks, Ok(())),
        (Framing::Connection, Err(Truncation::NoEvent)),
    ] {
        assert_eq!(check(framing, Content::Events, ""), expected, "{framing:?}");
        assert_eq!(check(framing, Content::Events, ": ping\n\n"), expected, "{framing:?}");
    }
}

/// Guards against a stream without an event that is read without end, and against one with large events or many
/// comments that is taken for it.
#[test]
fn a_stream_is_endless_once_no_event_ends_for_too_many_bytes() {
    let block = 64 * 1024;
    let cases = [
        (":\n", MAX_BYTES_WITHOUT_EVENT, true),
        ("\n", MAX_BYTES_WITHOUT_EVENT, true),
        ("data: x\n", MAX_EVENT_BYTES, true),
        ("data: x\n\n", MAX_EVENT_BYTES, false),
    ];
    for (line, max, is_endless) in cases {
        let mut check = EndCheck::new(Framing::Connection, Content::Events);
        let text = line.repeat(block / line.len());
        for _ in 0..max / text.len() {
            check.push(text.as_bytes());
            assert!(!check.is_endless(), "{line:?}");
        }
        (0..2).for_each(|_| check.push(text.as_bytes()));
        assert_eq!(check.is_endless(), is_endless, "{line:?}");
    }
    let mut opaque = EndCheck::new(Framing::Connection, Content::Opaque);
    (0..=MAX_BYTES_WITHOUT_EVENT / block).for_each(|_| opaque.push(&vec![b'x'; block]));
    opaque.push(b"x");
    assert!(!opaque.is_endless());
}
