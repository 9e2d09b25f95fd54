//! The settings of a node: a YAML document, checked whole before anything starts.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use keeljunction_core::serving::capacity::Policy;
use keeljunction_core::serving::topology::Topology;
use keeljunction_core::{Error, ErrorKind, Millis};
use serde::Deserialize;

/// The settings of a node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the node is.
    pub node: Identity,
    /// Where it listens.
    pub listen: Listen,
    /// Peer addresses of other nodes that may live.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// What the machine allows.
    pub limits: Limits,
    /// Which region each data centre stands in.
    #[serde(default)]
    pub regions: Regions,
    /// What has to hold, in the operator's figures.
    pub bounds: Bounds,
    /// Where the platform's services are.
    pub platform: Endpoints,
    /// How many servers to order.
    #[serde(default)]
    pub capacity: CapacitySettings,
    /// What to log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Who the node is.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// The node's name, the same at each start.
    pub name: String,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// Whether all nodes start for the first time: none is listed yet.
    #[serde(default)]
    pub is_first_start: bool,
}

/// Where the node listens.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question whether the node is ready.
    pub readiness: SocketAddr,
    /// For other nodes, by TCP and UDP.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// What the machine allows.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// File descriptors of the process.
    pub descriptors: usize,
    /// Bandwidth of the VM's link, in megabits a second.
    pub link_mbps: f64,
    /// Memory of the process, in megabytes; it is killed beyond that.
    #[serde(default = "get_usual_memory_mb")]
    pub memory_mb: f64,
}

/// Which region each data centre stands in; none where there is one region only.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Regions {
    /// The region of each data centre, by name.
    pub data_centres: BTreeMap<String, String>,
    /// What requests of one region and their answers may take of its link to another one, in
    /// megabits a second over all nodes of the region.
    pub spill_mbps: f64,
    /// What all nodes of a region together may tell the other regions of themselves, in kilobits a
    /// second.
    pub control_kbps: f64,
}

impl Default for Regions {
    fn default() -> Self {
        Self {
            data_centres: BTreeMap::new(),
            spill_mbps: USUAL_SPILL_MBPS,
            control_kbps: USUAL_CONTROL_KBPS,
        }
    }
}

/// The budget for spilling where the operator gives none: two regions that spill to each other take
/// half of a link of 60 Mbit/s, and what nodes tell each other has the other half.
const USUAL_SPILL_MBPS: f64 = 15.0;

/// What regions tell each other where the operator does not say: about a hundredth of a link of
/// 60 Mbit/s, which requests need. Where it is not enough, summaries cross less often than five times
/// a second.
const USUAL_CONTROL_KBPS: f64 = 500.0;

/// What has to hold, in the operator's figures.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time from a key's removal until no machine accepts it, in milliseconds.
    pub revoke_ms: Millis,
    /// Whether keys must not be accepted after that by any machine, cut off or not.
    pub strict_revoke: bool,
    /// Time from a configuration's acknowledgement until it is in force, in milliseconds.
    pub config_apply_ms: Millis,
    /// Time from a server's notice until it gets nothing new, in milliseconds.
    pub drain_ms: Millis,
    /// Time from the signal to stop until the process is killed, in seconds.
    pub grace_s: f64,
    /// Repeats for each request, over all nodes.
    pub retry_budget_ratio: f64,
    /// Repeats in a window besides, over all nodes.
    pub budget_min_retries: f64,
    /// The window of the retry budget, in seconds.
    pub budget_window_s: f64,
    /// The length of the sliding window in which a client account's use is counted, in seconds.
    #[serde(default)]
    pub quota_window_s: f64,
    /// The fraction of a window's units that all nodes together may admit beyond a limit.
    #[serde(default)]
    pub quota_overshoot: f64,
    /// The units that all nodes together may admit in a window besides.
    #[serde(default)]
    pub quota_slack: f64,
    /// The share of a service's requests that a version may get before it is known to be good.
    #[serde(default = "get_usual_expose_share")]
    pub expose_share: f64,
    /// The requests that it may get besides, over all nodes.
    #[serde(default)]
    pub canary_slack: f64,
    /// The length of a duty lease, in milliseconds.
    pub lease_ms: Millis,
    /// The length of a window of usage, in seconds.
    pub report_window_s: f64,
    /// Time from a window's end until its report is due, in seconds.
    pub usage_late_s: f64,
}

