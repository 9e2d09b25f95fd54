//! `keeljunction bundle`

use std::fs;
use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use ed25519_dalek::SigningKey;
use hyper::Method;
use keeljunction_core::bundle::{self, Action, Roll, Signature};
use keeljunction_core::{Error, ErrorKind};
use rand_core::OsRng;

use super::audit::rolls;
use super::platform::{
    connect, get_timeout, json_arg, platform_arg, print_json, timeout_arg, unavailable,
};
use super::roll::{self, RollRequest};
use super::serve::get_path;
use super::status::{call_node, get_nodes, node_arg};
use super::{Failure, audit};
use crate::platform::Client;
use crate::runtime;

const SIGNATURE_SUFFIX: &str = "sig";

pub(super) fn build() -> Command {
    Command::new("bundle")
        .about("Checks, signs, rolls and rolls back bundles")
        .subcommand_required(true)
        .subcommand(Command::new("check").about("Validates a bundle").arg(file_arg()))
        .subcommand(
            Command::new("key")
                .about("Prints the public key of a signing key, and creates the key if it does not exist")
                .arg(key_arg().help("The file of the signing key; created if it does not exist")),
        )
        .subcommand(
            Command::new("sign")
                .about("Validates and signs a bundle")
                .arg(file_arg())
                .arg(key_arg()),
        )
        .subcommand(
            with_roll_args(Command::new("roll").about("Activates a signed bundle on all nodes"))
                .arg(file_arg()),
        )
        .subcommand(
            with_roll_args(
                Command::new("rollback").about("Reactivates the bundle of an earlier roll"),
            )
            .arg(
                Arg::new("to")
                    .long("to")
                    .value_name("NUMBER")
                    .required(true)
                    .value_parser(value_parser!(u64))
                    .help("The number of the earlier roll"),
            ),
        )
        .subcommand(with_read_args(Command::new("list").about("Lists all rolls")))
        .subcommand(
            with_read_args(Command::new("show").about("Shows the bundle of a roll")).arg(
                Arg::new("number")
                    .value_name("NUMBER")
                    .value_parser(value_parser!(u64))
                    .help("The number of the roll [default: the last one]"),
            ),
        )
}

pub(super) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("check", matches)) => check(matches),
        Some(("key", matches)) => key(matches),
        Some(("sign", matches)) => sign(matches),
        Some(("roll", matches)) => roll(matches),
        Some(("rollback", matches)) => rollback(matches),
        Some(("list", matches)) => audit::run(matches),
        Some(("show", matches)) => show(matches),
        _ => Ok(()),
    }
}

fn with_roll_args(command: Command) -> Command {
    let operator = Arg::new("operator")
        .long("operator")
        .value_name("NAME")
        .env("USER")
        .default_value("unknown")
        .help("The name of the operator, for the audit log");
    let above = Arg::new("above")
        .long("above")
        .value_name("NUMBER")
        .value_parser(value_parser!(u64))
        .help("Fails unless this is the number of the active roll");
    with_read_args(command)
        .arg(operator)
        .arg(above)
        .arg(node_arg().help("The operator address of a node to notify at once"))
}

fn with_read_args(command: Command) -> Command {
    command.arg(platform_arg()).arg(timeout_arg()).arg(json_arg())
}

fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The bundle file, in YAML")
}

fn key_arg() -> Arg {
    Arg::new("key")
        .long("key")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The file of the operator's signing key")
}

fn check(matches: &ArgMatches) -> Result<(), Failure> {
    let path = get_path(matches, "file")?;
    let body = read(path)?;
    let document = parse(&body)?;
    println!(
        "{}: version {} holds, digest {}",
        path.display(),
        document.version,
        bundle::digest(&body)
    );
    Ok(())
}

fn key(matches: &ArgMatches) -> Result<(), Failure> {
    let path = get_path(matches, "key")?;
    if !path.exists() {
        write_secret(path, &hex::encode(SigningKey::generate(&mut OsRng).to_bytes()))?;
    }
    let key = bundle::parse_signing_key(&fs::read_to_string(path)?)?;
    println!("{}", hex::encode(key.verifying_key().as_bytes()));
    Ok(())
}

fn sign(matches: &ArgMatches) -> Result<(), Failure> {
    let path = get_path(matches, "file")?;
    let body = read(path)?;
    parse(&body)?;
    let key = bundle::parse_signing_key(&fs::read_to_string(get_path(matches, "key")?)?)?;
    let signature = bundle::sign(&key, &body);
    let to = signature_path(path);
    fs::write(&to, serde_json::to_string_pretty(&signature).unwrap_or_default())?;
    println!("{}: signed {} with key {}", to.display(), bundle::digest(&body), signature.key);
    Ok(())
}

