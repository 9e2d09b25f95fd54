//! Memory that is held for callers and servers.
//!
//! The decisions are those of [`keeljunction_core::serving::memory`]; this module ties what is
//! reserved to the life of what holds it, wakes uploads that are evicted, and passes samples of the
//! process's resident memory to the accountant.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::memory::{Kind, Requester, ReservationId, Usage};

use super::Node;
use crate::event::{self, Event};
use crate::http::StopSignal;
use crate::runtime::{self, lock};

/// The time between two samples of the resident memory: at the bandwidth of a small VM's link, 10
/// to 200 Mbit/s, at most some megabytes come meanwhile.
const SAMPLE_PAUSE: Duration = Duration::from_millis(250);
/// How long to wait for evicted uploads to release their memory: their tasks only have to be woken.
const RELEASED_WITHIN: Duration = Duration::from_millis(20);

/// Bytes that are held until this is dropped.
pub struct Reservation {
    node: Arc<Node>,
    id: ReservationId,
    bytes: u64,
    /// Whether a signal of eviction was taken.
    has_stop: bool,
}

impl Reservation {
    /// Makes a reservation of no bytes, for no client account in particular.
    pub fn new(node: &Arc<Node>, kind: Kind) -> Self {
        Self::for_claim(node, &Requester { kind, account: "", urgency: 0 })
    }

    /// Makes a reservation of no bytes for a claim.
    pub fn for_claim(node: &Arc<Node>, claim: &Requester<'_>) -> Self {
        let now = node.now();
        let id = node.with(|state| state.memory.open(now, claim));
        Self { node: node.clone(), id, bytes: 0, has_stop: false }
    }

    /// Returns the signal that this upload is evicted.
    pub(crate) fn watch_eviction(&mut self) -> StopSignal {
        self.has_stop = true;
        let stop = lock(&self.node.uploads.0).entry(self.id).or_default().clone();
        // It may have been picked before it was watched.
        if self.node.with(|state| state.memory.is_evicted(self.id)) {
            stop.send();
        }
        stop
    }

    /// Reserves more bytes; returns `false`, and reserves nothing, where there is no room for them.
    #[must_use]
    pub fn grow(&mut self, bytes: u64) -> bool {
        self.try_grow(bytes).is_ok()
    }

    /// Reserves more bytes.
    ///
    /// # Errors
    ///
    /// Returns when to retry where there is no room, and whether some is being made; nothing is
    /// reserved then.
    fn try_grow(&mut self, bytes: u64) -> Result<(), NoRoom> {
        let now = self.node.now();
        let grown = self.node.with(|state| state.memory.grow(now, self.id, bytes));
        match grown {
            Ok(()) => {
                self.bytes += bytes;
                Ok(())
            }
            Err(shortage) => {
                self.node.uploads.evict(&shortage.evicted);
                let is_made = !shortage.evicted.is_empty();
                Err(NoRoom { retry_after: shortage.retry_after, is_made })
            }
        }
    }

    /// Reserves more bytes, and waits for uploads that are evicted for them.
    ///
    /// # Errors
    ///
    /// Returns when to retry where there is no room; nothing is reserved then.
    pub(crate) async fn grow_or_wait(&mut self, bytes: u64) -> Result<(), Millis> {
        match self.try_grow(bytes) {
            Ok(()) => Ok(()),
            Err(NoRoom { retry_after, is_made: false }) => Err(retry_after),
            Err(NoRoom { is_made: true, .. }) => {
                runtime::sleep(RELEASED_WITHIN).await;
                self.try_grow(bytes).map_err(|no_room| no_room.retry_after)
            }
        }
    }

    /// Notes that bytes of a body came.
    pub(crate) fn note_received(&self, bytes: u64) {
        let now = self.node.now();
        self.node.with(|state| state.memory.record_received(now, self.id, bytes));
    }

    /// Notes that a body is whole: it is not evicted any more.
    pub(crate) fn note_complete(&self) {
        self.node.with(|state| state.memory.complete_upload(self.id));
    }

    /// Releases some of the bytes.
    pub fn shrink(&mut self, bytes: u64) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        let now = self.node.now();
        self.node.with(|state| state.memory.shrink(now, self.id, bytes));
    }

    /// Returns the bytes that are held.
    pub fn get_bytes(&self) -> u64 {
        self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.has_stop {
            lock(&self.node.uploads.0).remove(&self.id);
        }
        let now = self.node.now();
        self.node.with(|state| state.memory.close(now, self.id));
    }
}

/// Why bytes were not reserved.
#[derive(Clone, Copy, Debug)]
struct NoRoom {
    retry_after: Millis,
    /// Whether uploads are being evicted for them.
    is_made: bool,
}

/// Passes samples of the resident memory to the accountant for as long as the process runs.
pub(super) async fn watch(node: Arc<Node>) {
    loop {
        observe(&node);
        runtime::sleep(SAMPLE_PAUSE).await;
    }
}

/// Passes on one sample, evicts uploads, and logs where the node becomes short of memory or no longer is.
fn observe(node: &Node) {
    let (now, resident) = (node.now(), read_resident_bytes());
    let (was_short, is_short, used, evicted) = node.with(|state| {
        let was_short = state.memory.is_under_pressure();
        let evicted = state.memory.observe(now, resident);
        (was_short, state.memory.is_under_pressure(), state.memory.get_usage(), evicted)
    });
    node.uploads.evict(&evicted);
    if was_short != is_short {
        let Usage { reserved, capacity, resident, part } = used;
        event::emit(&Event::MemoryPressureChanged { is_short, part, reserved, capacity, resident });
    }
}

/// Reads the resident memory of the process, in bytes; `None` where the system does not provide it.
pub(crate) fn read_resident_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages * rustix::param::page_size() as u64)
}
