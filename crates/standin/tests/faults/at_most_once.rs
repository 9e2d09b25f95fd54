//! A request that is not to be repeated runs at most once.

use std::time::{Duration, Instant};

use keeljunction::runtime;
use serde_json::json;
use standin::harness::{Call, ClusterConfig, DUTY_CREDENTIAL};

use super::support::{alert, eventually, on_cluster, send};

#[test]
fn the_same_key_at_all_nodes_at_once_runs_once() {
    on_cluster(ClusterConfig { services: 2, ..ClusterConfig::default() }, async |cluster| {
        for round in 0..10 {
            let key = format!("a-{round}");
            let calls: Vec<_> = (0..6)
                .map(|number| {
                    let (client, to) =
                        (cluster.client.clone(), cluster.nodes[number % 3].get_client_address());
                    let call = alert(&key);
                    runtime::spawn_with_handle(async move {
                        call.send(&client, to).await.expect("there is a response")
                    })
                })
                .collect();
            let mut done = 0;
            for call in calls {
                let answer = call.await;
                assert!(["done", "unknown"].contains(&answer.outcome().as_str()), "{answer:?}");
                done += u32::from(answer.is_complete);
            }
            assert!(done >= 1);
            assert_eq!(cluster.count_executions(&key).await, 1, "{key}");
        }
    });
}

#[test]
fn whatever_happens_to_the_claim_it_runs_at_most_once() {
    let cases = [
        ("commit", "lost", 0, "done", 1),
        ("commit", "late", 400, "not_run", 0),
        ("commit", "down", 0, "not_run", 0),
        ("table", "down", 0, "not_run", 0),
        ("commit", "slow", 200, "done", 1),
    ];
    on_cluster(ClusterConfig::default(), async |cluster| {
        for (target, mode, ms, outcome, times) in cases {
            let key = format!("a-{target}-{mode}");
            cluster.set_platform_fault(target, mode, ms, None).await;
            let started = Instant::now();
            let first = send(&cluster, 0, &alert(&key)).await;
            assert_eq!(first.outcome(), outcome, "{key}: {first:?}");
            assert!(started.elapsed() < Duration::from_secs(3), "{key}: at once");
            assert_eq!(cluster.count_executions(&key).await, times, "{key}");
            cluster.set_platform_fault(target, "none", 0, None).await;
            eventually("the caller who asks again gets it done", async || {
                send(&cluster, 1, &alert(&key)).await.outcome() == "done"
            })
            .await;
            runtime::sleep(Duration::from_millis(600)).await;
            assert_eq!(cluster.count_executions(&key).await, 1, "{key}: once in the end");
        }
    });
}

#[test]
fn a_lost_answer_of_the_service_is_unknown_and_never_run_again() {
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
fn a_node_killed_after_the_claim_leaves_it_run_at_most_once() {
    on_cluster(ClusterConfig::default(), async |mut cluster| {
        cluster.set_server_fault("gauge-0", &json!({ "slow_ms": 500 })).await;
        let (client, to) = (cluster.client.clone(), cluster.nodes[0].get_client_address());
        let calling =
            runtime::spawn_with_handle(async move { alert("a-1").send(&client, to).await });
        eventually("it runs", async || cluster.count_executions("a-1").await == 1).await;
        cluster.nodes[0].process.kill();
        assert!(calling.await.is_err(), "the answer is lost with the node");
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
fn a_frozen_node_that_wakes_runs_nothing_again() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        for round in 0..5 {
            let key = format!("a-{round}");
            let (client, to, call) =
                (cluster.client.clone(), cluster.nodes[0].get_client_address(), alert(&key));
            let calling = runtime::spawn_with_handle(async move { call.send(&client, to).await });
            runtime::sleep(Duration::from_millis(round * 2)).await;
            cluster.nodes[0].process.suspend();
            let elsewhere = send(&cluster, 1, &alert(&key)).await;
            runtime::sleep(Duration::from_millis(800)).await;
            cluster.nodes[0].process.resume();
            let first = calling.await.expect("there is a response");
            runtime::sleep(Duration::from_millis(300)).await;
            let times = cluster.count_executions(&key).await;
            assert!(times <= 1, "{key}: {times}");
            for answer in [first, elsewhere] {
                assert!(
                    answer.outcome() != "not_run" || times == 0 || answer.retry_after.is_some(),
                    "{answer:?}"
                );
            }
        }
    });
}

#[test]
fn a_recorded_answer_is_given_again_whole_after_all_nodes_were_replaced() {
    on_cluster(ClusterConfig::default(), async |mut cluster| {
        let first = send(&cluster, 0, &alert("a-1")).await;
        assert_eq!(first.status, 200);
        eventually("the answer is recorded", async || {
            cluster.sum_counter("claims_settled").await == 1
        })
        .await;
        for mut node in std::mem::take(&mut cluster.nodes) {
            node.process.kill();
        }
        for number in 0..2 {
            cluster.start_node(&format!("fresh-{number}"), number).await.expect("it starts");
        }
        cluster.wait_until_ready().await.expect("the nodes find each other");
        eventually("the recorded answer comes", async || {
            let again = send(&cluster, 1, &alert("a-1")).await;
            again.status == 200 && again.body == first.body
        })
        .await;
        assert_eq!(cluster.count_executions("a-1").await, 1);
    });
}

#[test]
fn an_unrepeatable_model_request_survives_a_reclaim_as_one_run_that_goes_on() {
    on_cluster(ClusterConfig { engines: 2, ..ClusterConfig::default() }, async |cluster| {
        let call = Call::completion(DUTY_CREDENTIAL, "alert", "hidro", "an alert that moves", 250)
            .key("a-1");
        let stream = super::support::open(&cluster, 0, &call, 20).await;
        let server = super::support::server_of(&cluster, "a-1").await;
        cluster.give_notice(&server, 1_000).await;
        let answer = super::support::finish(stream).await;
        assert!(answer.is_complete, "{:?}", answer.problem);
        assert_eq!(answer.body, standin::engine::expected_output("an alert that moves", 250));
        let ran: Vec<_> = cluster
            .get_executions()
            .await
            .into_iter()
            .filter(|(_, entry)| entry["key"] == "a-1")
            .collect();
        let begun = ran.iter().filter(|(_, entry)| entry["resumed_from"] == 0).count();
        assert_eq!((ran.len(), begun), (2, 1), "begun once, gone on with once: {ran:?}");
    });
}

#[test]
fn an_unrepeatable_model_request_is_followed_but_not_run_again() {
    on_cluster(ClusterConfig::default(), async |mut cluster| {
        let call =
            Call::completion(DUTY_CREDENTIAL, "alert", "hidro", "an alert summary", 100).key("a-1");
        let stream = super::support::open(&cluster, 0, &call, 10).await;
        let server = super::support::server_of(&cluster, "a-1").await;
        cluster.servers.get_mut(&server).expect("it runs").kill();
        let answer = super::support::finish(stream).await;
        assert_eq!(answer.outcome(), "unknown", "{answer:?}");
        let again = send(&cluster, 1, &call).await;
        assert_eq!(again.outcome(), "unknown", "{again:?}");
        assert_eq!(cluster.count_executions("a-1").await, 0, "the other engine never saw it");
    });
}
