//! Polling of the VM list, the reclaim notices and the load of backend servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::bundle::Kind;
use keeljunction_core::directory::{Departure, Server};
use keeljunction_core::member::{Member, State};
use keeljunction_core::route::LoadReport;

use super::grant::{self, ShardKey};
use super::shard::Shard;
use super::{Node, attempt, departure};
use crate::platform::{Role, Vm, VmState};
use crate::runtime;

/// Time until a VM that is listed as leaving without a notice is assumed to be gone, in
/// milliseconds.
const ASSUMED_NOTICE_MS: u64 = 30_000;
/// The key by which nodes are ranked to select those that read the VM list and the notices.
const WATCH_KEY: &str = "vms";

/// Polls the VM list and the notices. Never returns.
pub async fn run_vms(node: Arc<Node>) {
    let mut round: u64 = 0;
    loop {
        if node.is_read_due(WATCH_KEY, round) {
            read_vms(&node).await;
        }
        round += 1;
        runtime::sleep(Duration::from_millis(node.settings.times.vm_poll_ms)).await;
    }
}

async fn read_vms(node: &Arc<Node>) {
    match node.platform.vms().await {
        Ok(vms) => apply_vms(node, vms),
        Err(fault) => log::debug!("could not read the VM list: {fault}"),
    }
    match node.platform.notices().await {
        Ok(notices) => {
            for notice in notices {
                let gone_at = node.now() + notice.left_ms;
                departure::apply(node, &Departure { server: notice.vm, gone_at });
            }
        }
        Err(fault) => log::debug!("could not read the notices: {fault}"),
    }
}

/// Polls the load of the servers in this node's queues. Never returns.
pub async fn run_loads(node: Arc<Node>) {
    loop {
        for shards in [&node.grants.owned, &node.grants.fallback] {
            let shards: Vec<(ShardKey, Arc<Shard>)> =
                runtime::lock(shards).iter().map(|(k, s)| (k.clone(), s.clone())).collect();
            for (key, shard) in shards {
                read_loads(&node, &key, &shard);
            }
        }
        runtime::sleep(Duration::from_millis(node.settings.routing.report_ms)).await;
    }
}

fn apply_vms(node: &Arc<Node>, vms: Vec<Vm>) {
    let now = node.now();
    let mut leaving = Vec::new();
    let mut servers = Vec::new();
    for vm in vms {
        match vm.role {
            Role::Entry => add_seed(node, now, vm),
            Role::Server(service) => {
                if vm.state == VmState::Leaving {
                    leaving.push(vm.name.clone());
                }
                let (name, address, data_centre) = (vm.name, vm.address, vm.data_centre);
                servers.push(Server { name, service, address, data_centre });
            }
        }
    }
    runtime::lock(&node.directory).set_servers(now, servers.into_iter());
    for server in leaving {
        departure::apply(node, &Departure { server, gone_at: now + ASSUMED_NOTICE_MS });
    }
    grant::sync_all(node);
}

fn add_seed(node: &Node, now: u64, vm: Vm) {
    if vm.state == VmState::Leaving {
        return;
    }
    let member = Member {
        name: vm.name,
        data_centre: vm.data_centre,
        address: vm.address,
        incarnation: 0,
        state: State::Alive,
    };
    runtime::lock(&node.members).seed(now, member);
}

fn read_loads(node: &Arc<Node>, key: &ShardKey, shard: &Arc<Shard>) {
    let active = node.get_active_bundle();
    let kind = active.and_then(|active| Some(active.document.get_service(&key.0)?.kind));
    let servers = shard.with(|queue, _| {
        let remaining = queue.get_servers().iter().filter(|server| !server.is_leaving);
        remaining.map(|s| (s.name.clone(), s.address.clone())).collect::<Vec<_>>()
    });
    for (name, address) in servers {
        let Ok(address) = address.parse::<SocketAddr>() else { continue };
        let (node, shard) = (node.clone(), shard.clone());
        let is_model = kind == Some(Kind::Model);
        runtime::spawn(async move { read_load(&node, &shard, &name, address, is_model).await });
    }
}

async fn read_load(node: &Node, shard: &Shard, server: &str, address: SocketAddr, is_model: bool) {
    let engine = attempt::engine(node, address);
    match engine.load().await {
        Ok(load) => {
            let at = node.now().saturating_sub(load.age_ms);
            let report =
                LoadReport { at, requests: load.requests, queued_tokens: load.queued_tokens };
            shard.with(|queue, _| queue.report(server, report));
        }
        Err(failure) if failure.is_not_sent() => {
            return shard.with(|queue, now| queue.record_unreachable(now, server));
        }
        Err(_) => return,
    }
    if !is_model {
        return;
    }
    let Ok(events) = engine.events(shard.get_next_event(server)).await else { return };
    for event in events.events {
        shard.set_next_event(server, event.number + 1);
        let is_contiguous = shard.with(|queue, _| {
            queue.apply_cache_event(server, event.number, &event.stored, &event.evicted)
        });
        if !is_contiguous {
            node.metric.count("cache_event_gaps", 1);
        }
    }
}
