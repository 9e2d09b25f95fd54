//! Routing policies with and without shard owners, under three loads. One of the two groups demands
//! more than its share.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::time::Duration;

use serde_json::json;

use super::plot::{self, Line};
use super::spread::Spread;
use crate::harness::{BRANCH_CREDENTIAL, Cluster, ClusterConfig, DUTY_CREDENTIAL};
use crate::load::{self, Kind, Summary};

const RUNS: u64 = 3;
const DURATION: Duration = Duration::from_secs(8);
const ENGINES: usize = 6;
const SLOTS: u32 = 8;
const TOKEN_INTERVAL_MS: u64 = 10;
/// Prompt tokens that one engine prefills per second.
const PREFILL_TOKENS_PER_SECOND: u64 = 8_000;
/// Loads, as a percentage of the capacity of the engines.
const LOADS_PERCENT: [u64; 3] = [50, 80, 120];

/// A routing variant, selected by settings.
struct Variant {
    name: &'static str,
    owners: bool,
    policy: &'static str,
}

const VARIANTS: [Variant; 4] = [
    Variant { name: "alone, round robin", owners: false, policy: "round_robin" },
    Variant { name: "alone, two choices", owners: false, policy: "two_choices" },
    Variant { name: "alone, expected time", owners: false, policy: "expected" },
    Variant { name: "owner, expected time", owners: true, policy: "expected" },
];

/// Results of several runs of one variant under one load.
#[derive(Default)]
struct Results {
    urgent_p95_ms: Vec<f64>,
    long_p95_ms: Vec<f64>,
    rejected_percent: Vec<f64>,
    prefill_tokens: Vec<f64>,
    flood_percent: Vec<f64>,
    mismatched: u64,
}

/// Runs the benchmark, prints a table and writes a plot.
pub(super) async fn run(directory: &Path) -> io::Result<()> {
    println!(
        "{RUNS} runs of {} s; {ENGINES} engines, 4 nodes; median (min to max)",
        DURATION.as_secs()
    );
    println!(
        "| variant | load, % | urgent first token p95, ms | long first token p95, ms | rejected, % | prefill tokens per request | flood's share of tokens, % |"
    );
    println!("|---|---|---|---|---|---|---|");
    let mut lines: Vec<Line> = Vec::new();
    for variant in VARIANTS {
        let mut points = Vec::new();
        for load in LOADS_PERCENT {
            let results = measure(&variant, load).await?;
            let urgent = Spread::of(&results.urgent_p95_ms);
            points.push((load as f64, urgent.median));
            println!(
                "| {} | {load} | {urgent} | {} | {} | {} | {} |",
                variant.name,
                Spread::of(&results.long_p95_ms),
                Spread::of(&results.rejected_percent),
                Spread::of(&results.prefill_tokens),
                Spread::of(&results.flood_percent),
            );
            if results.mismatched > 0 {
                return Err(io::Error::other(format!(
                    "{} responses differ from the expected output",
                    results.mismatched
                )));
            }
        }
        lines.push(Line { name: variant.name.to_owned(), points });
    }
    let title = "Time to first token of urgent requests, p95";
    plot::write(&directory.join("policy.svg"), title, ("load, % of capacity", "ms"), &lines)
}

async fn measure(variant: &Variant, load_percent: u64) -> io::Result<Results> {
    let mut results = Results::default();
    for seed in 1..=RUNS {
        let arguments = [
            "--gap-ms",
            &TOKEN_INTERVAL_MS.to_string(),
            "--prefill",
            &PREFILL_TOKENS_PER_SECOND.to_string(),
            "--cache-blocks",
            "600",
        ];
        let plan = ClusterConfig {
            nodes: 4,
            engines: ENGINES,
            services: 0,
            slots: SLOTS,
            engine_arguments: arguments.map(str::to_owned).to_vec(),
            settings: json!({ "routing": { "owners": variant.owners, "policy": variant.policy } }),
            ..ClusterConfig::default()
        };
        let cluster = Cluster::start(plan).await?;
        let summaries = load::run(&cluster.client, &build_load(&cluster, load_percent, seed)).await;
        record(&mut results, &cluster, &summaries).await;
    }
    Ok(results)
}

async fn record(results: &mut Results, cluster: &Cluster, summaries: &BTreeMap<String, Summary>) {
    let mut all = Summary::new();
    summaries.values().for_each(|summary| all.add(summary));
    let get = |name: &str| summaries.get(name).cloned().unwrap_or_default();
    let mut urgent = get("flood-urgent");
    urgent.add(&get("desk-urgent"));
    results.urgent_p95_ms.push(urgent.get_first_token_ms(0.95));
    let mut long = get("flood-long");
    long.add(&get("desk-long"));
    results.long_p95_ms.push(long.get_first_token_ms(0.95));
    let sent = all.completed + all.rejected + all.failed;
    results.rejected_percent.push((all.rejected + all.failed) as f64 * 100.0 / sent.max(1) as f64);
    let executions = cluster.get_executions().await;
    let prefill: u64 = executions.iter().filter_map(|(_, entry)| entry["prefill"].as_u64()).sum();
    results.prefill_tokens.push(prefill as f64 / all.completed.max(1) as f64);
    let flood = get("flood-urgent").tokens + get("flood-long").tokens;
    results.flood_percent.push(flood as f64 * 100.0 / all.tokens.max(1) as f64);
    results.mismatched += all.mismatched;
}

/// Returns a load with equal demand from both groups, although one is entitled to three quarters.
fn build_load(cluster: &Cluster, load_percent: u64, seed: u64) -> load::Plan {
    let kind = |name: &str,
                credential: &str,
                class: &str,
                weight,
                words,
                shared_prefixes,
                prefix_words,
                tokens| {
        Kind {
            name: name.to_owned(),
            weight,
            credential: credential.to_owned(),
            class: class.to_owned(),
            model: "hidro".to_owned(),
            prompt_words: words,
            shared_prefixes,
            prefix_words,
            tokens,
        }
    };
    // Four of five calls are short and urgent; the fifth has a long prefix shared with other calls.
    let kinds = vec![
        kind("flood-urgent", DUTY_CREDENTIAL, "urgent", 4, 40, 0, 0, 24),
        kind("flood-long", DUTY_CREDENTIAL, "briefing", 1, 60, 12, 1_600, 60),
        kind("desk-urgent", BRANCH_CREDENTIAL, "urgent", 4, 40, 0, 0, 24),
        kind("desk-long", BRANCH_CREDENTIAL, "briefing", 1, 60, 12, 1_600, 60),
    ];
    // Slot capacity: a call occupies a slot while its tokens are generated and its prompt is
    // prefilled, assuming an empty cache.
    let slot_seconds = |tokens: u64, words: u64| {
        (tokens * TOKEN_INTERVAL_MS) as f64 / 1000.0
            + words as f64 / PREFILL_TOKENS_PER_SECOND as f64
    };
    let mean_slot_seconds = 0.8 * slot_seconds(24, 40) + 0.2 * slot_seconds(60, 1_660);
    let capacity = ENGINES as f64 * f64::from(SLOTS) / mean_slot_seconds;
    load::Plan {
        targets: cluster.nodes.iter().map(|node| node.get_client_address()).collect(),
        rate: capacity * load_percent as f64 / 100.0,
        duration: DURATION,
        seed,
        kinds,
        retries_rejected: false,
    }
}
