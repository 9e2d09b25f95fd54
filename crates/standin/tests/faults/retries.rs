//! Retries stay within their budget when many requests fail at once.

use keeljunction::runtime;
use serde_json::json;
use standin::engine::expected_output;
use standin::harness::ClusterConfig;

use super::support::{briefing, on_cluster, send};

#[test]
fn retries_stay_within_the_budget_when_half_of_the_servers_fail() {
    let settings = json!({ "routing": { "retry_per_mille": 100, "retry_burst": 3 } });
    let config =
        ClusterConfig { nodes: 2, engines: 4, settings, slots: 32, ..ClusterConfig::default() };
    on_cluster(config, async |mut cluster| {
        let calls: Vec<_> = (0..80)
            .map(|number| {
                let (client, to) =
                    (cluster.client.clone(), cluster.nodes[number % 2].get_client_address());
                let call = briefing(&format!("wave {number}"), 200).key(&format!("w-{number}"));
                runtime::spawn_with_handle(async move {
                    call.send(&client, to).await.expect("the node responds")
                })
            })
            .collect();
        runtime::sleep(std::time::Duration::from_millis(700)).await;
        for server in ["hidro-0", "hidro-1"] {
            cluster.servers.get_mut(server).expect("the server is running").kill();
        }
        let (mut done, mut failed) = (0, 0);
        let mut keys = Vec::new();
        for call in calls {
            let response = call.await;
            if !response.is_complete {
                keys.push(response.key.clone());
            }
            if response.is_complete {
                done += 1;
                continue;
            }
            failed += 1;
            assert_eq!(response.outcome(), "unknown", "{response:?}");
            assert!(
                response.problem.as_ref().is_some_and(|p| p["retry_after_ms"].as_u64() > Some(0)),
                "{response:?}"
            );
        }
        let (retries, denied) =
            (cluster.sum_counter("retries").await, cluster.sum_counter("retries_denied").await);
        println!("80 requests: {done} done, {failed} failed, {retries} retries, {denied} denied");
        // Budget of each of the two nodes: a burst of 3 plus a tenth of its 40 first attempts.
        assert!(retries <= 2 * (3 + 4), "{retries}");
        assert!(failed > 0 && failed == denied, "{failed} failed, {denied} denied");
        for (number, key) in keys.iter().take(4).enumerate() {
            let prompt = format!("wave {}", key.trim_start_matches("w-"));
            let call = briefing(&prompt, 200).key(key);
            let mut again = send(&cluster, number % 2, &call).await;
            for _ in 0..5 {
                let Some(wait) = again.problem.as_ref().and_then(|p| p["retry_after_ms"].as_u64())
                else {
                    break;
                };
                assert_eq!(
                    again.outcome(),
                    "not_run",
                    "the retry was started and interrupted: {again:?}"
                );
                runtime::sleep(std::time::Duration::from_millis(wait)).await;
                again = send(&cluster, number % 2, &call).await;
            }
            assert!(again.is_complete, "a retry after the requested delay must succeed: {again:?}");
            assert_eq!(again.body, expected_output(&prompt, 200));
        }
    });
}
