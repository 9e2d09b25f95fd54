//! The UDP socket for datagrams between nodes.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_io::Async;
use keeljunction_core::Millis;
use keeljunction_core::serving::members::Timestamp;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use super::cluster::{Cluster, Mismatch};
use super::message::{Encoded, Header, Message, decode};
use crate::event::{self, Event};
use crate::metrics::{ReasonCounters, ReasonLabels, RegionLabels, SentMessages};
use crate::runtime::{self, lock};

/// The maximum payload of a UDP datagram over IPv4.
const MAX_DATAGRAM_BYTES: usize = 65_507;
/// The delay after a socket error, so that a permanent error does not cause a busy loop.
const ERROR_BACK_OFF: Duration = Duration::from_millis(50);
/// The fraction of the link's bandwidth that datagrams to many nodes may use.
const LINK_FRACTION: f64 = 0.4;
/// The maximum number of bytes sent without a delay, some eight full packets.
const MAX_BURST_BYTES: usize = 12 * 1_024;
/// The minimum pacing delay; a shorter one is not worth a wake-up.
const MIN_PACING_DELAY_MS: f64 = 1.0;
/// The minimum interval between two logged datagrams that were ignored.
const IGNORED_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// The maximum number of addresses whose newest datagram is remembered. If there are more, all are
/// discarded and learned again from the next datagrams.
const MAX_PEERS: usize = 4_096;

/// The UDP socket for datagrams between nodes.
///
/// Each datagram echoes the send time of the newest datagram that its sender received from the
/// recipient. Only this bounds the age of the content for the recipient, because the datagram
/// itself may have been delayed.
#[derive(Debug)]
pub struct Link {
    socket: Async<UdpSocket>,
    cluster: Cluster,
    boot_id: u32,
    bits_per_ms: f64,
    last_received: Mutex<HashMap<SocketAddr, Timestamp>>,
    /// The nodes in other regions, with their regions.
    remote_regions: Mutex<BTreeMap<SocketAddr, String>>,
    /// Bytes sent to each other region.
    cross_region_bytes_by_region: Family<RegionLabels, Counter>,
    /// Bytes sent to all other regions.
    cross_region_bytes: AtomicU64,
    sent: SentMessages,
    /// Datagrams that were ignored, by reason.
    ignored: ReasonCounters,
    /// When an ignored datagram was last logged.
    ignored_at: Mutex<Option<Instant>>,
}

/// A received datagram.
#[derive(Debug)]
pub struct Received {
    /// The address of the sender.
    pub from: SocketAddr,
    /// When it was sent.
    pub sent: Timestamp,
    /// When this node sent the newest datagram that the sender had received, on this node's clock.
    pub echoed_at: Option<Millis>,
    /// The message.
    pub message: Message,
}

