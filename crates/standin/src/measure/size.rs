//! Control overhead of a node and propagation time of a roll, at several cluster sizes.

use std::io;
use std::path::Path;
use std::time::Duration;

use keeljunction::runtime;
use serde_json::json;

use super::plot::{self, Line};
use super::spread::Spread;
use crate::harness::{Cluster, ClusterConfig, get_json};

const CLUSTER_SIZES: [usize; 5] = [4, 8, 16, 32, 64];
const ROLLS_PER_SIZE: usize = 3;
const SAMPLE_PERIOD: Duration = Duration::from_secs(6);
const SETTLE_PERIOD: Duration = Duration::from_secs(4);
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the benchmark, prints a table and writes a plot.
pub(super) async fn run(directory: &Path) -> io::Result<()> {
    println!(
        "default settings, no requests, {} s each; median (min to max) over the nodes",
        SAMPLE_PERIOD.as_secs()
    );
    println!(
        "| nodes | CPU, % of a core | memory, MB | sent to peers, KB/s | received, KB/s | platform calls per second, all nodes | roll in force on all nodes, ms |"
    );
    println!("|---|---|---|---|---|---|---|");
    let (mut cpu_points, mut byte_points, mut propagation_points) =
        (Vec::new(), Vec::new(), Vec::new());
    for size in CLUSTER_SIZES {
        let settings = json!({
            "membership": { "probe_ms": 500, "answer_ms": 250, "suspicion_ms": 1500 },
            "times": { "roll_poll_ms": 1000, "vm_poll_ms": 1000 },
            "platform": { "calls_per_second": 100 },
        });
        let plan = ClusterConfig {
            nodes: size,
            engines: 4,
            services: 0,
            settings,
            ..ClusterConfig::default()
        };
        let cluster = Cluster::start(plan).await?;
        runtime::sleep(SETTLE_PERIOD).await;
        let calls_before = get_call_count(&cluster).await;
        let (cpu, sent, received) = sample(&cluster).await;
        let calls_per_second =
            (get_call_count(&cluster).await - calls_before) as f64 / SAMPLE_PERIOD.as_secs_f64();
        let memory = cluster.get_memory_mb();
        let propagation = Spread::of(&measure_rolls(&cluster).await?);
        let (cpu, sent, received) = (Spread::of(&cpu), Spread::of(&sent), Spread::of(&received));
        println!(
            "| {size} | {cpu} | {} | {sent} | {received} | {calls_per_second:.0} | {propagation} |",
            Spread::of(&memory)
        );
        cpu_points.push((size as f64, cpu.median));
        byte_points.push((size as f64, sent.median));
        propagation_points.push((size as f64, propagation.median / 1000.0));
    }
    let lines = [
        Line { name: "CPU, % of a core".to_owned(), points: cpu_points },
        Line { name: "sent to peers, KB/s".to_owned(), points: byte_points },
        Line { name: "roll in force on all nodes, s".to_owned(), points: propagation_points },
    ];
    plot::write(
        &directory.join("size.svg"),
        "Control overhead of one node, without requests",
        ("nodes", ""),
        &lines,
    )
}

/// Returns the number of calls that the platform has received.
async fn get_call_count(cluster: &Cluster) -> u64 {
    let response = get_json(&cluster.client, cluster.platform.address("address"), "/calls").await;
    response.and_then(|response| response["calls"].as_u64()).unwrap_or(0)
}

/// Samples all nodes over a period.
///
/// Returns CPU usage in percent, and KB sent and received per second.
async fn sample(cluster: &Cluster) -> (Vec<f64>, Vec<f64>, Vec<f64>) {
    let before = read_counters(cluster).await;
    runtime::sleep(SAMPLE_PERIOD).await;
    let after = read_counters(cluster).await;
    let seconds = SAMPLE_PERIOD.as_secs_f64();
    let (mut cpu, mut sent, mut received) = (Vec::new(), Vec::new(), Vec::new());
    for (before, after) in before.iter().zip(&after) {
        cpu.push((after.0 - before.0) as f64 / 10.0 / seconds);
        sent.push((after.1 - before.1) as f64 / 1024.0 / seconds);
        received.push((after.2 - before.2) as f64 / 1024.0 / seconds);
    }
    (cpu, sent, received)
}

async fn read_counters(cluster: &Cluster) -> Vec<(u64, u64, u64)> {
    let mut counters = Vec::new();
    for node in 0..cluster.nodes.len() {
        let bytes = cluster.status(node).await["peer_bytes"].clone();
        let cpu = cluster.nodes[node].process.get_cpu_ms().unwrap_or(0);
        counters.push((cpu, bytes[0].as_u64().unwrap_or(0), bytes[1].as_u64().unwrap_or(0)));
    }
    counters
}

/// Rolls out versions one by one and measures the time from the end of the command until all nodes
/// have the version in force.
async fn measure_rolls(cluster: &Cluster) -> io::Result<Vec<f64>> {
    let mut times_ms = Vec::new();
    for number in 0..ROLLS_PER_SIZE {
        cluster.roll_version(&format!("roll-{number}"))?;
        let roll = number as u64 + 2;
        let propagation = cluster
            .wait_for_status(PROPAGATION_TIMEOUT, |status| status["roll"].as_u64() >= Some(roll))
            .await;
        let propagation = propagation.ok_or_else(|| {
            io::Error::other("the roll was not in force on all nodes within the timeout")
        })?;
        times_ms.push(propagation.as_secs_f64() * 1000.0);
    }
    Ok(times_ms)
}
