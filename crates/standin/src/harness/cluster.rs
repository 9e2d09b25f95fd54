//! A test cluster: the platform, entry nodes and backend servers, each in a separate process.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

use keeljunction::http::Client;
use keeljunction::platform::{Role, Vm, VmState};
use keeljunction::runtime;
use serde_json::{Value, json};
use tempfile::TempDir;

use super::call::{get_json, post_json};
use super::documents;
use super::process::{Process, binary};

/// The credential of the client account `duty` in the group `flood`, which has the larger weight.
pub const DUTY_CREDENTIAL: &str = "duty-credential";
/// The credential of the client account `branch` in the group `desk`.
pub const BRANCH_CREDENTIAL: &str = "branch-credential";
const DATA_CENTRES: [&str; 4] = ["hall-norte", "hall-sur", "hall-oriente", "hall-occidente"];
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The processes to start and their settings.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Number of entry nodes.
    pub nodes: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of servers of the plain service `gauge-api`, which does not deduplicate requests.
    pub services: usize,
    /// Additional command-line arguments of each engine.
    pub engine_arguments: Vec<String>,
    /// Propagation delay of the VM list, in milliseconds.
    pub vm_lag_ms: u64,
    /// Node settings that override the defaults, as JSON by section.
    pub settings: Value,
    /// Whether nodes get the first node's address as a seed, in addition to the VM list.
    pub uses_seed_address: bool,
    /// YAML to append to the model service and to the end of the bundle.
    pub extra_yaml: (String, String),
    /// Concurrent requests per engine.
    pub slots: u32,
    /// KV cache tokens that an engine exports per second; 0 disables export.
    pub export_tokens_per_second: u64,
}

impl Default for ClusterConfig {
    fn default() -> Self {
        Self {
            nodes: 3,
            engines: 2,
            services: 1,
            engine_arguments: Vec::new(),
            vm_lag_ms: 100,
            settings: json!({}),
            uses_seed_address: false,
            extra_yaml: Default::default(),
            slots: 16,
            export_tokens_per_second: 50_000,
        }
    }
}

/// An entry node.
#[derive(Debug)]
pub struct EntryNode {
    /// The name of the node.
    pub name: String,
    /// The process of the node.
    pub process: Process,
}

impl EntryNode {
    /// Returns the address for client requests.
    pub fn get_client_address(&self) -> SocketAddr {
        self.process.address("caller")
    }

    /// Returns the address for operators.
    pub fn get_operator_address(&self) -> SocketAddr {
        self.process.address("operator")
    }

    /// Returns the address for other nodes.
    pub fn get_peer_address(&self) -> SocketAddr {
        self.process.address("peer")
    }
}

/// A running cluster of a platform, entry nodes and backend servers.
pub struct Cluster {
    /// The directory of settings, keys and logs.
    pub directory: TempDir,
    /// The HTTP client for requests to the cluster.
    pub client: Client,
    /// The platform process.
    pub platform: Process,
    /// The entry nodes.
    pub nodes: Vec<EntryNode>,
    /// The backend server processes by name.
    pub servers: BTreeMap<String, Process>,
    config: ClusterConfig,
}

impl Cluster {
    /// Starts all processes, rolls out the first bundle and waits until the nodes are ready.
    ///
    /// # Errors
    ///
    /// Returns an I/O error, or an error if the nodes are not ready within the timeout.
    pub async fn start(config: ClusterConfig) -> io::Result<Self> {
        let directory = tempfile::tempdir()?;
        let lag = config.vm_lag_ms.to_string();
        let arguments = to_strings(&["platform", "--vm-lag-ms", &lag]);
        let platform =
            Process::start("standin", &arguments, &directory.path().join("platform.log"))?;
        let client = Client::new(Duration::from_secs(1));
        let mut cluster = Self {
            directory,
            client,
            platform,
            nodes: Vec::new(),
            servers: BTreeMap::new(),
            config,
        };
        for number in 0..cluster.config.engines {
            cluster.start_engine(&format!("hidro-{number}"), number).await?;
        }
        for number in 0..cluster.config.services {
            cluster.start_service(&format!("gauge-{number}"), number).await?;
        }
        cluster.roll_version("v1")?;
        for number in 0..cluster.config.nodes {
            cluster.start_node(&format!("entry-{number}"), number).await?;
        }
        cluster.wait_until_ready().await?;
        Ok(cluster)
    }

