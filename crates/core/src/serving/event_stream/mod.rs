//! Splits event streams into events and checks their order.
//!
//! A server may stop in the middle of an event. If another server resumes the stream, only complete
//! events may be forwarded, each number once and in order.
//!
//! | module | content |
//! |---|---|
//! | `scanner` | finds the boundaries between events, without keeping their bytes |
//! | `splitter` | splits the bytes of a stream at these boundaries |
//! | `sequence` | checks the order of the events |

mod scanner;
mod sequence;
mod splitter;

pub use self::scanner::Scanner;
pub use self::sequence::{Sequence, SequenceCheck};
pub use self::splitter::{Event, MAX_PENDING_BYTES, Splitter};
