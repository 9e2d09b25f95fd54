//! `keeljunction trace`

use std::fs;
use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use keeljunction_core::{Error, ErrorKind};
use keeljunction_gateway::trace::{find, render};

use super::Failure;

pub(super) fn build() -> Command {
    Command::new("trace")
        .about("Shows the log lines of one request from all nodes, in chronological order")
        .arg(
            Arg::new("request")
                .long("request")
                .value_name("ID")
                .required(true)
                .help("The ID of the request, as sent by the client"),
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("The log files of the nodes"),
        )
}

pub(super) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let request = matches.get_one::<String>("request").map_or("", String::as_str);
    let mut lines = Vec::new();
    for path in matches.get_many::<PathBuf>("files").into_iter().flatten() {
        let log = fs::read_to_string(path).map_err(|error| {
            Error::new(ErrorKind::NotFound, format!("cannot read a log file: {error}"))
                .key("FILE")
                .value(path.display().to_string())
                .tip("pass files with the standard output of the nodes")
        })?;
        let source = path.file_stem().map_or_else(String::new, |s| s.to_string_lossy().into());
        lines.extend(find(request, &source, &log));
    }
    if lines.is_empty() {
        return Err(Error::new(ErrorKind::NotFound, "no line names the request")
            .key("--request")
            .value(request)
            .tip("under load, only a sample of the lines of successful requests is logged")
            .into());
    }
    print!("{}", render(lines));
    Ok(())
}
