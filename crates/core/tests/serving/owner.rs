//! How a node acts on the decision of a client account's owner.

use keeljunction_core::serving::quota::{Decision, Limit, Quotas, Reachability};

/// Applies the owner's decision on a request of "acme", or decides by the local share if there is
/// none; returns `true` if the request is admitted.
pub fn apply_decision(
    quotas: &mut Quotas,
    decision: Decision,
    now: u64,
    units: u64,
    limit: Limit,
    reach: Reachability,
) -> bool {
    if decision == Decision::Undecided {
        return quotas.consume_local_share(now, "acme", units, limit, reach).is_ok();
    }
    quotas.discard_local_share_savings(now, "acme");
    decision == Decision::Admitted
}
