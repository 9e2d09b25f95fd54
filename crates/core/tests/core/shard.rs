//! Admission: queues, grants and refusals.

use keeljunction_core::route::LoadReport;
use keeljunction_core::shard::{
    Decision, GrantRequest, MAX_SHARD_SERVERS, Queue, shard_count, shard_of,
};
use proptest::prelude::*;

fn queue(servers: usize, slots: u32) -> Queue {
    let mut queue = Queue::new(slots, 1_000);
    let names: Vec<String> = (0..servers).map(|n| format!("s{n}")).collect();
    queue.set_servers(names.iter().map(|name| (name.as_str(), "127.0.0.1:1", "x", false)));
    queue.set_weights([("flood", 3), ("desk", 1)].into_iter());
    queue
}

fn grant_request(id: &str, group: &str, priority: u32, deadline: u64) -> GrantRequest {
    GrantRequest {
        id: id.to_owned(),
        group: group.to_owned(),
        priority,
        deadline,
        wait: 100_000,
        prompt_tokens: 10,
        output_tokens: 10,
        prefix: Vec::new(),
        avoid: Vec::new(),
    }
}

fn granted(decided: &[(String, Decision)]) -> Vec<&str> {
    let is_grant = |(_, decision): &&(String, Decision)| matches!(decision, Decision::Granted(_));
    decided.iter().filter(is_grant).map(|(id, _)| id.as_str()).collect()
}

#[test]
fn the_least_served_group_goes_next_then_priority_then_deadline() {
    let mut queue = queue(1, 1);
    assert!(matches!(
        queue.submit(0, grant_request("first", "flood", 0, 900_000)),
        Decision::Granted(_)
    ));
    for (id, group, priority, deadline) in [
        ("late", "flood", 0, 900_000),
        ("soon", "flood", 0, 800_000),
        ("briefing", "flood", 1, 700_000),
        ("desk", "desk", 1, 900_000),
    ] {
        assert_eq!(
            queue.submit(1, grant_request(id, group, priority, deadline)),
            Decision::Waiting,
            "{id}"
        );
    }
    let mut order = Vec::new();
    let mut running = "first".to_owned();
    for now in 2..6 {
        queue.release(now, &running, None);
        let decided = queue.poll(now);
        running = granted(&decided)[0].to_owned();
        order.push(running.clone());
    }
    // A group that was idle starts with the counter of the busy group; then priority decides.
    assert_eq!(order, ["soon", "desk", "late", "briefing"]);
}

#[test]
fn without_a_server_a_request_is_refused_at_once_with_a_retry_time() {
    let mut queue = queue(0, 1);
    let Decision::Refused(refusal) = queue.submit(0, grant_request("a", "flood", 0, 9_000)) else {
        panic!("expected a refusal");
    };
    assert!(refusal.retry_after > 0);
}

#[test]
fn requests_that_cannot_be_served_in_time_are_refused_at_once_with_different_retry_times() {
    let mut queue = queue(1, 1);
    queue.submit(0, grant_request("running", "flood", 0, 900_000));
    let short = |id: &str| GrantRequest { wait: 40, ..grant_request(id, "flood", 0, 900_000) };
    let times: Vec<u64> = (0..5)
        .map(|n| match queue.submit(1, short(&format!("r{n}"))) {
            Decision::Refused(refusal) => refusal.retry_after,
            other => panic!("expected a refusal: {other:?}"),
        })
        .collect();
    assert!(times.windows(2).all(|pair| pair[0] <= pair[1]), "{times:?}");
    assert!(times[4] > times[0], "retries are spread over time: {times:?}");
}

#[test]
fn a_request_that_is_not_granted_is_refused_when_its_wait_is_over() {
    let mut queue = queue(1, 1);
    queue.submit(0, grant_request("running", "flood", 0, 900_000));
    let patient = GrantRequest { wait: 500, ..grant_request("a", "flood", 0, 900_000) };
    assert_eq!(queue.submit(0, patient), Decision::Waiting);
    assert_eq!(queue.poll(499), []);
    assert!(matches!(queue.poll(500).as_slice(), [(id, Decision::Refused(_))] if id == "a"));
}

