//! The error type, its kinds and its context.

mod error_kind;
mod report;

pub use error_kind::ErrorKind;
pub use report::{Context, Error};
