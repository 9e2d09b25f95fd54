//! The platform's calls that one node at a time may make.

use std::future::Future;
use std::pin::Pin;

use keeljunction_core::serving::usage::{Counts, WindowNumber};

/// A call in progress; it gives the HTTP status, or `None` where there was no answer.
pub type ControlFuture = Pin<Box<dyn Future<Output = Option<u16>> + Send>>;

/// The platform's control calls.
pub struct Control {
    /// Reports how many requests of each client account began in a window.
    pub report_usage: Box<dyn Fn(LeaseHolder, UsageReport) -> ControlFuture + Send + Sync>,
    /// Sets how many servers a data centre should have.
    pub set_capacity: Box<dyn Fn(LeaseHolder, CapacityOrder) -> ControlFuture + Send + Sync>,
}

/// The node that makes a call, with the fence of its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseHolder {
    /// The node's name.
    pub name: String,
    /// Rises with each new holder.
    pub fence: u64,
}

/// How many requests of each client account began in a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The window.
    pub window: WindowNumber,
    /// Requests by client account.
    pub counts: Counts,
}

/// How many servers of one kind a data centre should have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityOrder {
    /// The service.
    pub service: String,
    /// The data centre.
    pub data_centre: String,
    /// Whether the servers may be taken away.
    pub is_spot: bool,
    /// The whole number of servers, not a change of it.
    pub count: u32,
}
