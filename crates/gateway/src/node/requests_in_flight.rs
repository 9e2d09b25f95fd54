//! Counts the requests whose responses have not ended.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The number of requests whose responses have not ended.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestsInFlight(Arc<AtomicUsize>);

/// A guard that counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<AtomicUsize>);

impl RequestsInFlight {
    /// Counts a request as in flight until the guard is dropped.
    pub(super) fn begin(&self) -> InFlightGuard {
        self.0.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(self.0.clone())
    }

    /// Returns the number of requests in flight.
    pub(super) fn get(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
