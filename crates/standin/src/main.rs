//! Stand-ins and the load tool, each a subcommand and so a process of its own.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use keeljunction::http::Client;
use keeljunction::runtime;
use standin::engine::{self, Options};
use standin::load::{Kind, Plan};
use standin::measure::Which;
use standin::{demo, load, measure, platform, service};

/// Threads that run the tasks of a stand-in.
const THREADS: usize = 2;

fn main() -> ExitCode {
    let matches = build().get_matches();
    let done = match matches.subcommand() {
        Some(("platform", matches)) => {
            let lag = Duration::from_millis(number(matches, "vm-lag-ms"));
            runtime::run(THREADS, platform::serve(number(matches, "port") as u16, lag));
            Ok(())
        }
        Some(("engine", matches)) => {
            runtime::run(
                THREADS,
                engine::serve(number(matches, "port") as u16, options(matches), |_| {}),
            );
            Ok(())
        }
        Some(("service", matches)) => {
            let deduplicates = matches.get_flag("deduplicates");
            runtime::run(
                THREADS,
                service::serve(number(matches, "port") as u16, deduplicates, |_| {}),
            );
            Ok(())
        }
        Some(("load", matches)) => {
            runtime::run(THREADS, run_load(matches));
            Ok(())
        }
        Some(("measure", matches)) => {
            let which = match matches.get_one::<String>("which").map(String::as_str) {
                Some("policy") => Which::Policy,
                Some("size") => Which::Size,
                Some("shares") => Which::Shares,
                Some("tokens") => Which::Tokens,
                _ => Which::Baseline,
            };
            runtime::run(THREADS, measure::run(which, Path::new(&text(matches, "folder"))))
        }
        Some(("demo", _)) => runtime::run(THREADS, demo::run()),
        _ => Ok(()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn build() -> Command {
    let port = numeric("port", "0", "The port; 0 takes any free one");
    Command::new("standin")
        .about("Stand-ins for the systems that keeljunction meets, and a load tool")
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about("The table service, object store, VM list, notices and cloud API")
                .arg(port.clone())
                .arg(numeric("vm-lag-ms", "100", "Lag of the VM list")),
        )
        .subcommand(
            Command::new("engine")
                .about("A model engine")
                .arg(port.clone())
                .arg(numeric("prefill", "8000", "Prompt tokens read in a second"))
                .arg(numeric("gap-ms", "10", "Time between two tokens"))
                .arg(numeric("slots", "16", "Streams at the same time"))
                .arg(numeric("cache-blocks", "4096", "Blocks that the cache holds"))
                .arg(numeric("report-lag-ms", "200", "Age of load reports"))
                .arg(numeric(
                    "event-gap",
                    "0",
                    "Every so many cache events one is lost; 0 for none",
                ))
                .arg(numeric("export", "50000", "KV cache tokens sent in a second; 0 for none"))
                .arg(
                    Arg::new("unfenced")
                        .long("unfenced")
                        .action(ArgAction::SetTrue)
                        .help("Takes orders with any fence"),
                ),
        )
        .subcommand(
            Command::new("service").about("A plain service").arg(port).arg(
                Arg::new("deduplicates")
                    .long("deduplicates")
                    .action(ArgAction::SetTrue)
                    .help("Runs a request key once at most by itself"),
            ),
        )
        .subcommand(
            Command::new("load")
                .about("Calls nodes, or an engine directly, at a rate")
                .arg(
                    Arg::new("target")
                        .long("target")
                        .required(true)
                        .action(ArgAction::Append)
                        .value_parser(value_parser!(SocketAddr))
                        .help("Where calls go, in turn"),
                )
                .arg(numeric("rate", "20", "Calls in a second"))
                .arg(numeric("seconds", "5", "How long"))
                .arg(numeric("seed", "1", "The seed"))
                .arg(numeric("words", "32", "Words of the prompt"))
                .arg(numeric("tokens", "32", "Tokens to generate"))
                .arg(
                    Arg::new("credential")
                        .long("credential")
                        .default_value(standin::harness::DUTY_CREDENTIAL)
                        .help("The caller's credential"),
                )
                .arg(
                    Arg::new("class")
                        .long("class")
                        .default_value("urgent")
                        .help("The request class"),
                )
                .arg(Arg::new("model").long("model").default_value("hidro").help("The model")),
        )
        .subcommand(
            Command::new("measure")
                .about("Measures on real processes, and prints a table")
                .arg(
                    Arg::new("which")
                        .required(true)
                        .value_parser(["baseline", "policy", "shares", "size", "tokens"])
                        .help("What to measure"),
                )
                .arg(
                    Arg::new("folder")
                        .long("folder")
                        .default_value("docs/figures")
                        .help("Where plots go"),
                ),
        )
        .subcommand(Command::new("demo").about("Shows the main job from end to end, and checks it"))
}

fn numeric(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}

fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

fn options(matches: &ArgMatches) -> Options {
    Options {
        prefill_tokens_per_second: number(matches, "prefill"),
        token_interval_ms: number(matches, "gap-ms"),
        slots: number(matches, "slots") as usize,
        cache_blocks: number(matches, "cache-blocks") as usize,
        report_lag_ms: number(matches, "report-lag-ms"),
        event_loss_interval: number(matches, "event-gap"),
        export_tokens_per_second: number(matches, "export"),
        checks_fences: !matches.get_flag("unfenced"),
    }
}

async fn run_load(matches: &ArgMatches) {
    let kind = Kind {
        name: text(matches, "class"),
        weight: 1,
        credential: text(matches, "credential"),
        class: text(matches, "class"),
        model: text(matches, "model"),
        prompt_words: number(matches, "words") as usize,
        topics: 0,
        topic_words: 0,
        tokens: number(matches, "tokens"),
    };
    let plan = Plan {
        targets: matches.get_many::<SocketAddr>("target").into_iter().flatten().copied().collect(),
        rate: number(matches, "rate") as f64,
        time: Duration::from_secs(number(matches, "seconds")),
        seed: number(matches, "seed"),
        kinds: vec![kind],
        is_followed: false,
    };
    let client = Client::new(Duration::from_secs(1));
    for (name, summary) in load::run(&client, &plan).await {
        println!("{}", serde_json::json!({ "kind": name, "figures": summary.to_json() }));
    }
}
