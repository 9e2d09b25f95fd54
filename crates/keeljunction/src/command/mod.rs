//! The command line.

mod audit;
mod bundle;
mod gateway;
mod platform;
mod report;
mod roll;
mod rollout;
mod serve;
mod settings;
mod status;
mod trace;

use std::process::ExitCode;

use clap::{ArgMatches, Command};

pub use report::Failure;

/// Describes the whole command line.
pub fn build() -> Command {
    Command::new("keeljunction")
        .version(clap::crate_version!())
        .about("Serves models and plain services on reclaimable VMs")
        .long_about(
            "Serves models and plain services on VMs that the cloud may take back at short notice.\n\n\
             `serve` runs an entry node. All other subcommands are for operators: they talk to the\n\
             platform's table service and object store, and to nodes' operator addresses.",
        )
        .after_help("Exit status: 0 done, 1 failed, 2 wrong arguments or settings, 3 lost a race.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve::build())
        .subcommand(gateway::build())
        .subcommand(settings::build())
        .subcommand(bundle::build())
        .subcommand(status::build())
        .subcommand(audit::build())
        .subcommand(rollout::build())
        .subcommand(trace::build())
}

/// Runs the subcommand.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let done = match matches.subcommand() {
        Some(("serve", matches)) => serve::run(matches),
        Some(("gateway", matches)) => gateway::run(matches),
        Some(("settings", matches)) => settings::run(matches),
        Some(("bundle", matches)) => bundle::run(matches),
        Some(("status", matches)) => status::run(matches),
        Some(("audit", matches)) => audit::run(matches),
        Some(("rollout", matches)) => rollout::run(matches),
        Some(("trace", matches)) => trace::run(matches),
        _ => Ok(()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.print(),
    }
}
