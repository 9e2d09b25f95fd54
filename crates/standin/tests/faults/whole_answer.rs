//! Each client gets the complete response to its own request and no other.

use keeljunction::runtime;
use serde_json::json;
use standin::engine::expected_output;
use standin::harness::{BRANCH_CREDENTIAL, Call, ClusterConfig, DUTY_CREDENTIAL};

use super::support::{briefing, finish, on_cluster, open, send};

#[test]
fn duplicate_foreign_reordered_and_missing_events_leave_the_response_complete() {
    let faults = [
        ("doubled", json!({ "double": true })),
        ("foreign", json!({ "foreign": true })),
        ("out of order", json!({ "reorder": true })),
        ("cut off", json!({ "cut_after": 17 })),
        ("all at once", json!({ "double": true, "foreign": true, "cut_after": 23 })),
    ];
    on_cluster(ClusterConfig { engines: 1, ..ClusterConfig::default() }, async |cluster| {
        for (name, fault) in faults {
            cluster.set_server_fault("hidro-0", &fault).await;
            let prompt = format!("events that are {name}");
            let response = send(&cluster, 0, &briefing(&prompt, 60)).await;
            assert!(response.is_complete, "{name}: {:?}", response.problem);
            assert_eq!(response.body, expected_output(&prompt, 60), "{name}");
        }
    });
}

#[test]
fn concurrent_clients_each_get_their_own_response() {
    on_cluster(ClusterConfig { engines: 3, ..ClusterConfig::default() }, async |cluster| {
        let pending: Vec<_> = (0..60)
            .map(|number| {
                let (client, to) =
                    (cluster.client.clone(), cluster.nodes[number % 3].get_client_address());
                let prompt = format!("caller {number} asks");
                runtime::spawn_with_handle(async move {
                    let response = briefing(&prompt, 30).send(&client, to).await;
                    (prompt, response.expect("the node responds"))
                })
            })
            .collect();
        for response in pending {
            let (prompt, response) = response.await;
            assert!(response.is_complete, "{:?}", response.problem);
            assert_eq!(response.body, expected_output(&prompt, 30));
        }
    });
}

#[test]
fn non_streaming_response_has_the_same_text_as_the_stream() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        let body = json!({ "model": "hidro", "prompt": "not streamed", "max_tokens": 12 });
        let call = briefing("", 0).body(body.to_string());
        let response = send(&cluster, 1, &call).await;
        assert_eq!(response.status, 200);
        assert_eq!(response.json()["choices"][0]["text"], expected_output("not streamed", 12));
        assert_eq!(response.json()["usage"]["completion_tokens"], 12);
    });
}

#[test]
fn second_request_with_the_same_key_gets_the_same_response_at_any_node() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        let call = briefing("asked twice", 120).key("b-1");
        let first = open(&cluster, 0, &call, 5).await;
        let second = send(&cluster, 1, &call).await;
        let third = send(&cluster, 2, &call).await;
        let first = finish(first).await;
        for response in [first, second, third] {
            assert!(response.is_complete, "{:?}", response.problem);
            assert_eq!(response.body, expected_output("asked twice", 120));
        }
        assert_eq!(cluster.count_executions("b-1").await, 1);
    });
}

#[test]
fn idempotency_key_is_scoped_to_one_account_and_one_body() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        let first = send(&cluster, 0, &briefing("the first body", 10).key("k")).await;
        assert!(first.is_complete);
        for node in 0..3 {
            let other_body = send(&cluster, node, &briefing("another body", 10).key("k")).await;
            assert_eq!((other_body.status, other_body.outcome().as_str()), (422, "not_run"));
        }
        let call =
            Call::completion(BRANCH_CREDENTIAL, "briefing", "hidro", "another body", 10).key("k");
        let other_account = send(&cluster, 1, &call).await;
        assert_eq!(other_account.body, expected_output("another body", 10));
        let again =
            Call::completion(DUTY_CREDENTIAL, "briefing", "hidro", "the first body", 10).key("k");
        assert_eq!(send(&cluster, 2, &again).await.body, expected_output("the first body", 10));
    });
}

#[test]
fn resumption_of_an_unknown_response_is_rejected() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        let call = briefing("never asked before", 10).key("k").header("last-event-id", "4");
        let response = send(&cluster, 0, &call).await;
        assert_eq!((response.status, response.outcome().as_str()), (409, "unknown"));
        assert_eq!(cluster.count_executions("k").await, 0);
    });
}
