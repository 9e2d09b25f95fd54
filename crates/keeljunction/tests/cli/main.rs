//! Tests of the command line.

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
    Command::new(env!("CARGO_BIN_EXE_keeljunction"))
        .args(arguments)
        .output()
        .expect("the binary runs")
}

fn output_text(output: &Output) -> String {
    let bytes = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    String::from_utf8_lossy(&bytes).into_owned()
}

fn write_file(folder: &TempDir, name: &str, content: &str) -> PathBuf {
    let path = folder.path().join(name);
    std::fs::write(&path, content).expect("the file is written");
    path
}

fn path_str(path: &Path) -> &str {
    path.to_str().expect("the path is valid UTF-8")
}

#[test]
fn valid_settings_are_accepted() {
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    let path = write_file(&folder, "settings.yaml", SETTINGS);
    let output = run(&["settings", "check", "--settings", path_str(&path)]);
    assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
    assert!(output_text(&output).contains("the settings of node entry-0 hold"));
}

#[test]
fn invalid_setting_is_reported_with_key_value_and_allowed_values() {
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
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    for (from, to, key) in cases {
        let path = write_file(&folder, "settings.yaml", &SETTINGS.replace(from, to));
        let output = run(&["settings", "check", "--settings", path_str(&path)]);
        let output_text = output_text(&output);
        assert_eq!(output.status.code(), Some(2), "{key}: {output_text}");
        for part in [&format!("key:     {key}"), "value:", "allowed:", "help:"] {
            assert!(output_text.contains(part), "{key}: no {part} in {output_text}");
        }
    }
}

#[test]
fn unknown_keys_and_missing_files_are_rejected() {
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    let path =
        write_file(&folder, "settings.yaml", &SETTINGS.replace("peer_credential", "peer_secret"));
    for command in ["settings check", "serve"] {
        let mut arguments: Vec<&str> = command.split(' ').collect();
        arguments.extend(["--settings", path_str(&path)]);
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(2), "{}", output_text(&output));
        assert!(output_text(&output).contains("peer_secret"), "{}", output_text(&output));
    }
    let output = run(&["settings", "check", "--settings", "nowhere.yaml"]);
    assert_eq!(output.status.code(), Some(1), "{}", output_text(&output));
}

#[test]
fn bundle_is_checked_and_signed_and_key_file_is_private() {
    use std::os::unix::fs::PermissionsExt;
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    let bundle = write_file(&folder, "bundle.yaml", BUNDLE);
    let key = folder.path().join("operator.key");
    let shown = run(&["bundle", "key", "--key", path_str(&key)]);
    assert_eq!(output_text(&shown).trim().len(), 64);
    assert_eq!(
        output_text(&run(&["bundle", "key", "--key", path_str(&key)])),
        output_text(&shown),
        "an existing key is kept"
    );
    let mode = std::fs::metadata(&key).expect("the key file exists").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    let checked = run(&["bundle", "check", path_str(&bundle)]);
    assert!(
        output_text(&checked).contains("version v1 holds, digest "),
        "{}",
        output_text(&checked)
    );
    let signed = run(&["bundle", "sign", path_str(&bundle), "--key", path_str(&key)]);
    assert_eq!(signed.status.code(), Some(0), "{}", output_text(&signed));
    assert!(
        !output_text(&signed)
            .contains(std::fs::read_to_string(&key).expect("the key file exists").trim())
    );
}

#[test]
fn unsigned_or_invalid_bundle_is_not_rolled() {
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    let bundle = write_file(&folder, "bundle.yaml", BUNDLE);
    let unsigned = run(&["bundle", "roll", path_str(&bundle), "--platform", "127.0.0.1:9"]);
    assert_eq!(unsigned.status.code(), Some(1), "{}", output_text(&unsigned));
    assert!(output_text(&unsigned).contains("the bundle is not signed"));
    let wrong = write_file(&folder, "wrong.yaml", &BUNDLE.replace("weight: 3", "weight: 0"));
    let output = run(&["bundle", "check", path_str(&wrong)]);
    assert_eq!(output.status.code(), Some(2), "{}", output_text(&output));
    assert!(output_text(&output).contains("key:     groups[0].weight"), "{}", output_text(&output));
}