impl Link {
    /// Binds the socket for one run of a node of a cluster.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn bind(
        address: SocketAddr,
        cluster: Cluster,
        boot_id: u64,
        link_mbps: f64,
    ) -> io::Result<Self> {
        let socket = Async::<UdpSocket>::bind(address)?;
        let bits_per_ms = link_mbps * 1_000.0 * LINK_FRACTION;
        Ok(Self {
            socket,
            cluster,
            boot_id: boot_id as u32,
            bits_per_ms,
            last_received: Mutex::default(),
            remote_regions: Mutex::default(),
            cross_region_bytes_by_region: Family::default(),
            cross_region_bytes: AtomicU64::new(0),
            sent: SentMessages::default(),
            ignored: Family::default(),
            ignored_at: Mutex::default(),
        })
    }

    /// Sets which nodes are in other regions.
    pub fn set_remote_regions(&self, remote_regions: BTreeMap<SocketAddr, String>) {
        *lock(&self.remote_regions) = remote_regions;
    }

    /// Records that a node is in another region.
    pub fn record_remote_region(&self, address: SocketAddr, region: &str) {
        lock(&self.remote_regions).entry(address).or_insert_with(|| region.to_owned());
    }

    /// Returns the region of a node; `None` if it is this node's region.
    pub fn get_remote_region(&self, address: SocketAddr) -> Option<String> {
        lock(&self.remote_regions).get(&address).cloned()
    }

    /// Returns the number of bytes sent to other regions.
    pub fn get_cross_region_bytes(&self) -> u64 {
        self.cross_region_bytes.load(Ordering::Relaxed)
    }

    /// Returns the bytes sent to each other region, as a metric.
    pub fn get_cross_region_bytes_by_region(&self) -> Family<RegionLabels, Counter> {
        self.cross_region_bytes_by_region.clone()
    }

    /// Returns the counters of the datagrams sent to other nodes.
    pub fn get_sent_messages(&self) -> &SentMessages {
        &self.sent
    }

    /// Returns the counters of ignored datagrams.
    pub fn get_ignored(&self) -> &ReasonCounters {
        &self.ignored
    }

    /// Returns the cluster of this node.
    pub fn get_cluster(&self) -> &Cluster {
        &self.cluster
    }

    /// Counts the bytes of a datagram if its recipient is in another region.
    fn count_cross_region_bytes(&self, to: SocketAddr, bytes: usize) {
        let Some(region) = self.get_remote_region(to) else { return };
        self.cross_region_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.cross_region_bytes_by_region
            .get_or_create(&RegionLabels::new(&region))
            .inc_by(bytes as u64);
    }

    /// Waits for the next datagram of the supported format that a node of this cluster sent.
    pub async fn receive(&self, buffer: &mut Vec<u8>) -> Received {
        buffer.resize(MAX_DATAGRAM_BYTES, 0);
        loop {
            let received = self.socket.recv_from(buffer).await;
            let (length, from) = match received {
                Ok(received) => received,
                Err(error) => {
                    // The closed port of a peer is reported here as well; there is nothing to do
                    // about it.
                    log::debug!("failed to receive a datagram: {error}");
                    runtime::sleep(ERROR_BACK_OFF).await;
                    continue;
                }
            };
            let (header, message) = match decode(&self.cluster, &buffer[..length]) {
                Ok(decoded) => decoded,
                Err(mismatch) => {
                    self.record_ignored(from, mismatch);
                    continue;
                }
            };
            self.remember(from, header.sent);
            let echoed = header.last_received.filter(|echoed| echoed.boot_id == self.boot_id);
            let echoed_at = echoed.map(|echoed| echoed.sent_at);
            return Received { from, sent: header.sent, echoed_at, message };
        }
    }

    /// Counts an ignored datagram, and logs one of many.
    fn record_ignored(&self, from: SocketAddr, mismatch: Mismatch) {
        let reason = mismatch.as_str();
        self.ignored.get_or_create(&ReasonLabels { reason: reason.to_owned() }).inc();
        let mut ignored_at = lock(&self.ignored_at);
        if ignored_at.is_none_or(|at| at.elapsed() >= IGNORED_LOG_INTERVAL) {
            *ignored_at = Some(Instant::now());
            event::emit(&Event::DatagramIgnored { from, reason });
        }
    }

    /// Remembers the newest datagram of a node. Datagrams may arrive out of order.
    fn remember(&self, from: SocketAddr, sent: Timestamp) {
        let mut last_received = lock(&self.last_received);
        if last_received.len() >= MAX_PEERS {
            last_received.clear();
        }
        let newest = last_received.entry(from).or_insert(sent);
        if sent.is_after(*newest) {
            *newest = sent;
        }
    }

    /// Sends a message to one node.
    pub async fn send(&self, now: Millis, to: SocketAddr, message: &Message) {
        match Encoded::new(message) {
            Ok(encoded) => {
                self.send_encoded(now, to, &encoded).await;
            }
            Err(error) => log::error!("failed to encode a message: {error}"),
        }
    }

    /// Sends a message to many nodes, paced to a fraction of the link's bandwidth. Packets that
    /// overflow the queue of a full link are dropped, and without the pacing and shuffling they
    /// would be those of the same nodes each time.
    pub async fn send_to_all(&self, now: Millis, mut to: Vec<SocketAddr>, message: &Message) {
        let encoded = match Encoded::new(message) {
            Ok(encoded) => encoded,
            Err(error) => {
                return log::error!("failed to encode a message: {error}");
            }
        };
        fastrand::shuffle(&mut to);
        let mut sent = 0;
        for address in to {
            sent += self.send_encoded(now, address, &encoded).await;
            if sent >= MAX_BURST_BYTES {
                let delay_ms = sent as f64 * 8.0 / self.bits_per_ms;
                if delay_ms >= MIN_PACING_DELAY_MS {
                    runtime::sleep(Duration::from_secs_f64(delay_ms / 1_000.0)).await;
                }
                sent = 0;
            }
        }
    }

    /// Sends an encoded message; returns the length of the datagram.
    async fn send_encoded(&self, now: Millis, to: SocketAddr, encoded: &Encoded) -> usize {
        let last_received = lock(&self.last_received).get(&to).copied();
        let sent = Timestamp { boot_id: self.boot_id, sent_at: now };
        let header = Header { sent, last_received };
        let bytes = match encoded.to_datagram(&self.cluster, &header) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("failed to encode a datagram header: {error}");
                return 0;
            }
        };
        // A datagram may be lost in transit as well; the recipient gets the content with the next
        // one.
        if let Err(error) = self.socket.send_to(&bytes, to).await {
            log::debug!("failed to send a datagram to {to}: {error}");
        }
        self.sent.count(encoded.get_kind(), bytes.len());
        self.count_cross_region_bytes(to, bytes.len());
        bytes.len()
    }
}
