//! A stand-in for a model engine.
//!
//! The engine prefills one prompt at a time at a fixed rate, in order of priority, and then emits a
//! token of each stream at a fixed interval. The output is a function of the prompt alone, so tests
//! can detect a missing, repeated or foreign token. The engine caches prompt prefixes up to a limit
//! and publishes cache events, some of which can be lost. Its load reports are delayed.

mod attempt;
mod cache;
mod options;
mod prefill;
mod serve;

pub use attempt::{expected_output, expected_token};
pub use options::Options;
pub use serve::{Execution, Fault, serve};
