//! Stand-ins for the systems that keeljunction meets, and a load tool.
//!
//! Each is small, and a process of its own: no cluster simulator.
//!
//! | module | stands in for |
//! |---|---|
//! | [`platform`] | the table service, object store, VM list, notices and cloud API |
//! | [`engine`] | a model engine that batches, caches prefixes and reports with a lag |
//! | [`service`] | a plain service |
//! | [`load`] | callers |
//! | [`measure`] | whoever measures, on real processes |
//! | [`harness`] | whoever starts processes, for tests, the demo and measurements |

pub mod demo;
pub mod engine;
pub mod harness;
pub mod load;
pub mod measure;
pub mod platform;
pub mod reply;
pub mod service;
