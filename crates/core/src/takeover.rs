//! Takeover of a request whose node has failed, from its record.

use crate::claim::{Answer, Verdict};

/// Facts about the request from its record and the bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestFacts {
    /// Whether it runs on a model engine, to which a node can attach.
    pub is_model: bool,
    /// Whether it may be retried, because it may run more than once or its servers deduplicate it.
    pub is_repeatable: bool,
    /// Whether the record contains an attempt.
    pub has_attempt: bool,
}

/// How to resume the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Attach to the attempt named in the record.
    Attach,
    /// Run it again, continuing from the tokens in the record.
    Rerun,
    /// Run it under the claim just acquired: it has never run before.
    Claimed,
    /// Return the recorded response.
    Recorded(Answer),
    /// End it as not run: it was abandoned before it was sent.
    NotRun,
    /// End it with an unknown outcome.
    Unknown,
}

/// Returns how to resume the request.
///
/// `claim` is the verdict on a new claim by this node, for a request that needs one, or `None` if
/// the claim could not be made.
pub fn choose_strategy(facts: RequestFacts, needs_claim: bool, claim: Option<Verdict>) -> Strategy {
    if needs_claim {
        return choose_claimed_strategy(facts, claim);
    }
    match facts {
        RequestFacts { is_model: true, has_attempt: true, .. } => Strategy::Attach,
        RequestFacts { is_repeatable: true, .. } => Strategy::Rerun,
        _ => Strategy::Unknown,
    }
}

fn choose_claimed_strategy(facts: RequestFacts, claim: Option<Verdict>) -> Strategy {
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
