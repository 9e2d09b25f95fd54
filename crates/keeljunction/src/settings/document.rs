//! The settings document. Each key that holds a time has the unit in its name.

use std::net::SocketAddr;

use keeljunction_core::route::Policy;
use serde::{Deserialize, Serialize};

/// The settings of one node.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The identity of the node.
    pub node: Node,
    /// The addresses that the node listens on.
    pub listen: Listen,
    /// The connection to the platform.
    pub platform: Platform,
    /// The shared credential of all nodes, with at least 16 characters.
    pub peer_credential: String,
    /// The ed25519 public keys of the operators, in hex.
    pub trusted_keys: Vec<String>,
    /// Peer addresses of seed nodes, in addition to the nodes in the VM list.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Limits on client requests.
    #[serde(default)]
    pub limits: Limits,
    /// Failure detection between nodes.
    #[serde(default)]
    pub membership: Membership,
    /// Selection of backend servers.
    #[serde(default)]
    pub routing: Routing,
    /// Other intervals and timeouts.
    #[serde(default)]
    pub times: Times,
    /// The address for statsd metrics over UDP, as `IP:port`. Without it no metrics are sent.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// The minimum log level: error, warn, info, debug or trace.
    #[serde(default = "default_level")]
    pub log_level: String,
    /// The number of threads that run tasks.
    #[serde(default = "default_threads")]
    pub threads: usize,
}

/// The identity of a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// The name of the node's VM.
    pub name: String,
    /// The data centre of the VM.
    pub data_centre: String,
}

/// The addresses that a node listens on. Port 0 selects a free port, which is logged at startup.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// The address for clients, over HTTP/1.1.
    pub caller: SocketAddr,
    /// The address for peers. Use a private network.
    pub peer: SocketAddr,
    /// The address for health checks and operators. Use a private network.
    pub operator: SocketAddr,
}

/// The connection to the platform, and its rate limit.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The address of the platform.
    pub address: SocketAddr,
    /// The maximum number of calls to the platform per second.
    #[serde(default = "default_calls")]
    pub calls_per_second: u32,
    /// The timeout of one call, in milliseconds.
    #[serde(default = "default_call_ms")]
    pub call_ms: u64,
}

/// Limits on client requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The maximum size of a request header, in bytes.
    pub head_bytes: usize,
    /// The maximum number of concurrent client connections.
    pub connections: usize,
    /// The maximum number of requests in flight.
    pub requests: usize,
    /// The maximum number of requests in flight per client account.
    pub requests_per_account: usize,
    /// The maximum size of all records held for other nodes, in bytes.
    pub record_bytes: usize,
    /// Time for a client to read a chunk of its response before it is disconnected, in milliseconds.
    pub write_ms: u64,
    /// The maximum time without data from a backend server, in milliseconds.
    pub idle_ms: u64,
}

/// Failure detection between nodes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Membership {
    /// The interval between probes, in milliseconds.
    pub probe_ms: u64,
    /// The timeout of a probe, in milliseconds.
    pub answer_ms: u64,
    /// Time for a suspected node to refute the suspicion, in milliseconds.
    pub suspicion_ms: u64,
    /// The number of nodes that probe a node indirectly after it did not respond.
    pub helpers: usize,
}

/// Selection of backend servers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Routing {
    /// Whether shard owners issue grants. Otherwise each node grants servers itself.
    pub owners: bool,
    /// The selection policy: `expected`, or the baselines `two_choices` and `round_robin`.
    pub policy: Policy,
    /// The interval between load reports, in milliseconds.
    pub report_ms: u64,
    /// The retry budget, in thousandths of the first attempts.
    pub retry_per_mille: u64,
    /// The number of retries allowed per budget window in addition to `retry_per_mille`.
    pub retry_burst: u64,
}

/// Other intervals and timeouts, in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Times {
    /// The interval between reads of the roll, on the nodes that read it at the full rate.
    pub roll_poll_ms: u64,
    /// The interval between reads of the VM list and the notices.
    pub vm_poll_ms: u64,
    /// Time after a stop signal in which new requests are still accepted, until the load balancer
    /// has noticed.
    pub stop_grace_ms: u64,
    /// Time after a stop signal until requests in flight are handed over.
    pub stop_ms: u64,
    /// The interval between copies of new tokens to the holder of a request's record.
    pub progress_ms: u64,
    /// Time for which an answer is kept for a client that reconnects.
    pub keep_answer_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            head_bytes: 32 << 10,
            connections: 4_096,
            requests: 4_096,
            requests_per_account: 1_024,
            record_bytes: 16 << 20,
            write_ms: 15_000,
            idle_ms: 10_000,
        }
    }
}

impl Default for Membership {
    fn default() -> Self {
        Self { probe_ms: 500, answer_ms: 250, suspicion_ms: 1_500, helpers: 2 }
    }
}

impl Default for Routing {
    fn default() -> Self {
        Self {
            owners: true,
            policy: Policy::Expected,
            report_ms: 250,
            retry_per_mille: 100,
            retry_burst: 10,
        }
    }
}

impl Default for Times {
    fn default() -> Self {
        Self {
            roll_poll_ms: 1_000,
            vm_poll_ms: 1_000,
            stop_grace_ms: 1_000,
            stop_ms: 600_000,
            progress_ms: 2_000,
            keep_answer_ms: 120_000,
        }
    }
}

fn default_level() -> String {
    "info".to_owned()
}

fn default_threads() -> usize {
    2
}

fn default_calls() -> u32 {
    100
}

fn default_call_ms() -> u64 {
    1_000
}
