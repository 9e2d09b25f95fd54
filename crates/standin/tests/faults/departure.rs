//! A backend server that is leaving receives no new requests after a few seconds.

use std::time::Duration;

use keeljunction::runtime;
use serde_json::json;
use standin::harness::{Cluster, ClusterConfig};

use super::support::{briefing, on_cluster, send};

const DEPARTURE_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends requests through `nodes` for twice [`DEPARTURE_TIMEOUT`] and asserts that `server` gets
/// none after the timeout.
async fn expect_no_new_requests(cluster: &Cluster, server: &str, nodes: &[usize]) {
    let started_at = runtime::unix_ms();
    let mut number = 0;
    while runtime::unix_ms() < started_at + 2 * DEPARTURE_TIMEOUT.as_millis() as u64 {
        let node = nodes[number % nodes.len()];
        let _ = send(cluster, node, &briefing(&format!("request {number}"), 2)).await;
        number += 1;
    }
    let executions = cluster.get_executions().await;
    let last = executions.iter().filter(|(name, _)| name == server);
    let last = last.filter_map(|(_, entry)| entry["unix_ms"].as_u64()).max().unwrap_or(0);
    let after = last.saturating_sub(started_at);
    println!(
        "the last new request arrived {after} ms after the departure; {number} requests were sent"
    );
    assert!(after < DEPARTURE_TIMEOUT.as_millis() as u64, "{after} ms");
    assert!(number > 20, "too few requests were sent: {number}");
}

#[test]
fn server_with_reclaim_notice_receives_no_new_requests() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        cluster.give_notice("hidro-0", 60_000).await;
        expect_no_new_requests(&cluster, "hidro-0", &[0, 1, 2]).await;
    });
}

#[test]
fn server_leaving_in_a_delayed_vm_list_receives_no_new_requests() {
    on_cluster(ClusterConfig { vm_lag_ms: 1_000, ..ClusterConfig::default() }, async |cluster| {
        cluster.mark_leaving("hidro-0").await;
        expect_no_new_requests(&cluster, "hidro-0", &[0, 1, 2]).await;
    });
}

#[test]
fn notice_spreads_from_a_node_that_is_killed_afterwards() {
    let settings = json!({ "times": { "vm_poll_ms": 60_000 } });
    on_cluster(
        ClusterConfig {
            nodes: 2,
            settings,
            uses_seed_address: true,
            vm_lag_ms: 0,
            ..ClusterConfig::default()
        },
        async |mut cluster| {
            // A new node polls the notices immediately, the other nodes only after a minute.
            cluster.give_notice("hidro-0", 60_000).await;
            cluster.start_node("entry-2", 2).await.expect("the node starts");
            let is_leaving = |status: &serde_json::Value| status["servers"]["hidro-0"] == "leaving";
            let propagation = cluster
                .wait_for_status(DEPARTURE_TIMEOUT, is_leaving)
                .await
                .expect("all nodes see the notice");
            println!(
                "all nodes saw the notice {} ms after one node had read it",
                propagation.as_millis()
            );
            cluster.nodes[2].process.kill();
            cluster.nodes.truncate(2);
            expect_no_new_requests(&cluster, "hidro-0", &[0, 1]).await;
        },
    );
}
