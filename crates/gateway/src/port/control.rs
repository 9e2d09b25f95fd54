//! Platform calls that only one node at a time may make.

use std::future::Future;
use std::pin::Pin;

use keeljunction_core::serving::usage::{Counts, WindowNumber};

/// A pending call. It resolves to the HTTP status, or to `None` if there was no response.
pub type ControlFuture = Pin<Box<dyn Future<Output = Option<u16>> + Send>>;

/// Control calls of the platform.
pub struct Control {
    /// Reports how many requests of each client account started in a window.
    pub report_usage: Box<dyn Fn(DutyHolder, UsageReport) -> ControlFuture + Send + Sync>,
    /// Sets the number of servers that a data centre should have.
    pub set_capacity: Box<dyn Fn(DutyHolder, CapacityOrder) -> ControlFuture + Send + Sync>,
}

/// The node that makes a call, with the fencing token of its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyHolder {
    /// The node name.
    pub name: String,
    /// Fencing token of the lease, which increases with each new holder.
    pub fence: u64,
}

/// Number of requests of each client account that started in a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The window.
    pub window: WindowNumber,
    /// Requests per client account.
    pub counts: Counts,
}

/// Number of servers of one kind that a data centre should have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityOrder {
    /// The service.
    pub service: String,
    /// The data centre.
    pub data_centre: String,
    /// Whether these are spot servers, which the platform may reclaim.
    pub is_spot: bool,
    /// The total number of servers, not a difference.
    pub count: u32,
}
