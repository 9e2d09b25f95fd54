//! `keeljunction rollout`

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use hyper::Method;
use keeljunction_core::serving::rollout::Summary;
use keeljunction_core::{Error, ErrorKind};
use serde_json::Value;

use super::Failure;
use super::platform::{get_timeout, json_arg, print_json, timeout_arg};
use super::status::call_node;
use crate::runtime;

const PATH: &str = "/rollouts";
/// The interval between the tables printed by `watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

pub(super) fn build() -> Command {
    Command::new("rollout")
        .about("Shows the rollouts of service versions, as seen by a gateway node")
        .subcommand_required(true)
        .subcommand(with_args(Command::new("list").about("Lists the rollouts and their progress")))
        .subcommand(
            with_args(Command::new("show").about("Shows the rollout of one service"))
                .arg(Arg::new("service").value_name("SERVICE").required(true).help("The service")),
        )
        .subcommand(with_args(
            Command::new("watch").about("Lists the rollouts every second until all have finished"),
        ))
}

fn with_args(command: Command) -> Command {
    command.arg(node_arg()).arg(timeout_arg()).arg(json_arg())
}

fn node_arg() -> Arg {
    Arg::new("node")
        .long("node")
        .value_name("IP:PORT")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("The metrics address of a gateway node")
}

pub(super) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("list", matches)) => print(&get(matches)?, matches.get_flag("json")),
        Some(("show", matches)) => show(matches)?,
        Some(("watch", matches)) => watch(matches)?,
        _ => {}
    }
    Ok(())
}

fn get(matches: &ArgMatches) -> Result<Vec<Summary>, Error> {
    let node = matches
        .get_one::<SocketAddr>("node")
        .copied()
        .ok_or_else(|| Error::new(ErrorKind::MissingKey, "missing node address").key("--node"))?;
    let time = get_timeout(matches);
    let answer: Value = runtime::run(0, call_node(node, Method::GET, PATH, time))?;
    serde_json::from_value(answer).map_err(|error| {
        Error::new(ErrorKind::Malformed, format!("the response is not a list of rollouts: {error}"))
            .key("--node")
            .value(node.to_string())
            .tip("pass the metrics address of a gateway node")
    })
}

fn show(matches: &ArgMatches) -> Result<(), Error> {
    let service = matches.get_one::<String>("service").map_or("", String::as_str);
    let mut summaries = get(matches)?;
    summaries.retain(|summary| summary.order.service == service);
    if summaries.is_empty() {
        return Err(Error::new(ErrorKind::NotFound, "no rollout of this service")
            .key("SERVICE")
            .value(service)
            .tip("run `keeljunction rollout list` to see all rollouts that the node knows"));
    }
    print(&summaries, matches.get_flag("json"));
    Ok(())
}

fn watch(matches: &ArgMatches) -> Result<(), Error> {
    loop {
        let summaries = get(matches)?;
        print(&summaries, matches.get_flag("json"));
        if summaries.iter().all(|summary| summary.stage.is_final()) {
            return Ok(());
        }
        std::thread::sleep(WATCH_INTERVAL);
    }
}

fn print(summaries: &[Summary], is_json: bool) {
    if is_json {
        return print_json(&summaries);
    }
    println!(
        "{:<16} {:<12} {:<12} {:>9} {:>9} {:>8} {:>8}",
        "SERVICE", "VERSION", "STAGE", "SENT", "TO IT", "ANSWERS", "FAILED"
    );
    for summary in summaries {
        println!(
            "{:<16} {:<12} {:<12} {:>9} {:>9} {:>8} {:>8}",
            summary.order.service,
            summary.order.target_version,
            summary.stage.as_str(),
            summary.sent,
            summary.sent_to_target,
            summary.answers,
            summary.failed
        );
    }
}
