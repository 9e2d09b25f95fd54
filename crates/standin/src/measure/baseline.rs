//! Latency that a node adds to a call, and its resource usage.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use keeljunction::runtime;
use serde_json::json;

use super::spread::Spread;
use crate::harness::{Call, Cluster, ClusterConfig, DUTY_CREDENTIAL, Response};

const RUNS: usize = 5;
const PAIRS_PER_RUN: usize = 300;
const STREAMS: usize = 64;
const TOKENS_PER_STREAM: u64 = 2_000;

/// Runs the benchmark and prints the results.
pub(super) async fn run() -> io::Result<()> {
    measure_added_latency().await?;
    measure_relay_cost().await?;
    println!("56 streams with 25 ms per token through one of two nodes, by times.progress_ms:");
    for progress_ms in [100, 500, 2_000, 5_000] {
        measure_replication_cost(progress_ms).await?;
    }
    Ok(())
}

/// Measures the cost of copying progress to peers every `progress_ms`, at a fixed token rate.
async fn measure_replication_cost(progress_ms: u64) -> io::Result<()> {
    let arguments = ["--gap-ms", "25"].map(str::to_owned).to_vec();
    let settings = json!({ "times": { "progress_ms": progress_ms } });
    let plan = ClusterConfig {
        nodes: 2,
        engines: 2,
        services: 0,
        engine_arguments: arguments,
        settings,
        slots: 64,
        ..ClusterConfig::default()
    };
    let cluster = Cluster::start(plan).await?;
    let (mut cpu, mut sent) = (Vec::new(), Vec::new());
    for run in 0..3 {
        let before =
            (cluster.nodes[0].process.get_cpu_ms().unwrap_or(0), get_sent_bytes(&cluster).await);
        let started = Instant::now();
        run_streams(&cluster, 56, 320, run).await;
        let seconds = started.elapsed().as_secs_f64();
        let after =
            (cluster.nodes[0].process.get_cpu_ms().unwrap_or(0), get_sent_bytes(&cluster).await);
        cpu.push((after.0 - before.0) as f64 / 10.0 / seconds);
        sent.push((after.1 - before.1) as f64 / 1024.0 / seconds);
    }
    println!(
        "  {progress_ms} ms: CPU, %: {}; sent to peers, KB/s: {}",
        Spread::of(&cpu),
        Spread::of(&sent)
    );
    Ok(())
}

async fn get_sent_bytes(cluster: &Cluster) -> u64 {
    cluster.status(0).await["peer_bytes"][0].as_u64().unwrap_or(0)
}

/// Runs concurrent streams through the first node and returns the number of tokens received.
async fn run_streams(cluster: &Cluster, streams: usize, tokens: u64, run: usize) -> usize {
    let to = cluster.nodes[0].get_client_address();
    let calls: Vec<_> = (0..streams)
        .map(|number| {
            let client = cluster.client.clone();
            let prompt = format!("run {run} stream {number}");
            runtime::spawn_with_handle(async move {
                let call = Call::completion(DUTY_CREDENTIAL, "briefing", "hidro", &prompt, tokens);
                call.send(&client, to).await.map(|response| response.token_times.len()).unwrap_or(0)
            })
        })
        .collect();
    let mut count = 0;
    for call in calls {
        count += call.await;
    }
    count
}

/// Compares the time to the first token of direct calls to an engine with calls through a node.
async fn measure_added_latency() -> io::Result<()> {
    let arguments = ["--prefill", "10000000", "--gap-ms", "1"].map(str::to_owned).to_vec();
    let plan = ClusterConfig {
        nodes: 3,
        engines: 1,
        services: 0,
        engine_arguments: arguments,
        ..ClusterConfig::default()
    };
    let cluster = Cluster::start(plan).await?;
    runtime::sleep(Duration::from_secs(2)).await;
    let memory = cluster.get_memory_mb();
    let engine = cluster.servers["hidro-0"].address("address");
    let (mut ratios, mut added, mut tails) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..RUNS {
        let (mut direct, mut proxied) = (Vec::new(), Vec::new());
        for pair in 0..PAIRS_PER_RUN {
            let call = Call::completion(
                DUTY_CREDENTIAL,
                "urgent",
                "hidro",
                &format!("pair {pair} of words"),
                2,
            );
            direct.push(get_first_token_ms(&send(&cluster, &call, engine).await?));
            proxied.push(get_first_token_ms(
                &send(&cluster, &call, cluster.nodes[pair % 3].get_client_address()).await?,
            ));
        }
        let (direct_p50, proxied_p50) = (quantile(&mut direct, 0.5), quantile(&mut proxied, 0.5));
        ratios.push(proxied_p50 / direct_p50);
        added.push(proxied_p50 - direct_p50);
        tails.push(quantile(&mut proxied, 0.95) - quantile(&mut direct, 0.95));
    }
    println!("time to first token through a node, {RUNS} runs of {PAIRS_PER_RUN} pairs:");
    println!("  added at the median, ms:      {}", Spread::of(&added));
    println!("  added at p95, ms:             {}", Spread::of(&tails));
    println!("  ratio of the medians:         {}", Spread::of(&ratios));
    println!("memory of an idle node, MB:     {}", Spread::of(&memory));
    Ok(())
}

/// Relays tokens as fast as the engines emit them and measures the CPU time of the node.
pub(super) async fn measure_relay_cost() -> io::Result<()> {
    let arguments = ["--gap-ms", "2"].map(str::to_owned).to_vec();
    let plan = ClusterConfig {
        nodes: 2,
        engines: 2,
        services: 0,
        engine_arguments: arguments,
        slots: 64,
        ..ClusterConfig::default()
    };
    let cluster = Cluster::start(plan).await?;
    let (mut per_core, mut micros) = (Vec::new(), Vec::new());
    for run in 0..RUNS {
        let before = cluster.nodes[0].process.get_cpu_ms().unwrap_or(0);
        let started = Instant::now();
        let tokens = run_streams(&cluster, STREAMS, TOKENS_PER_STREAM, run).await;
        let cpu_ms = cluster.nodes[0].process.get_cpu_ms().unwrap_or(0) - before;
        per_core.push(tokens as f64 * 1000.0 / cpu_ms as f64);
        micros.push(cpu_ms as f64 * 1000.0 / tokens as f64);
        println!("  run {run}: {tokens} tokens in {:.1} s", started.elapsed().as_secs_f64());
    }
    println!("tokens relayed per second and core: {}", Spread::of(&per_core));
    println!("CPU time per token, us:             {}", Spread::of(&micros));
    Ok(())
}

async fn send(cluster: &Cluster, call: &Call, to: SocketAddr) -> io::Result<Response> {
    let call = call.clone().header("x-attempt-id", &fastrand::u64(..).to_string());
    call.send(&cluster.client, to).await.map_err(io::Error::other)
}

fn get_first_token_ms(response: &Response) -> f64 {
    response.token_times.first().map_or(f64::NAN, |time| time.as_secs_f64() * 1000.0)
}

fn quantile(figures: &mut [f64], quantile: f64) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures[((figures.len() - 1) as f64 * quantile) as usize]
}
