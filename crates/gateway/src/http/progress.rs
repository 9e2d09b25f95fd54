//! Bounds the bytes that are read from a connection without progress.
//!
//! The HTTP library bounds a head, the extensions of chunks and trailers. It reads any number of
//! informational responses, and chunk-size lines of any length, and never returns while bytes arrive.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Maximum number of bytes that are read without progress: a response head, or a part of a body. It
/// exceeds the buffer that the library fills ahead of its reader.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 1 << 20;

/// The bytes read from a connection since its response last progressed.
#[derive(Clone, Debug, Default)]
pub struct Progress(Arc<State>);

#[derive(Debug, Default)]
struct State {
    read_bytes: AtomicUsize,
    is_endless: AtomicBool,
}

impl Progress {
    /// Records that a request was sent, or that a head or a part of a body was received.
    pub fn record(&self) {
        self.0.read_bytes.store(0, Ordering::Relaxed);
    }

    /// Checks whether more bytes may be read.
    ///
    /// # Errors
    ///
    /// Returns an error if [`MAX_BYTES_WITHOUT_PROGRESS`] were read without progress.
    pub(super) fn check_read(&self) -> io::Result<()> {
        if self.0.read_bytes.load(Ordering::Relaxed) < MAX_BYTES_WITHOUT_PROGRESS {
            return Ok(());
        }
        self.0.is_endless.store(true, Ordering::Relaxed);
        let why = format!("{MAX_BYTES_WITHOUT_PROGRESS} bytes are no part of a response");
        Err(io::Error::new(io::ErrorKind::InvalidData, why))
    }

    /// Counts bytes that were read.
    pub(super) fn add_read(&self, bytes: usize) {
        self.0.read_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns `true` if reading ended because of the bound.
    pub fn is_endless(&self) -> bool {
        self.0.is_endless.load(Ordering::Relaxed)
    }
}
