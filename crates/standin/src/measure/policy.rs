//! Routing policies and shard owners, under three loads, with two groups of which one wants more
//! than its share.

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
const TIME: Duration = Duration::from_secs(8);
const ENGINES: usize = 6;
const SLOTS: u32 = 8;
const GAP_MS: u64 = 10;
/// Tokens of prompt that one engine reads in a second.
const PREFILL: u64 = 8_000;
/// The loads, in per cent of what the engines can carry.
const LOADS: [u64; 3] = [50, 80, 120];

/// A way to decide, by settings.
struct Way {
    name: &'static str,
    owners: bool,
    policy: &'static str,
}

const WAYS: [Way; 4] = [
    Way { name: "alone, round robin", owners: false, policy: "round_robin" },
    Way { name: "alone, two choices", owners: false, policy: "two_choices" },
    Way { name: "alone, expected time", owners: false, policy: "expected" },
    Way { name: "owner, expected time", owners: true, policy: "expected" },
];

/// What several runs of one way under one load showed.
#[derive(Default)]
struct Figures {
    urgent_95: Vec<f64>,
    long_95: Vec<f64>,
    refused: Vec<f64>,
    prefill: Vec<f64>,
    share: Vec<f64>,
    wrong: u64,
}

/// Measures, prints a table and writes a plot.
pub(super) async fn run(folder: &Path) -> io::Result<()> {
    println!(
        "{RUNS} runs of {} s; {ENGINES} engines, 4 nodes; middle (least to most)",
        TIME.as_secs()
    );
    println!(
        "| way | load % | urgent first token p95, ms | long p95, ms | refused, % | prompt tokens computed per request | flood's share of tokens, % |"
    );
    println!("|---|---|---|---|---|---|---|");
    let mut lines: Vec<Line> = Vec::new();
    for way in WAYS {
        let mut points = Vec::new();
        for load in LOADS {
            let figures = measure(&way, load).await?;
            let urgent = Spread::of(&figures.urgent_95);
            points.push((load as f64, urgent.middle));
            println!(
                "| {} | {load} | {urgent} | {} | {} | {} | {} |",
                way.name,
                Spread::of(&figures.long_95),
                Spread::of(&figures.refused),
                Spread::of(&figures.prefill),
                Spread::of(&figures.share),
            );
            if figures.wrong > 0 {
                return Err(io::Error::other(format!("{} answers were wrong", figures.wrong)));
            }
        }
        lines.push(Line { name: way.name.to_owned(), points });
    }
    let title = "First token of urgent requests, 95 in 100";
    plot::write(&folder.join("policy.svg"), title, ("load, % of capacity", "ms"), &lines)
}

async fn measure(way: &Way, load_percent: u64) -> io::Result<Figures> {
    let mut figures = Figures::default();
    for seed in 1..=RUNS {
        let arguments = [
            "--gap-ms",
            &GAP_MS.to_string(),
            "--prefill",
            &PREFILL.to_string(),
            "--cache-blocks",
            "600",
        ];
        let plan = ClusterConfig {
            nodes: 4,
            engines: ENGINES,
            services: 0,
            slots: SLOTS,
            engine_arguments: arguments.map(str::to_owned).to_vec(),
            settings: json!({ "routing": { "owners": way.owners, "policy": way.policy } }),
            ..ClusterConfig::default()
        };
        let cluster = Cluster::start(plan).await?;
        let summaries = load::run(&cluster.client, &load_of(&cluster, load_percent, seed)).await;
        note(&mut figures, &cluster, &summaries).await;
    }
    Ok(figures)
}

async fn note(figures: &mut Figures, cluster: &Cluster, summaries: &BTreeMap<String, Summary>) {
    let mut all = Summary::new();
    summaries.values().for_each(|summary| all.add(summary));
    let of = |name: &str| summaries.get(name).cloned().unwrap_or_default();
    let mut urgent = of("flood-urgent");
    urgent.add(&of("desk-urgent"));
    figures.urgent_95.push(urgent.first_ms(0.95));
    let mut long = of("flood-long");
    long.add(&of("desk-long"));
    figures.long_95.push(long.first_ms(0.95));
    let sent = all.done + all.refused + all.failed;
    figures.refused.push((all.refused + all.failed) as f64 * 100.0 / sent.max(1) as f64);
    let ran = cluster.get_executions().await;
    let prefill: u64 = ran.iter().filter_map(|(_, entry)| entry["prefill"].as_u64()).sum();
    figures.prefill.push(prefill as f64 / all.done.max(1) as f64);
    let flood = of("flood-urgent").tokens + of("flood-long").tokens;
    figures.share.push(flood as f64 * 100.0 / all.tokens.max(1) as f64);
    figures.wrong += all.wrong;
}

/// Makes a load of two groups with equal demand, though one is owed three quarters.
fn load_of(cluster: &Cluster, load_percent: u64, seed: u64) -> load::Plan {
    let kind =
        |name: &str, credential: &str, class: &str, weight, words, topics, topic_words, tokens| {
            Kind {
                name: name.to_owned(),
                weight,
                credential: credential.to_owned(),
                class: class.to_owned(),
                model: "hidro".to_owned(),
                prompt_words: words,
                topics,
                topic_words,
                tokens,
            }
        };
    // Four of five calls are short and urgent; the fifth shares a long start with others.
    let kinds = vec![
        kind("flood-urgent", DUTY_CREDENTIAL, "urgent", 4, 40, 0, 0, 24),
        kind("flood-long", DUTY_CREDENTIAL, "briefing", 1, 60, 12, 1_600, 60),
        kind("desk-urgent", BRANCH_CREDENTIAL, "urgent", 4, 40, 0, 0, 24),
        kind("desk-long", BRANCH_CREDENTIAL, "briefing", 1, 60, 12, 1_600, 60),
    ];
    // By slots: a call holds one for its tokens, and for its prompt as if nothing were cached.
    let held =
        |tokens: u64, words: u64| (tokens * GAP_MS) as f64 / 1000.0 + words as f64 / PREFILL as f64;
    let mean = 0.8 * held(24, 40) + 0.2 * held(60, 1_660);
    let capacity = ENGINES as f64 * f64::from(SLOTS) / mean;
    load::Plan {
        targets: cluster.nodes.iter().map(|node| node.get_client_address()).collect(),
        rate: capacity * load_percent as f64 / 100.0,
        time: TIME,
        seed,
        kinds,
        is_followed: false,
    }
}
