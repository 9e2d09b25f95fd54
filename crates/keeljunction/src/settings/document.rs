//! What the settings say. Each key with a time has its unit in its name.

use std::net::SocketAddr;

use keeljunction_core::route::Policy;
use serde::{Deserialize, Serialize};

/// The settings of one node.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the node is.
    pub node: Node,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform is.
    pub platform: Platform,
    /// The credential that nodes show each other; at least 16 characters.
    pub peer_credential: String,
    /// The operators' ed25519 public keys, in hex.
    pub trusted_keys: Vec<String>,
    /// Peer addresses of nodes to ask first, besides those that the VM list gives.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Bounds on what callers may ask.
    #[serde(default)]
    pub limits: Limits,
    /// How nodes watch each other.
    #[serde(default)]
    pub membership: Membership,
    /// How backend servers are chosen.
    #[serde(default)]
    pub routing: Routing,
    /// Other times.
    #[serde(default)]
    pub times: Times,
    /// Where metrics go by statsd over UDP, as `IP:port`; none are sent without it.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// The least level that is logged: error, warn, info, debug or trace.
    #[serde(default = "default_level")]
    pub log_level: String,
    /// Threads that run tasks.
    #[serde(default = "default_threads")]
    pub threads: usize,
}

/// Who a node is.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// The name of its VM.
    pub name: String,
    /// The data centre that it stands in.
    pub data_centre: String,
}

/// Where a node listens. Port 0 takes any free port; the log shows which.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers, by HTTP/1.1.
    pub caller: SocketAddr,
    /// For other nodes. It belongs on a private network.
    pub peer: SocketAddr,
    /// For health checks and operators. It belongs on a private network.
    pub operator: SocketAddr,
}

/// Where the platform is and how much of it this node may use.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Calls to the table service and object store in a second.
    #[serde(default = "default_calls")]
    pub calls_per_second: u32,
    /// Time for one call, in milliseconds.
    #[serde(default = "default_call_ms")]
    pub call_ms: u64,
}

/// Bounds on what callers may ask.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Caller connections at the same time.
    pub connections: usize,
    /// Requests in flight, all together.
    pub requests: usize,
    /// Requests in flight of one client account.
    pub requests_per_account: usize,
    /// Bytes of records held for other nodes.
    pub record_bytes: usize,
    /// Time for a caller to take a piece of its answer before it is cut off, in milliseconds.
    pub write_ms: u64,
    /// Time between two signs of life from a backend server, in milliseconds.
    pub idle_ms: u64,
}

/// How nodes watch each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Membership {
    /// Time between two probes, in milliseconds.
    pub probe_ms: u64,
    /// Time for a probe to be answered, in milliseconds.
    pub answer_ms: u64,
    /// Time for a suspect to refute, in milliseconds.
    pub suspicion_ms: u64,
    /// Other nodes to ask about one that did not answer.
    pub helpers: usize,
}

/// How backend servers are chosen.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Routing {
    /// Whether shard owners give grants; otherwise each node decides alone.
    pub owners: bool,
    /// How a server is chosen: `expected`, or the baselines `two_choices` and `round_robin`.
    pub policy: Policy,
    /// Time between two load reports, in milliseconds.
    pub report_ms: u64,
    /// Retries allowed, in thousandths of the first tries.
    pub retry_per_mille: u64,
    /// Retries allowed at once.
    pub retry_burst: u64,
}

/// Other times, in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Times {
    /// Between two reads of the roll by the nodes that watch it.
    pub roll_poll_ms: u64,
    /// Between two reads of the VM list and the notices.
    pub vm_poll_ms: u64,
    /// After a stop signal: how long new requests are still taken, until the balancer has seen it.
    pub stop_grace_ms: u64,
    /// After a stop signal: how long requests in flight may take before they are handed over.
    pub stop_ms: u64,
    /// Between two copies of the tokens so far to the holder of a request's record.
    pub progress_ms: u64,
    /// How long an answer is kept for a caller that comes back.
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
