//! `keeljunction gateway`

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use keeljunction_gateway::process::serve::serve;
use keeljunction_gateway::settings::Settings;
use keeljunction_gateway::{log, runtime};

use super::Failure;
use super::serve::get_path;

pub(super) fn build() -> Command {
    Command::new("gateway")
        .about("Runs an entry node that uses a platform for configuration, discovery and leases")
        .long_about(
            "Runs an entry node that forwards requests to the servers listed by a platform.\n\
             SIGTERM or SIGINT stops the node after it has drained the requests in flight.\n\
             SIGHUP reloads the settings. Logs go to standard output as JSON lines.",
        )
        .arg(settings_arg())
        .arg(
            Arg::new("check")
                .long("check")
                .action(clap::ArgAction::SetTrue)
                .help("Validates the settings and exits"),
        )
}

fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .env("KEELJUNCTION_BOOT")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The settings file, in YAML")
}

pub(super) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let path = get_path(matches, "settings")?;
    let settings = Settings::load(path)?;
    if matches.get_flag("check") {
        println!("{}: the settings of node {} hold", path.display(), settings.node.name);
        return Ok(());
    }
    log::init(&settings.log.level, settings.log.lines_per_second);
    let platform = keeljunction_platform::connect(&settings.platform);
    Ok(runtime::run(0, serve(settings, path.clone(), platform))?)
}
