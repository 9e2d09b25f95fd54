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
use super::status::ask;
use crate::runtime;

const PATH: &str = "/rollouts";
/// The time between two tables of `watch`.
const PERIOD: Duration = Duration::from_secs(1);

pub(super) fn build() -> Command {
    Command::new("rollout")
        .about("Shows how services move to other versions, as a gateway node knows it")
        .subcommand_required(true)
        .subcommand(with_arguments(
            Command::new("list").about("Lists the roll-outs and how far they have come"),
        ))
        .subcommand(
            with_arguments(Command::new("show").about("Shows the roll-out of one service"))
                .arg(Arg::new("service").value_name("SERVICE").required(true).help("The service")),
        )
        .subcommand(with_arguments(
            Command::new("watch").about("Lists them each second until all are decided"),
        ))
}

fn with_arguments(command: Command) -> Command {
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
        .ok_or_else(|| Error::new(ErrorKind::MissingKey, "no node").key("--node"))?;
    let time = get_timeout(matches);
    let answer: Value = runtime::run(0, ask(node, Method::GET, PATH, time))?;
    serde_json::from_value(answer).map_err(|error| {
        Error::new(ErrorKind::Malformed, format!("the answer is no list of roll-outs: {error}"))
            .key("--node")
            .value(node.to_string())
            .tip("give the metrics address of a gateway node")
    })
}

fn show(matches: &ArgMatches) -> Result<(), Error> {
    let service = matches.get_one::<String>("service").map_or("", String::as_str);
    let mut summaries = get(matches)?;
    summaries.retain(|summary| summary.order.service == service);
    if summaries.is_empty() {
        return Err(Error::new(ErrorKind::NotFound, "there is no roll-out of this service")
            .key("SERVICE")
            .value(service)
            .tip("`keeljunction rollout list` names those that the node knows of"));
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
        std::thread::sleep(PERIOD);
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
