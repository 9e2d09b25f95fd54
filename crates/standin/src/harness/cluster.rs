//! A platform, entry nodes and backend servers, each a process of its own.

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

use super::call::{ask, get};
use super::documents;
use super::process::{Process, binary};

/// The credential of the account `duty` in the group `flood`, which has the larger share.
pub const DUTY: &str = "duty-credential";
/// The credential of the account `branch` in the group `desk`.
pub const BRANCH: &str = "branch-credential";
const DATA_CENTRES: [&str; 4] = ["hall-norte", "hall-sur", "hall-oriente", "hall-occidente"];
const READY_WITHIN: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(10);

/// What to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Entry nodes.
    pub nodes: usize,
    /// Model engines.
    pub engines: usize,
    /// Plain servers of `gauge-api`, which does not de-duplicate.
    pub services: usize,
    /// Arguments of each engine.
    pub engine_arguments: Vec<String>,
    /// Lag of the VM list, in milliseconds.
    pub vm_lag_ms: u64,
    /// Settings of the nodes that go over the defaults, as JSON, by section.
    pub settings: Value,
    /// Whether nodes get the first node's address besides the VM list.
    pub seeded: bool,
    /// Lines to add to the model service, and to the end of the bundle.
    pub extra: (String, String),
    /// Requests that one engine takes at the same time.
    pub slots: u32,
    /// KV cache tokens that one engine sends in a second; 0 where it cannot.
    pub export_per_second: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            nodes: 3,
            engines: 2,
            services: 1,
            engine_arguments: Vec::new(),
            vm_lag_ms: 100,
            settings: json!({}),
            seeded: false,
            extra: Default::default(),
            slots: 16,
            export_per_second: 50_000,
        }
    }
}

/// One entry node.
#[derive(Debug)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its process.
    pub process: Process,
}

impl Entry {
    /// Returns where callers reach it.
    pub fn caller(&self) -> SocketAddr {
        self.process.address("caller")
    }

    /// Returns where operators reach it.
    pub fn operator(&self) -> SocketAddr {
        self.process.address("operator")
    }

    /// Returns where peers reach it.
    pub fn peer(&self) -> SocketAddr {
        self.process.address("peer")
    }
}

/// A platform, entry nodes and backend servers.
pub struct Cluster {
    /// The folder of settings, keys and logs.
    pub folder: TempDir,
    /// The client for calls.
    pub client: Client,
    /// The platform.
    pub platform: Process,
    /// The entry nodes.
    pub nodes: Vec<Entry>,
    /// The backend servers by name.
    pub servers: BTreeMap<String, Process>,
    plan: Plan,
}

