//! The socket for datagrams between nodes.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_io::Async;
use keeljunction_core::Millis;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use super::message::{Encoded, Header, Message, decode};
use crate::metrics::RegionLabels;
use crate::runtime::{self, lock};

/// The most bytes that a UDP datagram over IPv4 carries.
const MAX_DATAGRAM_BYTES: usize = 65_507;
/// The pause after an error of the socket, so that a permanent one does not keep the processor busy.
const ERROR_BACKOFF: Duration = Duration::from_millis(50);
/// The part of the link that datagrams to many nodes may take.
const LINK_FRACTION: f64 = 0.4;
/// Bytes that are sent without a pause: some eight full packets.
const MAX_BURST_BYTES: usize = 12 * 1_024;
/// The shortest pause, in milliseconds; a shorter one is not worth a wake-up.
const MIN_PACING_DELAY_MS: f64 = 1.0;
/// Addresses whose last_received datagram is remembered; all are forgotten where there are more, and
/// learnt again with the next ones.
const MAX_PEERS: usize = 4_096;

/// The socket for datagrams between nodes.
///
/// Each datagram carries the time of the last_received one that its sender got from its recipient. Only
/// that shows the recipient how old its content can be at most: the datagram may have been delayed.
#[derive(Debug)]
pub struct Link {
    socket: Async<UdpSocket>,
    boot_id: u32,
    bits_per_ms: f64,
    last_received: Mutex<HashMap<SocketAddr, (u32, Millis)>>,
    /// The nodes of other regions, with their regions.
    remote_regions: Mutex<BTreeMap<SocketAddr, String>>,
    /// Bytes sent to each other region.
    cross_region_bytes_by_region: Family<RegionLabels, Counter>,
    /// Bytes sent to all other regions.
    cross_region_bytes: AtomicU64,
}

/// A datagram that came in.
#[derive(Debug)]
pub struct Received {
    /// Where it came from.
    pub from: SocketAddr,
    /// The boot_id of the sender's process, and when it sent this, on its own clock.
    pub sent: (u32, Millis),
    /// When this node sent the last_received datagram that the sender had got, on this node's clock.
    pub echoed_at: Option<Millis>,
    /// What it says.
    pub message: Message,
}

impl Link {
    /// Binds the socket, for one boot_id of the process.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn bind(address: SocketAddr, boot_id: u64, link_mbps: f64) -> io::Result<Self> {
        let socket = Async::<UdpSocket>::bind(address)?;
        let bits_per_ms = link_mbps * 1_000.0 * LINK_FRACTION;
        Ok(Self {
            socket,
            boot_id: boot_id as u32,
            bits_per_ms,
            last_received: Mutex::default(),
            remote_regions: Mutex::default(),
            cross_region_bytes_by_region: Family::default(),
            cross_region_bytes: AtomicU64::new(0),
        })
    }

    /// Sets which nodes stand in other regions.
    pub fn set_remote_regions(&self, remote_regions: BTreeMap<SocketAddr, String>) {
        *lock(&self.remote_regions) = remote_regions;
    }

    /// Notes that a node stands in another region.
    pub fn note_remote_region(&self, address: SocketAddr, region: &str) {
        lock(&self.remote_regions).entry(address).or_insert_with(|| region.to_owned());
    }

    /// Returns the region of a node, where that is another one than this node's.
    pub fn get_remote_region(&self, address: SocketAddr) -> Option<String> {
        lock(&self.remote_regions).get(&address).cloned()
    }

    /// Returns the bytes that this node has sent to other regions.
    pub fn get_cross_region_bytes(&self) -> u64 {
        self.cross_region_bytes.load(Ordering::Relaxed)
    }

    /// Returns the same by region, as a metric.
    pub fn get_cross_region_bytes_by_region(&self) -> Family<RegionLabels, Counter> {
        self.cross_region_bytes_by_region.clone()
    }

    /// Counts bytes that were sent to a node, if it stands in another region.
    fn count_cross_region_bytes(&self, to: SocketAddr, bytes: usize) {
        let Some(region) = self.get_remote_region(to) else { return };
        self.cross_region_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.cross_region_bytes_by_region
            .get_or_create(&RegionLabels { region })
            .inc_by(bytes as u64);
    }

    /// Waits for the next datagram of this format.
    pub async fn receive(&self, buffer: &mut Vec<u8>) -> Received {
        buffer.resize(MAX_DATAGRAM_BYTES, 0);
        loop {
            let received = self.socket.recv_from(buffer).await;
            let (length, from) = match received {
                Ok(received) => received,
                Err(error) => {
                    // A peer's closed port shows here; there is nothing to be done about it.
                    log::debug!("no datagram was received: {error}");
                    runtime::sleep(ERROR_BACKOFF).await;
                    continue;
                }
            };
            let Some((header, message)) = decode(&buffer[..length]) else {
                log::debug!("a datagram of {from} is of another format");
                continue;
            };
            self.remember(from, &header);
            let echoed_at = header
                .last_received
                .filter(|(boot_id, _)| *boot_id == self.boot_id)
                .map(|(_, at)| at);
            let sent = (header.boot_id, header.sent_at);
            return Received { from, sent, echoed_at, message };
        }
    }

    fn remember(&self, from: SocketAddr, header: &Header) {
        let mut last_received = lock(&self.last_received);
        if last_received.len() >= MAX_PEERS {
            last_received.clear();
        }
        let known = last_received.entry(from).or_insert((header.boot_id, header.sent_at));
        // Datagrams overtake one another; another boot_id has another clock.
        if known.0 != header.boot_id || known.1 < header.sent_at {
            *known = (header.boot_id, header.sent_at);
        }
    }

    /// Sends a message to one node.
    pub async fn send(&self, now: Millis, to: SocketAddr, message: &Message) {
        match Encoded::new(message) {
            Ok(encoded) => {
                self.send_encoded(now, to, &encoded).await;
            }
            Err(error) => log::error!("a message between nodes cannot be encoded: {error}"),
        }
    }

    /// Sends a message to many nodes, no faster than a part of the link carries: what waits in a
    /// full link's queue is dropped, and would be the same nodes' each time.
    pub async fn send_to_all(&self, now: Millis, mut to: Vec<SocketAddr>, message: &Message) {
        let encoded = match Encoded::new(message) {
            Ok(encoded) => encoded,
            Err(error) => {
                return log::error!("a message between nodes cannot be encoded: {error}");
            }
        };
        fastrand::shuffle(&mut to);
        let mut sent = 0;
        for address in to {
            sent += self.send_encoded(now, address, &encoded).await;
            if sent >= MAX_BURST_BYTES {
                let pause = sent as f64 * 8.0 / self.bits_per_ms;
                if pause >= MIN_PACING_DELAY_MS {
                    runtime::sleep(Duration::from_secs_f64(pause / 1_000.0)).await;
                }
                sent = 0;
            }
        }
    }

    /// Sends an encoded message; returns its length.
    async fn send_encoded(&self, now: Millis, to: SocketAddr, encoded: &Encoded) -> usize {
        let last_received = lock(&self.last_received).get(&to).copied();
        let header = Header { boot_id: self.boot_id, sent_at: now, last_received };
        let bytes = match encoded.with_header(&header) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("a header between nodes cannot be encoded: {error}");
                return 0;
            }
        };
        // A datagram may be lost on its way as well: whoever misses it hears the next one.
        if let Err(error) = self.socket.send_to(&bytes, to).await {
            log::debug!("a datagram to {to} was not sent: {error}");
        }
        self.count_cross_region_bytes(to, bytes.len());
        bytes.len()
    }
}
