//! Retries stay within their budget under a wave of failures.

use keeljunction::runtime;
use serde_json::json;
use standin::engine::expected_output;
use standin::harness::ClusterConfig;

use super::support::{briefing, on_cluster, send};

#[test]
fn when_half_of_the_servers_vanish_extra_dispatches_stay_within_the_share() {
    let settings = json!({ "routing": { "retry_per_mille": 100, "retry_burst": 3 } });
    let plan =
        ClusterConfig { nodes: 2, engines: 4, settings, slots: 32, ..ClusterConfig::default() };
    on_cluster(plan, async |mut cluster| {
        let calls: Vec<_> = (0..80)
            .map(|number| {
                let (client, to) =
                    (cluster.client.clone(), cluster.nodes[number % 2].get_client_address());
                let call = briefing(&format!("wave {number}"), 200).key(&format!("w-{number}"));
                runtime::spawn_with_handle(async move {
                    call.send(&client, to).await.expect("there is a response")
                })
            })
            .collect();
        runtime::sleep(std::time::Duration::from_millis(700)).await;
        for server in ["hidro-0", "hidro-1"] {
            cluster.servers.get_mut(server).expect("it runs").kill();
        }
        let (mut done, mut given_up) = (0, 0);
        let mut keys = Vec::new();
        for call in calls {
            let answer = call.await;
            if !answer.is_complete {
                keys.push(answer.key.clone());
            }
            if answer.is_complete {
                done += 1;
                continue;
            }
            given_up += 1;
            assert_eq!(answer.outcome(), "unknown", "{answer:?}");
            assert!(
                answer.problem.as_ref().is_some_and(|p| p["retry_after_ms"].as_u64() > Some(0)),
                "{answer:?}"
            );
        }
        let (retries, denied) =
            (cluster.sum_counter("retries").await, cluster.sum_counter("retries_denied").await);
        println!(
            "80 requests: {done} done, {given_up} given up, {retries} retries, {denied} denied"
        );
        // Each of two nodes: a burst of 3, and a tenth of its 40 first tries.
        assert!(retries <= 2 * (3 + 4), "{retries}");
        assert!(given_up > 0 && given_up == denied, "{given_up} given up, {denied} denied");
        for (number, key) in keys.iter().take(4).enumerate() {
            let prompt = format!("wave {}", key.trim_start_matches("w-"));
            let call = briefing(&prompt, 200).key(key);
            let mut again = send(&cluster, number % 2, &call).await;
            for _ in 0..5 {
                let Some(wait) = again.problem.as_ref().and_then(|p| p["retry_after_ms"].as_u64())
                else {
                    break;
                };
                assert_eq!(again.outcome(), "not_run", "it was begun anew: {again:?}");
                runtime::sleep(std::time::Duration::from_millis(wait)).await;
                again = send(&cluster, number % 2, &call).await;
            }
            assert!(again.is_complete, "asked again when it was told to, it is served: {again:?}");
            assert_eq!(again.body, expected_output(&prompt, 200));
        }
    });
}
