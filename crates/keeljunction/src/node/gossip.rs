//! Failure detection by probes, with membership and departure updates piggybacked on them.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::directory::Departure;
use keeljunction_core::member::{Member, State};

use super::{Node, adoption, departure, takeover};
use crate::peer::wire;
use crate::runtime;

/// Limits for one message.
const MAX_MEMBER_UPDATES: usize = 6;
const MAX_DEPARTURE_UPDATES: usize = 8;
/// Members in a message to a node that is not a known member.
const MAX_FULL_UPDATE_MEMBERS: usize = 64;
/// Nodes to which an urgent update is sent at once.
const URGENT_FANOUT: usize = 3;

/// Probes nodes periodically. Never returns.
pub async fn run(node: Arc<Node>) {
    let period = Duration::from_millis(node.settings.membership.probe_ms);
    loop {
        let target = {
            let mut members = runtime::lock(&node.members);
            members.next_probe(&mut fastrand::Rng::new())
        };
        match target {
            Some(target) => probe(&node, &target).await,
            None => probe_seeds(&node).await,
        }
        expire_suspects(&node);
        runtime::sleep(period).await;
    }
}

/// Sends each urgent update to a few nodes at once, for the lifetime of the process.
pub async fn run_urgent(node: Arc<Node>) {
    while node.wait_for_urgent_update().await {
        push_urgent(&node);
    }
}

fn push_urgent(node: &Arc<Node>) {
    let targets = {
        let members = runtime::lock(&node.members);
        members.pick_helpers("", URGENT_FANOUT, &mut fastrand::Rng::new())
    };
    for target in targets {
        let node = node.clone();
        runtime::spawn(async move {
            probe_address(&node, &target.address, "").await;
        });
    }
}

/// Returns the pending updates for one message.
pub fn take_updates(node: &Node) -> wire::News {
    let members = runtime::lock(&node.members).take_updates(MAX_MEMBER_UPDATES);
    to_wire_news(node, &members)
}

/// Returns the updates for a node that sent a probe.
///
/// If that node is not considered alive, its own state is always included. A node can refute only
/// what it receives, and updates sent while it was suspended were lost.
pub fn take_updates_for(node: &Node, from: &str) -> wire::News {
    let mut news = take_updates(node);
    let not_alive =
        runtime::lock(&node.members).get(from).filter(|m| m.state != State::Alive).cloned();
    news.members.extend(not_alive.as_ref().map(to_wire));
    news
}

/// Returns all members, for a node that is not a known member.
pub fn full_update(node: &Node) -> wire::News {
    let members: Vec<Member> =
        runtime::lock(&node.members).iter().take(MAX_FULL_UPDATE_MEMBERS).cloned().collect();
    to_wire_news(node, &members)
}

/// Applies the updates of a peer, and fetches the bundle from `address` if the peer's roll is
/// newer.
pub fn apply(node: &Arc<Node>, news: wire::News, address: Option<String>) {
    let now = node.now();
    for member in news.members {
        let name = member.name.clone();
        let is_new = runtime::lock(&node.members).apply(now, from_wire(member));
        let is_dead =
            runtime::lock(&node.members).get(&name).is_some_and(|m| m.state == State::Dead);
        if is_new && is_dead {
            handle_dead_node(node, &name);
        }
    }
    for departing in news.departures {
        departure::apply(
            node,
            &Departure { server: departing.server, gone_at: now + departing.left_ms },
        );
    }
    if let Some(address) = address.filter(|_| news.roll > node.get_roll()) {
        let node = node.clone();
        runtime::spawn(async move { adoption::fetch(&node, &address).await });
    }
}

/// Probes a node on behalf of another node.
pub async fn probe_on_behalf(node: &Arc<Node>, target: &str) -> bool {
    let Some(address) = node.get_peer_address(target) else { return false };
    probe_address(node, &address, "").await
}

async fn probe(node: &Arc<Node>, target: &Member) {
    if probe_address(node, &target.address, "").await || probe_indirectly(node, target).await {
        runtime::lock(&node.members).record_answer(&target.name);
        return;
    }
    node.metric.count("probes_missed", 1);
    runtime::lock(&node.members).record_missed_probe(node.now(), &target.name);
}

async fn probe_seeds(node: &Arc<Node>) {
    for seed in &node.settings.seeds {
        if probe_address(node, &seed.to_string(), "").await {
            adoption::fetch(node, &seed.to_string()).await;
        }
    }
}

/// Probes the node at an address, or through it the node named `target` if that is not empty.
async fn probe_address(node: &Arc<Node>, address: &str, target: &str) -> bool {
    let hops = if target.is_empty() { 1 } else { 2 };
    let timeout = Duration::from_millis(node.settings.membership.answer_ms * hops);
    let message = wire::ProbeRequest {
        from: node.get_name().to_owned(),
        target: target.to_owned(),
        news: Some(take_updates(node)),
    };
    node.metric.count("probes", 1);
    let call =
        node.peers.call(address, timeout, |mut peer| async move { peer.probe(message).await });
    let Ok(reply) = call.await else { return false };
    if let Some(news) = reply.news {
        apply(node, news, Some(address.to_owned()));
    }
    reply.alive
}

async fn probe_indirectly(node: &Arc<Node>, target: &Member) -> bool {
    let helpers = {
        let members = runtime::lock(&node.members);
        members.pick_helpers(
            &target.name,
            node.settings.membership.helpers,
            &mut fastrand::Rng::new(),
        )
    };
    let probes: Vec<_> = helpers
        .into_iter()
        .map(|helper| {
            let (node, name) = (node.clone(), target.name.clone());
            runtime::spawn_with_handle(
                async move { probe_address(&node, &helper.address, &name).await },
            )
        })
        .collect();
    for answer in probes {
        if answer.await {
            return true;
        }
    }
    false
}

/// Declares nodes dead that did not refute suspicion in time.
fn expire_suspects(node: &Arc<Node>) {
    let dead = runtime::lock(&node.members).expire(node.now());
    for member in dead {
        log::warn!("node {} is taken for dead", member.name);
        handle_dead_node(node, &member.name);
    }
}

/// Releases the grants of a dead node and takes over its requests.
fn handle_dead_node(node: &Arc<Node>, name: &str) {
    let shards: Vec<_> = runtime::lock(&node.grants.owned).values().cloned().collect();
    for shard in shards {
        shard.release_node(name);
    }
    takeover::take_over_node(node, name);
}

fn to_wire_news(node: &Node, members: &[Member]) -> wire::News {
    let nodes = members.len().max(runtime::lock(&node.members).iter().count());
    let departures = runtime::lock(&node.directory).take_updates(MAX_DEPARTURE_UPDATES, nodes);
    let now = node.now();
    let write = |departure: &Departure| wire::Departure {
        server: departure.server.clone(),
        left_ms: departure.gone_at.saturating_sub(now),
    };
    wire::News {
        roll: node.get_roll(),
        members: members.iter().map(to_wire).collect(),
        departures: departures.iter().map(write).collect(),
    }
}

fn to_wire(member: &Member) -> wire::Member {
    wire::Member {
        name: member.name.clone(),
        data_centre: member.data_centre.clone(),
        address: member.address.clone(),
        incarnation: member.incarnation,
        state: member.state.as_number(),
    }
}

fn from_wire(member: wire::Member) -> Member {
    Member {
        name: member.name,
        data_centre: member.data_centre,
        address: member.address,
        incarnation: member.incarnation,
        state: State::from_number(member.state),
    }
}
