//! A backend server that is leaving receives no new work after a few seconds.

use std::time::Duration;

use keeljunction::runtime;
use serde_json::json;
use standin::harness::{Cluster, ClusterConfig};

use super::support::{briefing, on_cluster, send};

const FEW_SECONDS: Duration = Duration::from_secs(3);

/// Sends requests through all nodes for a while, and checks that a server got none of them after
/// a moment.
async fn expect_none_after(cluster: &Cluster, server: &str, nodes: &[usize]) {
    let left_at = runtime::unix_ms();
    let mut number = 0;
    while runtime::unix_ms() < left_at + 2 * FEW_SECONDS.as_millis() as u64 {
        let node = nodes[number % nodes.len()];
        let _ = send(cluster, node, &briefing(&format!("request {number}"), 2)).await;
        number += 1;
    }
    let ran = cluster.get_executions().await;
    let last = ran.iter().filter(|(name, _)| name == server);
    let last = last.filter_map(|(_, entry)| entry["unix_ms"].as_u64()).max().unwrap_or(0);
    let after = last.saturating_sub(left_at);
    println!("the last new work came {after} ms after the departure; {number} requests were sent");
    assert!(after < FEW_SECONDS.as_millis() as u64, "{after} ms");
    assert!(number > 20, "there was load");
}

#[test]
fn after_a_notice_nothing_new_goes_there() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        cluster.give_notice("hidro-0", 60_000).await;
        expect_none_after(&cluster, "hidro-0", &[0, 1, 2]).await;
    });
}

#[test]
fn the_vm_list_alone_is_enough_even_when_it_lags() {
    on_cluster(ClusterConfig { vm_lag_ms: 1_000, ..ClusterConfig::default() }, async |cluster| {
        cluster.mark_leaving("hidro-0").await;
        expect_none_after(&cluster, "hidro-0", &[0, 1, 2]).await;
    });
}

#[test]
fn a_notice_that_one_node_saw_before_it_was_killed_reaches_the_others() {
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
            // A node that has just been started reads the notices at once, the others not for a minute.
            cluster.give_notice("hidro-0", 60_000).await;
            cluster.start_node("entry-2", 2).await.expect("it starts");
            let knows = |status: &serde_json::Value| status["servers"]["hidro-0"] == "leaving";
            let spread = cluster.wait_for_status(FEW_SECONDS, knows).await.expect("all nodes know");
            println!("all nodes knew {} ms after one had read the notice", spread.as_millis());
            cluster.nodes[2].process.kill();
            cluster.nodes.truncate(2);
            expect_none_after(&cluster, "hidro-0", &[0, 1]).await;
        },
    );
}
