//! The settings of a node, in YAML, validated before startup.

mod check;
mod document;

pub use check::{load, parse};
pub use document::{Limits, Listen, Membership, Node, Platform, Routing, Settings, Times};
