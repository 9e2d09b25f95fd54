//! Quota units that a request takes from its client account.

use std::sync::Arc;

use keeljunction_core::Millis;
use keeljunction_core::serving::configuration::{Account, QuotaUnit};

use crate::node::{self, Node};
use crate::port::Prompt;

/// Quota units taken from a client account. They are refunded if this is dropped before the request
/// is admitted, because the caller disconnected or the body did not arrive.
pub(super) struct QuotaCharge {
    node: Arc<Node>,
    units: Option<(String, u64)>,
    is_committed: bool,
}

impl QuotaCharge {
    /// Keeps the units after this is dropped.
    pub fn commit(mut self) -> Self {
        self.is_committed = true;
        self
    }

    /// Gives the units back.
    pub fn refund(&self) {
        if let Some((account, units)) = &self.units {
            self.node.with(|state| state.quotas.refund(account, *units));
        }
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if !self.is_committed {
            self.refund();
        }
    }
}

/// Takes the quota units of a request from its client account.
///
/// # Errors
///
/// Returns the time after which the account has enough units, in milliseconds.
pub(super) async fn consume_quota(
    node: &Arc<Node>,
    account: Option<&Account>,
    prompt: Option<&Prompt>,
) -> Result<QuotaCharge, Millis> {
    let mut charge = QuotaCharge { node: node.clone(), units: None, is_committed: false };
    let Some(account) = account else { return Ok(charge) };
    let units = match account.unit {
        QuotaUnit::Requests => 1,
        QuotaUnit::Tokens { default } => {
            prompt.map_or(default, |prompt| prompt.input_tokens + prompt.output_tokens)
        }
    };
    node::consume_units(node, account, units).await?;
    charge.units = Some((account.name.clone(), units));
    Ok(charge)
}
