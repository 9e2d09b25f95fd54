//! The `standin` command: each stand-in, the load generator and the benchmarks are subcommands.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use keeljunction::http::Client;
use keeljunction::runtime;
use standin::engine::{self, Options};
use standin::load::{Kind, Plan};
use standin::measure::Benchmark;
use standin::{demo, load, measure, platform, service};

/// Number of threads that run the tasks of a stand-in.
const WORKER_THREADS: usize = 2;

fn main() -> ExitCode {
    let matches = build_command().get_matches();
    let result = match matches.subcommand() {
        Some(("platform", matches)) => {
            let lag = Duration::from_millis(get_number(matches, "vm-lag-ms"));
            runtime::run(WORKER_THREADS, platform::serve(get_number(matches, "port") as u16, lag));
            Ok(())
        }
        Some(("engine", matches)) => {
            runtime::run(
                WORKER_THREADS,
                engine::serve(get_number(matches, "port") as u16, get_options(matches), |_| {}),
            );
            Ok(())
        }
        Some(("service", matches)) => {
            let deduplicates = matches.get_flag("deduplicates");
            runtime::run(
                WORKER_THREADS,
                service::serve(get_number(matches, "port") as u16, deduplicates, |_| {}),
            );
            Ok(())
        }
        Some(("load", matches)) => {
            runtime::run(WORKER_THREADS, run_load(matches));
            Ok(())
        }
        Some(("measure", matches)) => {
            let benchmark = match matches.get_one::<String>("which").map(String::as_str) {
                Some("policy") => Benchmark::Policy,
                Some("size") => Benchmark::Size,
                Some("shares") => Benchmark::Shares,
                Some("tokens") => Benchmark::Tokens,
                _ => Benchmark::Baseline,
            };
            runtime::run(
                WORKER_THREADS,
                measure::run(benchmark, Path::new(&get_text(matches, "folder"))),
            )
        }
        Some(("demo", _)) => runtime::run(WORKER_THREADS, demo::run()),
        _ => Ok(()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn build_command() -> Command {
    let port = numeric_arg("port", "0", "Port to listen on; 0 selects a free port");
    Command::new("standin")
        .about("Stand-ins for the systems around keeljunction, and a load generator")
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about("Serves the tables, objects, VM list, notices and cloud API")
                .arg(port.clone())
                .arg(numeric_arg("vm-lag-ms", "100", "Delay of VM list changes, in milliseconds")),
        )
        .subcommand(
            Command::new("engine")
                .about("Serves a model engine")
                .arg(port.clone())
                .arg(numeric_arg("prefill", "8000", "Prompt tokens prefilled per second"))
                .arg(numeric_arg("gap-ms", "10", "Interval between two tokens, in milliseconds"))
                .arg(numeric_arg("slots", "16", "Number of concurrent streams"))
                .arg(numeric_arg("cache-blocks", "4096", "Prefix cache capacity, in blocks"))
                .arg(numeric_arg(
                    "report-lag-ms",
                    "200",
                    "Interval of load reports, in milliseconds",
                ))
                .arg(numeric_arg(
                    "event-gap",
                    "0",
                    "Drops one of every N cache events; 0 drops none",
                ))
                .arg(numeric_arg(
                    "export",
                    "50000",
                    "KV cache tokens exported per second; 0 for none",
                ))
                .arg(
                    Arg::new("unfenced")
                        .long("unfenced")
                        .action(ArgAction::SetTrue)
                        .help("Accepts orders with an outdated fencing token"),
                ),
        )
        .subcommand(
            Command::new("service").about("Serves a plain service").arg(port).arg(
                Arg::new("deduplicates")
                    .long("deduplicates")
                    .action(ArgAction::SetTrue)
                    .help("Runs a request at most once per idempotency key"),
            ),
        )
        .subcommand(
            Command::new("load")
                .about("Sends calls to nodes, or directly to an engine, at a given rate")
                .arg(
                    Arg::new("target")
                        .long("target")
                        .required(true)
                        .action(ArgAction::Append)
                        .value_parser(value_parser!(SocketAddr))
                        .help("Address that receives calls; repeat for round-robin over several"),
                )
                .arg(numeric_arg("rate", "20", "Calls per second"))
                .arg(numeric_arg("seconds", "5", "Duration of the load, in seconds"))
                .arg(numeric_arg("seed", "1", "Random seed"))
                .arg(numeric_arg("words", "32", "Number of words in the prompt"))
                .arg(numeric_arg("tokens", "32", "Number of tokens to generate"))
                .arg(
                    Arg::new("credential")
                        .long("credential")
                        .default_value(standin::harness::DUTY_CREDENTIAL)
                        .help("Credential of the client account"),
                )
                .arg(Arg::new("class").long("class").default_value("urgent").help("Request class"))
                .arg(Arg::new("model").long("model").default_value("hidro").help("Model name")),
        )
        .subcommand(
            Command::new("measure")
                .about("Runs a benchmark on real processes and prints the results")
                .arg(
                    Arg::new("which")
                        .required(true)
                        .value_parser(["baseline", "policy", "shares", "size", "tokens"])
                        .help("Benchmark to run"),
                )
                .arg(
                    Arg::new("folder")
                        .long("folder")
                        .default_value("docs/figures")
                        .help("Directory for plots"),
                ),
        )
        .subcommand(Command::new("demo").about("Checks the main features from end to end"))
}

fn numeric_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn get_number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}

fn get_text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

fn get_options(matches: &ArgMatches) -> Options {
    Options {
        prefill_tokens_per_second: get_number(matches, "prefill"),
        token_interval_ms: get_number(matches, "gap-ms"),
        slots: get_number(matches, "slots") as usize,
        cache_blocks: get_number(matches, "cache-blocks") as usize,
        report_lag_ms: get_number(matches, "report-lag-ms"),
        event_loss_interval: get_number(matches, "event-gap"),
        export_tokens_per_second: get_number(matches, "export"),
        checks_fences: !matches.get_flag("unfenced"),
    }
}

async fn run_load(matches: &ArgMatches) {
    let kind = Kind {
        name: get_text(matches, "class"),
        weight: 1,
        credential: get_text(matches, "credential"),
        class: get_text(matches, "class"),
        model: get_text(matches, "model"),
        prompt_words: get_number(matches, "words") as usize,
        shared_prefixes: 0,
        prefix_words: 0,
        tokens: get_number(matches, "tokens"),
    };
    let plan = Plan {
        targets: matches.get_many::<SocketAddr>("target").into_iter().flatten().copied().collect(),
        rate: get_number(matches, "rate") as f64,
        duration: Duration::from_secs(get_number(matches, "seconds")),
        seed: get_number(matches, "seed"),
        kinds: vec![kind],
        retries_rejected: false,
    };
    let client = Client::new(Duration::from_secs(1));
    for (name, summary) in load::run(&client, &plan).await {
        println!("{}", serde_json::json!({ "kind": name, "figures": summary.to_json() }));
    }
}
