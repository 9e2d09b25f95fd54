//! What a node adds to a call, and what it costs.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use keeljunction::runtime;
use serde_json::json;

use super::spread::Spread;
use crate::harness::{Call, Cluster, ClusterConfig, DUTY_CREDENTIAL, Response};

const RUNS: usize = 5;
const PAIRS: usize = 300;
const STREAMS: usize = 64;
const STREAM_TOKENS: u64 = 2_000;

/// Measures and prints.
pub(super) async fn run() -> io::Result<()> {
    added_time().await?;
    cost_of_tokens().await?;
    println!("56 streams of 25 ms a token at one of two nodes, by times.progress_ms:");
    for progress_ms in [100, 500, 2_000, 5_000] {
        cost_of_copies(progress_ms).await?;
    }
    Ok(())
}

/// Streams at the pace that is wanted, with copies of the tokens at different periods.
async fn cost_of_copies(progress_ms: u64) -> io::Result<()> {
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
            (cluster.nodes[0].process.get_cpu_ms().unwrap_or(0), sent_bytes(&cluster).await);
        let started = Instant::now();
        stream_all(&cluster, 56, 320, run).await;
        let seconds = started.elapsed().as_secs_f64();
        let after =
            (cluster.nodes[0].process.get_cpu_ms().unwrap_or(0), sent_bytes(&cluster).await);
        cpu.push((after.0 - before.0) as f64 / 10.0 / seconds);
        sent.push((after.1 - before.1) as f64 / 1024.0 / seconds);
    }
    println!(
        "  {progress_ms} ms: processor, %: {}; sent to peers, KB/s: {}",
        Spread::of(&cpu),
        Spread::of(&sent)
    );
    Ok(())
}

async fn sent_bytes(cluster: &Cluster) -> u64 {
    cluster.status(0).await["peer_bytes"][0].as_u64().unwrap_or(0)
}

/// Streams so many answers at once through the first node, and counts the tokens.
async fn stream_all(cluster: &Cluster, streams: usize, tokens: u64, run: usize) -> usize {
    let to = cluster.nodes[0].get_client_address();
    let calls: Vec<_> = (0..streams)
        .map(|number| {
            let client = cluster.client.clone();
            let prompt = format!("run {run} stream {number}");
            runtime::spawn_with_handle(async move {
                let call = Call::completion(DUTY_CREDENTIAL, "briefing", "hidro", &prompt, tokens);
                call.send(&client, to).await.map(|answer| answer.token_times.len()).unwrap_or(0)
            })
        })
        .collect();
    let mut count = 0;
    for call in calls {
        count += call.await;
    }
    count
}

/// Calls an engine directly and through a node, one after the other, many times.
async fn added_time() -> io::Result<()> {
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
        let (mut direct, mut through) = (Vec::new(), Vec::new());
        for pair in 0..PAIRS {
            let call = Call::completion(
                DUTY_CREDENTIAL,
                "urgent",
                "hidro",
                &format!("pair {pair} of words"),
                2,
            );
            direct.push(first_ms(&send(&cluster, &call, engine).await?));
            through.push(first_ms(
                &send(&cluster, &call, cluster.nodes[pair % 3].get_client_address()).await?,
            ));
        }
        let (direct_50, through_50) = (quantile(&mut direct, 0.5), quantile(&mut through, 0.5));
        ratios.push(through_50 / direct_50);
        added.push(through_50 - direct_50);
        tails.push(quantile(&mut through, 0.95) - quantile(&mut direct, 0.95));
    }
    println!("first token through a node, {RUNS} runs of {PAIRS} pairs:");
    println!("  added at the median, ms:      {}", Spread::of(&added));
    println!("  added at 95 in 100, ms:       {}", Spread::of(&tails));
    println!("  ratio of the medians:         {}", Spread::of(&ratios));
    println!("memory of a node at rest, MB:   {}", Spread::of(&memory));
    Ok(())
}

/// Relays as many tokens as the engines give, and sets them against the node's processor time.
pub(super) async fn cost_of_tokens() -> io::Result<()> {
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
        let tokens = stream_all(&cluster, STREAMS, STREAM_TOKENS, run).await;
        let spent = cluster.nodes[0].process.get_cpu_ms().unwrap_or(0) - before;
        per_core.push(tokens as f64 * 1000.0 / spent as f64);
        micros.push(spent as f64 * 1000.0 / tokens as f64);
        println!("  run {run}: {tokens} tokens in {:.1} s", started.elapsed().as_secs_f64());
    }
    println!("tokens relayed a second per core: {}", Spread::of(&per_core));
    println!("processor time per token, us:     {}", Spread::of(&micros));
    Ok(())
}

async fn send(cluster: &Cluster, call: &Call, to: SocketAddr) -> io::Result<Response> {
    let call = call.clone().header("x-attempt-id", &fastrand::u64(..).to_string());
    call.send(&cluster.client, to).await.map_err(io::Error::other)
}

fn first_ms(answer: &Response) -> f64 {
    answer.token_times.first().map_or(f64::NAN, |time| time.as_secs_f64() * 1000.0)
}

fn quantile(figures: &mut [f64], quantile: f64) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures[((figures.len() - 1) as f64 * quantile) as usize]
}
