//! Copies of the records of streams at other nodes.

use keeljunction_core::Millis;
use keeljunction_core::serving::stream_origin::{
    Batch, COPIES, HolderId, Key, Origin, Recovery, Registry, Stream,
};
use keeljunction_core::serving::version_history::MAX_STREAM_AGE_MS;
use proptest::prelude::*;

/// Six nodes that may hold copies, in the order of their rank.
const RANKED: [HolderId; 6] = [11, 12, 13, 14, 15, 16];

fn key(number: usize) -> Key {
    Key::new("acme", &number.to_string())
}

fn begin(registry: &mut Registry, now: Millis, caller_deadline: Millis) {
    registry.begin(now, key(1), &Origin::new("llm", "v1"), caller_deadline);
}

/// Returns the nodes that get a copy now if all nodes are live.
fn plan(registry: &mut Registry, now: Millis) -> Vec<HolderId> {
    plan_without(registry, now, &[])
}

/// Returns the nodes that get a copy now if some nodes have left.
fn plan_without(registry: &mut Registry, now: Millis, gone: &[HolderId]) -> Vec<HolderId> {
    let due = registry.list_due(now);
    let plans = due.into_iter().map(|key| {
        let rank = || RANKED.into_iter().filter(|holder| !gone.contains(holder)).collect();
        registry.plan_copies(now, key, |holder| !gone.contains(&holder), rank)
    });
    plans.flatten().collect()
}

/// Lists the nodes that get copies from one time until another.
fn plan_until(registry: &mut Registry, from: Millis, to: Millis) -> Vec<HolderId> {
    (from..to).step_by(50).flat_map(|now| plan(registry, now)).collect()
}

fn confirm(registry: &mut Registry, holders: &[HolderId]) {
    holders.iter().for_each(|holder| registry.confirm(*holder, &[key(1)]));
}

/// Guards against a record of which only its node knows for some time after the first event.
#[test]
fn copies_are_sent_as_soon_as_a_stream_begins() {
    let mut registry = Registry::default();
    begin(&mut registry, 1_000, 20_000);
    assert_eq!(plan(&mut registry, 1_000), RANKED[..COPIES]);
}

/// Guards against a record that is lost with one datagram.
#[test]
fn a_copy_that_is_not_confirmed_is_sent_again() {
    let mut registry = Registry::default();
    begin(&mut registry, 0, 20_000);
    plan(&mut registry, 0);
    confirm(&mut registry, &[11, 13]);
    assert_eq!(registry.count_incomplete(), 1);
    assert_eq!(plan_until(&mut registry, 1, 400), [12]);
    confirm(&mut registry, &[12]);
    assert_eq!(registry.count_incomplete(), 0);
    assert!(plan_until(&mut registry, 400, 20_000).is_empty());
}

/// Guards against traffic that grows with the number of running streams.
#[test]
fn confirmed_copies_are_not_sent_again() {
    let mut registry = Registry::default();
    begin(&mut registry, 0, 30_000);
    plan(&mut registry, 0);
    confirm(&mut registry, &RANKED[..COPIES]);
    assert!(plan_until(&mut registry, 1, 30_000).is_empty());
    assert!(registry.list_due(30_000 + 1_000).len() <= 1);
}

/// Guards against records that holders take with them one after another.
#[test]
fn a_copy_whose_holder_has_left_is_replaced() {
    let mut registry = Registry::default();
    begin(&mut registry, 0, 30_000);
    plan(&mut registry, 0);
    confirm(&mut registry, &RANKED[..COPIES]);
    plan(&mut registry, 300);
    assert_eq!(plan_without(&mut registry, 1_400, &[12]), [14]);
}

/// Guards against records that a holder lost in a restart.
#[test]
fn a_copy_of_a_restarted_holder_is_sent_again() {
    let mut registry = Registry::default();
    begin(&mut registry, 0, 30_000);
    plan(&mut registry, 0);
    confirm(&mut registry, &RANKED[..COPIES]);
    plan(&mut registry, 300);
    registry.forget_holder(12);
    assert_eq!(plan(&mut registry, 1_400), [12]);
}

/// Guards against a record whose copies were planned while its node knew no other node.
#[test]
fn copies_are_sent_once_other_nodes_are_known() {
    let mut registry = Registry::default();
    begin(&mut registry, 0, 30_000);
    for now in (0..5_000).step_by(50) {
        assert!(plan_without(&mut registry, now, &RANKED).is_empty());
    }
    assert_eq!(registry.count_incomplete(), 1);
    assert_eq!(plan_until(&mut registry, 5_000, 5_250), RANKED[..COPIES]);
}

/// Guards against a record whose holders are all known and none of which runs.
#[test]
fn copies_go_to_lower_ranked_nodes_if_the_first_ones_do_not_answer() {
    let mut registry = Registry::default();
    begin(&mut registry, 0, 30_000);
    let sent = plan_until(&mut registry, 0, 1_000);
    assert!(RANKED.iter().all(|holder| sent.contains(holder)), "{sent:?}");
    confirm(&mut registry, &[14, 15, 16]);
    assert!(plan_until(&mut registry, 2_000, 30_000).is_empty());
}

