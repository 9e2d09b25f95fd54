//! The command line, as an operator or a script meets it.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use tempfile::TempDir;

const SETTINGS: &str = "
node: { name: entry-0, data_centre: hall-norte }
listen: { caller: '127.0.0.1:0', peer: '127.0.0.1:0', operator: '127.0.0.1:0' }
platform: { address: '127.0.0.1:9' }
peer_credential: 0123456789abcdef
trusted_keys: ['1111111111111111111111111111111111111111111111111111111111111111']
";
const BUNDLE: &str = "
version: v1
groups: [{ name: flood, weight: 3, accounts: [] }]
services: [{ name: gauge-api, kind: plain }]
classes: [{ name: urgent, first_token_ms: 800, deadline_ms: 20000 }]
";

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_keeljunction")).args(arguments).output().expect("it runs")
}

fn said(output: &Output) -> String {
    let text = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    String::from_utf8_lossy(&text).into_owned()
}

fn file(folder: &TempDir, name: &str, text: &str) -> PathBuf {
    let path = folder.path().join(name);
    std::fs::write(&path, text).expect("it is written");
    path
}

fn text(path: &Path) -> &str {
    path.to_str().expect("it is text")
}

#[test]
fn good_settings_are_accepted() {
    let folder = tempfile::tempdir().expect("there is a folder");
    let path = file(&folder, "settings.yaml", SETTINGS);
    let output = run(&["settings", "check", "--settings", text(&path)]);
    assert_eq!(output.status.code(), Some(0), "{}", said(&output));
    assert!(said(&output).contains("the settings of node entry-0 hold"));
}

#[test]
fn each_wrong_setting_is_named_with_value_allowed_and_tip() {
    let cases = [
        ("name: entry-0", "name: ''", "node.name"),
        ("0123456789abcdef", "short", "peer_credential"),
        ("['1111", "['zz11", "trusted_keys[0]"),
        ("peer_credential", "threads: 0\npeer_credential", "threads"),
        ("peer_credential", "log_level: loud\npeer_credential", "log_level"),
        ("peer_credential", "limits: { body_bytes: 1 }\npeer_credential", "limits.body_bytes"),
        ("peer_credential", "membership: { probe_ms: 1 }\npeer_credential", "membership.probe_ms"),
        (
            "peer_credential",
            "routing: { retry_per_mille: 5000 }\npeer_credential",
            "routing.retry_per_mille",
        ),
        ("peer_credential", "times: { roll_poll_ms: 1 }\npeer_credential", "times.roll_poll_ms"),
    ];
    let folder = tempfile::tempdir().expect("there is a folder");
    for (from, to, key) in cases {
        let path = file(&folder, "settings.yaml", &SETTINGS.replace(from, to));
        let output = run(&["settings", "check", "--settings", text(&path)]);
        let said = said(&output);
        assert_eq!(output.status.code(), Some(2), "{key}: {said}");
        for part in [&format!("key:     {key}"), "value:", "allowed:", "help:"] {
            assert!(said.contains(part), "{key}: no {part} in {said}");
        }
    }
}

#[test]
fn unknown_keys_and_missing_files_are_refused() {
    let folder = tempfile::tempdir().expect("there is a folder");
    let path = file(&folder, "settings.yaml", &SETTINGS.replace("peer_credential", "peer_secret"));
    for command in ["settings check", "serve"] {
        let mut arguments: Vec<&str> = command.split(' ').collect();
        arguments.extend(["--settings", text(&path)]);
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(2), "{}", said(&output));
        assert!(said(&output).contains("peer_secret"), "{}", said(&output));
    }
    let output = run(&["settings", "check", "--settings", "nowhere.yaml"]);
    assert_eq!(output.status.code(), Some(1), "{}", said(&output));
}

#[test]
fn a_bundle_is_checked_signed_and_its_key_kept_private() {
    use std::os::unix::fs::PermissionsExt;
    let folder = tempfile::tempdir().expect("there is a folder");
    let bundle = file(&folder, "bundle.yaml", BUNDLE);
    let key = folder.path().join("operator.key");
    let shown = run(&["bundle", "key", "--key", text(&key)]);
    assert_eq!(said(&shown).trim().len(), 64);
    assert_eq!(
        said(&run(&["bundle", "key", "--key", text(&key)])),
        said(&shown),
        "the key is kept"
    );
    let mode = std::fs::metadata(&key).expect("it is there").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    let checked = run(&["bundle", "check", text(&bundle)]);
    assert!(said(&checked).contains("version v1 holds, digest "), "{}", said(&checked));
    let signed = run(&["bundle", "sign", text(&bundle), "--key", text(&key)]);
    assert_eq!(signed.status.code(), Some(0), "{}", said(&signed));
    assert!(!said(&signed).contains(std::fs::read_to_string(&key).expect("it is there").trim()));
}