#[test]
fn a_leaving_server_gets_no_grant_and_a_new_owner_restores_outstanding_grants() {
    let mut old = queue(2, 1);
    let Decision::Granted(grant) = old.submit(0, grant_request("a", "flood", 0, 900_000)) else {
        panic!("expected a grant")
    };
    let mut new = queue(2, 1);
    new.restore(grant.clone());
    new.restore(grant.clone());
    let Decision::Granted(second) = new.submit(0, grant_request("b", "flood", 0, 900_000)) else {
        panic!("expected a grant")
    };
    assert_ne!(grant.server, second.server);
    let names = [grant.server.as_str(), second.server.as_str()];
    new.set_servers(names.map(|name| (name, "127.0.0.1:1", "x", name == grant.server)).into_iter());
    new.release(1, "a", None);
    assert_eq!(new.submit(1, grant_request("c", "flood", 0, 900_000)), Decision::Waiting);
}

#[test]
fn failures_lower_the_limit_of_a_server_and_successes_raise_it() {
    let mut queue = queue(1, 10);
    queue.record_failure(0, "s0");
    assert_eq!(queue.get_servers()[0].limit, 7);
    for _ in 0..9 {
        queue.record_success("s0");
    }
    assert_eq!(queue.get_servers()[0].limit, 10);
}

#[test]
fn an_unreachable_server_is_skipped_for_a_while() {
    let mut queue = queue(1, 4);
    queue.record_unreachable(1_000, "s0");
    assert_eq!(queue.submit(1_500, grant_request("a", "flood", 0, 900_000)), Decision::Waiting);
    queue.record_unreachable(1_900, "s0");
    assert_eq!(queue.poll(2_800), []);
    assert_eq!(granted(&queue.poll(2_900)), ["a"]);
}

#[test]
fn a_queue_that_shares_servers_uses_its_share_independently_of_others() {
    let mut queue = Queue::new(8, 1_000).shared_by(4);
    queue.set_servers([("s0", "127.0.0.1:1", "x", false)].into_iter());
    queue.report("s0", LoadReport { at: 0, requests: 6, queued_tokens: 0 });
    for id in ["a", "b"] {
        assert!(
            matches!(queue.submit(0, grant_request(id, "flood", 0, 900_000)), Decision::Granted(_)),
            "{id}"
        );
    }
    assert_eq!(
        queue.submit(0, grant_request("c", "flood", 0, 900_000)),
        Decision::Waiting,
        "its share is used up"
    );
    queue.release(1, "a", None);
    queue.report("s0", LoadReport { at: 1, requests: 8, queued_tokens: 0 });
    assert_eq!(queue.poll(1), [], "the server is full");
}

#[test]
fn six_hundred_servers_form_shards_of_about_sixteen() {
    let count = shard_count(600);
    assert_eq!(count, 38);
    let mut sizes = vec![0; count as usize];
    for number in 0..600 {
        sizes[shard_of(&format!("server-{number}"), count) as usize] += 1;
    }
    assert!(sizes.iter().all(|size| *size <= 2 * MAX_SHARD_SERVERS), "{sizes:?}");
}

