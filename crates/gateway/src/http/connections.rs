//! The open connections of a server, and the phase of each.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};

use event_listener::Event;
use serde::Serialize;

/// The phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No byte has arrived yet.
    New,
    /// Part of a request head has arrived.
    ReadingHead,
    /// A request is being handled, or its response is being written.
    Responding,
    /// The last response is complete, and no byte of another request has arrived.
    Idle,
}

impl Phase {
    const ALL: [Self; 4] = [Self::New, Self::ReadingHead, Self::Responding, Self::Idle];
}

/// The number of open connections in each phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PhaseCounts {
    /// Connections on which no byte has arrived yet.
    pub new: usize,
    /// Connections on which part of a request head has arrived.
    pub reading_head: usize,
    /// Connections on which a request is being handled, or its response written.
    pub responding: usize,
    /// Connections that wait for another request.
    pub idle: usize,
}

impl PhaseCounts {
    /// Returns the number of open connections.
    pub fn get_total(&self) -> usize {
        self.new + self.reading_head + self.responding + self.idle
    }
}

/// The open connections of a server.
#[derive(Clone, Debug, Default)]
pub struct Connections(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    by_phase: [AtomicUsize; Phase::ALL.len()],
    is_accepting: AtomicBool,
}

impl Connections {
    /// Returns the number of open connections in each phase.
    pub fn count(&self) -> PhaseCounts {
        let [new, reading_head, responding, idle] =
            Phase::ALL.map(|phase| self.0.by_phase[phase as usize].load(Ordering::SeqCst));
        PhaseCounts { new, reading_head, responding, idle }
    }

    /// Returns `true` if connections may still be accepted.
    pub fn is_accepting(&self) -> bool {
        self.0.is_accepting.load(Ordering::SeqCst)
    }

    pub(super) fn set_accepting(&self, is_accepting: bool) {
        self.0.is_accepting.store(is_accepting, Ordering::SeqCst);
    }

    /// Counts a connection that was accepted until the last handle of it is dropped.
    pub(super) fn begin(&self) -> Connection {
        self.add(Phase::New);
        let phase = AtomicU8::new(Phase::New as u8);
        Connection(Arc::new(State { connections: self.clone(), phase, changed: Event::new() }))
    }

    fn add(&self, phase: Phase) {
        self.0.by_phase[phase as usize].fetch_add(1, Ordering::SeqCst);
    }

    fn remove(&self, phase: Phase) {
        self.0.by_phase[phase as usize].fetch_sub(1, Ordering::SeqCst);
    }
}

/// A handle of an open connection, which tracks its phase.
#[derive(Clone, Debug)]
pub struct Connection(Arc<State>);

#[derive(Debug)]
struct State {
    connections: Connections,
    phase: AtomicU8,
    changed: Event,
}

impl Connection {
    /// Returns the phase.
    pub fn get_phase(&self) -> Phase {
        Phase::ALL[usize::from(self.0.phase.load(Ordering::SeqCst))]
    }

    /// Records that bytes have arrived. Those that arrive during a response are not a new request.
    pub(super) fn record_arrival(&self) {
        if matches!(self.get_phase(), Phase::New | Phase::Idle) {
            self.set(Phase::ReadingHead);
        }
    }

    /// Records that a request head is complete. The connection is idle once the guard is dropped.
    pub(super) fn begin_response(&self) -> ResponseGuard {
        self.set(Phase::Responding);
        ResponseGuard(self.clone())
    }

    /// Waits until the phase changes, if it still is the given one.
    pub(super) async fn wait_for_change(&self, from: Phase) {
        while self.get_phase() == from {
            let changed = self.0.changed.listen();
            if self.get_phase() == from {
                changed.await;
            }
        }
    }

    fn set(&self, phase: Phase) {
        // The connection is counted in the new phase first, so that it is never left out.
        self.0.connections.add(phase);
        let before = self.0.phase.swap(phase as u8, Ordering::SeqCst);
        self.0.connections.remove(Phase::ALL[usize::from(before)]);
        self.0.changed.notify(usize::MAX);
    }
}

impl Drop for State {
    fn drop(&mut self) {
        self.connections.remove(Phase::ALL[usize::from(*self.phase.get_mut())]);
    }
}

/// Marks a connection as responding until dropped.
#[derive(Debug)]
pub(super) struct ResponseGuard(Connection);

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.0.set(Phase::Idle);
    }
}
