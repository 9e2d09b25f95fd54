//! A request with the outcome `not_run` never ran on a backend server.

use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::json;
use standin::harness::{Call, ClusterConfig, DUTY_CREDENTIAL};

use super::support::{alert, briefing, eventually, on_cluster, send};

/// Upper bound for the time of a rejection, far below the deadline of every class.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(2);

#[test]
fn invalid_request_is_rejected_without_dispatch() {
    let config = ClusterConfig {
        settings: json!({ "limits": { "body_bytes": 4096 } }),
        ..ClusterConfig::default()
    };
    on_cluster(config, async |cluster| {
        let valid = || briefing("refused", 5).key("refused");
        let oversize = json!({ "model": "hidro", "prompt": "x".repeat(5_000) }).to_string();
        let cases = [
            ("bad JSON", valid().body("{".to_owned()), 400),
            ("not an object", valid().body("[]".to_owned()), 400),
            ("no prompt", valid().body("{\"model\":\"hidro\"}".to_owned()), 400),
            ("no model", valid().body("{\"prompt\":\"x\"}".to_owned()), 400),
            ("unknown model", valid().body("{\"model\":\"x\",\"prompt\":\"x\"}".to_owned()), 404),
            ("oversize body", valid().body(oversize), 413),
            ("wrong credential", valid().header("authorization", "Bearer wrong"), 401),
            ("no credential", valid().remove_header("authorization"), 401),
            ("no class", valid().remove_header("keeljunction-class"), 400),
            ("unknown class", valid().header("keeljunction-class", "x"), 400),
            ("bad key", valid().key("a b"), 400),
            ("alert without a key", alert("refused").remove_header("idempotency-key"), 400),
            (
                "unknown service",
                Call::plain(DUTY_CREDENTIAL, "reading", Method::GET, "/services/x/y", "")
                    .key("refused"),
                404,
            ),
            (
                "unknown path",
                Call::plain(DUTY_CREDENTIAL, "reading", Method::GET, "/x", "").key("refused"),
                404,
            ),
            (
                "wrong method",
                Call::plain(DUTY_CREDENTIAL, "reading", Method::GET, "/v1/completions", "")
                    .key("refused"),
                405,
            ),
        ];
        for (name, call, status) in cases {
            let response = send(&cluster, 0, &call).await;
            assert_eq!(
                (response.status, response.outcome().as_str()),
                (status, "not_run"),
                "{name}: {}",
                response.body
            );
        }
        assert_eq!(cluster.get_executions().await.len(), 0);
    });
}

#[test]
fn rejections_without_servers_are_fast_and_have_retry_after() {
    on_cluster(ClusterConfig { engines: 1, ..ClusterConfig::default() }, async |cluster| {
        cluster.give_notice("hidro-0", 60_000).await;
        let is_leaving = |status: &serde_json::Value| status["servers"]["hidro-0"] == "leaving";
        cluster
            .wait_for_status(super::support::CONVERGENCE_TIMEOUT, is_leaving)
            .await
            .expect("all nodes see the notice");
        for node in 0..3 {
            let started = Instant::now();
            let response = send(&cluster, node, &briefing("no room", 5).key("r-1")).await;
            assert_eq!((response.status, response.outcome().as_str()), (503, "not_run"));
            assert!(response.retry_after.is_some_and(|seconds| seconds >= 1), "{response:?}");
            assert!(started.elapsed() < REJECTION_TIMEOUT);
        }
        assert_eq!(cluster.count_executions("r-1").await, 0);
    });
}

#[test]
fn request_rejected_by_the_engine_is_not_run() {
    let config = ClusterConfig {
        engines: 1,
        settings: json!({ "routing": { "retry_burst": 1 } }),
        ..ClusterConfig::default()
    };
    on_cluster(config, async |cluster| {
        cluster.set_server_fault("hidro-0", &json!({ "refuse": true })).await;
        let response = send(&cluster, 0, &briefing("refused by the engine", 5).key("r-1")).await;
        assert_eq!(response.outcome(), "not_run", "{response:?}");
        assert_eq!(cluster.count_executions("r-1").await, 0);
    });
}

#[test]
fn overload_is_rejected_quickly_and_rejected_requests_do_not_run() {
    let config = ClusterConfig { nodes: 2, engines: 1, slots: 4, ..ClusterConfig::default() };
    on_cluster(config, async |cluster| {
        let calls: Vec<_> = (0..60)
            .map(|number| {
                let (client, to) =
                    (cluster.client.clone(), cluster.nodes[number % 2].get_client_address());
                let key = format!("o-{number}");
                keeljunction::runtime::spawn_with_handle(async move {
                    let call = Call::completion(
                        DUTY_CREDENTIAL,
                        "urgent",
                        "hidro",
                        &format!("overload {number}"),
                        50,
                    )
                    .key(&key);
                    let started = Instant::now();
                    (
                        key,
                        call.send(&client, to).await.expect("the node responds"),
                        started.elapsed(),
                    )
                })
            })
            .collect();
        let mut rejected = 0;
        for call in calls {
            let (key, response, time) = call.await;
            if response.is_complete {
                continue;
            }
            rejected += 1;
            assert_eq!(response.outcome(), "not_run", "{response:?}");
            assert!(response.retry_after.is_some_and(|seconds| seconds >= 1), "{response:?}");
            assert!(time < REJECTION_TIMEOUT, "{time:?}");
            assert_eq!(cluster.count_executions(&key).await, 0, "{key}");
        }
        assert!(rejected > 10, "too little overload: {rejected} of 60 rejected");
    });
}

#[test]
fn stopping_node_rejects_new_requests_without_running_them() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        let stream =
            super::support::open(&cluster, 0, &briefing("keeps the node alive", 300), 3).await;
        cluster.nodes[0].process.terminate();
        eventually("the node rejects new requests", async || {
            let response = briefing("too late", 5)
                .key("late")
                .send(&cluster.client, cluster.nodes[0].get_client_address())
                .await;
            response.is_ok_and(|response| response.status == 503 && response.outcome() == "not_run")
        })
        .await;
        let response = send(&cluster, 0, &briefing("too late", 5).key("late-2")).await;
        assert_eq!((response.status, response.retry_after), (503, Some(1)));
        assert_eq!(cluster.count_executions("late-2").await, 0);
        drop(stream);
    });
}
