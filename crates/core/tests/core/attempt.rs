//! What to do after an attempt has ended, and with a request whose node is gone.

use keeljunction_core::attempt::{Conditions, End, Next, Reason, decide_next};
use keeljunction_core::claim::{Answer, Verdict};
use keeljunction_core::drain::Action;
use keeljunction_core::record::Tokens;
use keeljunction_core::takeover::{RequestFacts, Strategy, choose_strategy};
use proptest::prelude::*;

#[test]
fn each_end_has_its_next_step() {
    let repeatable = Conditions { is_repeatable: true, is_leaving: false };
    let once = Conditions { is_repeatable: false, is_leaving: false };
    let leaving = Conditions { is_leaving: true, ..repeatable };
    let cases = [
        (End::Finished, once, false, Next::Done),
        (End::DeadlineExceeded, repeatable, true, Next::GiveUp(Reason::DeadlineExceeded)),
        (End::Drained(Action::Finish), repeatable, false, Next::KeepReading),
        (End::Drained(Action::Move), once, false, Next::Migrate(Action::Move)),
        (End::NotSent, once, true, Next::FailOver),
        (End::NotSent, once, false, Next::GiveUp(Reason::Unsent)),
        (End::Interrupted, repeatable, true, Next::FailOver),
        (End::Interrupted, repeatable, false, Next::GiveUp(Reason::RetriesExhausted)),
        (End::Interrupted, leaving, false, Next::FailOver),
        (End::Interrupted, once, true, Next::GiveUp(Reason::NotRepeatable)),
    ];
    for (end, standing, has_retry, expected) in cases {
        assert_eq!(decide_next(end, standing, || has_retry), expected, "{end:?} {standing:?}");
    }
}

#[test]
fn a_request_whose_node_is_gone_goes_on_only_where_that_is_safe() {
    let facts = |is_model, is_repeatable, has_attempt| RequestFacts {
        is_model,
        is_repeatable,
        has_attempt,
    };
    let answer =
        Answer { status: 200, media_type: "text/plain".to_owned(), body: "6f6b".to_owned() };
    let taken = || Some(Verdict::HeldByOther("entry-1".to_owned()));
    let cases = [
        ("a stream that may run", facts(true, true, true), false, None, Strategy::Attach),
        ("a stream not yet sent", facts(true, true, false), false, None, Strategy::Rerun),
        ("a plain read", facts(false, true, true), false, None, Strategy::Rerun),
        (
            "unrepeatable, the claim is new",
            facts(false, false, false),
            true,
            Some(Verdict::Run),
            Strategy::Claimed,
        ),
        ("unrepeatable, sent", facts(false, false, true), true, taken(), Strategy::Unknown),
        ("unrepeatable stream, sent", facts(true, false, true), true, taken(), Strategy::Attach),
        (
            "unrepeatable stream, no attempt known",
            facts(true, false, false),
            true,
            taken(),
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
        ("the table is down", facts(false, false, true), true, None, Strategy::Unknown),
    ];
    for (name, facts, needs_claim, claim, expected) in cases {
        assert_eq!(choose_strategy(facts, needs_claim, claim), expected, "{name}");
    }
}

proptest! {
    /// However attempts end, an unrepeatable request is never sent again after it may have been
    /// sent, unless it was steered.
    #[test]
    fn an_unrepeatable_request_is_not_sent_again(
        is_leaving in any::<bool>(),
        has_retry in any::<bool>(),
        end in prop_oneof![Just(End::Interrupted), Just(End::DeadlineExceeded), Just(End::Finished)],
    ) {
        let decided = decide_next(end, Conditions { is_repeatable: false, is_leaving }, || has_retry);
        prop_assert!(matches!(decided, Next::Done | Next::GiveUp(_)), "{decided:?}");
    }

    /// Copies sent again, in part or late, leave the tokens as they are; none is skipped.
    #[test]
    fn copied_tokens_are_a_prefix_of_the_answer(parts in prop::collection::vec((0..40usize, 0..20usize), 0..40)) {
        let answer: Vec<String> = (0..60).map(|n| format!("t{n}")).collect();
        let mut tokens = Tokens::default();
        for (from, count) in parts {
            let before = tokens.get().len();
            let is_taken = tokens.extend(from as u64, answer[from..from + count].to_vec());
            prop_assert_eq!(is_taken, from <= before);
            prop_assert_eq!(tokens.get().len(), if is_taken { before.max(from + count) } else { before });
        }
        prop_assert_eq!(tokens.get(), &answer[..tokens.get().len()]);
    }
}
