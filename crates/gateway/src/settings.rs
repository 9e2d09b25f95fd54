//! The settings of a node: a YAML document, validated before the node starts.

use std::collections::BTreeMap;
use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use keeljunction_core::serving::capacity::Policy;
use keeljunction_core::serving::topology::Topology;
use keeljunction_core::{Error, ErrorKind, Millis};
use serde::Deserialize;

/// The settings of a node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The identity of the node.
    pub node: Identity,
    /// The addresses that it listens on.
    pub listen: Listen,
    /// Peer addresses of other nodes, used to join the cluster.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The resource limits of the machine.
    pub limits: Limits,
    /// The regions and their data centres.
    #[serde(default)]
    pub regions: Regions,
    /// The bounds that the operator requires.
    pub bounds: Bounds,
    /// The addresses of the platform's services.
    pub platform: Endpoints,
    /// The capacity policy.
    #[serde(default)]
    pub capacity: Policy,
    /// The log settings.
    #[serde(default)]
    pub log: LogSettings,
}

/// The identity of a node.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// The node's name, which is the same at each start.
    pub name: String,
    /// The name of the cluster, the same at all of its nodes. A node ignores nodes of other clusters,
    /// which may have been given the address of a former node of this one.
    #[serde(default)]
    pub cluster: String,
    /// The data centre that it runs in.
    pub data_centre: String,
    /// The address from which it connects to servers and other nodes, on a machine with several;
    /// chosen by the system if omitted.
    #[serde(default)]
    pub source_address: Option<IpAddr>,
    /// Whether the whole cluster starts for the first time, so that no node is listed yet.
    #[serde(default)]
    pub is_first_start: bool,
}

/// The addresses that a node listens on.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For readiness checks by the load balancer.
    pub readiness: SocketAddr,
    /// For other nodes, over TCP and UDP.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// The resource limits of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of file descriptors of the process.
    pub descriptors: usize,
    /// Bandwidth of the VM's link, in megabits per second.
    pub link_mbps: f64,
    /// Memory limit of the process, in megabytes; beyond it, the process is killed.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
}

/// The regions and their data centres; empty if there is only one region.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Regions {
    /// The region of each data centre, by the data centre's name.
    pub data_centres: BTreeMap<String, String>,
    /// Bandwidth that requests from one region and their responses may use on its link to another
    /// region, in megabits per second over all nodes of the region.
    pub spill_mbps: f64,
    /// Bandwidth of control traffic to the other regions, in kilobits per second over all nodes of a
    /// region.
    pub control_kbps: f64,
}

impl Default for Regions {
    fn default() -> Self {
        Self {
            data_centres: BTreeMap::new(),
            spill_mbps: DEFAULT_SPILL_MBPS,
            control_kbps: DEFAULT_CONTROL_KBPS,
        }
    }
}

/// Maximum length of a cluster's name.
const MAX_CLUSTER_NAME_BYTES: usize = 64;

/// Default bandwidth for spilled requests: two regions that spill to each other use half of a
/// 60 Mbit/s link, which leaves the other half for the traffic between nodes.
const DEFAULT_SPILL_MBPS: f64 = 15.0;

/// Default bandwidth for control traffic between regions: about a hundredth of a 60 Mbit/s link.
/// The rest is for requests. If it does not suffice, summaries are sent less often than five
/// times per second.
const DEFAULT_CONTROL_KBPS: f64 = 500.0;

/// The bounds that the operator requires.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time from the removal of an API key until no machine accepts it, in milliseconds.
    pub revoke_ms: Millis,
    /// Whether `revoke_ms` must also hold on machines that are partitioned.
    pub strict_revoke: bool,
    /// Time from the acknowledgement of a configuration until it is in force, in milliseconds.
    pub config_apply_ms: Millis,
    /// Time from a server's departure notice until it gets no new requests, in milliseconds.
    pub drain_ms: Millis,
    /// Time from the stop signal until the process is killed, in seconds.
    pub grace_s: f64,
    /// Retries per request, over all nodes.
    pub retry_budget_ratio: f64,
    /// Additional retries per window, over all nodes.
    pub budget_min_retries: f64,
    /// The window of the retry budget, in seconds.
    pub budget_window_s: f64,
    /// The sliding window in which the usage of a client account is counted, in seconds.
    #[serde(default)]
    pub quota_window_s: f64,
    /// The fraction of a window's quota by which all nodes together may exceed it.
    #[serde(default)]
    pub quota_overshoot: f64,
    /// Additional units per window by which all nodes together may exceed a quota.
    #[serde(default)]
    pub quota_slack: f64,
    /// The share of a service's requests that a new version may get before it is accepted.
    #[serde(default = "default_expose_share")]
    pub expose_share: f64,
    /// Additional requests that a new version may get, over all nodes.
    #[serde(default)]
    pub canary_slack: f64,
    /// The duration of the duty lease, in milliseconds.
    pub lease_ms: Millis,
    /// The length of a usage window, in seconds.
    pub report_window_s: f64,
    /// Time from the end of a usage window until its report is due, in seconds.
    pub usage_late_s: f64,
}

/// The addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoints {
    /// The table service.
    pub table: SocketAddr,
    /// The control service.
    pub control: SocketAddr,
    /// Control calls per second, over all nodes.
    pub control_per_second: f64,
}

/// The log settings.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The minimum level: error, warn, info, debug or trace.
    pub level: String,
    /// Limit of routine lines per second; the rest is counted in a summary.
    pub lines_per_second: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned(), lines_per_second: 50 }
    }
}

