//! Generates the settings and bundles of a test cluster.

use std::io;

use keeljunction_core::bundle;
use serde_json::{Value, json};

use super::cluster::{BRANCH_CREDENTIAL, ClusterConfig, DUTY_CREDENTIAL};

const PEER_CREDENTIAL: &str = "between-nodes-only-0123456789";

/// Generates the settings of a node.
///
/// The base has short intervals for tests. The cluster's settings override it, and the node's
/// settings override both.
pub(super) fn settings(config: &ClusterConfig, node_settings: &Value) -> io::Result<String> {
    let mut settings = json!({
        "listen": { "caller": "127.0.0.1:0", "peer": "127.0.0.1:0", "operator": "127.0.0.1:0" },
        "platform": { "call_ms": 500, "calls_per_second": 500 },
        "peer_credential": PEER_CREDENTIAL,
        "membership": { "probe_ms": 100, "answer_ms": 100, "suspicion_ms": 500 },
        "times": { "roll_poll_ms": 200, "vm_poll_ms": 200, "stop_grace_ms": 300 },
    });
    merge(&mut settings, &config.settings);
    merge(&mut settings, node_settings);
    serde_saphyr::to_string(&settings).map_err(io::Error::other)
}

/// Generates a bundle version.
pub(super) fn bundle(config: &ClusterConfig, version: &str) -> String {
    let (service_extra, end_extra) = &config.extra_yaml;
    let (slots, export) = (config.slots, config.export_tokens_per_second);
    let (duty, branch) =
        (bundle::digest(DUTY_CREDENTIAL.as_bytes()), bundle::digest(BRANCH_CREDENTIAL.as_bytes()));
    format!(
        "version: {version}
groups:
  - name: flood
    weight: 3
    accounts: [{{ name: duty, credential_sha256: {duty} }}]
  - name: desk
    weight: 1
    accounts: [{{ name: branch, credential_sha256: {branch} }}]
services:
  - name: hidro-llm
    kind: model
    models: [{{ name: hidro, version: '1' }}]
    slots: {slots}
    prefill_tokens_per_second: 8000
    export_tokens_per_second: {export}
    checks_fences: true
{service_extra}  - name: gauge-api
    kind: plain
    slots: 64
classes:
  - {{ name: urgent, first_token_ms: 800, deadline_ms: 20000, priority: 0 }}
  - {{ name: briefing, first_token_ms: 4000, deadline_ms: 60000, priority: 1 }}
  - {{ name: reading, first_token_ms: 500, deadline_ms: 10000, priority: 0 }}
  - {{ name: alert, first_token_ms: 500, deadline_ms: 10000, priority: 0, repeatable: false }}
{end_extra}"
    )
}

/// Merges `source` into `target` recursively; values of `source` take precedence.
fn merge(target: &mut Value, source: &Value) {
    match (target, source) {
        (Value::Object(target), Value::Object(source)) => {
            for (key, value) in source {
                merge(target.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (target, source) => *target = source.clone(),
    }
}
