//! Whether another try is allowed.
//!
//! A budget per service allows a share of the first tries to be tried again, so that a wave of
//! failures cannot multiply the load on what is left.

use crate::Millis;

/// Thousandths of a try, so that the budget needs no fractions.
const TRY: u64 = 1000;

/// A token bucket that first tries fill and retries empty.
///
/// # Examples
///
/// ```
/// use keeljunction_core::retry::Budget;
///
/// let mut budget = Budget::new(100, 1); // a tenth of the first tries, a burst of one
/// assert!(budget.withdraw());
/// assert!(!budget.withdraw());
/// for _ in 0..10 {
///     budget.deposit();
/// }
/// assert!(budget.withdraw());
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    share_per_mille: u64,
    capacity: u64,
    balance: u64,
}

impl Budget {
    /// Makes a budget for a share of the first tries, in thousandths, with a burst in tries.
    pub fn new(share_per_mille: u64, burst: u64) -> Self {
        let capacity = burst * TRY;
        Self { share_per_mille, capacity, balance: capacity }
    }

    /// Counts a first try.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.share_per_mille).min(self.capacity);
    }

    /// Takes one retry, if the budget allows it.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < TRY {
            return false;
        }
        self.balance -= TRY;
        true
    }
}

/// Computes a wait before try number `attempt` (from 1), doubled each time, with full jitter.
///
/// `random` is drawn evenly from 0 to 1. The wait lies between half and the whole of the bound.
pub fn backoff(attempt: u32, base: Millis, most: Millis, random: f64) -> Millis {
    let bound = base.saturating_mul(1 << attempt.saturating_sub(1).min(16)).min(most);
    let half = bound / 2;
    half + ((bound - half) as f64 * random) as Millis
}