fn roll(matches: &ArgMatches) -> Result<(), Failure> {
    let path = get_path(matches, "file")?;
    let body = read(path)?;
    let document = parse(&body)?;
    let signature = read_signature(path)?;
    bundle::verify(std::slice::from_ref(&signature.key), &body, &signature)?;
    let client = connect(matches)?;
    let request = RollRequest {
        version: &document.version,
        digest: bundle::digest(&body),
        signature,
        action: Action::Roll,
        operator: get_operator(matches),
        above: matches.get_one::<u64>("above").copied(),
    };
    let rolled = runtime::run(0, async {
        roll::upload(&client, &body).await?;
        roll::commit(&client, request).await
    })?;
    finish(matches, &rolled);
    Ok(())
}

fn rollback(matches: &ArgMatches) -> Result<(), Failure> {
    let client = connect(matches)?;
    let number = matches.get_one::<u64>("to").copied().unwrap_or_default();
    let rolled = runtime::run(0, async {
        let earlier = find(&client, Some(number)).await?;
        let request = RollRequest {
            version: &earlier.version,
            digest: earlier.digest.clone(),
            signature: earlier.signature.clone(),
            action: Action::Rollback,
            operator: get_operator(matches),
            above: matches.get_one::<u64>("above").copied(),
        };
        roll::commit(&client, request).await
    })?;
    finish(matches, &rolled);
    Ok(())
}

fn show(matches: &ArgMatches) -> Result<(), Failure> {
    let client = connect(matches)?;
    let number = matches.get_one::<u64>("number").copied();
    let (roll, body) = runtime::run(0, async {
        let roll = find(&client, number).await?;
        let body = client.get_object(&roll.digest).await.map_err(|fault| unavailable(&fault))?;
        Ok::<_, Error>((roll, body))
    })?;
    if matches.get_flag("json") {
        print_json(&roll);
    } else {
        println!(
            "# roll {}, version {}, by {}, digest {}",
            roll.number, roll.version, roll.operator, roll.digest
        );
        print!("{}", String::from_utf8_lossy(&body));
    }
    Ok(())
}

async fn find(client: &Client, number: Option<u64>) -> Result<Roll, Error> {
    let rolls = rolls(client).await?;
    let found = match number {
        Some(number) => rolls.iter().find(|roll| roll.number == number),
        None => rolls.last(),
    };
    found.cloned().ok_or_else(|| {
        let last = rolls.last().map_or(0, |roll| roll.number);
        Error::new(ErrorKind::NotFound, "unknown roll")
            .value(number.unwrap_or_default().to_string())
            .allowed(format!("1 to {last}"))
            .tip("run `keeljunction bundle list` to see all rolls")
    })
}

/// Notifies the given nodes, and prints the roll.
fn finish(matches: &ArgMatches, rolled: &Roll) {
    let time = get_timeout(matches);
    runtime::run(0, async {
        for node in get_nodes(matches) {
            if let Err(error) = call_node(node, Method::POST, "/nudge", time).await {
                eprintln!(
                    "could not notify {node}, which will receive the roll from its peers: {error}"
                );
            }
        }
    });
    if matches.get_flag("json") {
        print_json(rolled);
    } else {
        println!("roll {}: version {} was accepted", rolled.number, rolled.version);
    }
}

fn get_operator(matches: &ArgMatches) -> &str {
    matches.get_one::<String>("operator").map_or("unknown", String::as_str)
}

fn read(path: &Path) -> Result<Vec<u8>, Error> {
    fs::read(path).map_err(|error| {
        Error::new(ErrorKind::NotFound, format!("cannot read the bundle: {error}"))
            .value(path.display().to_string())
    })
}

fn parse(body: &[u8]) -> Result<bundle::Document, Error> {
    let text = std::str::from_utf8(body)
        .map_err(|_| Error::new(ErrorKind::Malformed, "the bundle is not valid UTF-8"))?;
    bundle::parse(text)
}

fn signature_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".");
    name.push(SIGNATURE_SUFFIX);
    PathBuf::from(name)
}

fn read_signature(path: &Path) -> Result<Signature, Error> {
    let path = signature_path(path);
    let text = fs::read_to_string(&path).map_err(|_| {
        Error::new(ErrorKind::Untrusted, "the bundle is not signed")
            .value(path.display().to_string())
            .tip("run `keeljunction bundle sign FILE --key KEY` to sign it")
    })?;
    serde_json::from_str(&text).map_err(|error| {
        Error::new(ErrorKind::Untrusted, format!("the signature file is malformed: {error}"))
    })
}

/// Writes a file that only its owner can read. Fails if the file exists.
fn write_secret(path: &Path, text: &str) -> std::io::Result<()> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let mut file = fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(path)?;
    file.write_all(text.as_bytes())
}
