//! `keeljunction audit`

use clap::{ArgMatches, Command};
use keeljunction_core::Error;
use keeljunction_core::bundle::{Action, Roll};

use super::Failure;
use super::platform::{
    connect, json_arg, platform_arg, print_json, read_roll, timeout_arg, unavailable,
};
use crate::platform::{AUDIT_PREFIX, Client};
use crate::runtime;

pub(super) fn build() -> Command {
    Command::new("audit")
        .about("Shows the audit log of all rolls")
        .arg(platform_arg())
        .arg(timeout_arg())
        .arg(json_arg())
}

pub(super) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let client = connect(matches)?;
    let rolls = runtime::run(0, rolls(&client))?;
    print(&rolls, matches.get_flag("json"));
    Ok(())
}

/// Reads all rolls, oldest first.
pub(super) async fn rolls(client: &Client) -> Result<Vec<Roll>, Error> {
    let rows = client.scan(AUDIT_PREFIX).await.map_err(|fault| unavailable(&fault))?;
    rows.iter().map(read_roll).collect()
}

pub(super) fn print(rolls: &[Roll], is_json: bool) {
    if is_json {
        return print_json(&rolls);
    }
    println!(
        "{:>6}  {:<24} {:<9} {:<16} {:<20} {:.12}",
        "ROLL", "TIME", "ACTION", "OPERATOR", "VERSION", "DIGEST"
    );
    for roll in rolls {
        let action = match roll.action {
            Action::Roll => "roll",
            Action::Rollback => "rollback",
        };
        let time = std::time::UNIX_EPOCH + std::time::Duration::from_millis(roll.unix_ms);
        let time = humantime::format_rfc3339_millis(time);
        println!(
            "{:>6}  {time:<24} {action:<9} {:<16} {:<20} {:.12}",
            roll.number, roll.operator, roll.version, roll.digest
        );
    }
}
