//! Arguments and helpers shared by the operator subcommands.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, value_parser};
use keeljunction_core::bundle::Roll;
use keeljunction_core::{Error, ErrorKind};

use crate::http;
use crate::platform::{Client, Fault, Row};
use crate::settings;

const CALLS_PER_SECOND: u32 = 50;

pub(super) fn platform_arg() -> Arg {
    Arg::new("platform")
        .long("platform")
        .value_name("IP:PORT")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("The address of the platform")
}

pub(super) fn json_arg() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Prints JSON")
}

pub(super) fn timeout_arg() -> Arg {
    Arg::new("timeout")
        .long("timeout-ms")
        .value_name("MS")
        .default_value("3000")
        .value_parser(value_parser!(u64).range(1..))
        .help("The timeout of one call, in milliseconds")
}

pub(super) fn connect(matches: &ArgMatches) -> Result<Client, Error> {
    let address = matches.get_one::<SocketAddr>("platform").copied();
    let address = address
        .ok_or_else(|| Error::new(ErrorKind::MissingKey, "no platform").key("--platform"))?;
    let call_ms = get_timeout(matches).as_millis() as u64;
    let settings = settings::Platform { address, calls_per_second: CALLS_PER_SECOND, call_ms };
    Ok(Client::new(settings, http::Client::new(get_timeout(matches))))
}

pub(super) fn get_timeout(matches: &ArgMatches) -> Duration {
    Duration::from_millis(matches.get_one::<u64>("timeout").copied().unwrap_or(3_000))
}

pub(super) fn unavailable(fault: &Fault) -> Error {
    Error::new(ErrorKind::Unavailable, fault.to_string())
        .tip("nothing was changed; try again when the platform is available")
}

pub(super) fn read_roll(row: &Row) -> Result<Roll, Error> {
    serde_json::from_str(&row.value).map_err(|error| {
        Error::new(ErrorKind::Malformed, format!("the roll is malformed: {error}"))
            .key(row.key.as_str())
    })
}

pub(super) fn print_json<T: serde::Serialize>(value: &T) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}
