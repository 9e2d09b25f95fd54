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

/// Builds the command-line parser.
pub fn build() -> Command {
    Command::new("keeljunction")
        .version(clap::crate_version!())
        .about("Routes requests to models and services on reclaimable VMs")
        .long_about(
            "Routes requests to models and plain services on VMs that the cloud may reclaim at\n\
             short notice.\n\n\
             `serve` and `gateway` run an entry node. All other subcommands are for operators:\n\
             they call the table service and object store of the platform, or the operator\n\
             addresses of nodes.",
        )
        .after_help("Exit status: 0 done, 1 failed, 2 invalid arguments or settings, 3 conflict with another roll.")
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

/// Runs the selected subcommand.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let result = match matches.subcommand() {
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
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.print(),
    }
}
