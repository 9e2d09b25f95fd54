//! The demo: runs the main features end to end on real processes and checks each result.

use std::io;
use std::time::{Duration, Instant};

use hyper::Method;

use crate::engine::expected_output;
use crate::harness::{BRANCH_CREDENTIAL, Call, Cluster, ClusterConfig, DUTY_CREDENTIAL};

/// Runs the demo and prints a row for each step.
///
/// # Errors
///
/// Returns an I/O error, or an error that names the failed check.
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
    print_row("platform, 3 nodes in 3 data centres, 4 servers are up", started.elapsed());
    show_streams(&cluster).await?;
    show_plain_call(&cluster).await?;
    show_at_most_once(&cluster).await?;
    show_rolls(&cluster).await?;
    show_reclaim(&cluster).await?;
    show_planned_stop(&mut cluster).await
}

async fn show_streams(cluster: &Cluster) -> io::Result<()> {
    for node in 0..cluster.nodes.len() {
        let prompt = format!("basin flood briefing for reach {node}");
        let response = send_completion(cluster, node, &prompt, 40).await?;
        check(response.body == expected_output(&prompt, 40), "the stream has the expected output")?;
        let first = response.token_times.first().copied().unwrap_or_default();
        print_row(&format!("node {node} streams 40 tokens; first token"), first);
    }
    Ok(())
}

async fn show_plain_call(cluster: &Cluster) -> io::Result<()> {
    let call = Call::plain(
        BRANCH_CREDENTIAL,
        "reading",
        Method::GET,
        "/services/gauge-api/stations/12",
        "",
    );
    let started = Instant::now();
    let response = call
        .send(&cluster.client, cluster.nodes[1].get_client_address())
        .await
        .map_err(io::Error::other)?;
    check(
        response.status == 200 && response.json()["path"] == "/stations/12",
        "the plain call returns the reading",
    )?;
    print_row("node 1 serves a plain reading", started.elapsed());
    Ok(())
}

async fn show_at_most_once(cluster: &Cluster) -> io::Result<()> {
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
        let response = call
            .send(&cluster.client, cluster.nodes[node].get_client_address())
            .await
            .map_err(io::Error::other)?;
        check(response.status == 200, "the alert is accepted")?;
    }
    check(cluster.count_executions("alert-7").await == 1, "the alert runs exactly once")?;
    print_row("an alert is sent through 3 nodes and runs once", started.elapsed());
    Ok(())
}

async fn show_rolls(cluster: &Cluster) -> io::Result<()> {
    cluster.roll_version("v2")?;
    let propagation = wait_until_in_force(cluster, 2, "v2").await?;
    print_row("version v2 is rolled; in force on all nodes after", propagation);
    cluster.run_cli(&[
        "bundle",
        "rollback",
        "--to",
        "1",
        "--platform",
        &cluster.get_platform_address(),
    ])?;
    let propagation = wait_until_in_force(cluster, 3, "v1").await?;
    print_row("v1 is rolled back to as roll 3; in force after", propagation);
    Ok(())
}

async fn wait_until_in_force(cluster: &Cluster, roll: u64, version: &str) -> io::Result<Duration> {
    let is_in_force =
        |status: &serde_json::Value| status["roll"] == roll && status["version"] == version;
    let propagation = cluster.wait_for_status(Duration::from_secs(7), is_in_force).await;
    propagation.ok_or_else(|| {
        io::Error::other(format!("roll {roll} was not in force on all nodes within 7 s"))
    })
}

async fn show_reclaim(cluster: &Cluster) -> io::Result<()> {
    let prompt = "gauge anomaly explanation for the Magdalena at Honda";
    let call = Call::completion(DUTY_CREDENTIAL, "briefing", "hidro", prompt, 200);
    let mut stream = call
        .open(&cluster.client, cluster.nodes[0].get_client_address())
        .await
        .map_err(io::Error::other)?;
    stream.read_tokens(10).await;
    let executions = cluster.get_executions().await;
    let server = executions.last().map(|(name, _)| name.clone());
    let last = executions
        .iter()
        .max_by_key(|(_, entry)| entry["unix_ms"].as_u64())
        .map(|(name, _)| name.clone());
    let server = last.or(server).unwrap_or_default();
    let started = Instant::now();
    cluster.give_notice(&server, 1_000).await;
    while stream.next().await {}
    let response = stream.response;
    check(
        response.body == expected_output(prompt, 200),
        "the output after the reclaim is complete and correct",
    )?;
    print_row(
        &format!("{server} is reclaimed mid-stream; remaining output after"),
        started.elapsed(),
    );
    let recomputed = cluster.sum_counter("tokens_recomputed").await;
    println!("{:<58} {recomputed:>9}", "  tokens recomputed");
    Ok(())
}

async fn show_planned_stop(cluster: &mut Cluster) -> io::Result<()> {
    let prompt = "alert summary for the Cauca at La Virginia";
    let call = Call::completion(DUTY_CREDENTIAL, "briefing", "hidro", prompt, 60);
    let mut stream = call
        .open(&cluster.client, cluster.nodes[2].get_client_address())
        .await
        .map_err(io::Error::other)?;
    stream.read_tokens(5).await;
    let started = Instant::now();
    cluster.nodes[2].process.terminate();
    while stream.next().await {}
    check(
        stream.response.body == expected_output(prompt, 60),
        "the planned stop interrupts no stream",
    )?;
    let status = cluster.nodes[2].process.wait(Duration::from_secs(10)).await;
    check(status.is_some_and(|status| status.success()), "the node exits with success")?;
    print_row("node 2 is stopped and finishes its stream", started.elapsed());
    Ok(())
}

async fn send_completion(
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

fn check(is_met: bool, description: &str) -> io::Result<()> {
    if is_met { Ok(()) } else { Err(io::Error::other(format!("check failed: {description}"))) }
}

fn print_row(step: &str, time: Duration) {
    println!("{step:<58} {:>9.1}", time.as_secs_f64() * 1000.0);
}
