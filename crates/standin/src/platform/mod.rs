//! A stand-in for the platform: table service, object store, VM list, notices and cloud API.

mod fault;
mod serve;
mod state;

pub use fault::{Fault, Mode, Target};
pub use serve::{Departure, serve};
pub use state::State;
