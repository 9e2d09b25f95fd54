//! Membership: probes, suspicion and refutation.

use keeljunction_core::member::{List, Member, State, Timing};
use proptest::prelude::*;

const TIMING: Timing = Timing { suspicion: 1_000, dead_retention: 100_000 };

fn member(name: &str, incarnation: u64, state: State) -> Member {
    Member {
        name: name.to_owned(),
        data_centre: "x".to_owned(),
        address: format!("{name}:1"),
        incarnation,
        state,
    }
}

fn list() -> List {
    let mut list = List::new(member("me", 1, State::Alive), TIMING);
    list.apply(0, member("a", 1, State::Alive));
    list.apply(0, member("b", 1, State::Alive));
    list
}

fn state(list: &List, name: &str) -> Option<State> {
    list.get(name).map(|member| member.state)
}

#[test]
fn a_silent_node_is_suspected_then_dead() {
    let mut list = list();
    list.record_missed_probe(100, "a");
    assert_eq!(state(&list, "a"), Some(State::Suspect));
    assert_eq!(list.expire(1_099), []);
    assert_eq!(list.expire(1_100).len(), 1);
    assert_eq!(state(&list, "a"), Some(State::Dead));
    assert_eq!(list.iter_usable().count(), 2);
}

#[test]
fn a_suspect_that_refutes_is_alive_and_ignores_stale_updates() {
    let mut list = list();
    list.record_missed_probe(100, "a");
    assert!(list.apply(200, member("a", 2, State::Alive)));
    assert_eq!(list.expire(5_000), []);
    assert!(!list.apply(300, member("a", 1, State::Dead)));
    assert_eq!(state(&list, "a"), Some(State::Alive));
}

#[test]
fn an_update_of_its_own_death_is_refuted_with_a_higher_incarnation() {
    let mut list = list();
    assert!(list.apply(0, member("me", 4, State::Dead)));
    assert_eq!(list.get_local().incarnation, 5);
    assert_eq!(list.get_local().state, State::Alive);
    assert!(list.take_updates(9).contains(&member("me", 5, State::Alive)));
}

#[test]
fn a_leaving_node_stays_leaving_until_it_stops_answering() {
    let mut list = list();
    list.apply(0, member("a", 2, State::Leaving));
    list.record_missed_probe(10, "a");
    list.record_answer("a");
    assert_eq!(list.expire(2_000), []);
    list.record_missed_probe(3_000, "a");
    assert_eq!(list.expire(4_000).len(), 1);
}

#[test]
fn a_stale_list_does_not_revive_a_dead_node() {
    let mut list = list();
    list.apply(0, member("a", 9, State::Dead));
    list.seed(10, member("a", 0, State::Alive));
    assert_eq!(state(&list, "a"), Some(State::Dead));
}

#[test]
fn each_node_is_probed_once_in_a_round() {
    let mut list = list();
    let mut random = fastrand::Rng::with_seed(1);
    for _ in 0..5 {
        let mut round: Vec<String> =
            (0..2).filter_map(|_| list.next_probe(&mut random)).map(|m| m.name).collect();
        round.sort();
        assert_eq!(round, ["a", "b"]);
    }
}

fn update() -> impl Strategy<Value = Member> {
    ("[abc]", 0..5u64, 0..4u32).prop_map(|(name, i, s)| member(&name, i, State::from_number(s)))
}

proptest! {
    /// Lists that received the same updates agree, in whatever order the updates arrived.
    #[test]
    fn lists_with_the_same_updates_agree(updates in prop::collection::vec(update(), 0..30), seed in any::<u64>()) {
        let mut shuffled = updates.clone();
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        let mut lists = [List::new(member("me", 1, State::Alive), TIMING), List::new(member("me", 1, State::Alive), TIMING)];
        for (list, order) in lists.iter_mut().zip([updates, shuffled]) {
            for update in order {
                list.apply(0, update);
            }
        }
        let view = |list: &List| list.iter().skip(1).cloned().collect::<Vec<_>>();
        prop_assert_eq!(view(&lists[0]), view(&lists[1]));
    }
}
