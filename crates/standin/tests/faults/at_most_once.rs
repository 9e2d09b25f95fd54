//! A non-idempotent request runs at most once.

use std::time::{Duration, Instant};

use keeljunction::runtime;
use serde_json::json;
use standin::harness::{Call, ClusterConfig, DUTY_CREDENTIAL};

use super::support::{alert, eventually, on_cluster, send};

#[test]
fn concurrent_requests_with_one_key_run_once() {
    on_cluster(ClusterConfig { services: 2, ..ClusterConfig::default() }, async |cluster| {
        for round in 0..10 {
            let key = format!("a-{round}");
            let calls: Vec<_> = (0..6)
                .map(|number| {
                    let (client, to) =
                        (cluster.client.clone(), cluster.nodes[number % 3].get_client_address());
                    let call = alert(&key);
                    runtime::spawn_with_handle(async move {
                        call.send(&client, to).await.expect("the node responds")
                    })
                })
                .collect();
            let mut done = 0;
            for call in calls {
                let response = call.await;
                assert!(["done", "unknown"].contains(&response.outcome().as_str()), "{response:?}");
                done += u32::from(response.is_complete);
            }
            assert!(done >= 1);
            assert_eq!(cluster.count_executions(&key).await, 1, "{key}");
        }
    });
}

#[test]
fn request_runs_at_most_once_under_any_fault_of_its_claim() {
    let cases = [
        ("commit", "lost", 0, "done", 1),
        ("commit", "late", 400, "not_run", 0),
        ("commit", "down", 0, "not_run", 0),
        ("table", "down", 0, "not_run", 0),
        ("commit", "slow", 200, "done", 1),
    ];
    on_cluster(ClusterConfig::default(), async |cluster| {
        for (target, mode, ms, outcome, executions) in cases {
            let key = format!("a-{target}-{mode}");
            cluster.set_platform_fault(target, mode, ms, None).await;
            let started = Instant::now();
            let first = send(&cluster, 0, &alert(&key)).await;
            assert_eq!(first.outcome(), outcome, "{key}: {first:?}");
            assert!(
                started.elapsed() < Duration::from_secs(3),
                "{key}: the response took too long"
            );
            assert_eq!(cluster.count_executions(&key).await, executions, "{key}");
            cluster.set_platform_fault(target, "none", 0, None).await;
            eventually("a retry completes the request", async || {
                send(&cluster, 1, &alert(&key)).await.outcome() == "done"
            })
            .await;
            runtime::sleep(Duration::from_millis(600)).await;
            assert_eq!(
                cluster.count_executions(&key).await,
                1,
                "{key}: the request must run exactly once"
            );
        }
    });
}

#[test]
fn lost_service_response_is_unknown_and_not_rerun() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        cluster.set_server_fault("gauge-0", &json!({ "lose": true })).await;
        let first = send(&cluster, 0, &alert("a-1")).await;
        assert_eq!(first.outcome(), "unknown", "{first:?}");
        cluster.set_server_fault("gauge-0", &json!({})).await;
        for node in 0..3 {
            let again = send(&cluster, node, &alert("a-1")).await;
            assert_eq!(again.outcome(), "unknown", "{again:?}");
        }
        assert_eq!(cluster.count_executions("a-1").await, 1);
    });
}

#[test]
fn request_runs_at_most_once_when_its_node_is_killed_after_the_claim() {
    on_cluster(ClusterConfig::default(), async |mut cluster| {
        cluster.set_server_fault("gauge-0", &json!({ "slow_ms": 500 })).await;
        let (client, to) = (cluster.client.clone(), cluster.nodes[0].get_client_address());
        let pending_call =
            runtime::spawn_with_handle(async move { alert("a-1").send(&client, to).await });
        eventually("the request runs", async || cluster.count_executions("a-1").await == 1).await;
        cluster.nodes[0].process.kill();
        assert!(pending_call.await.is_err(), "the response is lost with the node");
        cluster.set_server_fault("gauge-0", &json!({})).await;
        for node in [1, 2, 1, 2] {
            let again = send(&cluster, node, &alert("a-1")).await;
            assert_eq!(again.outcome(), "unknown", "{again:?}");
        }
        runtime::sleep(Duration::from_secs(2)).await;
        assert_eq!(cluster.count_executions("a-1").await, 1);
    });
}

