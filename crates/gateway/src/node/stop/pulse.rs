//! Records when the process ran, which bounds when a stop signal was sent.
//!
//! A signal does not say when it was sent. A process that gets no processor time sees it late, and
//! so does one whose executor is busy. Everything that others count from the signal, such as the
//! time until they kill the process, has begun by then.

use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_lite::future;
use keeljunction_core::Millis;

use crate::runtime;

/// The interval between two beats.
const INTERVAL: Duration = Duration::from_millis(100);

/// The times of the last two beats, on the node's clock.
#[derive(Debug)]
pub(in crate::node) struct Pulse {
    last: AtomicU64,
    before: AtomicU64,
}

impl Pulse {
    /// Creates the pulse of a process that runs now.
    pub(in crate::node) fn new(now: Millis) -> Self {
        Self { last: AtomicU64::new(now), before: AtomicU64::new(now) }
    }

    /// Records that the process runs now.
    pub(in crate::node) fn beat(&self, now: Millis) {
        let last = self.last.swap(now, Ordering::Relaxed);
        self.before.store(last, Ordering::Relaxed);
    }

    /// Returns the earliest time at which a signal that is seen now may have been sent.
    ///
    /// That is the beat before the last: after a pause, the last one may come before the signal is
    /// handled.
    pub(in crate::node) fn get_earliest_signal(&self) -> Millis {
        self.before.load(Ordering::Relaxed)
    }
}

/// Waits for an event, and calls `beat` at intervals until then.
///
/// The beats are part of the future that waits. A task of its own would go on beating while a busy executor
/// runs its tasks and does not poll that future.
pub async fn beat_until<T>(event: impl Future<Output = T>, mut beat: impl FnMut()) -> T {
    let mut event = pin!(event);
    loop {
        let occurred = async { Some(event.as_mut().await) };
        let is_due = async {
            runtime::sleep(INTERVAL).await;
            None
        };
        if let Some(result) = future::or(occurred, is_due).await {
            return result;
        }
        beat();
    }
}