/// Guards against unlimited repetitions to nodes that do not answer.
#[test]
fn copies_for_nodes_that_do_not_answer_are_sent_ever_less_often() {
    let mut registry = Registry::default();
    begin(&mut registry, 0, 60_000);
    let sent = plan_until(&mut registry, 0, 60_000);
    assert!(sent.len() <= 80, "{} copies in a minute", sent.len());
}

/// Guards against copies that expire while the stream still runs.
#[test]
fn copies_of_a_long_stream_are_renewed_before_they_expire() {
    let mut registry = Registry::default();
    begin(&mut registry, 0, 4 * MAX_STREAM_AGE_MS);
    let mut holder = Registry::default();
    for now in (0..4 * MAX_STREAM_AGE_MS).step_by(50) {
        for recipient in plan(&mut registry, now) {
            if let Some(record) = registry.get_record(now, key(1)).filter(|_| recipient == 11) {
                let stream = Stream { key: record.key, expires_in: record.expires_in };
                let origin = Some(Origin::new("llm", "v1"));
                holder.merge(now, &Batch { origin, streams: vec![stream] });
            }
            confirm(&mut registry, &[recipient]);
        }
        holder.expire(now);
        assert!(holder.find(now, key(1)).is_some(), "no copy after {now} ms");
    }
}

/// Guards against a node that never gets the copies that its predecessor held.
#[test]
fn a_node_requests_its_copies_until_each_node_has_answered() {
    let mut recovery = Recovery::new(1_000);
    assert_eq!(recovery.take_due(1_000, RANKED.into_iter()), RANKED);
    recovery.record_answer(11, 0);
    assert!(recovery.take_due(1_400, RANKED.into_iter()).is_empty());
    assert_eq!(recovery.take_due(1_500, RANKED.into_iter()), RANKED[1..]);
    let later = RANKED.into_iter().chain([17]);
    assert_eq!(recovery.take_due(1_600, later), [17]);
}

/// Guards against requests to nodes of an earlier release without an end, and to new nodes at any time.
#[test]
fn requests_for_copies_end() {
    let mut recovery = Recovery::new(0);
    let times = (0..10 * MAX_STREAM_AGE_MS).step_by(250);
    let sent: usize = times.map(|now| recovery.take_due(now, RANKED.into_iter()).len()).sum();
    assert!(sent <= 6 * RANKED.len(), "{sent} requests");
    assert!(recovery.take_due(MAX_STREAM_AGE_MS, [18].into_iter()).is_empty());
}

/// Guards against a request to each other node by all nodes of a large cluster that start together.
#[test]
fn a_node_that_starts_with_all_others_asks_only_some_of_them() {
    let mut recovery = Recovery::new(0);
    let mut asked = 0;
    for step in 0..20 {
        let due = recovery.take_due(step * 250, 0..986);
        due.iter().for_each(|holder| recovery.record_answer(*holder, 0));
        asked += due.len();
    }
    assert_eq!(asked, 64);
}

/// Guards against a burst of requests at a start among many nodes.
#[test]
fn requests_among_many_nodes_are_spread() {
    let mut recovery = Recovery::new(0);
    let mut asked = 0;
    for step in 0..20 {
        let due = recovery.take_due(step * 250, 0..986);
        assert!(due.len() <= 64);
        due.iter().for_each(|holder| recovery.record_answer(*holder, 1));
        asked += due.len();
    }
    assert_eq!(asked, 986);
}

proptest! {
    #[test]
    fn a_record_keeps_its_copies_whatever_is_lost(
        steps in prop::collection::vec((0usize..6, 0u8..4), 1..60)
    ) {
        let mut registry = Registry::default();
        begin(&mut registry, 0, 10 * MAX_STREAM_AGE_MS);
        let mut held: Vec<HolderId> = Vec::new();
        let mut now = 0;
        for (at, what) in steps {
            // A holder restarts, or some datagrams get lost.
            if what == 0 {
                held.retain(|holder| *holder != RANKED[at]);
                registry.forget_holder(RANKED[at]);
            }
            for _ in 0..8 {
                now += 50;
                for holder in plan(&mut registry, now) {
                    let is_lost = what == 1 && holder == RANKED[at];
                    if !is_lost {
                        held.push(holder);
                        confirm(&mut registry, &[holder]);
                    }
                }
            }
        }
        for _ in 0..400 {
            now += 50;
            for holder in plan(&mut registry, now) {
                held.push(holder);
                confirm(&mut registry, &[holder]);
            }
        }
        held.sort_unstable();
        held.dedup();
        prop_assert!(held.len() >= COPIES, "{held:?}");
        prop_assert_eq!(registry.count_incomplete(), 0);
    }
}