#[test]
fn examples_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for name in ["caudalia.yaml", "tanglaw.yaml"] {
        let output = run(&["bundle", "check", path_str(&folder.join(name))]);
        assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
    }
    let output = run(&["settings", "check", "--settings", path_str(&folder.join("node.yaml"))]);
    assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
}

#[test]
fn unreachable_platform_or_node_is_reported_as_unavailable() {
    for arguments in [
        &["audit", "--platform", "127.0.0.1:9", "--timeout-ms", "300"][..],
        &["status", "--node", "127.0.0.1:9", "--timeout-ms", "300"][..],
    ] {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(1), "{}", output_text(&output));
        assert!(output_text(&output).contains("unavailable"), "{}", output_text(&output));
    }
}

#[test]
fn help_lists_subcommands_and_exit_statuses() {
    let help = output_text(&run(&["--help"]));
    for word in ["serve", "settings", "bundle", "status", "audit", "Exit status: 0 done"] {
        assert!(help.contains(word), "no {word} in {help}");
    }
    let help = output_text(&run(&["bundle", "--help"]));
    for word in ["check", "key", "sign", "roll", "rollback", "list", "show"] {
        assert!(help.contains(word), "no {word} in {help}");
    }
    assert_eq!(run(&["bundle", "rol"]).status.code(), Some(2));
}

const GATEWAY: &str = include_str!("../../../../examples/gateway.yaml");

#[test]
fn gateway_example_settings_are_valid() {
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    let path = write_file(&folder, "gateway.yaml", GATEWAY);
    let output = run(&["gateway", "--check", "--settings", path_str(&path)]);
    assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
    assert!(output_text(&output).contains("the settings of node entry-0 hold"));
}

#[test]
fn gateway_bound_out_of_range_is_reported_with_allowed_range() {
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    let wrong = GATEWAY.replace("revoke_ms: 5000", "revoke_ms: 0");
    let path = write_file(&folder, "gateway.yaml", &wrong);
    let output = run(&["gateway", "--check", "--settings", path_str(&path)]);
    assert_eq!(output.status.code(), Some(2));
    for expected in ["bounds.revoke_ms", "100 to 3600000"] {
        assert!(output_text(&output).contains(expected), "{}", output_text(&output));
    }
}

#[test]
fn gateway_unknown_key_is_rejected() {
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    let path = write_file(&folder, "gateway.yaml", &format!("{GATEWAY}\nretries: 3\n"));
    let output = run(&["gateway", "--check", "--settings", path_str(&path)]);
    assert_eq!(output.status.code(), Some(2));
    assert!(output_text(&output).contains("retries"));
}

#[test]
fn trace_orders_lines_of_one_request() {
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    let first = write_file(
        &folder,
        "n-1.log",
        "{\"time_ms\":1200,\"level\":\"INFO\",\"event\":\"request_ended\",\"request\":\"r1\",\"status\":503}\n\
         {\"time_ms\":1100,\"level\":\"INFO\",\"event\":\"request_ended\",\"request\":\"r2\",\"status\":200}\n",
    );
    let second = write_file(
        &folder,
        "n-2.log",
        "  -1.5 n-2 {\"time_ms\":1150,\"level\":\"INFO\",\"event\":\"server_chosen\",\"request\":\"r1\",\"server\":\"s\"}\n",
    );
    let output = run(&["trace", "--request", "r1", path_str(&first), path_str(&second)]);
    assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
    let expected = "+     0 ms  -1.5 n-2  server_chosen  server=s\n\
                    +    50 ms  n-1  request_ended  status=503\n";
    assert_eq!(output_text(&output), expected);
    let output = run(&["trace", "--request", "r9", path_str(&first)]);
    assert_eq!(output.status.code(), Some(1));
    assert!(output_text(&output).contains("no line names the request"));
}
