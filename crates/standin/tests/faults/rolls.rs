//! An accepted bundle version is in force everywhere within seconds and never reverts.

use std::time::Duration;

use keeljunction::runtime;
use serde_json::Value;
use standin::harness::{Cluster, ClusterConfig};

use super::support::{SOON, on_cluster};

const WITHIN: Duration = Duration::from_secs(7);

async fn in_force(cluster: &Cluster, roll: u64, version: &str) -> Duration {
    let spread = cluster
        .wait_for_status(WITHIN, |status| status["roll"] == roll && status["version"] == version)
        .await;
    let spread = spread.expect("the roll is in force everywhere");
    println!(
        "roll {roll} was in force on {} nodes after {} ms",
        cluster.nodes.len(),
        spread.as_millis()
    );
    spread
}

#[test]
fn a_roll_is_in_force_on_all_nodes_within_seconds_and_a_rollback_is_a_higher_roll() {
    on_cluster(
        ClusterConfig { nodes: 8, engines: 1, services: 0, ..ClusterConfig::default() },
        async |cluster| {
            cluster.roll_version("v2").expect("it is accepted");
            in_force(&cluster, 2, "v2").await;
            let platform = cluster.get_platform_address();
            cluster
                .run_cli(&["bundle", "rollback", "--to", "1", "--platform", &platform])
                .expect("it is accepted");
            in_force(&cluster, 3, "v1").await;
            let audit = cluster
                .run_cli(&["audit", "--json", "--platform", &platform])
                .expect("there is a trail");
            let audit: Value = serde_json::from_str(&audit).expect("it is JSON");
            let actions: Vec<_> =
                audit.as_array().into_iter().flatten().map(|row| &row["action"]).collect();
            assert_eq!(actions, ["roll", "roll", "rollback"]);
            let shown = cluster
                .run_cli(&["bundle", "show", "2", "--platform", &platform])
                .expect("it is there");
            assert!(
                shown.contains("# roll 2, version v2") && shown.contains("\nversion: v2\n"),
                "{shown}"
            );
            let listed =
                cluster.run_cli(&["bundle", "list", "--platform", &platform]).expect("it is there");
            assert_eq!(listed.lines().count(), 4, "a heading and three rolls: {listed}");
            let operator = cluster.nodes[0].get_operator_address().to_string();
            let status =
                cluster.run_cli(&["status", "--json", "--node", &operator]).expect("it answers");
            let status: Value = serde_json::from_str(&status).expect("it is JSON");
            assert_eq!(
                (&status[0]["roll"], &status[0]["ready"]),
                (&Value::from(3), &Value::from(true))
            );
        },
    );
}

#[test]
fn of_racing_operators_one_wins_and_the_other_is_told_who() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        let files = [cluster.write_version("left"), cluster.write_version("right")];
        let files: Vec<String> =
            files.into_iter().map(|file| file.expect("it is signed")).collect();
        let platform = cluster.get_platform_address();
        // Both have read the roll in force before either's transaction is carried out.
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
            rolling.into_iter().map(|roll| roll.join().expect("it ends")).collect()
        });
        let won = results.iter().filter(|result| result.is_ok()).count();
        assert_eq!(won, 1, "{results:?}");
        let lost =
            results.iter().find_map(|result| result.as_ref().err()).expect("one lost").to_string();
        assert!(lost.contains("another roll came first"), "{lost}");
        assert!(lost.contains("by ana") || lost.contains("by luis"), "{lost}");
        let version = if results[0].is_ok() { "left" } else { "right" };
        in_force(&cluster, 2, version).await;
    });
}

#[test]
fn a_roll_whose_answer_was_lost_is_found_by_its_id_and_made_once() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        cluster.set_platform_fault("commit", "lost", 0, Some(1)).await;
        let said = cluster.roll_version("v2").expect("it is accepted");
        assert!(said.contains("roll 2: version v2 was accepted"), "{said}");
        in_force(&cluster, 2, "v2").await;
    });
}

