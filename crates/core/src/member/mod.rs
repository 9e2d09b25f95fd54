//! SWIM-style membership: probes, suspicion and refutation.
//!
//! Membership is a hint for placement. No guarantee depends on it being correct.

mod list;
mod record;

pub use list::{List, Timing};
pub use record::{Member, State};
