//! An accepted bundle version is in force on all nodes within seconds and never reverts.

use std::time::Duration;

use keeljunction::runtime;
use serde_json::Value;
use standin::harness::{Cluster, ClusterConfig};

use super::support::{CONVERGENCE_TIMEOUT, on_cluster};

const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(7);

async fn expect_in_force(cluster: &Cluster, roll: u64, version: &str) -> Duration {
    let propagation = cluster
        .wait_for_status(PROPAGATION_TIMEOUT, |status| {
            status["roll"] == roll && status["version"] == version
        })
        .await;
    let propagation =
        propagation.expect("the roll was not in force on all nodes within the timeout");
    println!(
        "roll {roll} was in force on {} nodes after {} ms",
        cluster.nodes.len(),
        propagation.as_millis()
    );
    propagation
}

#[test]
fn roll_is_in_force_within_seconds_and_rollback_is_a_higher_roll() {
    on_cluster(
        ClusterConfig { nodes: 8, engines: 1, services: 0, ..ClusterConfig::default() },
        async |cluster| {
            cluster.roll_version("v2").expect("the roll is accepted");
            expect_in_force(&cluster, 2, "v2").await;
            let platform = cluster.get_platform_address();
            cluster
                .run_cli(&["bundle", "rollback", "--to", "1", "--platform", &platform])
                .expect("the roll is accepted");
            expect_in_force(&cluster, 3, "v1").await;
            let audit = cluster
                .run_cli(&["audit", "--json", "--platform", &platform])
                .expect("the audit trail is readable");
            let audit: Value = serde_json::from_str(&audit).expect("the output is JSON");
            let actions: Vec<_> =
                audit.as_array().into_iter().flatten().map(|row| &row["action"]).collect();
            assert_eq!(actions, ["roll", "roll", "rollback"]);
            let shown = cluster
                .run_cli(&["bundle", "show", "2", "--platform", &platform])
                .expect("the command succeeds");
            assert!(
                shown.contains("# roll 2, version v2") && shown.contains("\nversion: v2\n"),
                "{shown}"
            );
            let listed = cluster
                .run_cli(&["bundle", "list", "--platform", &platform])
                .expect("the command succeeds");
            assert_eq!(listed.lines().count(), 4, "expected a heading and three rolls: {listed}");
            let operator = cluster.nodes[0].get_operator_address().to_string();
            let status = cluster
                .run_cli(&["status", "--json", "--node", &operator])
                .expect("the node responds");
            let status: Value = serde_json::from_str(&status).expect("the output is JSON");
            assert_eq!(
                (&status[0]["roll"], &status[0]["ready"]),
                (&Value::from(3), &Value::from(true))
            );
        },
    );
}

#[test]
fn one_of_two_concurrent_rolls_wins_and_the_other_error_names_the_winner() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        let files = [cluster.write_version("left"), cluster.write_version("right")];
        let files: Vec<String> =
            files.into_iter().map(|file| file.expect("the bundle is signed")).collect();
        let platform = cluster.get_platform_address();
        // Delays both commits, so that both operators read the same current roll first.
        cluster.set_platform_fault("commit", "slow", 500, Some(2)).await;
        let results: Vec<_> = std::thread::scope(|scope| {
            let rolling = files.iter().zip(["ana", "luis"]).map(|(file, operator)| {
                let arguments = [
                    "bundle",
                    "roll",
                    file,
                    "--platform",
                    &platform,
                    "--operator",
                    operator,
                    "--above",
                    "1",
                ];
                let cluster = &cluster;
                scope.spawn(move || cluster.run_cli(&arguments))
            });
            let rolling: Vec<_> = rolling.collect();
            rolling
                .into_iter()
                .map(|roll| roll.join().expect("the thread does not panic"))
                .collect()
        });
        let succeeded = results.iter().filter(|result| result.is_ok()).count();
        assert_eq!(succeeded, 1, "{results:?}");
        let error = results
            .iter()
            .find_map(|result| result.as_ref().err())
            .expect("one roll fails")
            .to_string();
        assert!(error.contains("another roll came first"), "{error}");
        assert!(error.contains("by ana") || error.contains("by luis"), "{error}");
        let version = if results[0].is_ok() { "left" } else { "right" };
        expect_in_force(&cluster, 2, version).await;
    });
}

#[test]
fn roll_with_a_lost_commit_response_is_found_by_its_id_and_made_once() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        cluster.set_platform_fault("commit", "lost", 0, Some(1)).await;
        let output = cluster.roll_version("v2").expect("the roll is accepted");
        assert!(output.contains("roll 2: version v2 was accepted"), "{output}");
        expect_in_force(&cluster, 2, "v2").await;
    });
}