impl Cluster {
    /// Starts everything, rolls the first bundle, and waits until all nodes know each other.
    ///
    /// # Errors
    ///
    /// Returns the system's error, or says what did not come up in time.
    pub async fn start(plan: Plan) -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        let lag = plan.vm_lag_ms.to_string();
        let arguments = strings(&["platform", "--vm-lag-ms", &lag]);
        let platform = Process::start("standin", &arguments, &folder.path().join("platform.log"))?;
        let client = Client::new(Duration::from_secs(1));
        let mut cluster =
            Self { folder, client, platform, nodes: Vec::new(), servers: BTreeMap::new(), plan };
        for number in 0..cluster.plan.engines {
            cluster.start_engine(&format!("hidro-{number}"), number).await?;
        }
        for number in 0..cluster.plan.services {
            cluster.start_service(&format!("gauge-{number}"), number).await?;
        }
        cluster.roll_version("v1")?;
        for number in 0..cluster.plan.nodes {
            cluster.start_node(&format!("entry-{number}"), number).await?;
        }
        cluster.settled().await?;
        Ok(cluster)
    }

    /// Starts one more engine, in the data centre of its number.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub async fn start_engine(&mut self, name: &str, number: usize) -> io::Result<()> {
        let export = self.plan.export_per_second.to_string();
        let slots = self.plan.slots.to_string();
        let mut arguments = strings(&["engine", "--export", &export, "--slots", &slots]);
        arguments.extend(self.plan.engine_arguments.iter().cloned());
        self.start_server(name, "hidro-llm", number, &arguments).await
    }

    /// Starts one more plain server, in the data centre of its number.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub async fn start_service(&mut self, name: &str, number: usize) -> io::Result<()> {
        self.start_server(name, "gauge-api", number, &strings(&["service"])).await
    }

    /// Starts one more node, in the data centre of its number.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub async fn start_node(&mut self, name: &str, number: usize) -> io::Result<()> {
        let settings = self.folder.path().join(format!("{name}.yaml"));
        fs::write(&settings, self.settings_of(name, number)?)?;
        let log = self.folder.path().join(format!("{name}.log"));
        let arguments = strings(&["serve", "--settings", &settings.display().to_string()]);
        let process = Process::start("keeljunction", &arguments, &log)?;
        let peer = process.address("peer");
        self.nodes.push(Entry { name: name.to_owned(), process });
        self.register(name, Role::Entry, peer, number).await;
        Ok(())
    }

    /// Returns the path of a file in the cluster's folder.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Writes, signs and rolls a version of the bundle with the operators' client.
    ///
    /// # Errors
    ///
    /// Returns the system's error, or what the client said.
    pub fn roll_version(&self, version: &str) -> io::Result<String> {
        let file = self.write_version(version)?;
        self.keeljunction(&["bundle", "roll", &file, "--platform", &self.platform_address()])
    }

    /// Writes and signs a version of the bundle, and returns its file.
    ///
    /// # Errors
    ///
    /// Returns the system's error, or what the client said.
    pub fn write_version(&self, version: &str) -> io::Result<String> {
        let file = self.path(&format!("{version}.yaml")).display().to_string();
        fs::write(&file, documents::bundle(&self.plan, version))?;
        let key = self.key_path();
        self.keeljunction(&["bundle", "key", "--key", &key])?;
        self.keeljunction(&["bundle", "sign", &file, "--key", &key])?;
        Ok(file)
    }

    /// Runs the operators' client and returns what it printed.
    ///
    /// # Errors
    ///
    /// Returns what it said where it failed.
    pub fn keeljunction(&self, arguments: &[&str]) -> io::Result<String> {
        let output = Command::new(binary("keeljunction")?).args(arguments).output()?;
        if output.status.success() {
            return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
        }
        Err(io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned()))
    }

    /// Returns where the platform is, for the operators' client.
    pub fn platform_address(&self) -> String {
        self.platform.address("address").to_string()
    }

    /// Sets a fault of the platform.
    pub async fn fault(&self, target: &str, mode: &str, ms: u64, count: Option<u32>) {
        let fault = json!({ "target": target, "mode": mode, "ms": ms, "count": count });
        ask(&self.client, self.platform.address("address"), "/faults", &fault).await;
    }

    /// Gives notice of a reclaim.
    pub async fn give_notice(&self, vm: &str, left_ms: u64) {
        let notice = json!({ "vm": vm, "left_ms": left_ms });
        ask(&self.client, self.platform.address("address"), "/notices", &notice).await;
    }

    /// Lets the VM list show that a VM leaves.
    pub async fn leave(&self, vm: &str) {
        ask(&self.client, self.platform.address("address"), "/vms/leave", &json!({ "vm": vm }))
            .await;
    }

    /// Sets a fault of a backend server.
    pub async fn server_fault(&self, server: &str, fault: &Value) {
        if let Some(server) = self.servers.get(server) {
            ask(&self.client, server.address("address"), "/faults", fault).await;
        }
    }

    /// Reads the log of what really ran on all backend servers that live, with the servers' names.
    pub async fn ran(&self) -> Vec<(String, Value)> {
        let mut ran = Vec::new();
        for (name, server) in &self.servers {
            let log = get(&self.client, server.address("address"), "/ran").await;
            let entries = log.as_ref().and_then(Value::as_array).cloned().unwrap_or_default();
            ran.extend(entries.into_iter().map(|entry| (name.clone(), entry)));
        }
        ran
    }

    /// Counts how often a request key ran.
    pub async fn ran_times(&self, key: &str) -> usize {
        self.ran().await.iter().filter(|(_, entry)| entry["key"] == key).count()
    }

    /// Reads the resident memory of each node, in megabytes.
    pub fn memory_mb(&self) -> Vec<f64> {
        let resident = self.nodes.iter().filter_map(|node| node.process.resident_kb());
        resident.map(|kb| kb as f64 / 1024.0).collect()
    }

    /// Reads a node's status.
    pub async fn status(&self, node: usize) -> Value {
        get(&self.client, self.nodes[node].operator(), "/status").await.unwrap_or_default()
    }

    /// Sums a count over all nodes that answer.
    pub async fn count(&self, name: &str) -> u64 {
        let mut sum = 0;
        for node in 0..self.nodes.len() {
            sum += self.status(node).await["counts"][name].as_u64().unwrap_or(0);
        }
        sum
    }

    /// Waits until a check on the status of each node holds; returns the time it took.
    pub async fn until(&self, time: Duration, check: impl Fn(&Value) -> bool) -> Option<Duration> {
        let started = Instant::now();
        while started.elapsed() < time {
            let mut is_met = true;
            for node in 0..self.nodes.len() {
                is_met &= check(&self.status(node).await);
            }
            if is_met {
                return Some(started.elapsed());
            }
            runtime::sleep(LOOK).await;
        }
        None
    }

    /// Waits until all nodes have a bundle and know each other and all backend servers.
    ///
    /// # Errors
    ///
    /// Says so where that takes too long.
    pub async fn settled(&self) -> io::Result<()> {
        let (nodes, servers) = (self.nodes.len(), self.servers.len());
        let is_settled = move |status: &Value| {
            let alive = status["members"]
                .as_object()
                .map_or(0, |members| members.values().filter(|state| *state == "alive").count());
            let known = status["servers"].as_object().map_or(0, serde_json::Map::len);
            status["ready"] == true && alive >= nodes && known >= servers
        };
        let settled = self.until(READY_WITHIN, is_settled).await;
        settled
            .map(|_| ())
            .ok_or_else(|| io::Error::other("the nodes did not find each other in time"))
    }

    async fn start_server(
        &mut self,
        name: &str,
        service: &str,
        number: usize,
        arguments: &[String],
    ) -> io::Result<()> {
        let log = self.folder.path().join(format!("{name}.log"));
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
        ask(&self.client, self.platform.address("address"), "/vms", &vm).await;
    }

    fn settings_of(&self, name: &str, number: usize) -> io::Result<String> {
        let key = self.keeljunction(&["bundle", "key", "--key", &self.key_path()])?;
        let mut settings = json!({
            "node": { "name": name, "data_centre": DATA_CENTRES[number % DATA_CENTRES.len()] },
            "platform": { "address": self.platform_address() },
            "trusted_keys": [key.trim()],
        });
        if let Some(first) = self.nodes.first().filter(|_| self.plan.seeded) {
            settings["seeds"] = json!([first.peer()]);
        }
        documents::settings(&self.plan, &settings)
    }

    fn key_path(&self) -> String {
        self.path("operator.key").display().to_string()
    }
}

fn strings(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}
