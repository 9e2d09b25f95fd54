//! Reservations of memory that buffers data of clients and servers.
//!
//! [`keeljunction_core::serving::memory`] decides. This module ties reservations to the lifetime of
//! their holders, wakes evicted uploads, and passes samples of the process's resident memory to the
//! memory budget.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::memory::{Kind, Requester, ReservationId, Usage};

use super::Node;
use crate::event::{self, Event};
use crate::http::StopSignal;
use crate::runtime::{self, lock};

/// The interval between samples of the resident memory. At the link bandwidth of a small VM, 10 to
/// 200 Mbit/s, at most some megabytes arrive in between.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// How long to wait for evicted uploads to release their memory; their tasks only need to be woken.
const EVICTION_WAIT: Duration = Duration::from_millis(20);

/// Reserved bytes that are released on drop.
pub struct ReservationGuard {
    node: Arc<Node>,
    id: ReservationId,
    bytes: u64,
    /// `true` once the eviction signal was taken.
    has_eviction_signal: bool,
}

impl ReservationGuard {
    /// Creates an empty reservation that belongs to no client account.
    pub fn new(node: &Arc<Node>, kind: Kind) -> Self {
        Self::for_requester(node, &Requester { kind, account: "", urgency: 0 })
    }

    /// Creates an empty reservation for a requester.
    pub fn for_requester(node: &Arc<Node>, requester: &Requester<'_>) -> Self {
        let now = node.now();
        let id = node.with(|state| state.memory.open(now, requester));
        Self { node: node.clone(), id, bytes: 0, has_eviction_signal: false }
    }

    /// Returns the signal for the eviction of this upload.
    pub(crate) fn watch_eviction(&mut self) -> StopSignal {
        self.has_eviction_signal = true;
        let stop = lock(&self.node.eviction_signals.0).entry(self.id).or_default().clone();
        // The upload may have been selected for eviction before the signal was registered.
        if self.node.with(|state| state.memory.is_evicted(self.id)) {
            stop.send();
        }
        stop
    }

    /// Reserves more bytes; returns `false` and reserves nothing if there is not enough memory.
    #[must_use]
    pub fn grow(&mut self, bytes: u64) -> bool {
        self.try_grow(bytes).is_ok()
    }

    /// Reserves more bytes.
    ///
    /// # Errors
    ///
    /// Returns when to retry, and whether uploads are being evicted, if there is not enough memory.
    /// Nothing is reserved in that case.
    fn try_grow(&mut self, bytes: u64) -> Result<(), InsufficientMemory> {
        let now = self.node.now();
        let grown = self.node.with(|state| state.memory.grow(now, self.id, bytes));
        match grown {
            Ok(()) => {
                self.bytes += bytes;
                Ok(())
            }
            Err(shortage) => {
                self.node.eviction_signals.evict(&shortage.evicted);
                let is_evicting = !shortage.evicted.is_empty();
                Err(InsufficientMemory { retry_after: shortage.retry_after, is_evicting })
            }
        }
    }

    /// Reserves more bytes, and waits for the uploads that are evicted to make room.
    ///
    /// # Errors
    ///
    /// Returns when to retry if there is not enough memory. Nothing is reserved in that case.
    pub(crate) async fn grow_or_wait(&mut self, bytes: u64) -> Result<(), Millis> {
        match self.try_grow(bytes) {
            Ok(()) => Ok(()),
            Err(InsufficientMemory { retry_after, is_evicting: false }) => Err(retry_after),
            Err(InsufficientMemory { is_evicting: true, .. }) => {
                runtime::sleep(EVICTION_WAIT).await;
                self.try_grow(bytes).map_err(|error| error.retry_after)
            }
        }
    }

    /// Records the arrival of bytes of a body.
    pub(crate) fn record_received(&self, bytes: u64) {
        let now = self.node.now();
        self.node.with(|state| state.memory.record_received(now, self.id, bytes));
    }

    /// Records that a body is complete, which exempts it from eviction.
    pub(crate) fn complete_upload(&self) {
        self.node.with(|state| state.memory.complete_upload(self.id));
    }

    /// Releases some of the bytes.
    pub fn shrink(&mut self, bytes: u64) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        let now = self.node.now();
        self.node.with(|state| state.memory.shrink(now, self.id, bytes));
    }

    /// Returns the number of reserved bytes.
    pub fn get_bytes(&self) -> u64 {
        self.bytes
    }
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        if self.has_eviction_signal {
            lock(&self.node.eviction_signals.0).remove(&self.id);
        }
        let now = self.node.now();
        self.node.with(|state| state.memory.close(now, self.id));
    }
}

/// The error of a reservation that does not fit into memory.
#[derive(Clone, Copy, Debug)]
struct InsufficientMemory {
    retry_after: Millis,
    /// `true` if uploads are being evicted to make room.
    is_evicting: bool,
}

/// Samples the resident memory until the process ends.
pub(super) async fn watch(node: Arc<Node>) {
    loop {
        observe(&node);
        runtime::sleep(SAMPLE_INTERVAL).await;
    }
}

/// Passes one sample to the memory budget, evicts uploads, and logs the start and end of memory
/// pressure.
fn observe(node: &Node) {
    let (now, resident) = (node.now(), read_resident_bytes());
    let (was_short, is_short, used, evicted) = node.with(|state| {
        let was_short = state.memory.is_under_pressure();
        let evicted = state.memory.observe(now, resident);
        (was_short, state.memory.is_under_pressure(), state.memory.get_usage(), evicted)
    });
    node.eviction_signals.evict(&evicted);
    if was_short != is_short {
        let Usage { reserved, capacity, resident, part } = used;
        event::emit(&Event::MemoryPressureChanged { is_short, part, reserved, capacity, resident });
    }
}

/// Returns the resident memory of the process in bytes; `None` if the system does not provide it.
pub(crate) fn read_resident_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages * rustix::param::page_size() as u64)
}
