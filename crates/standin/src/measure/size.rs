//! What control costs a node, and how fast a roll spreads, at several sizes.

use std::io;
use std::path::Path;
use std::time::Duration;

use keeljunction::runtime;
use serde_json::json;

use super::plot::{self, Line};
use super::spread::Spread;
use crate::harness::{Cluster, ClusterConfig, get_json};

const SIZES: [usize; 5] = [4, 8, 16, 32, 64];
const ROLLS: usize = 3;
const WATCH: Duration = Duration::from_secs(6);
const SETTLE: Duration = Duration::from_secs(4);
const SPREAD_WITHIN: Duration = Duration::from_secs(20);

/// Measures, prints a table and writes a plot.
pub(super) async fn run(folder: &Path) -> io::Result<()> {
    println!(
        "default settings, no requests, {} s each; middle (least to most) over the nodes",
        WATCH.as_secs()
    );
    println!(
        "| nodes | processor, % of a core | memory, MB | sent to peers, KB/s | received, KB/s | platform calls a second, all nodes | roll in force everywhere, ms |"
    );
    println!("|---|---|---|---|---|---|---|");
    let (mut cpu_points, mut byte_points, mut spread_points) = (Vec::new(), Vec::new(), Vec::new());
    for size in SIZES {
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
        runtime::sleep(SETTLE).await;
        let calls_before = calls(&cluster).await;
        let (cpu, sent, received) = watch(&cluster).await;
        let calls_a_second = (calls(&cluster).await - calls_before) as f64 / WATCH.as_secs_f64();
        let memory = cluster.get_memory_mb();
        let spread = Spread::of(&rolls(&cluster).await?);
        let (cpu, sent, received) = (Spread::of(&cpu), Spread::of(&sent), Spread::of(&received));
        println!(
            "| {size} | {cpu} | {} | {sent} | {received} | {calls_a_second:.0} | {spread} |",
            Spread::of(&memory)
        );
        cpu_points.push((size as f64, cpu.middle));
        byte_points.push((size as f64, sent.middle));
        spread_points.push((size as f64, spread.middle / 1000.0));
    }
    let lines = [
        Line { name: "processor, % of a core".to_owned(), points: cpu_points },
        Line { name: "sent to peers, KB/s".to_owned(), points: byte_points },
        Line { name: "roll in force everywhere, s".to_owned(), points: spread_points },
    ];
    plot::write(
        &folder.join("size.svg"),
        "Control of one node, without requests",
        ("nodes", ""),
        &lines,
    )
}

/// Reads how many calls the platform has had.
async fn calls(cluster: &Cluster) -> u64 {
    let answer = get_json(&cluster.client, cluster.platform.address("address"), "/calls").await;
    answer.and_then(|answer| answer["calls"].as_u64()).unwrap_or(0)
}

/// Watches all nodes for a while: processor in per cent, and KB sent and received a second.
async fn watch(cluster: &Cluster) -> (Vec<f64>, Vec<f64>, Vec<f64>) {
    let before = look(cluster).await;
    runtime::sleep(WATCH).await;
    let after = look(cluster).await;
    let seconds = WATCH.as_secs_f64();
    let (mut cpu, mut sent, mut received) = (Vec::new(), Vec::new(), Vec::new());
    for (before, after) in before.iter().zip(&after) {
        cpu.push((after.0 - before.0) as f64 / 10.0 / seconds);
        sent.push((after.1 - before.1) as f64 / 1024.0 / seconds);
        received.push((after.2 - before.2) as f64 / 1024.0 / seconds);
    }
    (cpu, sent, received)
}

async fn look(cluster: &Cluster) -> Vec<(u64, u64, u64)> {
    let mut figures = Vec::new();
    for node in 0..cluster.nodes.len() {
        let bytes = cluster.status(node).await["peer_bytes"].clone();
        let cpu = cluster.nodes[node].process.get_cpu_ms().unwrap_or(0);
        figures.push((cpu, bytes[0].as_u64().unwrap_or(0), bytes[1].as_u64().unwrap_or(0)));
    }
    figures
}

/// Rolls versions one after another and takes the time from the command's end until all have it.
async fn rolls(cluster: &Cluster) -> io::Result<Vec<f64>> {
    let mut times = Vec::new();
    for number in 0..ROLLS {
        cluster.roll_version(&format!("roll-{number}"))?;
        let roll = number as u64 + 2;
        let spread = cluster
            .wait_for_status(SPREAD_WITHIN, |status| status["roll"].as_u64() >= Some(roll))
            .await;
        let spread = spread.ok_or_else(|| io::Error::other("the roll did not spread in time"))?;
        times.push(spread.as_secs_f64() * 1000.0);
    }
    Ok(times)
}