#[test]
fn roll_is_rejected_with_a_clear_error_while_the_platform_is_down() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        for target in ["table", "store"] {
            cluster.set_platform_fault(target, "down", 0, None).await;
            let error = cluster.roll_version("v2").expect_err("the roll is rejected").to_string();
            assert!(error.contains("the platform refused the call"), "{error}");
            cluster.set_platform_fault(target, "none", 0, None).await;
        }
        assert!(cluster.status(0).await["roll"] == 1);
        cluster.roll_version("v2").expect("the roll is accepted");
        expect_in_force(&cluster, 2, "v2").await;
    });
}

#[test]
fn roll_spreads_from_one_node_when_the_platform_fails_after_the_commit() {
    let settings = serde_json::json!({ "times": { "roll_poll_ms": 60_000 } });
    on_cluster(ClusterConfig { nodes: 6, settings, ..ClusterConfig::default() }, async |cluster| {
        let file = cluster.write_version("v2").expect("the bundle is signed");
        let (platform, node) =
            (cluster.get_platform_address(), cluster.nodes[0].get_operator_address().to_string());
        let roll = ["bundle", "roll", &file, "--platform", &platform, "--node", &node];
        cluster.run_cli(&roll).expect("the roll is accepted");
        cluster.set_platform_fault("table", "down", 0, None).await;
        cluster.set_platform_fault("store", "down", 0, None).await;
        expect_in_force(&cluster, 2, "v2").await;
    });
}

#[test]
fn new_node_gets_the_bundle_from_peers_during_a_platform_outage() {
    on_cluster(ClusterConfig::default(), async |mut cluster| {
        cluster.roll_version("v2").expect("the roll is accepted");
        expect_in_force(&cluster, 2, "v2").await;
        cluster.set_platform_fault("table", "down", 0, None).await;
        cluster.set_platform_fault("store", "down", 0, None).await;
        cluster.start_node("fresh", 3).await.expect("the node starts");
        expect_in_force(&cluster, 2, "v2").await;
    });
}

/// Failed once under load: the roll was not in force within 7 s, although nodes adopt it 13 to
/// 79 ms after they resume (logs of 120 runs under load). Another test of the process failed within
/// the same second: a command that blocks the thread of one test delays the tasks of all tests. The gateway's
/// `runtime` tests reproduce it.
#[test]
fn suspended_node_adopts_the_latest_roll_and_never_reverts() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        cluster.nodes[0].process.suspend();
        cluster.roll_version("v2").expect("the roll is accepted");
        runtime::sleep(Duration::from_secs(2)).await;
        cluster.roll_version("v3").expect("the roll is accepted");
        cluster.nodes[0].process.resume();
        expect_in_force(&cluster, 3, "v3").await;
        let alive = |status: &Value| {
            status["members"]
                .as_object()
                .is_some_and(|members| members.values().all(|m| m == "alive"))
        };
        cluster
            .wait_for_status(CONVERGENCE_TIMEOUT, alive)
            .await
            .expect("all nodes see the resumed node as alive");
        for _ in 0..20 {
            for node in 0..3 {
                assert_eq!(cluster.status(node).await["roll"], 3);
            }
            runtime::sleep(Duration::from_millis(50)).await;
        }
    });
}

#[test]
fn bundle_with_an_untrusted_or_invalid_signature_is_rejected() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        let other_key = cluster.path("other.key").display().to_string();
        cluster.run_cli(&["bundle", "key", "--key", &other_key]).expect("the key is created");
        let file = cluster.write_version("v2").expect("the bundle is signed");
        cluster
            .run_cli(&["bundle", "sign", &file, "--key", &other_key])
            .expect("the bundle is signed with the other key");
        let platform = cluster.get_platform_address();
        cluster
            .run_cli(&["bundle", "roll", &file, "--platform", &platform])
            .expect("the platform stores the roll");
        runtime::sleep(Duration::from_secs(1)).await;
        for node in 0..3 {
            assert_eq!(
                cluster.status(node).await["roll"],
                1,
                "a node adopted a bundle with an untrusted signature"
            );
        }
        let text = std::fs::read_to_string(&file).expect("the bundle file is readable");
        std::fs::write(&file, text.replace("weight: 3", "weight: 30"))
            .expect("the bundle is modified");
        let error = cluster.run_cli(&["bundle", "roll", &file, "--platform", &platform]);
        let error = error.expect_err("the roll is rejected").to_string();
        assert!(error.contains("the signature does not hold"), "{error}");
    });
}
