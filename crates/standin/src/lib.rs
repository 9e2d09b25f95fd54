//! Stand-ins for the systems around keeljunction, and a load generator.
//!
//! Each stand-in is a small separate process, not a cluster simulator.
//!
//! | module | stands in for |
//! |---|---|
//! | [`platform`] | the table service, object store, VM list, reclaim notices and cloud API |
//! | [`engine`] | a model engine that batches requests, caches prefixes and reports its load with a delay |
//! | [`service`] | a plain service |
//! | [`load`] | clients |
//! | [`measure`] | benchmarks on real processes |
//! | [`harness`] | a process manager for tests, the demo and measurements |

pub mod demo;
pub mod engine;
pub mod harness;
pub mod load;
pub mod measure;
pub mod platform;
pub mod reply;
pub mod service;
