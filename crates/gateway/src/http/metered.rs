//! Bounds the bytes that are read from a connection.

use std::io;
use std::task::{Context, Poll};

use super::observed_stream::ReadObserver;
use super::{Progress, Turn};

/// Ends a turn of a connection after many bytes, so that it yields to other tasks, and fails its reads
/// once its response makes no progress.
#[derive(Debug)]
pub(super) struct ReadMeter {
    turn: Turn,
    progress: Option<Progress>,
}

impl ReadMeter {
    /// Creates the meter of a connection, with the progress of its responses if that is bounded.
    pub fn new(turn: Turn, progress: Option<Progress>) -> Self {
        Self { turn, progress }
    }
}

impl ReadObserver for ReadMeter {
    fn poll_read_allowed(&self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.turn.has_read_enough() {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(self.progress.as_ref().map_or(Ok(()), Progress::check_read))
    }

    fn record_read(&self, bytes: usize) {
        self.turn.add_read(bytes);
        if let Some(progress) = &self.progress {
            progress.add_read(bytes);
        }
    }
}
