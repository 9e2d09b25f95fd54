//! Copies of records that are about to be sent.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use keeljunction_core::serving::stream_origin::Record;

/// Copies of records, by the address of the node that each is sent to.
#[derive(Debug, Default)]
pub(super) struct Copies(BTreeMap<SocketAddr, Vec<Record>>);

impl Copies {
    /// Adds a copy for a node.
    pub(super) fn add(&mut self, to: SocketAddr, record: Record) {
        self.0.entry(to).or_default().push(record);
    }

    /// Adds other copies.
    pub(super) fn merge(&mut self, others: Self) {
        for (to, records) in others.0 {
            self.0.entry(to).or_default().extend(records);
        }
    }
}

impl IntoIterator for Copies {
    type Item = (SocketAddr, Vec<Record>);
    type IntoIter = <BTreeMap<SocketAddr, Vec<Record>> as IntoIterator>::IntoIter;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}
