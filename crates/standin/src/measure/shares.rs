//! Shares of groups at twice the capacity, before and after half of the servers are lost, and what
//! becomes of callers that retry after `Retry-After`.

use std::io;
use std::time::Duration;

use keeljunction::runtime;

use super::spread::Spread;
use crate::harness::{BRANCH_CREDENTIAL, Cluster, ClusterConfig, DUTY_CREDENTIAL};
use crate::load::{self, Kind, Summary};

const RUNS: u64 = 3;
const TIME: Duration = Duration::from_secs(8);
const ENGINES: usize = 6;
const SLOTS: u32 = 8;
const TOKENS: u64 = 24;
const GAP_MS: u64 = 10;
/// What flood is owed while both groups want more, in per cent: three of four.
const OWED: f64 = 75.0;

/// Measures and prints.
pub(super) async fn run() -> io::Result<()> {
    println!(
        "{RUNS} runs of {} s at twice the capacity, 4 nodes, owners; middle (least to most)",
        TIME.as_secs()
    );
    println!(
        "| servers | flood's share, % (owed {OWED}) | share error, points | refused at first, % | served when they came back, % |"
    );
    println!("|---|---|---|---|---|");
    for lost in [0, ENGINES / 2] {
        let (mut share, mut error, mut refused, mut admitted) = (vec![], vec![], vec![], vec![]);
        for seed in 1..=RUNS {
            let (flood, desk) = measure(lost, seed).await?;
            let part = flood.tokens as f64 * 100.0 / (flood.tokens + desk.tokens).max(1) as f64;
            let sent =
                flood.done + flood.refused + flood.failed + desk.done + desk.refused + desk.failed;
            let returned = (flood.returned + desk.returned).max(1) as f64;
            share.push(part);
            error.push((part - OWED).abs());
            refused.push(returned * 100.0 / sent.max(1) as f64);
            admitted.push((flood.admitted + desk.admitted) as f64 * 100.0 / returned);
        }
        println!(
            "| {} of {ENGINES} | {} | {} | {} | {} |",
            ENGINES - lost,
            Spread::of(&share),
            Spread::of(&error),
            Spread::of(&refused),
            Spread::of(&admitted)
        );
    }
    Ok(())
}

/// Runs the load once, with some servers killed before, and returns both groups' summaries.
async fn measure(lost: usize, seed: u64) -> io::Result<(Summary, Summary)> {
    let plan = ClusterConfig {
        nodes: 4,
        engines: ENGINES,
        services: 0,
        slots: SLOTS,
        engine_arguments: ["--gap-ms", &GAP_MS.to_string()].map(str::to_owned).to_vec(),
        ..ClusterConfig::default()
    };
    let mut cluster = Cluster::start(plan).await?;
    for number in 0..lost {
        if let Some(server) = cluster.servers.get_mut(&format!("hidro-{number}")) {
            server.kill();
        }
    }
    runtime::sleep(Duration::from_secs(1)).await;
    let mut summaries = load::run(&cluster.client, &load_of(&cluster, lost, seed)).await;
    let mut take = |name: &str| summaries.remove(name).unwrap_or_default();
    Ok((take("flood"), take("desk")))
}

/// Makes twice the load that the servers left can carry, half of it from each group.
fn load_of(cluster: &Cluster, lost: usize, seed: u64) -> load::Plan {
    let kind = |name: &str, credential: &str| Kind {
        name: name.to_owned(),
        weight: 1,
        credential: credential.to_owned(),
        class: "urgent".to_owned(),
        model: "hidro".to_owned(),
        prompt_words: 40,
        topics: 0,
        topic_words: 0,
        tokens: TOKENS,
    };
    let slots = (ENGINES - lost) as f64 * f64::from(SLOTS);
    let capacity = slots * 1000.0 / (TOKENS * GAP_MS) as f64;
    load::Plan {
        targets: cluster.nodes.iter().map(|node| node.get_client_address()).collect(),
        rate: 2.0 * capacity,
        time: TIME,
        seed,
        kinds: vec![kind("flood", DUTY_CREDENTIAL), kind("desk", BRANCH_CREDENTIAL)],
        is_followed: true,
    }
}
