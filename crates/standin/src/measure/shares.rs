//! Shares of the groups at twice the capacity, with all servers and with half of them, and the
//! success of calls that are retried after `Retry-After`.

use std::io;
use std::time::Duration;

use keeljunction::runtime;

use super::spread::Spread;
use crate::harness::{BRANCH_CREDENTIAL, Cluster, ClusterConfig, DUTY_CREDENTIAL};
use crate::load::{self, Kind, Summary};

const RUNS: u64 = 3;
const DURATION: Duration = Duration::from_secs(8);
const ENGINES: usize = 6;
const SLOTS: u32 = 8;
const TOKENS_PER_CALL: u64 = 24;
const TOKEN_INTERVAL_MS: u64 = 10;
/// The share of `flood` while both groups demand more than theirs, in percent: weight 3 of 4.
const ENTITLED_PERCENT: f64 = 75.0;

/// Runs the benchmark and prints a table.
pub(super) async fn run() -> io::Result<()> {
    println!(
        "{RUNS} runs of {} s at twice the capacity, 4 nodes, shard owners; median (min to max)",
        DURATION.as_secs()
    );
    println!(
        "| servers | flood's share, % (entitled to {ENTITLED_PERCENT}) | share error, points | rejected at first, % | served on retry, % |"
    );
    println!("|---|---|---|---|---|");
    for lost in [0, ENGINES / 2] {
        let (mut share, mut share_error, mut rejected, mut admitted) =
            (vec![], vec![], vec![], vec![]);
        for seed in 1..=RUNS {
            let (flood, desk) = measure(lost, seed).await?;
            let percent = flood.tokens as f64 * 100.0 / (flood.tokens + desk.tokens).max(1) as f64;
            let sent = flood.completed
                + flood.rejected
                + flood.failed
                + desk.completed
                + desk.rejected
                + desk.failed;
            let retried = (flood.retried + desk.retried).max(1) as f64;
            share.push(percent);
            share_error.push((percent - ENTITLED_PERCENT).abs());
            rejected.push(retried * 100.0 / sent.max(1) as f64);
            admitted.push(
                (flood.admitted_after_retry + desk.admitted_after_retry) as f64 * 100.0 / retried,
            );
        }
        println!(
            "| {} of {ENGINES} | {} | {} | {} | {} |",
            ENGINES - lost,
            Spread::of(&share),
            Spread::of(&share_error),
            Spread::of(&rejected),
            Spread::of(&admitted)
        );
    }
    Ok(())
}

/// Kills `lost` servers, runs the load once and returns the summaries of `flood` and `desk`.
async fn measure(lost: usize, seed: u64) -> io::Result<(Summary, Summary)> {
    let plan = ClusterConfig {
        nodes: 4,
        engines: ENGINES,
        services: 0,
        slots: SLOTS,
        engine_arguments: ["--gap-ms", &TOKEN_INTERVAL_MS.to_string()].map(str::to_owned).to_vec(),
        ..ClusterConfig::default()
    };
    let mut cluster = Cluster::start(plan).await?;
    for number in 0..lost {
        if let Some(server) = cluster.servers.get_mut(&format!("hidro-{number}")) {
            server.kill();
        }
    }
    runtime::sleep(Duration::from_secs(1)).await;
    let mut summaries = load::run(&cluster.client, &build_load(&cluster, lost, seed)).await;
    let mut take = |name: &str| summaries.remove(name).unwrap_or_default();
    Ok((take("flood"), take("desk")))
}

/// Returns a load of twice the remaining capacity, half of it from each group.
fn build_load(cluster: &Cluster, lost: usize, seed: u64) -> load::Plan {
    let kind = |name: &str, credential: &str| Kind {
        name: name.to_owned(),
        weight: 1,
        credential: credential.to_owned(),
        class: "urgent".to_owned(),
        model: "hidro".to_owned(),
        prompt_words: 40,
        shared_prefixes: 0,
        prefix_words: 0,
        tokens: TOKENS_PER_CALL,
    };
    let slots = (ENGINES - lost) as f64 * f64::from(SLOTS);
    let capacity = slots * 1000.0 / (TOKENS_PER_CALL * TOKEN_INTERVAL_MS) as f64;
    load::Plan {
        targets: cluster.nodes.iter().map(|node| node.get_client_address()).collect(),
        rate: 2.0 * capacity,
        duration: DURATION,
        seed,
        kinds: vec![kind("flood", DUTY_CREDENTIAL), kind("desk", BRANCH_CREDENTIAL)],
        retries_rejected: true,
    }
}