/// Where the platform's services are.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoints {
    /// The table service.
    pub table: SocketAddr,
    /// The control calls.
    pub control: SocketAddr,
    /// Control calls a second, over all nodes.
    pub control_per_second: f64,
}

/// How many servers to order, in parts of what is needed.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CapacitySettings {
    /// The part of the need that is held in on-demand servers also on a calm day.
    pub on_demand_part: f64,
    /// Spot servers for each server that is needed.
    pub spot_part: f64,
    /// How busy servers may be on average.
    pub target_utilization: f64,
    /// How full the places of servers may be on average.
    pub target_occupancy: f64,
    /// Servers held for bursts, for each square root of the servers' worth of work.
    pub burst_servers: f64,
    /// The part of the spot servers that is counted on while no more can be had.
    pub exhausted_spot_part: f64,
}

impl Default for CapacitySettings {
    fn default() -> Self {
        let Policy {
            on_demand_part,
            spot_part,
            target_utilization,
            target_occupancy,
            burst_servers,
            exhausted_spot_part,
        } = Policy::default();
        Self {
            on_demand_part,
            spot_part,
            target_utilization,
            target_occupancy,
            burst_servers,
            exhausted_spot_part,
        }
    }
}

impl CapacitySettings {
    /// Returns the core's policy.
    pub fn get_policy(&self) -> Policy {
        let Self {
            on_demand_part,
            spot_part,
            target_utilization,
            target_occupancy,
            burst_servers,
            exhausted_spot_part,
        } = *self;
        Policy {
            on_demand_part,
            spot_part,
            target_utilization,
            target_occupancy,
            burst_servers,
            exhausted_spot_part,
        }
    }
}

/// What to log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The least level: error, warn, info, debug or trace.
    pub level: String,
    /// Lines a second of decisions that went as usual; the rest is summed up.
    pub lines_per_second: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned(), lines_per_second: 50 }
    }
}

impl Settings {
    /// Reads settings from a file and checks them whole.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::NotFound`] where the file cannot be read, and what
    /// [`parse`](Self::parse) returns.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).map_err(|error| {
            Error::new(ErrorKind::NotFound, format!("the settings cannot be read: {error}"))
                .key("--settings")
                .value(path.display().to_string())
                .tip("name a YAML file; examples/gateway.yaml shows one")
        })?;
        Self::parse(&text)
    }

    /// Reads settings from YAML and checks them whole.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Malformed`] where the text is not settings, and
    /// [`ErrorKind::InvalidValue`] with the key and what is allowed for the first value out of
    /// range.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let settings: Self = serde_saphyr::from_str(text).map_err(|error| {
            Error::new(ErrorKind::Malformed, error.to_string())
                .tip("examples/gateway.yaml shows all keys")
        })?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns the data centres by region, as this node sees them.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::InvalidValue`] where the node's own data centre is in no region.
    pub fn get_topology(&self) -> Result<Topology, Error> {
        Topology::new(&self.node.data_centre, self.regions.data_centres.clone())
    }

    fn check(&self) -> Result<(), Error> {
        if self.node.name.trim().is_empty() {
            return Err(Error::new(ErrorKind::InvalidValue, "a name is empty")
                .key("node.name")
                .value("\"\"")
                .allowed("any text")
                .tip("give each node a name of its own"));
        }
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

/// The memory of a process where the operator does not say: that of a small VM.
fn get_usual_memory_mb() -> f64 {
    256.0
}

/// The share of a canary where the operator gives none: one request in ten.
fn get_usual_expose_share() -> f64 {
    0.1
}

fn check_range(key: &str, value: f64, least: f64, most: f64) -> Result<(), Error> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(Error::new(ErrorKind::InvalidValue, "a number is out of range")
        .key(key)
        .value(value.to_string())
        .allowed(format!("{least} to {most}"))
        .tip("examples/gateway.yaml shows usual values"))
}
