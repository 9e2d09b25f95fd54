//! The counters of the datagrams that a node sends to others.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use super::labels::MessageLabels;

/// The counters of the datagrams that a node sends to others, by message.
#[derive(Clone, Debug, Default)]
pub struct SentMessages {
    /// The datagrams.
    pub messages: Family<MessageLabels, Counter>,
    /// The bytes of their content, without the headers of UDP and IP.
    pub bytes: Family<MessageLabels, Counter>,
}

impl SentMessages {
    /// Counts a datagram.
    pub fn count(&self, message: &'static str, bytes: usize) {
        let labels = MessageLabels { message };
        self.messages.get_or_create(&labels).inc();
        self.bytes.get_or_create(&labels).inc_by(bytes as u64);
    }
}
