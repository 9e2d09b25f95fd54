//! A stand-in for the platform.

mod fault;
mod serve;
mod state;

pub use fault::{Fault, Mode, Target};
pub use serve::{Departure, serve};
pub use state::State;
