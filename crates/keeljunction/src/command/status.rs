//! `keeljunction status`

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use hyper::{Method, Request};
use keeljunction_core::{Error, ErrorKind};
use serde_json::{Value, json};

use super::Failure;
use super::platform::{get_timeout, json_arg, print_json, timeout_arg};
use crate::http::{self, Body};
use crate::runtime;

const MAX_RESPONSE_BYTES: usize = 16 << 20;

pub(super) fn build() -> Command {
    Command::new("status")
        .about("Shows the status of nodes")
        .arg(node_arg().required(true))
        .arg(timeout_arg())
        .arg(json_arg())
}

pub(super) fn node_arg() -> Arg {
    Arg::new("node")
        .long("node")
        .value_name("IP:PORT")
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .help("The operator address of a node; can be repeated")
}

pub(super) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let time = get_timeout(matches);
    let nodes = get_nodes(matches);
    let answers: Vec<(SocketAddr, Result<Value, Error>)> = runtime::run(0, async {
        let mut answers = Vec::new();
        for node in nodes {
            answers.push((node, call_node(node, Method::GET, "/status", time).await));
        }
        answers
    });
    print(&answers, matches.get_flag("json"));
    match answers.into_iter().find_map(|(_, answer)| answer.err()) {
        Some(error) => Err(error.into()),
        None => Ok(()),
    }
}

pub(super) fn get_nodes(matches: &ArgMatches) -> Vec<SocketAddr> {
    matches.get_many::<SocketAddr>("node").into_iter().flatten().copied().collect()
}

/// Calls the operator API of a node.
pub(super) async fn call_node(
    node: SocketAddr,
    method: Method,
    path: &str,
    time: Duration,
) -> Result<Value, Error> {
    let failed =
        |why: String| Error::new(ErrorKind::Unavailable, why).key("--node").value(node.to_string());
    let request = Request::builder().method(method).uri(path).header("host", node.to_string());
    let request = request.body(Body::empty()).map_err(|error| failed(error.to_string()))?;
    let client = http::Client::new(time);
    let exchange = async {
        let response =
            client.send(node, request).await.map_err(|error| failed(error.to_string()))?;
        let content = http::read_body(response.into_body(), MAX_RESPONSE_BYTES).await;
        content.ok_or_else(|| failed("incomplete response".to_owned()))
    };
    let content = runtime::timeout(time, exchange).await;
    let content =
        content.unwrap_or_else(|| Err(failed("no response before the timeout".to_owned())))?;
    serde_json::from_slice(&content).map_err(|error| failed(error.to_string()))
}

fn print(answers: &[(SocketAddr, Result<Value, Error>)], is_json: bool) {
    if is_json {
        let to_json = |(node, answer): &(SocketAddr, Result<Value, Error>)| match answer {
            Ok(status) => status.clone(),
            Err(error) => json!({ "address": node.to_string(), "error": error.to_string() }),
        };
        return print_json(&answers.iter().map(to_json).collect::<Vec<_>>());
    }
    println!(
        "{:<16} {:<16} {:<6} {:>5}  {:<20} {:>7}",
        "NODE", "DATA CENTRE", "READY", "ROLL", "VERSION", "RUNNING"
    );
    for (node, answer) in answers {
        match answer {
            Ok(status) => println!(
                "{:<16} {:<16} {:<6} {:>5}  {:<20} {:>7}",
                status["node"].as_str().unwrap_or_default(),
                status["data_centre"].as_str().unwrap_or_default(),
                status["ready"].as_bool().unwrap_or_default(),
                status["roll"],
                status["version"].as_str().unwrap_or_default(),
                status["running"]
            ),
            Err(_) => println!("{node:<16} does not respond"),
        }
    }
}
