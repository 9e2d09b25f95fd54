use std::collections::BTreeMap;

use keeljunction_core::serving::duty_lease::{DutyLease, LeaseRow, Step, TableClock};
use keeljunction_core::serving::era::{Era, Eras, Origin};
use proptest::prelude::*;

const LENGTH: u64 = 3_000;
const MARGIN: u64 = 600;
/// The age of an era that began long ago.
const OLD_ERA_AGE: u64 = u64::MAX;

fn lease(node: &str) -> DutyLease {
    DutyLease::new(node.to_owned(), 1, LENGTH, MARGIN)
}

fn clock(asked_at: u64, table_time: u64) -> TableClock {
    TableClock { asked_at, table_time }
}

fn row(holder: &str, term: u64, ends_at: u64) -> LeaseRow {
    LeaseRow { holder: holder.to_owned(), incarnation: 1, term, ends_at }
}

#[test]
fn a_free_lease_is_taken_with_a_higher_term() {
    let lease = lease("a");
    assert_eq!(lease.decide(0, None, clock(0, 100), OLD_ERA_AGE), Step::Write(row("a", 1, 3_100)));
    let lapsed = row("b", 4, 90);
    assert_eq!(
        lease.decide(0, Some(&lapsed), clock(0, 100), OLD_ERA_AGE),
        Step::Write(row("a", 5, 3_100))
    );
}

#[test]
fn a_node_waits_for_a_held_lease() {
    assert_eq!(
        lease("a").decide(0, Some(&row("b", 4, 900)), clock(0, 100), OLD_ERA_AGE),
        Step::Wait(800)
    );
}

#[test]
fn a_holder_renews_under_the_same_term() {
    let mine = row("a", 4, 900);
    assert_eq!(
        lease("a").decide(50, Some(&mine), clock(0, 100), OLD_ERA_AGE),
        Step::Write(row("a", 4, 3_150))
    );
}

#[test]
fn a_holder_stops_a_margin_before_the_end_counted_from_its_request() {
    let mut lease = lease("a");
    assert!(lease.confirm(Era::UNNAMED, &row("a", 4, 3_100), clock(1_000, 100)));
    assert_eq!(lease.get_fence(3_399), Some(4));
    assert_eq!(lease.get_fence(3_400), None);
}

#[test]
fn another_holders_row_ends_the_lease_at_once() {
    let mut lease = lease("a");
    lease.confirm(Era::UNNAMED, &row("a", 4, 3_100), clock(1_000, 100));
    assert!(!lease.confirm(Era::UNNAMED, &row("b", 5, 9_000), clock(1_100, 200)));
    assert_eq!(lease.get_fence(1_200), None);
}

#[test]
fn a_restarted_node_takes_over_its_lease_under_a_higher_term() {
    let mut old = row("a", 4, 9_000);
    old.incarnation = 7;
    assert_eq!(
        lease("a").decide(0, Some(&old), clock(0, 100), OLD_ERA_AGE),
        Step::Write(row("a", 5, 3_100))
    );
}

#[test]
fn the_first_lease_of_an_era_is_taken_one_lease_length_after_its_start() {
    let lease = lease("a");
    assert_eq!(lease.decide(0, None, clock(0, 100), 0), Step::Wait(3_000));
    assert_eq!(lease.decide(0, None, clock(0, 100), 2_900), Step::Wait(100));
    assert_eq!(lease.decide(0, None, clock(0, 100), 3_000), Step::Write(row("a", 1, 3_100)));
}

#[test]
fn a_holder_that_sees_another_era_loses_the_lease_and_its_next_fence_is_higher() {
    let mut lease = lease("a");
    lease.begin_era(Era::named(1));
    assert!(lease.confirm(Era::named(1), &row("a", 700, 3_100), clock(0, 100)));
    let before = lease.get_fence(10).expect("a fence");
    lease.begin_era(Era::named(2));
    assert_eq!(lease.get_fence(10), None);
    assert!(!lease.confirm(Era::named(1), &row("a", 700, 9_000), clock(20, 120)));
    assert_eq!(lease.get_fence(20), None);
    assert!(lease.confirm(Era::named(2), &row("a", 1, 9_000), clock(30, 130)));
    assert!(lease.get_fence(40) > Some(before));
}

/// A step of a node: it reads, may pause, and writes what it decided; the response may be lost.
#[derive(Clone, Debug)]
struct NodeStep {
    node: usize,
    wait: u64,
    to_table: u64,
    pause: u64,
    back: u64,
    is_lost: bool,
}

