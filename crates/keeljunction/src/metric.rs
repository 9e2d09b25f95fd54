//! Metrics by statsd, and the same counts for the operator's page.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Mutex;

use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, Timed, UdpMetricSink};

use crate::runtime;

const PREFIX: &str = "keeljunction";

/// Counts, gauges and times of one node.
pub struct Metric {
    statsd: StatsdClient,
    counts: Mutex<BTreeMap<&'static str, u64>>,
}

impl Metric {
    /// Sends metrics to an address, or keeps the counts only.
    pub fn new(to: Option<SocketAddr>) -> Self {
        let statsd =
            to.and_then(connect).unwrap_or_else(|| StatsdClient::from_sink(PREFIX, NopMetricSink));
        Self { statsd, counts: Mutex::default() }
    }

    /// Adds to a count.
    pub fn count(&self, name: &'static str, by: u64) {
        *runtime::lock(&self.counts).entry(name).or_default() += by;
        let _ = self.statsd.count(name, by as i64);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, value: u64) {
        let _ = self.statsd.gauge(name, value);
    }

    /// Notes a time, in milliseconds.
    pub fn time(&self, name: &'static str, ms: u64) {
        let _ = self.statsd.time(name, ms);
    }

    /// Returns all counts so far.
    pub fn get_counts(&self) -> BTreeMap<&'static str, u64> {
        runtime::lock(&self.counts).clone()
    }
}

fn connect(to: SocketAddr) -> Option<StatsdClient> {
    let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = UdpMetricSink::from(to, socket).ok()?;
    Some(StatsdClient::from_sink(PREFIX, sink))
}