#[test]
fn resumed_node_does_not_rerun_requests() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        for round in 0..5 {
            let key = format!("a-{round}");
            let (client, to, call) =
                (cluster.client.clone(), cluster.nodes[0].get_client_address(), alert(&key));
            let pending_call =
                runtime::spawn_with_handle(async move { call.send(&client, to).await });
            runtime::sleep(Duration::from_millis(round * 2)).await;
            cluster.nodes[0].process.suspend();
            let second = send(&cluster, 1, &alert(&key)).await;
            runtime::sleep(Duration::from_millis(800)).await;
            cluster.nodes[0].process.resume();
            let first = pending_call.await.expect("the node responds");
            runtime::sleep(Duration::from_millis(300)).await;
            let executions = cluster.count_executions(&key).await;
            assert!(executions <= 1, "{key}: {executions}");
            for response in [first, second] {
                assert!(
                    response.outcome() != "not_run"
                        || executions == 0
                        || response.retry_after.is_some(),
                    "{response:?}"
                );
            }
        }
    });
}

#[test]
fn recorded_response_is_replayed_after_all_nodes_are_replaced() {
    on_cluster(ClusterConfig::default(), async |mut cluster| {
        let first = send(&cluster, 0, &alert("a-1")).await;
        assert_eq!(first.status, 200);
        eventually("the response is recorded", async || {
            cluster.sum_counter("claims_settled").await == 1
        })
        .await;
        for mut node in std::mem::take(&mut cluster.nodes) {
            node.process.kill();
        }
        for number in 0..2 {
            cluster.start_node(&format!("fresh-{number}"), number).await.expect("the node starts");
        }
        cluster.wait_until_ready().await.expect("the nodes become ready");
        eventually("the recorded response is replayed", async || {
            let again = send(&cluster, 1, &alert("a-1")).await;
            again.status == 200 && again.body == first.body
        })
        .await;
        assert_eq!(cluster.count_executions("a-1").await, 1);
    });
}

#[test]
fn non_idempotent_model_request_is_resumed_after_a_reclaim() {
    on_cluster(ClusterConfig { engines: 2, ..ClusterConfig::default() }, async |cluster| {
        let call = Call::completion(DUTY_CREDENTIAL, "alert", "hidro", "an alert that moves", 250)
            .key("a-1");
        let stream = super::support::open(&cluster, 0, &call, 20).await;
        let server = super::support::get_last_server(&cluster, "a-1").await;
        cluster.give_notice(&server, 1_000).await;
        let response = super::support::finish(stream).await;
        assert!(response.is_complete, "{:?}", response.problem);
        assert_eq!(response.body, standin::engine::expected_output("an alert that moves", 250));
        let executions: Vec<_> = cluster
            .get_executions()
            .await
            .into_iter()
            .filter(|(_, entry)| entry["key"] == "a-1")
            .collect();
        let started = executions.iter().filter(|(_, entry)| entry["resumed_from"] == 0).count();
        assert_eq!(
            (executions.len(), started),
            (2, 1),
            "expected one start and one resumption: {executions:?}"
        );
    });
}

#[test]
fn non_idempotent_model_request_is_not_rerun_after_a_crash() {
    on_cluster(ClusterConfig::default(), async |mut cluster| {
        let call =
            Call::completion(DUTY_CREDENTIAL, "alert", "hidro", "an alert summary", 100).key("a-1");
        let stream = super::support::open(&cluster, 0, &call, 10).await;
        let server = super::support::get_last_server(&cluster, "a-1").await;
        cluster.servers.get_mut(&server).expect("the server is running").kill();
        let response = super::support::finish(stream).await;
        assert_eq!(response.outcome(), "unknown", "{response:?}");
        let again = send(&cluster, 1, &call).await;
        assert_eq!(again.outcome(), "unknown", "{again:?}");
        assert_eq!(
            cluster.count_executions("a-1").await,
            0,
            "the other engine must not run the request"
        );
    });
}
