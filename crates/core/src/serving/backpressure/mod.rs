//! Backpressure: what servers say in their answers about the requests that follow.
//!
//! | module | holds |
//! |---|---|
//! | `signal` | what one answer says |

mod signal;

pub use self::signal::Signal;
