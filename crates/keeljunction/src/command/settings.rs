//! `keeljunction settings`

use clap::{ArgMatches, Command};

use super::Failure;
use super::serve::{get_path, settings_arg};
use crate::settings;

pub(super) fn build() -> Command {
    Command::new("settings")
        .about("Works with the settings of a node")
        .subcommand_required(true)
        .subcommand(Command::new("check").about("Validates settings").arg(settings_arg()))
}

pub(super) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    if let Some(("check", matches)) = matches.subcommand() {
        let path = get_path(matches, "settings")?;
        let settings = settings::load(path)?;
        println!("{}: the settings of node {} hold", path.display(), settings.node.name);
    }
    Ok(())
}
