//! A load tool: open loop, Poisson arrivals, a fixed seed.
//!
//! Each call is timed from the moment at which it was due, not from the moment at which it was
//! sent, so that a slow system cannot hide its delays by slowing the callers down.

mod run;
mod summary;

pub use run::{Kind, Plan, run};
pub use summary::Summary;
