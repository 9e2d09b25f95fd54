use bytes::Bytes;
use keeljunction_core::serving::event_stream::{Sequence, SequenceCheck, Splitter};
use keeljunction_core::serving::read_ahead::{
    Buffer, Caller, Progress, READ_BYTES, get_limit, pick_stalled,
};
use proptest::prelude::*;

#[test]
fn one_response_gets_an_eighth_of_the_memory() {
    assert_eq!(get_limit(64_000_000), 8_000_000);
}

#[test]
fn a_full_buffer_resumes_reading_once_half_of_it_was_taken() {
    let mut buffer = Buffer::new(4 * READ_BYTES);
    for _ in 0..3 {
        assert!(buffer.is_reading());
        buffer.push(vec![0; READ_BYTES].into());
    }
    buffer.push(vec![0; 1].into());
    assert!(!buffer.is_reading());
    buffer.pop(READ_BYTES);
    assert!(!buffer.is_reading());
    buffer.pop(READ_BYTES);
    assert!(buffer.is_reading());
}

#[test]
fn a_caller_that_reads_nothing_is_disconnected_after_ten_seconds() {
    let mut progress = Progress::default();
    (0..99).for_each(|_| progress.record_check(100));
    assert!(!progress.is_too_slow());
    progress.record_check(100);
    assert!(progress.is_too_slow());
}

#[test]
fn a_few_bytes_in_ten_seconds_are_no_progress() {
    let mut progress = Progress::default();
    for _ in 0..100 {
        progress.record_check(100);
        progress.record_read(1);
    }
    assert!(progress.is_too_slow());
    assert_eq!(progress.get_stalled(), 0);
}

#[test]
fn a_caller_that_reads_an_event_occasionally_is_kept() {
    let mut progress = Progress::default();
    for _ in 0..50 {
        (0..80).for_each(|_| progress.record_check(100));
        progress.record_read(300);
        assert!(!progress.is_too_slow());
    }
}

#[test]
fn a_caller_that_waits_for_its_server_is_kept() {
    let mut progress = Progress::default();
    for _ in 0..200 {
        progress.record_check(100);
        progress.reset();
    }
    assert!(!progress.is_too_slow());
}

#[test]
fn a_pause_of_the_process_disconnects_nobody() {
    let mut progress = Progress::default();
    progress.record_check(60_000);
    assert!(!progress.is_too_slow());
    assert_eq!(progress.get_stalled(), 500);
}

#[test]
fn the_slowest_and_largest_go_first_and_no_more_than_needed() {
    let callers = [
        Caller { id: 1, bytes: 4_000, stalled: 1_500 },
        Caller { id: 2, bytes: 3_000, stalled: 9_000 },
        Caller { id: 3, bytes: 9_000, stalled: 2_000 },
        Caller { id: 4, bytes: 90_000, stalled: 900 },
    ];
    assert_eq!(pick_stalled(&callers, 3_000), [2]);
    assert_eq!(pick_stalled(&callers, 3_001), [2, 3]);
    assert_eq!(pick_stalled(&callers, 1_000_000), [2, 3, 1]);
    assert_eq!(pick_stalled(&callers, 0), [0; 0]);
}

proptest! {
    /// However the server sends and the caller reads, the caller gets all bytes in order, and the
    /// buffer never exceeds its limit.
    #[test]
    fn bytes_arrive_completely_and_in_order(
        sends in proptest::collection::vec(1usize..READ_BYTES, 1..40),
        reads in proptest::collection::vec((0usize..4, 1usize..200_000), 1..40),
        room in 1usize..4,
    ) {
        let limit = (room + 1) * READ_BYTES;
        let text: Bytes = (0..sends.iter().sum::<usize>()).map(|n| (n % 251) as u8).collect();
        let mut buffer = Buffer::new(limit);
        let (mut sent, mut got) = (0, Vec::new());
        let mut sends = sends.iter();
        let mut reads = reads.iter().cycle();
        while got.len() < text.len() {
            if buffer.is_reading() && let Some(length) = sends.next() {
                buffer.push(text.slice(sent..sent + length));
                sent += length;
            }
            prop_assert!(buffer.get_bytes() <= limit);
            prop_assert_eq!(buffer.get_bytes(), sent - got.len());
            let Some((count, max)) = reads.next() else { unreachable!() };
            let count = if buffer.is_reading() && sent < text.len() { *count } else { 1 };
            for _ in 0..count {
                let piece = buffer.pop(*max).unwrap_or_default();
                prop_assert!(piece.len() <= *max);
                got.extend_from_slice(&piece);
            }
        }
        prop_assert!(buffer.is_empty());
        prop_assert_eq!(got, text);
    }

    /// No caller that reads is disconnected, whatever the shortfall.
    #[test]
    fn callers_that_read_are_kept(
        callers in proptest::collection::vec((1usize..1_000_000, 0u64..20_000), 0..30),
        shortfall in 0usize..10_000_000,
    ) {
        let callers: Vec<Caller> = callers
            .into_iter()
            .enumerate()
            .map(|(id, (bytes, stalled))| Caller { id: id as u64, bytes, stalled })
            .collect();
        for id in pick_stalled(&callers, shortfall) {
            prop_assert!(callers[id as usize].stalled >= 1_000);
        }
    }
}

/// Writes the events after a number, as a server sends them.
fn write_events(after: u64, last: u64) -> Vec<u8> {
    (after + 1..=last).flat_map(|n| format!("id: {n}\ndata: t{n}\n\n").into_bytes()).collect()
}

proptest! {
    /// A stream that breaks off anywhere and is resumed elsewhere, split into any chunks and read
    /// in any portions, reaches its caller with each event once and in order.
    #[test]
    fn a_resumed_stream_reaches_a_stalled_caller_completely(
        breaks in proptest::collection::vec(0usize..400, 0..5),
        chunks in proptest::collection::vec(1usize..50, 1..30),
        reads in proptest::collection::vec(0usize..60, 1..30),
    ) {
        let last = 30;
        let mut sequence = Sequence::after(Some(0));
        let mut buffer = Buffer::new(2 * READ_BYTES);
        let mut got = Vec::new();
        let mut chunks = chunks.iter().cycle();
        let mut reads = reads.iter().cycle();
        for ends_at in breaks.into_iter().chain([usize::MAX]) {
            let mut sent = write_events(sequence.get_last().unwrap_or(0), last);
            sent.truncate(ends_at);
            let mut splitter = Splitter::default();
            let mut rest = &sent[..];
            while !rest.is_empty() {
                let length = chunks.next().map_or(1, |length| (*length).min(rest.len()));
                splitter.push(&rest[..length]);
                rest = &rest[length..];
                while let Some(event) = splitter.next_event() {
                    if event.id.map(|id| sequence.check(id)) == Some(SequenceCheck::Next) {
                        buffer.push(event.bytes);
                    }
                }
                let max = reads.next().copied().unwrap_or(0);
                if max > 0 && let Some(piece) = buffer.pop(max) {
                    got.extend_from_slice(&piece);
                }
            }
        }
        while let Some(piece) = buffer.pop(7) {
            got.extend_from_slice(&piece);
        }
        prop_assert_eq!(got, write_events(0, last));
    }
}
