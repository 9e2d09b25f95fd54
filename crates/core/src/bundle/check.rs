//! Parsing and validation of bundles.

use std::collections::BTreeSet;

use super::{Document, Kind};
use crate::{Error, ErrorKind};

const MAX_WEIGHT: u32 = 1_000_000;
const MAX_DEADLINE_MS: u64 = 3_600_000;
const DIGEST_HEX_DIGITS: usize = 64;

/// Parses a bundle from YAML and validates it.
///
/// # Errors
///
/// Returns [`ErrorKind::Malformed`] if the text is not a bundle. For an invalid bundle, returns the
/// first error found, with the key, the value and the allowed values.
pub fn parse(text: &str) -> Result<Document, Error> {
    let document: Document = serde_saphyr::from_str(text).map_err(|error| {
        Error::new(ErrorKind::Malformed, error.to_string())
            .tip("see docs/OPERATIONS.md for the keys of a bundle")
    })?;
    check(&document)?;
    Ok(document)
}

fn check(document: &Document) -> Result<(), Error> {
    check_not_blank("version", &document.version)?;
    check_groups(document)?;
    check_services(document)?;
    check_classes(document)
}

fn check_groups(document: &Document) -> Result<(), Error> {
    check_not_empty("groups", document.groups.len())?;
    check_unique("groups", document.groups.iter().map(|group| group.name.as_str()))?;
    let accounts = document.groups.iter().flat_map(|group| &group.accounts);
    check_unique("groups[].accounts", accounts.clone().map(|account| account.name.as_str()))?;
    check_unique("credential_sha256", accounts.map(|account| account.credential_sha256.as_str()))?;
    for (index, group) in document.groups.iter().enumerate() {
        check_not_blank(&format!("groups[{index}].name"), &group.name)?;
        check_range(&format!("groups[{index}].weight"), group.weight.into(), 1, MAX_WEIGHT.into())?;
        for (number, account) in group.accounts.iter().enumerate() {
            let key = format!("groups[{index}].accounts[{number}].credential_sha256");
            check_digest(&key, &account.credential_sha256)?;
        }
    }
    Ok(())
}

fn check_services(document: &Document) -> Result<(), Error> {
    check_not_empty("services", document.services.len())?;
    check_unique("services", document.services.iter().map(|service| service.name.as_str()))?;
    let models = document.services.iter().flat_map(|service| &service.models);
    check_unique("services[].models", models.map(|model| model.name.as_str()))?;
    for (index, service) in document.services.iter().enumerate() {
        check_not_blank(&format!("services[{index}].name"), &service.name)?;
        check_range(&format!("services[{index}].slots"), service.slots.into(), 1, 4096)?;
        let key = format!("services[{index}].prefill_tokens_per_second");
        check_range(&key, service.prefill_tokens_per_second.into(), 1, 10_000_000)?;
        check_models(&format!("services[{index}].models"), service.kind, service.models.len())?;
    }
    Ok(())
}

fn check_models(key: &str, kind: Kind, count: usize) -> Result<(), Error> {
    match kind {
        Kind::Model => check_not_empty(key, count),
        Kind::Plain if count > 0 => {
            Err(Error::new(ErrorKind::Conflict, "a plain service must not list models")
                .key(key)
                .value(format!("{count} models"))
                .allowed("none")
                .tip("set kind: model, or remove the models"))
        }
        Kind::Plain => Ok(()),
    }
}

fn check_classes(document: &Document) -> Result<(), Error> {
    check_not_empty("classes", document.classes.len())?;
    check_unique("classes", document.classes.iter().map(|class| class.name.as_str()))?;
    for (index, class) in document.classes.iter().enumerate() {
        check_not_blank(&format!("classes[{index}].name"), &class.name)?;
        let deadline = format!("classes[{index}].deadline_ms");
        check_range(&deadline, class.deadline_ms, 1, MAX_DEADLINE_MS)?;
        let first = format!("classes[{index}].first_token_ms");
        check_range(&first, class.first_token_ms, 1, class.deadline_ms)?;
    }
    Ok(())
}

fn check_not_blank(key: &str, value: &str) -> Result<(), Error> {
    if value.trim().is_empty() {
        return Err(Error::new(ErrorKind::InvalidValue, "the value is empty")
            .key(key)
            .allowed("a non-empty string"));
    }
    Ok(())
}

fn check_not_empty(key: &str, count: usize) -> Result<(), Error> {
    if count == 0 {
        return Err(Error::new(ErrorKind::MissingKey, "at least one entry is required").key(key));
    }
    Ok(())
}

fn check_range(key: &str, value: u64, min: u64, max: u64) -> Result<(), Error> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(Error::new(ErrorKind::InvalidValue, "the value is out of range")
        .key(key)
        .value(value.to_string())
        .allowed(format!("{min} to {max}")))
}

fn check_digest(key: &str, value: &str) -> Result<(), Error> {
    let is_hex = value.bytes().all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
    if value.len() == DIGEST_HEX_DIGITS && is_hex {
        return Ok(());
    }
    Err(Error::new(ErrorKind::InvalidValue, "the value is not a SHA-256 digest")
        .key(key)
        .value(format!("{} characters", value.len()))
        .allowed("64 lower-case hex digits")
        .tip("never put the credential itself here: printf %s SECRET | sha256sum"))
}

fn check_unique<'a>(key: &str, names: impl Iterator<Item = &'a str>) -> Result<(), Error> {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(Error::new(ErrorKind::Conflict, "duplicate name")
                .key(key)
                .value(name)
                .allowed("unique names"));
        }
    }
    Ok(())
}