#[test]
fn a_roll_is_refused_with_a_clear_error_while_the_platform_is_down() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        for target in ["table", "store"] {
            cluster.set_platform_fault(target, "down", 0, None).await;
            let error = cluster.roll_version("v2").expect_err("it is refused").to_string();
            assert!(error.contains("the platform refused the call"), "{error}");
            cluster.set_platform_fault(target, "none", 0, None).await;
        }
        assert!(cluster.status(0).await["roll"] == 1);
        cluster.roll_version("v2").expect("it is accepted");
        in_force(&cluster, 2, "v2").await;
    });
}

#[test]
fn with_the_platform_down_after_the_commit_the_roll_spreads_from_one_node() {
    let settings = serde_json::json!({ "times": { "roll_poll_ms": 60_000 } });
    on_cluster(ClusterConfig { nodes: 6, settings, ..ClusterConfig::default() }, async |cluster| {
        let file = cluster.write_version("v2").expect("it is signed");
        let (platform, node) =
            (cluster.get_platform_address(), cluster.nodes[0].get_operator_address().to_string());
        let roll = ["bundle", "roll", &file, "--platform", &platform, "--node", &node];
        cluster.run_cli(&roll).expect("it is accepted");
        cluster.set_platform_fault("table", "down", 0, None).await;
        cluster.set_platform_fault("store", "down", 0, None).await;
        in_force(&cluster, 2, "v2").await;
    });
}

#[test]
fn a_fresh_node_gets_the_bundle_from_peers_during_an_outage() {
    on_cluster(ClusterConfig::default(), async |mut cluster| {
        cluster.roll_version("v2").expect("it is accepted");
        in_force(&cluster, 2, "v2").await;
        cluster.set_platform_fault("table", "down", 0, None).await;
        cluster.set_platform_fault("store", "down", 0, None).await;
        cluster.start_node("fresh", 3).await.expect("it starts");
        in_force(&cluster, 2, "v2").await;
    });
}

/// What happened, once beside load: the roll was not in force within 7 s. The nodes' logs of 120 plays beside load say
/// "roll 3, version v3, is in force" 13 to 79 ms after the waking, so that the time was not spent there. Another test
/// of the same process failed within the same second, and the two share nothing but the process: a command that
/// blocked the thread of one test held up the tasks of all. `runtime` of the gateway's tests shows it.
#[test]
fn a_node_that_slept_through_a_roll_takes_it_and_never_serves_an_older_one_again() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        cluster.nodes[0].process.suspend();
        cluster.roll_version("v2").expect("it is accepted");
        runtime::sleep(Duration::from_secs(2)).await;
        cluster.roll_version("v3").expect("it is accepted");
        cluster.nodes[0].process.resume();
        in_force(&cluster, 3, "v3").await;
        let alive = |status: &Value| {
            status["members"]
                .as_object()
                .is_some_and(|members| members.values().all(|m| m == "alive"))
        };
        cluster.wait_for_status(SOON, alive).await.expect("the woken node is alive to all again");
        for _ in 0..20 {
            for node in 0..3 {
                assert_eq!(cluster.status(node).await["roll"], 3);
            }
            runtime::sleep(Duration::from_millis(50)).await;
        }
    });
}

#[test]
fn an_unsigned_or_altered_bundle_is_refused_by_every_node() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        let other = cluster.path("other.key").display().to_string();
        cluster.run_cli(&["bundle", "key", "--key", &other]).expect("it is made");
        let file = cluster.write_version("v2").expect("it is signed");
        cluster.run_cli(&["bundle", "sign", &file, "--key", &other]).expect("it is signed anew");
        let platform = cluster.get_platform_address();
        cluster
            .run_cli(&["bundle", "roll", &file, "--platform", &platform])
            .expect("the table takes it");
        runtime::sleep(Duration::from_secs(1)).await;
        for node in 0..3 {
            assert_eq!(cluster.status(node).await["roll"], 1, "a foreign signature is not taken");
        }
        let text = std::fs::read_to_string(&file).expect("it is there");
        std::fs::write(&file, text.replace("weight: 3", "weight: 30")).expect("it is altered");
        let error = cluster.run_cli(&["bundle", "roll", &file, "--platform", &platform]);
        let error = error.expect_err("it is refused").to_string();
        assert!(error.contains("the signature does not hold"), "{error}");
    });
}
