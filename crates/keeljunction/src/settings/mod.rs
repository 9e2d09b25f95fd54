//! The settings of a node: YAML, checked whole before anything starts.

mod check;
mod document;

pub use check::{load, parse};
pub use document::{Limits, Listen, Membership, Node, Platform, Routing, Settings, Times};
