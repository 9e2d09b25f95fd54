//! Draining of the streams on a VM that is being reclaimed.

use keeljunction_core::drain::{Action, Limits, Stream, plan};
use proptest::prelude::*;

fn stream(attempt: &str, priority: u32, context_tokens: u64, tokens_left: u64) -> Stream {
    Stream { attempt: attempt.to_owned(), priority, context_tokens, tokens_left, gap_ms: 10 }
}

fn actions(limits: Limits, streams: &[Stream]) -> Vec<(String, Action)> {
    plan(&limits, streams)
}

#[test]
fn each_stream_gets_the_action_that_the_notice_allows() {
    let streams = [
        stream("short", 1, 500, 20),
        stream("long", 1, 2_000, 1_000),
        stream("huge", 1, 90_000, 1_000),
    ];
    let limits = Limits { notice: 2_250, export_tokens_per_second: 10_000 };
    let expected = [("huge", Action::Resume), ("long", Action::Move), ("short", Action::Finish)];
    let expected: Vec<_> = expected.map(|(name, action)| (name.to_owned(), action)).to_vec();
    assert_eq!(actions(limits, &streams), expected);
}

#[test]
fn the_most_urgent_class_is_moved_first() {
    let streams = [stream("briefing", 1, 9_000, 900), stream("urgent", 0, 9_000, 900)];
    let limits = Limits { notice: 1_250, export_tokens_per_second: 10_000 };
    let expected = [("urgent", Action::Move), ("briefing", Action::Resume)];
    let expected: Vec<_> = expected.map(|(name, action)| (name.to_owned(), action)).to_vec();
    assert_eq!(actions(limits, &streams), expected);
}

#[test]
fn without_export_streams_that_cannot_finish_are_resumed() {
    let limits = Limits { notice: 1_000, export_tokens_per_second: 0 };
    assert_eq!(actions(limits, &[stream("a", 0, 10, 900)]), [("a".to_owned(), Action::Resume)]);
}

proptest! {
    /// Every stream gets one action, and both moved and finished streams fit into the notice period.
    #[test]
    fn a_plan_covers_all_streams_within_the_notice(
        sizes in prop::collection::vec((0..3u32, 1..20_000u64, 0..2_000u64), 0..30),
        notice in 0..30_000u64,
        export in 0..100_000u64,
    ) {
        let streams: Vec<Stream> =
            sizes.iter().enumerate().map(|(n, (p, c, l))| stream(&n.to_string(), *p, *c, *l)).collect();
        let planned = actions(Limits { notice, export_tokens_per_second: export }, &streams);
        prop_assert_eq!(planned.len(), streams.len());
        let mut used = 0;
        for (attempt, action) in planned {
            let stream = &streams[attempt.parse::<usize>().expect("it is a number")];
            match action {
                Action::Finish => prop_assert!(stream.tokens_left * stream.gap_ms <= notice),
                Action::Move => used += stream.context_tokens * 1000 / export,
                Action::Resume => {}
            }
        }
        prop_assert!(used <= notice);
    }
}
