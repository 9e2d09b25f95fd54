//! A stand-in for a model engine.
//!
//! It reads prompts one after another at a rate, the most urgent first, then gives a token of
//! each stream every few milliseconds. The answer follows from the prompt alone, so that a whole
//! answer differs visibly from one with a seam. It caches prompt prefixes in limited memory, reports
//! that late and with gaps, and reports its load with a lag.

mod attempt;
mod cache;
mod options;
mod prefill;
mod serve;

pub use attempt::{answer_of, token_of};
pub use options::Options;
pub use serve::{Fault, Ran, serve};
