//! Metrics over statsd, with the counters also kept for the operator API.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Mutex;

use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, Timed, UdpMetricSink};

use crate::runtime;

const PREFIX: &str = "keeljunction";

/// The metrics of a node.
pub struct Metric {
    statsd: StatsdClient,
    counts: Mutex<BTreeMap<&'static str, u64>>,
}

impl Metric {
    /// Creates metrics that are sent to an address. Without one, only the counters are kept.
    pub fn new(address: Option<SocketAddr>) -> Self {
        let statsd = address
            .and_then(connect)
            .unwrap_or_else(|| StatsdClient::from_sink(PREFIX, NopMetricSink));
        Self { statsd, counts: Mutex::default() }
    }

    /// Adds to a counter.
    pub fn count(&self, name: &'static str, amount: u64) {
        *runtime::lock(&self.counts).entry(name).or_default() += amount;
        let _ = self.statsd.count(name, amount as i64);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, value: u64) {
        let _ = self.statsd.gauge(name, value);
    }

    /// Records a duration, in milliseconds.
    pub fn time(&self, name: &'static str, ms: u64) {
        let _ = self.statsd.time(name, ms);
    }

    /// Returns all counters.
    pub fn get_counts(&self) -> BTreeMap<&'static str, u64> {
        runtime::lock(&self.counts).clone()
    }
}

fn connect(address: SocketAddr) -> Option<StatsdClient> {
    let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = UdpMetricSink::from(address, socket).ok()?;
    Some(StatsdClient::from_sink(PREFIX, sink))
}
