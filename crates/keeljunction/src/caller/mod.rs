//! The HTTP server for clients and operators.

mod check;
mod event;
mod handler;
mod operator;
mod problem;

pub use handler::answer;
pub use operator::operator;
pub use problem::{Problem, respond};
