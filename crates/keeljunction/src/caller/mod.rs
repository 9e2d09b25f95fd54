//! The HTTP side towards callers, and the operator's page.

mod check;
mod event;
mod handler;
mod operator;
mod problem;

pub use handler::answer;
pub use operator::operator;
pub use problem::{Problem, respond};
