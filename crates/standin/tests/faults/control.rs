//! Tasks of the lease holder: orders with fencing tokens, and VM starts without duplicates.

use std::collections::BTreeMap;
use std::time::Duration;

use keeljunction::runtime;
use serde_json::Value;
use standin::harness::{Cluster, ClusterConfig, get_json};

use super::support::{eventually, on_cluster};

/// Returns a configuration that starts three VMs of class `a`, preferring cheaper data centres.
///
/// One VM must remain after the loss of any data centre.
fn capacity_config() -> ClusterConfig {
    let service = "    vm_class: a\n    floor: 3\n    after_loss: 1\n".to_owned();
    let prices = "prices:
  - { data_centre: hall-oriente, vm_class: a, reclaimable: true, per_hour_milli: 100 }
  - { data_centre: hall-occidente, vm_class: a, reclaimable: true, per_hour_milli: 120 }
"
    .to_owned();
    ClusterConfig { extra_yaml: (service, prices), ..ClusterConfig::default() }
}

async fn get_started_vms(cluster: &Cluster) -> BTreeMap<String, Value> {
    let started =
        get_json(&cluster.client, cluster.platform.address("address"), "/cloud/started").await;
    serde_json::from_value(started.unwrap_or_default()).unwrap_or_default()
}

async fn get_orders(cluster: &Cluster, server: &str) -> Vec<Value> {
    let orders =
        get_json(&cluster.client, cluster.servers[server].address("address"), "/orders").await;
    orders.as_ref().and_then(Value::as_array).cloned().unwrap_or_default()
}

/// Returns the index of the node that sent the last order.
///
/// Waits for a first order, because a lease holder may start VMs before it sends one.
async fn find_lease_holder(cluster: &Cluster) -> usize {
    eventually("an order was sent", async || !get_orders(cluster, "hidro-0").await.is_empty())
        .await;
    let last = get_orders(cluster, "hidro-0").await.pop().expect("no order was sent");
    let index = cluster.nodes.iter().position(|node| last["node"] == node.name.as_str());
    index.expect("an unknown node sent the order")
}

#[test]
fn each_engine_gets_one_order_per_roll_with_non_decreasing_fences() {
    on_cluster(ClusterConfig::default(), async |cluster| {
        cluster.roll_version("v2").expect("the roll is accepted");
        for server in ["hidro-0", "hidro-1"] {
            eventually("roll 2 is ordered", async || {
                get_orders(&cluster, server).await.last().is_some_and(|order| order["roll"] == 2)
            })
            .await;
        }
        runtime::sleep(Duration::from_millis(700)).await;
        for server in ["hidro-0", "hidro-1"] {
            let orders = get_orders(&cluster, server).await;
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
fn resumed_lease_holder_sends_no_order_with_an_outdated_fence() {
    for arguments in [Vec::new(), vec!["--unfenced".to_owned()]] {
        on_cluster(
            ClusterConfig { engine_arguments: arguments, ..ClusterConfig::default() },
            async |cluster| {
                eventually("an order was sent", async || {
                    !get_orders(&cluster, "hidro-0").await.is_empty()
                })
                .await;
                let paused = find_lease_holder(&cluster).await;
                cluster.nodes[paused].process.suspend();
                cluster.roll_version("v2").expect("the roll is accepted");
                eventually("another node orders roll 2", async || {
                    get_orders(&cluster, "hidro-0")
                        .await
                        .last()
                        .is_some_and(|order| order["roll"] == 2)
                })
                .await;
                let before = get_orders(&cluster, "hidro-0").await.len();
                cluster.nodes[paused].process.resume();
                runtime::sleep(Duration::from_secs(1)).await;
                let after = get_orders(&cluster, "hidro-0").await;
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
fn missing_vms_are_started_once_each() {
    on_cluster(capacity_config(), async |cluster| {
        // One VM must survive the loss of any data centre: two in the cheapest, one in the next.
        eventually("three VMs are started", async || get_started_vms(&cluster).await.len() == 3)
            .await;
        runtime::sleep(Duration::from_secs(1)).await;
        let started = get_started_vms(&cluster).await;
        let mut data_centres: Vec<&str> =
            started.values().filter_map(|entry| entry[1]["data_centre"].as_str()).collect();
        data_centres.sort_unstable();
        assert_eq!(data_centres, ["hall-occidente", "hall-oriente", "hall-oriente"]);
    });
}

#[test]
fn lost_and_rejected_start_calls_start_no_vm_twice() {
    for (mode, count) in [("lost", 4), ("down", 2), ("late", 3)] {
        on_cluster(capacity_config(), async |cluster| {
            cluster.set_platform_fault("cloud", mode, 300, Some(count)).await;
            eventually(mode, async || get_started_vms(&cluster).await.len() >= 3).await;
            runtime::sleep(Duration::from_secs(1)).await;
            assert_eq!(get_started_vms(&cluster).await.len(), 3, "{mode}");
        });
    }
}

#[test]
fn lease_holder_killed_during_a_start_call_starts_no_vm_twice() {
    on_cluster(capacity_config(), async |mut cluster| {
        cluster.set_platform_fault("cloud", "lost", 0, None).await;
        eventually("a VM start is requested", async || !get_started_vms(&cluster).await.is_empty())
            .await;
        let holder = find_lease_holder(&cluster).await;
        cluster.nodes[holder].process.kill();
        cluster.nodes.remove(holder);
        cluster.set_platform_fault("cloud", "none", 0, None).await;
        eventually("three VMs are started", async || get_started_vms(&cluster).await.len() >= 3)
            .await;
        runtime::sleep(Duration::from_secs(1)).await;
        assert_eq!(get_started_vms(&cluster).await.len(), 3);
    });
}