    /// Starts an engine; `number` selects its data centre.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the process cannot be started.
    pub async fn start_engine(&mut self, name: &str, number: usize) -> io::Result<()> {
        let export = self.config.export_tokens_per_second.to_string();
        let slots = self.config.slots.to_string();
        let mut arguments = to_strings(&["engine", "--export", &export, "--slots", &slots]);
        arguments.extend(self.config.engine_arguments.iter().cloned());
        self.start_server(name, "hidro-llm", number, &arguments).await
    }

    /// Starts a server of the plain service; `number` selects its data centre.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the process cannot be started.
    pub async fn start_service(&mut self, name: &str, number: usize) -> io::Result<()> {
        self.start_server(name, "gauge-api", number, &to_strings(&["service"])).await
    }

    /// Starts an entry node; `number` selects its data centre.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the process cannot be started.
    pub async fn start_node(&mut self, name: &str, number: usize) -> io::Result<()> {
        let settings = self.directory.path().join(format!("{name}.yaml"));
        fs::write(&settings, self.build_settings(name, number)?)?;
        let log = self.directory.path().join(format!("{name}.log"));
        let arguments = to_strings(&["serve", "--settings", &settings.display().to_string()]);
        let process = Process::start("keeljunction", &arguments, &log)?;
        let peer = process.address("peer");
        self.nodes.push(EntryNode { name: name.to_owned(), process });
        self.register(name, Role::Entry, peer, number).await;
        Ok(())
    }

    /// Returns the path of a file in the cluster's directory.
    pub fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    /// Writes, signs and rolls out a bundle version with the `keeljunction` command-line client.
    ///
    /// # Errors
    ///
    /// Returns an I/O error, or the error output of the command-line client.
    pub fn roll_version(&self, version: &str) -> io::Result<String> {
        let file = self.write_version(version)?;
        self.run_cli(&["bundle", "roll", &file, "--platform", &self.get_platform_address()])
    }

    /// Writes and signs a bundle version and returns the path of its file.
    ///
    /// # Errors
    ///
    /// Returns an I/O error, or the error output of the command-line client.
    pub fn write_version(&self, version: &str) -> io::Result<String> {
        let file = self.path(&format!("{version}.yaml")).display().to_string();
        fs::write(&file, documents::bundle(&self.config, version))?;
        let key = self.get_key_path();
        self.run_cli(&["bundle", "key", "--key", &key])?;
        self.run_cli(&["bundle", "sign", &file, "--key", &key])?;
        Ok(file)
    }

