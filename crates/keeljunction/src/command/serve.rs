//! `keeljunction serve`

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use keeljunction_core::{Error, ErrorKind};

use super::Failure;
use crate::{log, node, runtime, settings};

pub(super) fn build() -> Command {
    Command::new("serve")
        .about("Runs an entry node")
        .long_about(
            "Runs an entry node. SIGTERM or SIGINT stops the node after it has drained the requests\n\
             in flight. At startup the node prints its addresses to standard output as one JSON\n\
             line. Logs go to standard error as JSON lines.",
        )
        .arg(settings_arg())
}

pub(super) fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The settings file, in YAML")
}

pub(super) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let settings = settings::load(get_path(matches, "settings")?)?;
    log::start(&settings.log_level);
    // With a single thread, the main thread runs the tasks and no workers are started.
    let threads = if settings.threads > 1 { settings.threads } else { 0 };
    Ok(runtime::run(threads, node::serve::serve(settings))?)
}

/// Returns a path argument that clap requires.
pub(super) fn get_path<'a>(matches: &'a ArgMatches, name: &str) -> Result<&'a PathBuf, Error> {
    matches
        .get_one::<PathBuf>(name)
        .ok_or_else(|| Error::new(ErrorKind::MissingKey, "missing argument").key(name))
}
