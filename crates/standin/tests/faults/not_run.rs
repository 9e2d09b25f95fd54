//! When a caller is told "not run", it did not run.

use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::json;
use standin::harness::{Call, ClusterConfig, DUTY_CREDENTIAL};

use super::support::{alert, briefing, eventually, on_cluster, send};

/// A refusal comes at once: far sooner than any class's deadline.
const AT_ONCE: Duration = Duration::from_secs(2);

#[test]
fn a_request_that_is_not_understood_is_refused_and_dispatched_nowhere() {
    let plan = ClusterConfig {
        settings: json!({ "limits": { "body_bytes": 4096 } }),
        ..ClusterConfig::default()
    };
    on_cluster(plan, async |cluster| {
        let good = || briefing("refused", 5).key("refused");
        let oversize = json!({ "model": "hidro", "prompt": "x".repeat(5_000) }).to_string();
        let cases = [
            ("bad JSON", good().body("{".to_owned()), 400),
            ("not an object", good().body("[]".to_owned()), 400),
            ("no prompt", good().body("{\"model\":\"hidro\"}".to_owned()), 400),
            ("no model", good().body("{\"prompt\":\"x\"}".to_owned()), 400),
            ("unknown model", good().body("{\"model\":\"x\",\"prompt\":\"x\"}".to_owned()), 404),
            ("oversize body", good().body(oversize), 413),
            ("wrong credential", good().header("authorization", "Bearer wrong"), 401),
            ("no credential", good().remove_header("authorization"), 401),
            ("no class", good().remove_header("keeljunction-class"), 400),
            ("unknown class", good().header("keeljunction-class", "x"), 400),
            ("bad key", good().key("a b"), 400),
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
            let answer = send(&cluster, 0, &call).await;
            assert_eq!(
                (answer.status, answer.outcome().as_str()),
                (status, "not_run"),
                "{name}: {}",
                answer.body
            );
        }
        assert_eq!(cluster.get_executions().await.len(), 0);
    });
}

#[test]
fn with_no_server_left_refusals_come_at_once_and_say_when_to_come_back() {
    on_cluster(ClusterConfig { engines: 1, ..ClusterConfig::default() }, async |cluster| {
        cluster.give_notice("hidro-0", 60_000).await;
        let leaves = |status: &serde_json::Value| status["servers"]["hidro-0"] == "leaving";
        cluster.wait_for_status(super::support::SOON, leaves).await.expect("all nodes know");
        for node in 0..3 {
            let started = Instant::now();
            let answer = send(&cluster, node, &briefing("no room", 5).key("r-1")).await;
            assert_eq!((answer.status, answer.outcome().as_str()), (503, "not_run"));
            assert!(answer.retry_after.is_some_and(|seconds| seconds >= 1), "{answer:?}");
            assert!(started.elapsed() < AT_ONCE);
        }
        assert_eq!(cluster.count_executions("r-1").await, 0);
    });
}

#[test]
fn an_engine_that_refuses_leaves_the_request_not_run() {
    let plan = ClusterConfig {
        engines: 1,
        settings: json!({ "routing": { "retry_burst": 1 } }),
        ..ClusterConfig::default()
    };
    on_cluster(plan, async |cluster| {
        cluster.set_server_fault("hidro-0", &json!({ "refuse": true })).await;
        let answer = send(&cluster, 0, &briefing("refused by the engine", 5).key("r-1")).await;
        assert_eq!(answer.outcome(), "not_run", "{answer:?}");
        assert_eq!(cluster.count_executions("r-1").await, 0);
    });
}

#[test]
fn overload_is_refused_at_once_and_what_is_refused_did_not_run() {
    let plan = ClusterConfig { nodes: 2, engines: 1, slots: 4, ..ClusterConfig::default() };
    on_cluster(plan, async |cluster| {
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
                        call.send(&client, to).await.expect("there is a response"),
                        started.elapsed(),
                    )
                })
            })
            .collect();
        let mut refused = 0;
        for call in calls {
            let (key, answer, time) = call.await;
            if answer.is_complete {
                continue;
            }
            refused += 1;
            assert_eq!(answer.outcome(), "not_run", "{answer:?}");
            assert!(answer.retry_after.is_some_and(|seconds| seconds >= 1), "{answer:?}");
            assert!(time < AT_ONCE, "{time:?}");
            assert_eq!(cluster.count_executions(&key).await, 0, "{key}");
        }
        assert!(refused > 10, "there was overload: {refused} of 60 refused");
    });
}

#[test]
fn a_closed_node_refuses_what_comes_and_runs_none_of_it() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        let open =
            super::support::open(&cluster, 0, &briefing("keeps the node alive", 300), 3).await;
        cluster.nodes[0].process.terminate();
        eventually("the node closes", async || {
            let answer = briefing("too late", 5)
                .key("late")
                .send(&cluster.client, cluster.nodes[0].get_client_address())
                .await;
            answer.is_ok_and(|answer| answer.status == 503 && answer.outcome() == "not_run")
        })
        .await;
        let answer = send(&cluster, 0, &briefing("too late", 5).key("late-2")).await;
        assert_eq!((answer.status, answer.retry_after), (503, Some(1)));
        assert_eq!(cluster.count_executions("late-2").await, 0);
        drop(open);
    });
}
