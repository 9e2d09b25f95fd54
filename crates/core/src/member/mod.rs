//! Which nodes live: probes, suspicion, and refutation.
//!
//! Membership is a hint for placement. No promise depends on it being right.

mod list;
mod record;

pub use list::{List, Timing};
pub use record::{Member, State};
