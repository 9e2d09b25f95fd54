//! At-most-once execution of non-repeatable requests.

use keeljunction_core::claim::{Answer, Row, Verdict, evaluate, row_key};
use proptest::prelude::*;

fn row(attempt: &str, instance: &str) -> Row {
    Row {
        attempt: attempt.to_owned(),
        instance: instance.to_owned(),
        node: format!("node of {attempt}"),
        digest: "d".to_owned(),
        unix_ms: 0,
        released: false,
        answer: None,
    }
}

#[test]
fn the_stored_row_decides() {
    let answer =
        Answer { status: 200, media_type: "text/plain".to_owned(), body: "6f6b".to_owned() };
    let own = row("a", "i");
    let released = |attempt, instance| Row { released: true, ..row(attempt, instance) };
    let cases = [
        ("the own attempt", row("a", "i"), Verdict::Run),
        ("another attempt", row("b", "i"), Verdict::HeldByOther("node of b".to_owned())),
        ("another instance", row("b", "j"), Verdict::HeldByOther("node of b".to_owned())),
        ("released, this instance", released("b", "i"), Verdict::Released),
        ("released, the own attempt", released("a", "i"), Verdict::Released),
        ("released, an earlier instance", released("b", "j"), Verdict::Available),
        (
            "answered",
            Row { answer: Some(answer.clone()), ..row("b", "j") },
            Verdict::Recorded(answer),
        ),
        ("another request", Row { digest: "x".to_owned(), ..row("a", "i") }, Verdict::Mismatch),
    ];
    for (name, stored, verdict) in cases {
        assert_eq!(evaluate(&stored, &own), verdict, "{name}");
    }
}

#[test]
fn a_key_is_scoped_to_its_account() {
    assert_eq!(row_key("duty", "k"), "claim/duty/k");
    assert_ne!(row_key("duty", "k"), row_key("branch", "k"));
    // Otherwise, the request of one account would get the answer to a request of the other.
    assert_ne!(row_key("duty", "night/k"), row_key("duty/night", "k"));
}

/// An operation on the claim of one key.
#[derive(Clone, Debug)]
enum Step {
    Claim(usize),
    Release(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![(0..6usize).prop_map(Step::Claim), (0..6usize).prop_map(Step::Release)];
    prop::collection::vec(step, 1..40)
}

proptest! {
    /// An attempt that may run either sends or releases. In any order of operations, at most one attempt
    /// sends.
    #[test]
    fn at_most_one_attempt_is_ever_sent(steps in steps(), senders in prop::collection::vec(any::<bool>(), 6)) {
        let attempts: Vec<Row> = (0..6).map(|n| row(&format!("a{n}"), &format!("i{}", n / 2))).collect();
        let mut stored: Option<Row> = None;
        let mut may_run = [false; 6];
        let mut sent = Vec::new();
        for step in steps {
            match step {
                Step::Claim(n) => {
                    let verdict = stored.as_ref().map(|stored| evaluate(stored, &attempts[n]));
                    match verdict {
                        None | Some(Verdict::Available) => {
                            stored = Some(attempts[n].clone());
                            may_run[n] = true;
                        }
                        Some(Verdict::Run) => may_run[n] = true,
                        Some(_) => may_run[n] = false,
                    }
                    if may_run[n] && senders[n] && !sent.contains(&n) {
                        sent.push(n);
                    }
                }
                Step::Release(n) => {
                    let is_unsent = may_run[n] && !sent.contains(&n);
                    let is_own = stored.as_ref().is_some_and(|stored| stored.attempt == attempts[n].attempt);
                    if is_unsent && is_own {
                        stored = Some(Row { released: true, ..attempts[n].clone() });
                        may_run[n] = false;
                    }
                }
            }
        }
        prop_assert!(sent.len() <= 1, "{sent:?}");
    }
}
