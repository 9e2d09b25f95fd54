//! How to go on with a request whose node is gone, from its record.

use crate::claim::{Answer, Verdict};

/// What the record and the bundle say of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestFacts {
    /// Whether a model engine runs it, which can be attached to.
    pub is_model: bool,
    /// Whether it may run more than once, or its servers see to it that it does not.
    pub is_repeatable: bool,
    /// Whether the record names an attempt.
    pub has_attempt: bool,
}

/// How to go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Attach to the attempt that the record names.
    Attach,
    /// Run it, from the tokens that the record has.
    Rerun,
    /// Run it under the claim that was just got: it never ran before.
    Claimed,
    /// Give the answer that was recorded.
    Recorded(Answer),
    /// End it as not run: it was given up before it was sent.
    NotRun,
    /// End it as unknown.
    Unknown,
}

/// Decides how to go on. `claim` is the verdict over a new claim of this node, for a request that
/// needs one, or `None` where it could not be had.
pub fn choose_strategy(facts: RequestFacts, needs_claim: bool, claim: Option<Verdict>) -> Strategy {
    if needs_claim {
        return start_claimed(facts, claim);
    }
    match facts {
        RequestFacts { is_model: true, has_attempt: true, .. } => Strategy::Attach,
        RequestFacts { is_repeatable: true, .. } => Strategy::Rerun,
        _ => Strategy::Unknown,
    }
}

fn start_claimed(facts: RequestFacts, claim: Option<Verdict>) -> Strategy {
    match claim {
        Some(Verdict::Run) => Strategy::Claimed,
        Some(Verdict::Recorded(answer)) => Strategy::Recorded(answer),
        Some(Verdict::Released) => Strategy::NotRun,
        Some(Verdict::HeldByOther(_)) if facts.is_model && facts.has_attempt => Strategy::Attach,
        Some(Verdict::HeldByOther(_) | Verdict::Available | Verdict::Mismatch) | None => {
            Strategy::Unknown
        }
    }
}
