//! A kept origin of a stream.

use std::sync::Arc;

use super::key::Key;
use super::origin::Origin;
use crate::Millis;

/// What is recorded of a stream's origin.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// The origin.
    Known(Arc<Origin>),
    /// Different origins were recorded for the same key.
    Ambiguous,
}

/// A kept origin, to be sent to other nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The stream.
    pub key: Key,
    /// Its origin.
    pub standing: Standing,
    /// The time until the record expires, in milliseconds.
    pub expires_in: Millis,
}