#[test]
fn a_bundle_that_is_not_signed_or_does_not_hold_is_not_rolled() {
    let folder = tempfile::tempdir().expect("there is a folder");
    let bundle = file(&folder, "bundle.yaml", BUNDLE);
    let unsigned = run(&["bundle", "roll", text(&bundle), "--platform", "127.0.0.1:9"]);
    assert_eq!(unsigned.status.code(), Some(1), "{}", said(&unsigned));
    assert!(said(&unsigned).contains("the bundle is not signed"));
    let wrong = file(&folder, "wrong.yaml", &BUNDLE.replace("weight: 3", "weight: 0"));
    let output = run(&["bundle", "check", text(&wrong)]);
    assert_eq!(output.status.code(), Some(2), "{}", said(&output));
    assert!(said(&output).contains("key:     groups[0].weight"), "{}", said(&output));
}

#[test]
fn the_examples_hold() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for name in ["caudalia.yaml", "tanglaw.yaml"] {
        let output = run(&["bundle", "check", text(&folder.join(name))]);
        assert_eq!(output.status.code(), Some(0), "{}", said(&output));
    }
    let output = run(&["settings", "check", "--settings", text(&folder.join("node.yaml"))]);
    assert_eq!(output.status.code(), Some(0), "{}", said(&output));
}

#[test]
fn an_unreachable_platform_or_node_is_said_plainly() {
    for arguments in [
        &["audit", "--platform", "127.0.0.1:9", "--timeout-ms", "300"][..],
        &["status", "--node", "127.0.0.1:9", "--timeout-ms", "300"][..],
    ] {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(1), "{}", said(&output));
        assert!(said(&output).contains("unavailable"), "{}", said(&output));
    }
}

#[test]
fn help_names_every_subcommand_and_the_exit_statuses() {
    let help = said(&run(&["--help"]));
    for word in ["serve", "settings", "bundle", "status", "audit", "Exit status: 0 done"] {
        assert!(help.contains(word), "no {word} in {help}");
    }
    let help = said(&run(&["bundle", "--help"]));
    for word in ["check", "key", "sign", "roll", "rollback", "list", "show"] {
        assert!(help.contains(word), "no {word} in {help}");
    }
    assert_eq!(run(&["bundle", "rol"]).status.code(), Some(2));
}

const GATEWAY: &str = include_str!("../../../../examples/gateway.yaml");

#[test]
fn the_example_of_a_gateways_settings_holds() {
    let folder = tempfile::tempdir().expect("there is a folder");
    let path = file(&folder, "gateway.yaml", GATEWAY);
    let output = run(&["gateway", "--check", "--settings", text(&path)]);
    assert_eq!(output.status.code(), Some(0), "{}", said(&output));
    assert!(said(&output).contains("the settings of node entry-0 hold"));
}

#[test]
fn a_gateways_bound_out_of_range_is_named_with_what_is_allowed() {
    let folder = tempfile::tempdir().expect("there is a folder");
    let wrong = GATEWAY.replace("revoke_ms: 5000", "revoke_ms: 0");
    let path = file(&folder, "gateway.yaml", &wrong);
    let output = run(&["gateway", "--check", "--settings", text(&path)]);
    assert_eq!(output.status.code(), Some(2));
    for expected in ["bounds.revoke_ms", "100 to 3600000"] {
        assert!(said(&output).contains(expected), "{}", said(&output));
    }
}

#[test]
fn a_gateways_unknown_key_is_refused() {
    let folder = tempfile::tempdir().expect("there is a folder");
    let path = file(&folder, "gateway.yaml", &format!("{GATEWAY}\nretries: 3\n"));
    let output = run(&["gateway", "--check", "--settings", text(&path)]);
    assert_eq!(output.status.code(), Some(2));
    assert!(said(&output).contains("retries"));
}

#[test]
fn a_trace_orders_the_lines_of_one_request() {
    let folder = tempfile::tempdir().expect("there is a folder");
    let first = file(
        &folder,
        "n-1.log",
        "{\"time_ms\":1200,\"level\":\"INFO\",\"event\":\"request_ended\",\"request\":\"r1\",\"status\":503}\n\
         {\"time_ms\":1100,\"level\":\"INFO\",\"event\":\"request_ended\",\"request\":\"r2\",\"status\":200}\n",
    );
    let second = file(
        &folder,
        "n-2.log",
        "  -1.5 n-2 {\"time_ms\":1150,\"level\":\"INFO\",\"event\":\"server_chosen\",\"request\":\"r1\",\"server\":\"s\"}\n",
    );
    let output = run(&["trace", "--request", "r1", text(&first), text(&second)]);
    assert_eq!(output.status.code(), Some(0), "{}", said(&output));
    let expected = "+     0 ms  -1.5 n-2  server_chosen  server=s\n\
                    +    50 ms  n-1  request_ended  status=503\n";
    assert_eq!(said(&output), expected);
    let output = run(&["trace", "--request", "r9", text(&first)]);
    assert_eq!(output.status.code(), Some(1));
    assert!(said(&output).contains("no line names the request"));
}
