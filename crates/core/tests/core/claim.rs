//! Whether a request that must not be repeated may run.

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
fn the_row_that_stands_decides() {
    let answer =
        Answer { status: 200, media_type: "text/plain".to_owned(), body: "6f6b".to_owned() };
    let mine = row("a", "i");
    let released = |attempt, instance| Row { released: true, ..row(attempt, instance) };
    let cases = [
        ("my own", row("a", "i"), Verdict::Run),
        ("another attempt", row("b", "i"), Verdict::HeldByOther("node of b".to_owned())),
        ("another instance", row("b", "j"), Verdict::HeldByOther("node of b".to_owned())),
        ("released, this instance", released("b", "i"), Verdict::Released),
        ("released, my own attempt", released("a", "i"), Verdict::Released),
        ("released, an earlier instance", released("b", "j"), Verdict::Available),
        (
            "answered",
            Row { answer: Some(answer.clone()), ..row("b", "j") },
            Verdict::Recorded(answer),
        ),
        ("another request", Row { digest: "x".to_owned(), ..row("a", "i") }, Verdict::Mismatch),
    ];
    for (name, stands, verdict) in cases {
        assert_eq!(evaluate(&stands, &mine), verdict, "{name}");
    }
}

#[test]
fn a_key_belongs_to_its_account() {
    assert_eq!(row_key("duty", "k"), "claim/duty/k");
    assert_ne!(row_key("duty", "k"), row_key("branch", "k"));
}

/// What can happen to one key: attempts of a few instances insert, replace, release and send.
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
    /// Whoever is told to run sends at once or releases; over all orders at most one sends.
    #[test]
    fn at_most_one_attempt_is_ever_sent(steps in steps(), senders in prop::collection::vec(any::<bool>(), 6)) {
        let attempts: Vec<Row> = (0..6).map(|n| row(&format!("a{n}"), &format!("i{}", n / 2))).collect();
        let mut stands: Option<Row> = None;
        let mut may_run = [false; 6];
        let mut sent = Vec::new();
        for step in steps {
            match step {
                Step::Claim(n) => {
                    let verdict = stands.as_ref().map(|stands| evaluate(stands, &attempts[n]));
                    match verdict {
                        None | Some(Verdict::Available) => {
                            stands = Some(attempts[n].clone());
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
                    let is_mine = stands.as_ref().is_some_and(|stands| stands.attempt == attempts[n].attempt);
                    if is_unsent && is_mine {
                        stands = Some(Row { released: true, ..attempts[n].clone() });
                        may_run[n] = false;
                    }
                }
            }
        }
        prop_assert!(sent.len() <= 1, "{sent:?}");
    }
}
