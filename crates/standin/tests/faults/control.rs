//! What only one node may do: orders under a lease, and VMs that are started once.

use std::collections::BTreeMap;
use std::time::Duration;

use keeljunction::runtime;
use serde_json::Value;
use standin::harness::{Cluster, ClusterConfig, get_json};

use super::support::{eventually, on_cluster};

/// Three VMs of class a, in the cheaper data centres first; one must survive a data centre.
fn buying() -> ClusterConfig {
    let service = "    vm_class: a\n    floor: 3\n    after_loss: 1\n".to_owned();
    let prices = "prices:
  - { data_centre: hall-oriente, vm_class: a, reclaimable: true, per_hour_milli: 100 }
  - { data_centre: hall-occidente, vm_class: a, reclaimable: true, per_hour_milli: 120 }
"
    .to_owned();
    ClusterConfig { extra_yaml: (service, prices), ..ClusterConfig::default() }
}

async fn started(cluster: &Cluster) -> BTreeMap<String, Value> {
    let started =
        get_json(&cluster.client, cluster.platform.address("address"), "/cloud/started").await;
    serde_json::from_value(started.unwrap_or_default()).unwrap_or_default()
}

async fn orders(cluster: &Cluster, server: &str) -> Vec<Value> {
    let orders =
        get_json(&cluster.client, cluster.servers[server].address("address"), "/orders").await;
    orders.as_ref().and_then(Value::as_array).cloned().unwrap_or_default()
}

/// Finds the node that sent the last order. A holder may start VMs before its first order to an
/// engine, so that one is waited for.
async fn holder(cluster: &Cluster) -> usize {
    eventually("an order was sent", async || !orders(cluster, "hidro-0").await.is_empty()).await;
    let last = orders(cluster, "hidro-0").await.pop().expect("there was an order");
    let place = cluster.nodes.iter().position(|node| last["node"] == node.name.as_str());
    place.expect("the node is known")
}

#[test]
fn every_engine_is_ordered_once_for_each_roll_with_fences_that_rise() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        cluster.roll_version("v2").expect("it is accepted");
        for server in ["hidro-0", "hidro-1"] {
            eventually("roll 2 is ordered", async || {
                orders(&cluster, server).await.last().is_some_and(|order| order["roll"] == 2)
            })
            .await;
        }
        runtime::sleep(Duration::from_millis(700)).await;
        for server in ["hidro-0", "hidro-1"] {
            let orders = orders(&cluster, server).await;
            let rolls: Vec<u64> =
                orders.iter().filter_map(|order| order["roll"].as_u64()).collect();
            assert!(rolls == [1, 2] || rolls == [2], "{orders:?}");
            assert!(
                orders
                    .windows(2)
                    .all(|pair| pair[0]["fence"].as_u64() <= pair[1]["fence"].as_u64())
            );
        }
    });
}

#[test]
fn a_paused_holder_that_wakes_sends_no_order() {
    for arguments in [Vec::new(), vec!["--unfenced".to_owned()]] {
        on_cluster(
            ClusterConfig { engine_arguments: arguments, ..ClusterConfig::default() },
            async |cluster| {
                eventually("an order was sent", async || {
                    !orders(&cluster, "hidro-0").await.is_empty()
                })
                .await;
                let paused = holder(&cluster).await;
                cluster.nodes[paused].process.suspend();
                cluster.roll_version("v2").expect("it is accepted");
                eventually("another node orders roll 2", async || {
                    orders(&cluster, "hidro-0").await.last().is_some_and(|order| order["roll"] == 2)
                })
                .await;
                let before = orders(&cluster, "hidro-0").await.len();
                cluster.nodes[paused].process.resume();
                runtime::sleep(Duration::from_secs(1)).await;
                let after = orders(&cluster, "hidro-0").await;
                let name = cluster.nodes[paused].name.as_str();
                let late: Vec<_> =
                    after[before..].iter().filter(|order| order["node"] == name).collect();
                let newest =
                    after[..before].iter().filter_map(|order| order["fence"].as_u64()).max();
                assert!(late.iter().all(|order| order["fence"].as_u64() > newest), "{late:?}");
            },
        );
    }
}

#[test]
fn the_vms_that_the_plan_lacks_are_started_once_each() {
    on_cluster(buying(), async |cluster| {
        // One must survive the loss of any data centre: two here and one there, the cheaper twice.
        eventually("three are started", async || started(&cluster).await.len() == 3).await;
        runtime::sleep(Duration::from_secs(1)).await;
        let started = started(&cluster).await;
        let mut places: Vec<&str> =
            started.values().filter_map(|entry| entry[1]["data_centre"].as_str()).collect();
        places.sort_unstable();
        assert_eq!(places, ["hall-occidente", "hall-oriente", "hall-oriente"]);
    });
}

#[test]
fn lost_answers_and_refused_starts_start_nothing_twice() {
    for (mode, count) in [("lost", 4), ("down", 2), ("late", 3)] {
        on_cluster(buying(), async |cluster| {
            cluster.set_platform_fault("cloud", mode, 300, Some(count)).await;
            eventually(mode, async || started(&cluster).await.len() >= 3).await;
            runtime::sleep(Duration::from_secs(1)).await;
            assert_eq!(started(&cluster).await.len(), 3, "{mode}");
        });
    }
}

#[test]
fn a_holder_killed_between_intent_and_answer_starts_nothing_twice() {
    on_cluster(buying(), async |mut cluster| {
        cluster.set_platform_fault("cloud", "lost", 0, None).await;
        eventually("one is asked for", async || !started(&cluster).await.is_empty()).await;
        let holder = holder(&cluster).await;
        cluster.nodes[holder].process.kill();
        cluster.nodes.remove(holder);
        cluster.set_platform_fault("cloud", "none", 0, None).await;
        eventually("three are started", async || started(&cluster).await.len() >= 3).await;
        runtime::sleep(Duration::from_secs(1)).await;
        assert_eq!(started(&cluster).await.len(), 3);
    });
}
