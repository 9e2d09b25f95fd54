//! Reading and validation of settings.

use std::fs;
use std::path::Path;

use keeljunction_core::{Error, ErrorKind};

use super::Settings;

const MIN_CREDENTIAL_LENGTH: usize = 16;
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
const PUBLIC_KEY_HEX_LENGTH: usize = 64;

/// Reads settings from a file and validates them.
///
/// # Errors
///
/// Returns [`ErrorKind::NotFound`] if the file cannot be read, or an error of [`parse`].
pub fn load(path: &Path) -> Result<Settings, Error> {
    let text = fs::read_to_string(path).map_err(|error| {
        Error::new(ErrorKind::NotFound, format!("cannot read the settings: {error}"))
            .key("--settings")
            .value(path.display().to_string())
            .tip("pass the path of a YAML file; see docs/OPERATIONS.md for an example")
    })?;
    parse(&text)
}

/// Parses settings from YAML and validates them.
///
/// # Errors
///
/// Returns [`ErrorKind::Malformed`] if the text cannot be parsed as settings. Otherwise returns the
/// first invalid setting, with its key, value, allowed values and a tip.
pub fn parse(text: &str) -> Result<Settings, Error> {
    let settings: Settings = serde_saphyr::from_str(text).map_err(|error| {
        Error::new(ErrorKind::Malformed, error.to_string())
            .tip("see docs/OPERATIONS.md for the list of settings")
    })?;
    check(&settings)?;
    Ok(settings)
}

fn check(settings: &Settings) -> Result<(), Error> {
    check_names(settings)?;
    check_secrets(settings)?;
    check_limits(settings)?;
    check_times(settings)
}

fn check_names(settings: &Settings) -> Result<(), Error> {
    for (key, value) in
        [("node.name", &settings.node.name), ("node.data_centre", &settings.node.data_centre)]
    {
        if value.trim().is_empty() {
            return Err(Error::new(ErrorKind::InvalidValue, "the name is empty")
                .key(key)
                .value("\"\"")
                .allowed("any non-empty text")
                .tip("use the name in the VM list of the platform"));
        }
    }
    if !LOG_LEVELS.contains(&settings.log_level.as_str()) {
        return Err(Error::new(ErrorKind::InvalidValue, "unknown log level")
            .key("log_level")
            .value(settings.log_level.as_str())
            .allowed(LOG_LEVELS.join(", "))
            .tip("info is the default"));
    }
    Ok(())
}

fn check_secrets(settings: &Settings) -> Result<(), Error> {
    let length = settings.peer_credential.len();
    if length < MIN_CREDENTIAL_LENGTH {
        return Err(Error::new(ErrorKind::InvalidValue, "the credential is too short")
            .key("peer_credential")
            .value(format!("{length} characters"))
            .allowed(format!("{MIN_CREDENTIAL_LENGTH} characters or more"))
            .tip("generate a random value and use it on all nodes"));
    }
    if settings.trusted_keys.is_empty() {
        return Err(Error::new(ErrorKind::MissingKey, "no trusted operator key")
            .key("trusted_keys")
            .value("[]")
            .allowed("at least one ed25519 public key, as 64 hex digits")
            .tip("`keeljunction bundle key` prints a public key"));
    }
    for (index, key) in settings.trusted_keys.iter().enumerate() {
        let is_hex = key.bytes().all(|byte| byte.is_ascii_hexdigit());
        if key.len() != PUBLIC_KEY_HEX_LENGTH || !is_hex {
            return Err(Error::new(ErrorKind::InvalidValue, "not an ed25519 public key")
                .key(format!("trusted_keys[{index}]"))
                .value(key.as_str())
                .allowed("64 hex digits")
                .tip("`keeljunction bundle key` prints a public key"));
        }
    }
    Ok(())
}

fn check_limits(settings: &Settings) -> Result<(), Error> {
    let limits = &settings.limits;
    check_range("limits.body_bytes", limits.body_bytes as u64, 1_024, 1 << 30)?;
    check_range("limits.head_bytes", limits.head_bytes as u64, 8_192, 1 << 20)?;
    check_range("limits.connections", limits.connections as u64, 1, 1_000_000)?;
    check_range("limits.requests", limits.requests as u64, 1, 1_000_000)?;
    check_range("limits.requests_per_account", limits.requests_per_account as u64, 1, 1_000_000)?;
    check_range("limits.record_bytes", limits.record_bytes as u64, 1 << 16, 1 << 34)?;
    check_range("limits.write_ms", limits.write_ms, 10, 3_600_000)?;
    check_range("limits.idle_ms", limits.idle_ms, 10, 3_600_000)?;
    check_range("threads", settings.threads as u64, 1, 256)
}

fn check_times(settings: &Settings) -> Result<(), Error> {
    let membership = &settings.membership;
    check_range("membership.probe_ms", membership.probe_ms, 10, 60_000)?;
    check_range("membership.answer_ms", membership.answer_ms, 1, 60_000)?;
    check_range("membership.suspicion_ms", membership.suspicion_ms, 10, 600_000)?;
    check_range("membership.helpers", membership.helpers as u64, 0, 16)?;
    check_range("routing.report_ms", settings.routing.report_ms, 10, 60_000)?;
    check_range("routing.retry_per_mille", settings.routing.retry_per_mille, 0, 1_000)?;
    check_range("routing.retry_burst", settings.routing.retry_burst, 0, 10_000)?;
    check_range(
        "platform.calls_per_second",
        settings.platform.calls_per_second.into(),
        1,
        100_000,
    )?;
    check_range("platform.call_ms", settings.platform.call_ms, 10, 60_000)?;
    check_range("times.roll_poll_ms", settings.times.roll_poll_ms, 10, 60_000)?;
    check_range("times.vm_poll_ms", settings.times.vm_poll_ms, 10, 60_000)?;
    check_range("times.stop_grace_ms", settings.times.stop_grace_ms, 0, 600_000)?;
    check_range("times.stop_ms", settings.times.stop_ms, 0, 86_400_000)?;
    check_range("times.progress_ms", settings.times.progress_ms, 100, 3_600_000)?;
    check_range("times.keep_answer_ms", settings.times.keep_answer_ms, 0, 86_400_000)
}

fn check_range(key: &str, value: u64, min: u64, max: u64) -> Result<(), Error> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(Error::new(ErrorKind::InvalidValue, "the number is out of range")
        .key(key)
        .value(value.to_string())
        .allowed(format!("{min} to {max}"))
        .tip("omit the key to use the default"))
}
