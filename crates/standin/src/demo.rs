//! The demo: the main job from end to end, on real processes, checked as it goes.

use std::io;
use std::time::{Duration, Instant};

use hyper::Method;

use crate::engine::expected_output;
use crate::harness::{BRANCH_CREDENTIAL, Call, Cluster, ClusterConfig, DUTY_CREDENTIAL};

/// Runs the demo and prints a row for each step.
///
/// # Errors
///
/// Says what was off.
pub async fn run() -> io::Result<()> {
    println!("{:<58} {:>9}", "STEP", "MS");
    let started = Instant::now();
    let mut cluster = Cluster::start(ClusterConfig {
        nodes: 3,
        engines: 2,
        services: 2,
        ..ClusterConfig::default()
    })
    .await?;
    row("platform, 3 nodes in 3 data centres, 4 servers are up", started.elapsed());
    streams(&cluster).await?;
    plain(&cluster).await?;
    unrepeatable(&cluster).await?;
    rolls(&cluster).await?;
    reclaim(&cluster).await?;
    stop(&mut cluster).await
}

async fn streams(cluster: &Cluster) -> io::Result<()> {
    for node in 0..cluster.nodes.len() {
        let prompt = format!("basin flood briefing for reach {node}");
        let answer = stream(cluster, node, &prompt, 40).await?;
        expect(answer.body == expected_output(&prompt, 40), "the stream is the whole answer")?;
        let first = answer.token_times.first().copied().unwrap_or_default();
        row(&format!("node {node} streams 40 tokens; first token"), first);
    }
    Ok(())
}

async fn plain(cluster: &Cluster) -> io::Result<()> {
    let call = Call::plain(
        BRANCH_CREDENTIAL,
        "reading",
        Method::GET,
        "/services/gauge-api/stations/12",
        "",
    );
    let started = Instant::now();
    let answer = call
        .send(&cluster.client, cluster.nodes[1].get_client_address())
        .await
        .map_err(io::Error::other)?;
    expect(answer.status == 200 && answer.json()["path"] == "/stations/12", "the reading came")?;
    row("node 1 serves a plain reading", started.elapsed());
    Ok(())
}

async fn unrepeatable(cluster: &Cluster) -> io::Result<()> {
    let call = Call::plain(
        DUTY_CREDENTIAL,
        "alert",
        Method::POST,
        "/services/gauge-api/alerts",
        "{\"level\":3}",
    )
    .key("alert-7");
    let started = Instant::now();
    for node in 0..cluster.nodes.len() {
        let answer = call
            .send(&cluster.client, cluster.nodes[node].get_client_address())
            .await
            .map_err(io::Error::other)?;
        expect(answer.status == 200, "the alert was answered")?;
    }
    expect(cluster.count_executions("alert-7").await == 1, "the alert ran once")?;
    row("an alert is sent through 3 nodes and runs once", started.elapsed());
    Ok(())
}

async fn rolls(cluster: &Cluster) -> io::Result<()> {
    cluster.roll_version("v2")?;
    let spread = in_force(cluster, 2, "v2").await?;
    row("version v2 is rolled; in force on all nodes after", spread);
    cluster.run_cli(&[
        "bundle",
        "rollback",
        "--to",
        "1",
        "--platform",
        &cluster.get_platform_address(),
    ])?;
    let spread = in_force(cluster, 3, "v1").await?;
    row("v1 is rolled back to as roll 3; in force after", spread);
    Ok(())
}

async fn in_force(cluster: &Cluster, roll: u64, version: &str) -> io::Result<Duration> {
    let is_in_force =
        |status: &serde_json::Value| status["roll"] == roll && status["version"] == version;
    let spread = cluster.wait_for_status(Duration::from_secs(7), is_in_force).await;
    spread.ok_or_else(|| io::Error::other(format!("roll {roll} was not in force within 7 s")))
}

async fn reclaim(cluster: &Cluster) -> io::Result<()> {
    let prompt = "gauge anomaly explanation for the Magdalena at Honda";
    let call = Call::completion(DUTY_CREDENTIAL, "briefing", "hidro", prompt, 200);
    let mut open = call
        .open(&cluster.client, cluster.nodes[0].get_client_address())
        .await
        .map_err(io::Error::other)?;
    open.read_tokens(10).await;
    let ran = cluster.get_executions().await;
    let server = ran.last().map(|(name, _)| name.clone());
    let last =
        ran.iter().max_by_key(|(_, entry)| entry["unix_ms"].as_u64()).map(|(name, _)| name.clone());
    let server = last.or(server).unwrap_or_default();
    let started = Instant::now();
    cluster.give_notice(&server, 1_000).await;
    while open.next().await {}
    let answer = open.response;
    expect(answer.body == expected_output(prompt, 200), "the answer has no seam")?;
    row(&format!("{server} is reclaimed mid-answer; the rest comes after"), started.elapsed());
    let recomputed = cluster.sum_counter("tokens_recomputed").await;
    println!("{:<58} {recomputed:>9}", "  tokens recomputed for that");
    Ok(())
}

async fn stop(cluster: &mut Cluster) -> io::Result<()> {
    let prompt = "alert summary for the Cauca at La Virginia";
    let call = Call::completion(DUTY_CREDENTIAL, "briefing", "hidro", prompt, 60);
    let mut open = call
        .open(&cluster.client, cluster.nodes[2].get_client_address())
        .await
        .map_err(io::Error::other)?;
    open.read_tokens(5).await;
    let started = Instant::now();
    cluster.nodes[2].process.terminate();
    while open.next().await {}
    expect(open.response.body == expected_output(prompt, 60), "the planned stop cut nothing")?;
    let status = cluster.nodes[2].process.wait(Duration::from_secs(10)).await;
    expect(status.is_some_and(|status| status.success()), "the node stopped by itself")?;
    row("node 2 is stopped while it streams, and cuts nothing", started.elapsed());
    Ok(())
}

async fn stream(
    cluster: &Cluster,
    node: usize,
    prompt: &str,
    tokens: u64,
) -> io::Result<crate::harness::Response> {
    let call = Call::completion(DUTY_CREDENTIAL, "urgent", "hidro", prompt, tokens);
    call.send(&cluster.client, cluster.nodes[node].get_client_address())
        .await
        .map_err(io::Error::other)
}

fn expect(is_met: bool, what: &str) -> io::Result<()> {
    if is_met { Ok(()) } else { Err(io::Error::other(format!("not so: {what}"))) }
}

fn row(step: &str, time: Duration) {
    println!("{step:<58} {:>9.1}", time.as_secs_f64() * 1000.0);
}
