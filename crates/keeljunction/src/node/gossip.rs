//! Probes, and the news that ride on them.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::directory::Departure;
use keeljunction_core::member::{Member, State};

use super::{Node, adoption, departure, takeover};
use crate::peer::wire;
use crate::runtime;

/// News of members and of departures in one message.
const MEMBERS: usize = 6;
const DEPARTURES: usize = 8;
/// Members in a message to a node that is not known yet.
const WELCOME: usize = 64;
/// Nodes that get urgent news at once.
const SPREAD: usize = 3;

/// Probes nodes for as long as the process lives.
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
        bury(&node);
        runtime::sleep(period).await;
    }
}

/// Sends a few nodes what is new at once, each time that there is something, for as long as the
/// process lives.
pub async fn run_urgent(node: Arc<Node>) {
    while node.wait_for_news().await {
        spread(&node);
    }
}

fn spread(node: &Arc<Node>) {
    let targets = {
        let members = runtime::lock(&node.members);
        members.pick_helpers("", SPREAD, &mut fastrand::Rng::new())
    };
    for target in targets {
        let node = node.clone();
        runtime::spawn(async move {
            direct(&node, &target.address, "").await;
        });
    }
}

/// Writes the news that ride on one message.
pub fn news(node: &Node) -> wire::News {
    let members = runtime::lock(&node.members).take_updates(MEMBERS);
    news_of(node, &members)
}

/// Writes the news for a node that probes. One that is not thought alive is notified of it, each time,
/// since it can refute only what it hears: news sent while it slept were lost.
pub fn news_for(node: &Node, from: &str) -> wire::News {
    let mut news = news(node);
    let doubted =
        runtime::lock(&node.members).get(from).filter(|m| m.state != State::Alive).cloned();
    news.members.extend(doubted.as_ref().map(to_wire));
    news
}

/// Writes the news for a node that is not known yet: all the members there are.
pub fn welcome(node: &Node) -> wire::News {
    let members: Vec<Member> = runtime::lock(&node.members).iter().take(WELCOME).cloned().collect();
    news_of(node, &members)
}

/// Takes news in that a peer at an address sent.
pub fn hear(node: &Arc<Node>, news: wire::News, address: Option<String>) {
    let now = node.now();
    for member in news.members {
        let name = member.name.clone();
        let is_new = runtime::lock(&node.members).apply(now, from_wire(member));
        let is_dead =
            runtime::lock(&node.members).get(&name).is_some_and(|m| m.state == State::Dead);
        if is_new && is_dead {
            mourn(node, &name);
        }
    }
    for heard in news.departures {
        departure::learn(node, &Departure { server: heard.server, gone_at: now + heard.left_ms });
    }
    if let Some(address) = address.filter(|_| news.roll > node.get_roll()) {
        let node = node.clone();
        runtime::spawn(async move { adoption::fetch(&node, &address).await });
    }
}

/// Answers a probe of another node on behalf of a third.
pub async fn probe_for(node: &Arc<Node>, target: &str) -> bool {
    let Some(address) = node.get_peer_address(target) else { return false };
    direct(node, &address, "").await
}

async fn probe(node: &Arc<Node>, target: &Member) {
    if direct(node, &target.address, "").await || indirect(node, target).await {
        runtime::lock(&node.members).record_answer(&target.name);
        return;
    }
    node.metric.count("probes_missed", 1);
    runtime::lock(&node.members).record_missed_probe(node.now(), &target.name);
}

async fn probe_seeds(node: &Arc<Node>) {
    for seed in &node.settings.seeds {
        if direct(node, &seed.to_string(), "").await {
            adoption::fetch(node, &seed.to_string()).await;
        }
    }
}

/// Probes the node at an address, or through it another one.
async fn direct(node: &Arc<Node>, address: &str, target: &str) -> bool {
    let hops = if target.is_empty() { 1 } else { 2 };
    let time = Duration::from_millis(node.settings.membership.answer_ms * hops);
    let message = wire::ProbeRequest {
        from: node.get_name().to_owned(),
        target: target.to_owned(),
        news: Some(news(node)),
    };
    node.metric.count("probes", 1);
    let call = node.peers.call(address, time, |mut peer| async move { peer.probe(message).await });
    let Ok(reply) = call.await else { return false };
    if let Some(news) = reply.news {
        hear(node, news, Some(address.to_owned()));
    }
    reply.alive
}

async fn indirect(node: &Arc<Node>, target: &Member) -> bool {
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
            runtime::spawn_with_handle(async move { direct(&node, &helper.address, &name).await })
        })
        .collect();
    for answer in probes {
        if answer.await {
            return true;
        }
    }
    false
}

/// Declares silent nodes dead.
fn bury(node: &Arc<Node>) {
    let dead = runtime::lock(&node.members).expire(node.now());
    for member in dead {
        log::warn!("node {} is taken for dead", member.name);
        mourn(node, &member.name);
    }
}

/// Does what must be done when a node is gone.
fn mourn(node: &Arc<Node>, name: &str) {
    let shards: Vec<_> = runtime::lock(&node.book.owned).values().cloned().collect();
    for shard in shards {
        shard.drop_node(name);
    }
    takeover::take_over(node, name);
}

fn news_of(node: &Node, members: &[Member]) -> wire::News {
    let nodes = members.len().max(runtime::lock(&node.members).iter().count());
    let departures = runtime::lock(&node.directory).take_updates(DEPARTURES, nodes);
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
