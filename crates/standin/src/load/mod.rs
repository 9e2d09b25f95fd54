//! An open-loop load generator with Poisson arrivals and a fixed seed.
//!
//! Latency is measured from the scheduled time of a call, not from the time at which it was sent.
//! Otherwise a slow system would hide its delays by slowing the clients down (coordinated
//! omission).

mod run;
mod summary;

pub use run::{Kind, Plan, run};
pub use summary::Summary;
