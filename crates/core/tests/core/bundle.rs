//! Validation and signatures of bundles, and the adoption of rolls.

use keeljunction_core::ErrorKind;
use keeljunction_core::bundle::{Adoption, adopt, parse, parse_signing_key, sign, verify};
use keeljunction_core::error::Context;

const VALID: &str = "
version: v1
groups:
  - name: flood
    weight: 3
    accounts: [{ name: duty, credential_sha256: 0000000000000000000000000000000000000000000000000000000000000000 }]
services:
  - name: hidro-llm
    kind: model
    models: [{ name: hidro, version: '1' }]
  - name: gauge-api
    kind: plain
classes:
  - { name: urgent, first_token_ms: 800, deadline_ms: 20000 }
";

#[test]
fn a_valid_bundle_is_parsed_with_defaults() {
    let bundle = parse(VALID).expect("a valid bundle");
    assert_eq!(bundle.get_service("hidro-llm").map(|service| service.slots), Some(16));
    assert_eq!(
        bundle.get_model_service("hidro").map(|service| service.name.as_str()),
        Some("hidro-llm")
    );
    assert_eq!(bundle.get_class("urgent").map(|class| class.repeatable), Some(true));
}

#[test]
fn each_error_names_the_invalid_key() {
    let cases = [
        ("weight: 3", "weight: 0", ErrorKind::InvalidValue, "groups[0].weight"),
        ("name: flood", "name: ''", ErrorKind::InvalidValue, "groups[0].name"),
        (
            "0000000000 }",
            "000000000Z }",
            ErrorKind::InvalidValue,
            "groups[0].accounts[0].credential_sha256",
        ),
        ("deadline_ms: 20000", "deadline_ms: 0", ErrorKind::InvalidValue, "classes[0].deadline_ms"),
        (
            "first_token_ms: 800",
            "first_token_ms: 80000",
            ErrorKind::InvalidValue,
            "classes[0].first_token_ms",
        ),
        ("kind: plain", "kind: model", ErrorKind::MissingKey, "services[1].models"),
        ("kind: model", "kind: plain", ErrorKind::Conflict, "services[0].models"),
        ("name: gauge-api", "name: hidro-llm", ErrorKind::Conflict, "services"),
    ];
    for (from, to, kind, key) in cases {
        let error = parse(&VALID.replace(from, to)).expect_err("an error");
        assert_eq!(error.get_kind(), kind, "{to}: {error}");
        assert!(error.get_context().contains(&Context::Key(key.to_owned())), "{to}: {error}");
    }
}

#[test]
fn an_unknown_key_is_rejected_and_the_known_keys_are_listed() {
    let error = parse(&VALID.replace("weight: 3", "wieght: 3")).expect_err("an error");
    assert_eq!(error.get_kind(), ErrorKind::Malformed);
    assert!(
        error.to_string().contains("wieght") && error.to_string().contains("weight"),
        "{error}"
    );
}

#[test]
fn a_signature_is_valid_only_for_its_body_and_key() {
    let key = parse_signing_key(&"11".repeat(32)).expect("a key");
    let signature = sign(&key, b"body");
    let trusted = vec![signature.key.clone()];
    assert_eq!(verify(&trusted, b"body", &signature), Ok(()));
    for (trusted, body) in [(trusted.as_slice(), b"b0dy"), (&[], b"body")] {
        let error = verify(trusted, body, &signature).expect_err("an error");
        assert_eq!(error.get_kind(), ErrorKind::Untrusted);
    }
}

#[test]
fn only_a_higher_roll_is_adopted() {
    for (in_force, offered, adoption) in [
        (0, 1, Adoption::Adopt),
        (3, 4, Adoption::Adopt),
        (3, 3, Adoption::Keep),
        (3, 2, Adoption::Keep),
    ] {
        assert_eq!(adopt(in_force, offered), adoption, "{in_force} {offered}");
    }
}