    /// Runs the `keeljunction` command-line client and returns its standard output.
    ///
    /// # Errors
    ///
    /// Returns the error output of the client if it fails.
    pub fn run_cli(&self, arguments: &[&str]) -> io::Result<String> {
        let output = Command::new(binary("keeljunction")?).args(arguments).output()?;
        if output.status.success() {
            return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
        }
        Err(io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned()))
    }

    /// Returns the address of the platform, for the command-line client.
    pub fn get_platform_address(&self) -> String {
        self.platform.address("address").to_string()
    }

    /// Sets a scripted fault in the platform.
    pub async fn set_platform_fault(&self, target: &str, mode: &str, ms: u64, count: Option<u32>) {
        let fault = json!({ "target": target, "mode": mode, "ms": ms, "count": count });
        post_json(&self.client, self.platform.address("address"), "/faults", &fault).await;
    }

    /// Issues a reclaim notice for a VM.
    pub async fn give_notice(&self, vm: &str, left_ms: u64) {
        let notice = json!({ "vm": vm, "left_ms": left_ms });
        post_json(&self.client, self.platform.address("address"), "/notices", &notice).await;
    }

    /// Marks a VM as leaving in the VM list.
    pub async fn mark_leaving(&self, vm: &str) {
        post_json(
            &self.client,
            self.platform.address("address"),
            "/vms/leave",
            &json!({ "vm": vm }),
        )
        .await;
    }

    /// Sets a scripted fault in a backend server.
    pub async fn set_server_fault(&self, server: &str, fault: &Value) {
        if let Some(server) = self.servers.get(server) {
            post_json(&self.client, server.address("address"), "/faults", fault).await;
        }
    }

    /// Returns the execution log of every reachable backend server, with the server's name.
    pub async fn get_executions(&self) -> Vec<(String, Value)> {
        let mut executions = Vec::new();
        for (name, server) in &self.servers {
            let log = get_json(&self.client, server.address("address"), "/ran").await;
            let entries = log.as_ref().and_then(Value::as_array).cloned().unwrap_or_default();
            executions.extend(entries.into_iter().map(|entry| (name.clone(), entry)));
        }
        executions
    }

    /// Counts how often the backend servers ran a request key.
    pub async fn count_executions(&self, key: &str) -> usize {
        self.get_executions().await.iter().filter(|(_, entry)| entry["key"] == key).count()
    }

    /// Returns the resident memory of each node, in megabytes.
    pub fn get_memory_mb(&self) -> Vec<f64> {
        let resident = self.nodes.iter().filter_map(|node| node.process.get_resident_kb());
        resident.map(|kb| kb as f64 / 1024.0).collect()
    }

    /// Fetches the status of a node.
    pub async fn status(&self, node: usize) -> Value {
        get_json(&self.client, self.nodes[node].get_operator_address(), "/status")
            .await
            .unwrap_or_default()
    }

    /// Returns the sum of a counter over all reachable nodes.
    pub async fn sum_counter(&self, name: &str) -> u64 {
        let mut sum = 0;
        for node in 0..self.nodes.len() {
            sum += self.status(node).await["counts"][name].as_u64().unwrap_or(0);
        }
        sum
    }

    /// Waits until `check` holds for the status of every node.
    ///
    /// Returns the time that passed, or `None` after `timeout`.
    pub async fn wait_for_status(
        &self,
        timeout: Duration,
        check: impl Fn(&Value) -> bool,
    ) -> Option<Duration> {
        let started = Instant::now();
        while started.elapsed() < timeout {
            let mut is_met = true;
            for node in 0..self.nodes.len() {
                is_met &= check(&self.status(node).await);
            }
            if is_met {
                return Some(started.elapsed());
            }
            runtime::sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Waits until each node is ready and knows all other nodes and all backend servers.
    ///
    /// # Errors
    ///
    /// Returns an error if this takes longer than the timeout.
    pub async fn wait_until_ready(&self) -> io::Result<()> {
        let (nodes, servers) = (self.nodes.len(), self.servers.len());
        let is_ready = move |status: &Value| {
            let alive = status["members"]
                .as_object()
                .map_or(0, |members| members.values().filter(|state| *state == "alive").count());
            let known = status["servers"].as_object().map_or(0, serde_json::Map::len);
            status["ready"] == true && alive >= nodes && known >= servers
        };
        let elapsed = self.wait_for_status(READY_TIMEOUT, is_ready).await;
        elapsed
            .map(|_| ())
            .ok_or_else(|| io::Error::other("the nodes were not ready within the timeout"))
    }

    async fn start_server(
        &mut self,
        name: &str,
        service: &str,
        number: usize,
        arguments: &[String],
    ) -> io::Result<()> {
        let log = self.directory.path().join(format!("{name}.log"));
        let process = Process::start("standin", arguments, &log)?;
        let address = process.address("address");
        self.servers.insert(name.to_owned(), process);
        self.register(name, Role::Server(service.to_owned()), address, number).await;
        Ok(())
    }

    async fn register(&self, name: &str, role: Role, address: SocketAddr, number: usize) {
        let vm = Vm {
            name: name.to_owned(),
            role,
            address: address.to_string(),
            data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].to_owned(),
            state: VmState::Live,
        };
        let vm = serde_json::to_value(vm).unwrap_or_default();
        post_json(&self.client, self.platform.address("address"), "/vms", &vm).await;
    }

    fn build_settings(&self, name: &str, number: usize) -> io::Result<String> {
        let key = self.run_cli(&["bundle", "key", "--key", &self.get_key_path()])?;
        let mut settings = json!({
            "node": { "name": name, "data_centre": DATA_CENTRES[number % DATA_CENTRES.len()] },
            "platform": { "address": self.get_platform_address() },
            "trusted_keys": [key.trim()],
        });
        if let Some(first) = self.nodes.first().filter(|_| self.config.uses_seed_address) {
            settings["seeds"] = json!([first.get_peer_address()]);
        }
        documents::settings(&self.config, &settings)
    }

    fn get_key_path(&self) -> String {
        self.path("operator.key").display().to_string()
    }
}

fn to_strings(arguments: &[&str]) -> Vec<String> {
    arguments.iter().map(|argument| (*argument).to_owned()).collect()
}