fn steps() -> impl Strategy<Value = Vec<NodeStep>> {
    let one = (0usize..3, 0u64..2_500, 0u64..400, 0u64..4_000, 0u64..400, any::<bool>());
    let one = one.prop_map(|(node, wait, to_table, pause, back, is_lost)| NodeStep {
        node,
        wait,
        to_table,
        pause,
        back,
        is_lost,
    });
    proptest::collection::vec(one, 1..60)
}

proptest! {
    /// For any delays, pauses and lost responses: no two nodes hold the lease at the same time,
    /// terms only rise with the holder, and a returning holder returns only after the length of the
    /// lease.
    #[test]
    fn never_two_holders(steps in steps()) {
        let names = ["a", "b", "c"];
        let mut leases: Vec<DutyLease> = names.iter().map(|name| lease(name)).collect();
        let mut table: Option<(u64, LeaseRow)> = None;
        let mut now = 10_000u64;
        let mut acts: Vec<(u64, usize, u64)> = Vec::new();
        for (version, step) in (1u64..).zip(steps) {
            now += step.wait;
            let asked_at = now;
            now += step.to_table;
            // The table's clock is another one, 5,000 ms ahead of the nodes' clock.
            let read_clock = clock(asked_at, now + 5_000);
            let read = table.clone();
            now += step.back;
            let lease = &mut leases[step.node];
            if let Some((_, row)) = &read {
                lease.confirm(Era::UNNAMED, row, read_clock);
            }
            let decided = lease.decide(now, read.as_ref().map(|(_, row)| row), read_clock, OLD_ERA_AGE);
            now += step.pause;
            if let Step::Write(row) = decided {
                let write_asked_at = now;
                now += step.to_table;
                let is_unchanged = read.as_ref().map(|r| r.0) == table.as_ref().map(|t| t.0);
                let write_clock = clock(write_asked_at, now + 5_000);
                if is_unchanged {
                    table = Some((version, row.clone()));
                    now += step.back;
                    if !step.is_lost {
                        lease.confirm(Era::UNNAMED, &row, write_clock);
                    }
                }
            }
            let holders: Vec<usize> =
                (0..3).filter(|node| leases[*node].get_fence(now).is_some()).collect();
            prop_assert!(holders.len() <= 1, "{:?} hold at {}", holders, now);
            if let Some(holder) = holders.first() {
                let fence = leases[*holder].get_fence(now).unwrap_or_default();
                if let Some((_, last, last_fence)) = acts.last() {
                    prop_assert!(fence >= *last_fence);
                    prop_assert!(last == holder || fence > *last_fence);
                }
                acts.push((now, *holder, fence));
            }
        }
        for (index, (at, node, _)) in acts.iter().enumerate() {
            let between = acts[..index].iter().rposition(|(_, other, _)| other != node);
            let before = between.and_then(|b| acts[..b].iter().rfind(|(_, other, _)| other == node));
            if let Some((before_at, _, _)) = before {
                prop_assert!(at - before_at >= LENGTH);
            }
        }
    }
}

/// A simulated table service that may be restored from an older copy.
#[derive(Clone, Default)]
struct Service {
    era: u64,
    version: u64,
    /// The lease of each era.
    rows: BTreeMap<u64, (u64, LeaseRow)>,
    /// When each era was first seen.
    origins: BTreeMap<u64, u64>,
}

/// A node and its state.
struct Node {
    name: &'static str,
    incarnation: u64,
    lease: DutyLease,
    eras: Eras,
}

impl Node {
    fn start(name: &'static str, incarnation: u64) -> Self {
        let lease = DutyLease::new(name.to_owned(), incarnation, LENGTH, MARGIN);
        Self { name, incarnation, lease, eras: Eras::default() }
    }

    /// Records the era of a response, and reads or writes its origin if that is not known.
    fn record_era(&mut self, now: u64, service: &mut Service) {
        let era = Era::named(service.era);
        if self.eras.record(now, era).is_some() {
            self.lease.begin_era(era);
        }
        let seen_at = *service.origins.entry(service.era).or_insert(now);
        let origin = Origin { age: now - seen_at, unix_ms: seen_at };
        self.eras.set_origin(now, era, origin);
    }
}

/// A step of a node, and the fault that precedes it.
#[derive(Clone, Debug)]
struct Fault {
    step: NodeStep,
    /// The table service is restored from the copy taken this many steps ago.
    restored_from: Option<usize>,
    is_restarted: bool,
}

