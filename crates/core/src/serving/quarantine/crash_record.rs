//! A server crash, with the requests that all nodes report to have been interrupted.

use std::collections::BTreeMap;

use super::Fingerprint;
use crate::Millis;

/// The crash of a server.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// The short id of the service.
    pub service: u64,
    /// The short id of the server.
    pub server: u64,
    /// When it crashed.
    pub at: Millis,
    /// The interrupted requests, with the times at which they were sent.
    pub runs: BTreeMap<Fingerprint, Millis>,
    /// The parts of interrupted prompts.
    pub parts: BTreeMap<Fingerprint, Vec<Run>>,
}

/// An interrupted request with a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Run {
    /// The fingerprint of the request.
    pub request: Fingerprint,
    /// When the request was sent.
    pub sent_at: Millis,
}

impl Record {
    /// Returns the number of remembered requests and parts.
    pub fn count_entries(&self) -> usize {
        self.runs.len() + self.parts.values().map(Vec::len).sum::<usize>()
    }

    /// Returns `true` if nothing is suspected any more.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty() && self.parts.is_empty()
    }
}
