//! The settings and bundles that a cluster is started with.

use std::io;

use keeljunction_core::bundle;
use serde_json::{Value, json};

use super::cluster::{BRANCH, DUTY, Plan};

const PEER_CREDENTIAL: &str = "between-nodes-only-0123456789";

/// Writes the settings of a node: quick times for tests, the plan's own, and the node's own over them.
pub(super) fn settings(plan: &Plan, own: &Value) -> io::Result<String> {
    let mut settings = json!({
        "listen": { "caller": "127.0.0.1:0", "peer": "127.0.0.1:0", "operator": "127.0.0.1:0" },
        "platform": { "call_ms": 500, "calls_per_second": 500 },
        "peer_credential": PEER_CREDENTIAL,
        "membership": { "probe_ms": 100, "answer_ms": 100, "suspicion_ms": 500 },
        "times": { "roll_poll_ms": 200, "vm_poll_ms": 200, "stop_grace_ms": 300 },
    });
    merge(&mut settings, &plan.settings);
    merge(&mut settings, own);
    serde_saphyr::to_string(&settings).map_err(io::Error::other)
}

/// Writes a version of the bundle.
pub(super) fn bundle(plan: &Plan, version: &str) -> String {
    let (service_extra, end_extra) = &plan.extra;
    let (slots, export) = (plan.slots, plan.export_per_second);
    let (duty, branch) = (bundle::digest(DUTY.as_bytes()), bundle::digest(BRANCH.as_bytes()));
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

/// Puts the values of one JSON object over those of another, section by section.
fn merge(into: &mut Value, over: &Value) {
    match (into, over) {
        (Value::Object(into), Value::Object(over)) => {
            for (key, value) in over {
                merge(into.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (into, over) => *into = over.clone(),
    }
}