/// An operation on a queue.
#[derive(Clone, Debug)]
enum Step {
    Submit { group: usize, priority: u32, wait: u64 },
    Release(usize),
    Cancel(usize),
    Pass(u64),
    Leave(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..2usize, 0..3u32, 0..500u64).prop_map(|(group, priority, wait)| Step::Submit { group, priority, wait }),
        3 => (0..50usize).prop_map(Step::Release),
        1 => (0..50usize).prop_map(Step::Cancel),
        2 => (1..200u64).prop_map(Step::Pass),
        1 => (0..3usize).prop_map(Step::Leave),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    /// Each request is decided exactly once, limits are kept, and a leaving server gets no new requests.
    #[test]
    fn a_queue_decides_each_request_once_within_its_limits(steps in steps()) {
        let mut queue = queue(3, 2);
        let groups = ["flood", "desk"];
        let mut now = 0;
        let (mut submitted, mut waiting, mut outstanding): (usize, Vec<String>, Vec<(String, String)>) = (0, vec![], vec![]);
        let mut leaving = [false; 3];
        for step in steps {
            match step {
                Step::Submit { group, priority, wait } => {
                    let id = format!("r{submitted}");
                    submitted += 1;
                    let grant_request = GrantRequest { wait, ..grant_request(&id, groups[group], priority, now + 1_000) };
                    match queue.submit(now, grant_request) {
                        Decision::Granted(grant) => {
                            let index: usize = grant.server[1..].parse().expect("a number");
                            prop_assert!(!leaving[index]);
                            outstanding.push((id, grant.server));
                        }
                        Decision::Waiting => waiting.push(id),
                        Decision::Refused(refusal) => prop_assert!(refusal.retry_after > 0),
                    }
                }
                Step::Release(n) if !outstanding.is_empty() => {
                    let (id, _) = outstanding.remove(n % outstanding.len());
                    queue.release(now, &id, Some(5));
                }
                Step::Cancel(n) if !waiting.is_empty() => {
                    let id = waiting.remove(n % waiting.len());
                    queue.cancel(&id);
                }
                Step::Pass(ms) => now += ms,
                Step::Leave(index) => {
                    leaving[index] = true;
                    let names = ["s0", "s1", "s2"];
                    queue.set_servers(names.iter().enumerate().map(|(n, name)| (*name, "127.0.0.1:1", "x", leaving[n])));
                }
                _ => {}
            }
            for (id, decision) in queue.poll(now) {
                let index = waiting.iter().position(|known| *known == id);
                prop_assert!(index.is_some(), "{id} was decided twice");
                waiting.remove(index.expect("a waiting request"));
                if let Decision::Granted(grant) = decision {
                    let index: usize = grant.server[1..].parse().expect("a number");
                    prop_assert!(!leaving[index]);
                    outstanding.push((id, grant.server));
                }
            }
            for server in queue.get_servers() {
                let there = outstanding.iter().filter(|(_, name)| *name == server.name).count() as u32;
                prop_assert_eq!(server.in_flight, there);
                prop_assert!(there <= 2);
            }
            prop_assert_eq!(queue.get_waiting(), waiting.len());
        }
    }

    /// While both groups are always waiting, each is served in proportion to its weight.
    #[test]
    fn shares_are_kept_while_both_groups_wait(tokens in prop::collection::vec(1..200u64, 40..120)) {
        let mut queue = queue(1, 1);
        let mut served = [0u64; 2];
        let mut costs = tokens.iter().cycle();
        let mut running: Option<(String, usize, u64)> = None;
        for turn in 0..400u64 {
            for (group, name) in ["flood", "desk"].iter().enumerate() {
                let cost = *costs.next().expect("a cost");
                let id = format!("{group}-{turn}-{cost}");
                let grant_request = GrantRequest { output_tokens: cost, prompt_tokens: 0, ..grant_request(&id, name, 0, u64::MAX / 2) };
                if let Decision::Granted(grant) = queue.submit(turn, grant_request) {
                    running = Some((grant.id.clone(), group, grant.cost));
                }
            }
            let (id, group, cost) = running.take().expect("a running request");
            served[group] += cost;
            queue.release(turn, &id, None);
            for (id, decision) in queue.poll(turn) {
                if let Decision::Granted(grant) = decision {
                    let group = usize::from(id.starts_with('1'));
                    running = Some((grant.id, group, grant.cost));
                }
            }
        }
        let share = served[0] as f64 / (served[0] + served[1]) as f64;
        prop_assert!((0.72..0.78).contains(&share), "{share} of {served:?}");
    }
}
