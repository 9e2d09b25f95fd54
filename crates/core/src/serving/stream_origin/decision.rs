//! Decides which servers may continue a stream.

use std::collections::BTreeSet;

use super::answer::Answer;
use super::origin::Origin;

/// Which servers may continue a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Servers of the origin that this node has recorded.
    Local(Origin),
    /// Servers of the origin that another node has recorded.
    Holder(Origin),
    /// Servers of the origin that was archived.
    Archived(Origin),
    /// Servers of the only possible origin.
    OnlyVersion(Origin),
    /// Nobody, because different origins are recorded.
    Ambiguous,
    /// Nobody, because nothing is recorded and several origins are possible.
    Unknown,
    /// Nobody, because nothing is recorded, and whether the only possible origin is still the only one
    /// could not be confirmed.
    Unconfirmed,
}

impl Decision {
    /// Returns the name of the decision in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Local(_) => "local",
            Self::Holder(_) => "holder",
            Self::Archived(_) => "archived",
            Self::OnlyVersion(_) => "only_version",
            Self::Ambiguous => "ambiguous",
            Self::Unknown => "unknown",
            Self::Unconfirmed => "unconfirmed",
        }
    }

    /// Returns the origin whose servers may continue a stream.
    pub fn get_origin(&self) -> Option<&Origin> {
        match self {
            Self::Local(origin)
            | Self::Holder(origin)
            | Self::Archived(origin)
            | Self::OnlyVersion(origin) => Some(origin),
            Self::Ambiguous | Self::Unknown | Self::Unconfirmed => None,
        }
    }
}

/// Decides which servers may continue a stream, from what this node knows and from the answers of others.
pub fn decide(own: &Answer, answers: &[Answer]) -> Decision {
    match own {
        Answer::Known(origin) => return Decision::Local(origin.clone()),
        Answer::Ambiguous => return Decision::Ambiguous,
        Answer::Unknown(_) => {}
    }
    if answers.contains(&Answer::Ambiguous) {
        return Decision::Ambiguous;
    }
    let recorded = answers.iter().filter_map(|answer| match answer {
        Answer::Known(origin) => Some(origin),
        Answer::Ambiguous | Answer::Unknown(_) => None,
    });
    let recorded: BTreeSet<&Origin> = recorded.collect();
    match (recorded.first(), recorded.len()) {
        (Some(origin), 1) => Decision::Holder((*origin).clone()),
        (Some(_), _) => Decision::Ambiguous,
        (None, _) => find_only_possible(own, answers)
            .map_or(Decision::Unknown, |origin| Decision::OnlyVersion(origin.clone())),
    }
}

/// Decides which servers may continue a stream with one possible origin.
///
/// `confirmed` is what is known as of a time after the request arrived, if anything is. Every other answer may be of
/// a node that stood still or was cut off while a version appeared: the origins that it names are
/// possible, but others may be as well.
pub fn decide_confirmed(own: &Answer, answers: &[Answer], confirmed: Option<&Answer>) -> Decision {
    let Some(confirmed) = confirmed else { return Decision::Unconfirmed };
    let mut others: Vec<Answer> = answers.iter().map(Answer::to_incomplete).collect();
    others.push(confirmed.clone());
    decide(&own.to_incomplete(), &others)
}

/// Decides which servers may continue a stream that no node knows, from what is archived; `None` if that
/// is not known.
pub fn decide_archived(archived: Option<&Answer>) -> Decision {
    match archived {
        Some(Answer::Known(origin)) => Decision::Archived(origin.clone()),
        Some(Answer::Ambiguous) => Decision::Ambiguous,
        Some(Answer::Unknown(_)) | None => Decision::Unknown,
    }
}

/// Returns the only origin that is possible according to all answers, if one of them is complete.
fn find_only_possible<'a>(own: &'a Answer, answers: &'a [Answer]) -> Option<&'a Origin> {
    let possible = answers.iter().chain([own]).filter_map(|answer| match answer {
        Answer::Unknown(possible) => Some(possible),
        Answer::Known(_) | Answer::Ambiguous => None,
    });
    let is_complete = possible.clone().any(|possible| possible.is_complete);
    let origins: BTreeSet<&Origin> = possible.flat_map(|possible| &possible.origins).collect();
    let is_only = is_complete && origins.len() == 1;
    origins.into_iter().next().filter(|_| is_only)
}