fn faults() -> impl Strategy<Value = Vec<Fault>> {
    let restored_from = prop_oneof![8 => Just(None), 1 => (0usize..6).prop_map(Some)];
    let one = (steps(), restored_from, prop::bool::weighted(0.1));
    let one = one.prop_map(|(steps, restored_from, is_restarted)| Fault {
        step: steps[0].clone(),
        restored_from,
        is_restarted,
    });
    proptest::collection::vec(one, 1..80)
}

proptest! {
    /// Guards against two holders of the same fencing token, and against holders that follow each
    /// other too soon, across restores from older copies, restarts, and writes that arrive in a
    /// later era than they were sent in.
    #[test]
    fn never_two_holders_across_restores_from_older_copies(faults in faults()) {
        let mut service = Service { era: 1, ..Service::default() };
        let mut copies: Vec<Service> = Vec::new();
        let mut nodes: Vec<Node> = ["a", "b", "c"].map(|name| Node::start(name, 1)).into();
        let mut now = 10_000u64;
        let mut acts: Vec<(&str, u64, u64)> = Vec::new();
        for Fault { step, restored_from, is_restarted } in faults {
            now += step.wait;
            copies.push(service.clone());
            if let Some(ago) = restored_from {
                let era = service.era + 1;
                service = copies[copies.len().saturating_sub(ago + 1)].clone();
                service.era = era;
            }
            let node = &mut nodes[step.node];
            if is_restarted {
                *node = Node::start(node.name, node.incarnation + 1);
            }
            let asked_at = now;
            now += step.to_table;
            node.record_era(asked_at, &mut service);
            let era = service.era;
            let read_clock = clock(asked_at, now + 5_000);
            let read = service.rows.get(&era).cloned();
            now += step.back;
            if let Some((_, row)) = &read {
                node.lease.confirm(Era::named(era), row, read_clock);
            }
            let age = node.eras.get_age(now).unwrap_or(0);
            let decided = node.lease.decide(now, read.as_ref().map(|r| &r.1), read_clock, age);
            now += step.pause;
            // A restore may also happen between the read and the write.
            if let Some(ago) = restored_from.filter(|_| step.is_lost) {
                service = copies[copies.len().saturating_sub(ago + 1)].clone();
                service.era = era + 1;
            }
            if let Step::Write(row) = decided {
                let write_asked_at = now;
                now += step.to_table;
                service.version += 1;
                let (known, version) = (service.rows.get(&era).map(|r| r.0), service.version);
                if known == read.as_ref().map(|r| r.0) {
                    service.rows.insert(era, (version, row.clone()));
                    now += step.back;
                    let write_clock = clock(write_asked_at, now + 5_000);
                    if !step.is_lost && service.era == era {
                        node.lease.confirm(Era::named(era), &row, write_clock);
                    }
                }
            }
            let holders: Vec<&Node> =
                nodes.iter().filter(|node| node.lease.get_fence(now).is_some()).collect();
            prop_assert!(holders.len() <= 1, "{} hold at {now}", holders.len());
            let Some(holder) = holders.first() else { continue };
            let fence = holder.lease.get_fence(now).unwrap_or_default();
            if let Some((last, last_fence, _)) = acts.last() {
                prop_assert!(fence >= *last_fence, "{fence} after {last_fence}");
                prop_assert!(*last == holder.name || fence > *last_fence, "one fence {fence}");
            }
            acts.push((holder.name, fence, now));
        }
    }
}

// Guards against two holders if the copy is from before the first write: a node that had seen no
// earlier era took the lease at once, although the holder of the previous era had not heard of the
// restore.
#[test]
fn a_node_that_saw_no_earlier_era_does_not_take_the_lease_at_once() {
    let mut service = Service { era: 1, ..Service::default() };
    let empty = service.clone();
    let mut holder = Node::start("a", 1);
    holder.record_era(10_000, &mut service);
    let row = |holder: &str| LeaseRow {
        holder: holder.to_owned(),
        incarnation: 1,
        term: 1,
        ends_at: 15_000 + LENGTH,
    };
    assert!(holder.lease.confirm(Era::named(1), &row("a"), clock(10_000, 15_000)));
    service = Service { era: 2, ..empty };
    let mut other = Node::start("b", 1);
    other.record_era(10_000, &mut service);
    let decided = |now: u64| {
        let age = other.eras.get_age(now).unwrap_or(0);
        other.lease.decide(now, None, clock(now, now + 5_000), age)
    };
    assert_eq!(decided(10_000), Step::Wait(LENGTH));
    assert_eq!(holder.lease.get_fence(10_000 + LENGTH), None);
    assert!(matches!(decided(10_000 + LENGTH), Step::Write(_)));
}
