//! The next step after an attempt, and the takeover of requests from failed nodes.

use keeljunction_core::attempt::{Conditions, End, Next, Reason, decide_next};
use keeljunction_core::claim::{Answer, Verdict};
use keeljunction_core::drain::Action;
use keeljunction_core::record::Tokens;
use keeljunction_core::takeover::{RequestFacts, Strategy, choose_strategy};
use proptest::prelude::*;

#[test]
fn every_end_of_an_attempt_has_a_next_step() {
    let repeatable = Conditions { is_repeatable: true, is_leaving: false };
    let not_repeatable = Conditions { is_repeatable: false, is_leaving: false };
    let leaving = Conditions { is_leaving: true, ..repeatable };
    let cases = [
        (End::Finished, not_repeatable, false, Next::Done),
        (End::DeadlineExceeded, repeatable, true, Next::GiveUp(Reason::DeadlineExceeded)),
        (End::Drained(Action::Finish), repeatable, false, Next::KeepReading),
        (End::Drained(Action::Move), not_repeatable, false, Next::Migrate(Action::Move)),
        (End::NotSent, not_repeatable, true, Next::FailOver),
        (End::NotSent, not_repeatable, false, Next::GiveUp(Reason::Unsent)),
        (End::Interrupted, repeatable, true, Next::FailOver),
        (End::Interrupted, repeatable, false, Next::GiveUp(Reason::RetriesExhausted)),
        (End::Interrupted, leaving, false, Next::FailOver),
        (End::Interrupted, not_repeatable, true, Next::GiveUp(Reason::NotRepeatable)),
    ];
    for (end, conditions, has_retry, expected) in cases {
        assert_eq!(decide_next(end, conditions, || has_retry), expected, "{end:?} {conditions:?}");
    }
}

#[test]
fn a_request_of_a_failed_node_is_resumed_only_if_that_is_safe() {
    let facts = |is_model, is_repeatable, has_attempt| RequestFacts {
        is_model,
        is_repeatable,
        has_attempt,
    };
    let answer =
        Answer { status: 200, media_type: "text/plain".to_owned(), body: "6f6b".to_owned() };
    let held_by_other = || Some(Verdict::HeldByOther("entry-1".to_owned()));
    let cases = [
        ("a stream that may run", facts(true, true, true), false, None, Strategy::Attach),
        ("a stream not yet sent", facts(true, true, false), false, None, Strategy::Rerun),
        ("a repeatable plain request", facts(false, true, true), false, None, Strategy::Rerun),
        (
            "not repeatable, the claim is new",
            facts(false, false, false),
            true,
            Some(Verdict::Run),
            Strategy::Claimed,
        ),
        (
            "not repeatable, sent",
            facts(false, false, true),
            true,
            held_by_other(),
            Strategy::Unknown,
        ),
        (
            "non-repeatable stream, sent",
            facts(true, false, true),
            true,
            held_by_other(),
            Strategy::Attach,
        ),
        (
            "non-repeatable stream, no attempt known",
            facts(true, false, false),
            true,
            held_by_other(),
            Strategy::Unknown,
        ),
        (
            "answered",
            facts(false, false, true),
            true,
            Some(Verdict::Recorded(answer.clone())),
            Strategy::Recorded(answer),
        ),
        ("released", facts(false, false, true), true, Some(Verdict::Released), Strategy::NotRun),
        (
            "the table service is unavailable",
            facts(false, false, true),
            true,
            None,
            Strategy::Unknown,
        ),
    ];
    for (name, facts, needs_claim, claim, expected) in cases {
        assert_eq!(choose_strategy(facts, needs_claim, claim), expected, "{name}");
    }
}

proptest! {
    /// However attempts end, a non-repeatable request is never sent again not_repeatable it may have been sent,
    /// unless its server is drained.
    #[test]
    fn a_non_repeatable_request_is_not_sent_again(
        is_leaving in any::<bool>(),
        has_retry in any::<bool>(),
        end in prop_oneof![Just(End::Interrupted), Just(End::DeadlineExceeded), Just(End::Finished)],
    ) {
        let decided = decide_next(end, Conditions { is_repeatable: false, is_leaving }, || has_retry);
        prop_assert!(matches!(decided, Next::Done | Next::GiveUp(_)), "{decided:?}");
    }

    /// Tokens that are replicated repeatedly, partially or late neither change nor skip any token.
    #[test]
    fn replicated_tokens_are_a_prefix_of_the_response(chunks in prop::collection::vec((0..40usize, 0..20usize), 0..40)) {
        let answer: Vec<String> = (0..60).map(|n| format!("t{n}")).collect();
        let mut tokens = Tokens::default();
        for (from, count) in chunks {
            let before = tokens.get().len();
            let is_accepted = tokens.extend(from as u64, answer[from..from + count].to_vec());
            prop_assert_eq!(is_accepted, from <= before);
            prop_assert_eq!(tokens.get().len(), if is_accepted { before.max(from + count) } else { before });
        }
        prop_assert_eq!(tokens.get(), &answer[..tokens.get().len()]);
    }
}