impl Settings {
    /// Reads settings from a file and validates them.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::NotFound`] if the file cannot be read, and any error of
    /// [`parse`](Self::parse).
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).map_err(|error| {
            Error::new(ErrorKind::NotFound, format!("cannot read the settings: {error}"))
                .key("--settings")
                .value(path.display().to_string())
                .tip("pass the path of a YAML file; see examples/gateway.yaml")
        })?;
        Self::parse(&text)
    }

    /// Parses settings from YAML and validates them.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Malformed`] if the text cannot be parsed, and
    /// [`ErrorKind::InvalidValue`] with the key and the allowed range for the first value out of
    /// range.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let settings: Self = serde_saphyr::from_str(text).map_err(|error| {
            Error::new(ErrorKind::Malformed, error.to_string())
                .tip("see examples/gateway.yaml for all keys")
        })?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns the topology of regions and data centres, as seen by this node.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::InvalidValue`] if the node's own data centre is in no region.
    pub fn get_topology(&self) -> Result<Topology, Error> {
        Topology::new(&self.node.data_centre, self.regions.data_centres.clone())
    }

    fn check(&self) -> Result<(), Error> {
        if self.node.name.trim().is_empty() {
            return Err(Error::new(ErrorKind::InvalidValue, "the value is empty")
                .key("node.name")
                .value("\"\"")
                .allowed("a non-empty string")
                .tip("give each node a unique name"));
        }
        check_cluster(&self.node.cluster)?;
        let bounds = &self.bounds;
        check_range("limits.descriptors", self.limits.descriptors as f64, 300.0, 1e7)?;
        check_range("limits.link_mbps", self.limits.link_mbps, 0.1, 1e7)?;
        check_range("limits.memory_mb", self.limits.memory_mb, 32.0, 1e6)?;
        self.get_topology()?;
        check_range("regions.spill_mbps", self.regions.spill_mbps, 0.0, 1e6)?;
        check_range("regions.control_kbps", self.regions.control_kbps, 32.0, 1e7)?;
        check_range("bounds.revoke_ms", bounds.revoke_ms as f64, 100.0, 3.6e6)?;
        check_range("bounds.config_apply_ms", bounds.config_apply_ms as f64, 100.0, 3.6e6)?;
        check_range("bounds.drain_ms", bounds.drain_ms as f64, 100.0, 3.6e6)?;
        check_range("bounds.grace_s", bounds.grace_s, 0.5, 3_600.0)?;
        check_range("bounds.retry_budget_ratio", bounds.retry_budget_ratio, 0.0, 1.0)?;
        check_range("bounds.budget_min_retries", bounds.budget_min_retries, 0.0, 1e6)?;
        check_range("bounds.budget_window_s", bounds.budget_window_s, 0.1, 3_600.0)?;
        check_range("bounds.lease_ms", bounds.lease_ms as f64, 300.0, 600_000.0)?;
        check_range("bounds.report_window_s", bounds.report_window_s, 0.5, 3_600.0)?;
        check_range("bounds.usage_late_s", bounds.usage_late_s, 0.5, 3_600.0)?;
        check_range("bounds.quota_window_s", bounds.quota_window_s, 0.0, 3_600.0)?;
        check_range("bounds.quota_overshoot", bounds.quota_overshoot, 0.0, 10.0)?;
        check_range("bounds.quota_slack", bounds.quota_slack, 0.0, 1e12)?;
        check_range("bounds.expose_share", bounds.expose_share, 0.0, 1.0)?;
        check_range("bounds.canary_slack", bounds.canary_slack, 0.0, 1e6)?;
        let capacity = &self.capacity;
        check_range("capacity.on_demand_part", capacity.on_demand_part, 0.0, 1.0)?;
        check_range("capacity.spot_part", capacity.spot_part, 0.0, 10.0)?;
        check_range("capacity.target_utilization", capacity.target_utilization, 0.01, 1.0)?;
        check_range("capacity.target_occupancy", capacity.target_occupancy, 0.01, 1.0)?;
        check_range("capacity.burst_servers", capacity.burst_servers, 0.0, 10.0)?;
        check_range("capacity.exhausted_spot_part", capacity.exhausted_spot_part, 0.0, 1.0)
    }
}

/// Default memory limit, in megabytes: the memory of a small VM.
fn default_memory_mb() -> f64 {
    256.0
}

/// Default share of requests for a canary: one in ten.
fn default_expose_share() -> f64 {
    0.1
}

/// Checks that the name of a cluster can be part of a header.
fn check_cluster(name: &str) -> Result<(), Error> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.len() <= MAX_CLUSTER_NAME_BYTES && name.bytes().all(is_allowed) {
        return Ok(());
    }
    Err(Error::new(ErrorKind::InvalidValue, "the name is too long or has other characters")
        .key("node.cluster")
        .value(name)
        .allowed(format!("at most {MAX_CLUSTER_NAME_BYTES} letters, digits, '-', '_' and '.'"))
        .tip("use one name for all nodes that share a table service"))
}

fn check_range(key: &str, value: f64, min: f64, max: f64) -> Result<(), Error> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(Error::new(ErrorKind::InvalidValue, "the value is out of range")
        .key(key)
        .value(value.to_string())
        .allowed(format!("{min} to {max}"))
        .tip("see examples/gateway.yaml for typical values"))
}
