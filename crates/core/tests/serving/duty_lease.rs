use keeljunction_core::serving::duty_lease::{DutyLease, LeaseRow, Step, TableClock};
use proptest::prelude::*;

const LENGTH: u64 = 3_000;
const MARGIN: u64 = 600;

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
    assert_eq!(lease.decide(0, None, clock(0, 100)), Step::Write(row("a", 1, 3_100)));
    let lapsed = row("b", 4, 90);
    assert_eq!(lease.decide(0, Some(&lapsed), clock(0, 100)), Step::Write(row("a", 5, 3_100)));
}

#[test]
fn a_held_lease_is_waited_for() {
    assert_eq!(lease("a").decide(0, Some(&row("b", 4, 900)), clock(0, 100)), Step::Wait(800));
}

#[test]
fn a_holder_renews_under_the_same_term() {
    let mine = row("a", 4, 900);
    assert_eq!(lease("a").decide(50, Some(&mine), clock(0, 100)), Step::Write(row("a", 4, 3_150)));
}

#[test]
fn a_holder_stops_a_margin_before_the_end_counted_from_before_it_asked() {
    let mut lease = lease("a");
    assert!(lease.confirm(&row("a", 4, 3_100), clock(1_000, 100)));
    assert_eq!(lease.get_fence(3_399), Some(4));
    assert_eq!(lease.get_fence(3_400), None);
}

#[test]
fn another_holders_row_ends_the_lease_at_once() {
    let mut lease = lease("a");
    lease.confirm(&row("a", 4, 3_100), clock(1_000, 100));
    assert!(!lease.confirm(&row("b", 5, 9_000), clock(1_100, 200)));
    assert_eq!(lease.get_fence(1_200), None);
}

#[test]
fn a_node_that_started_again_takes_its_lease_over_under_a_higher_term() {
    let mut old = row("a", 4, 9_000);
    old.incarnation = 7;
    assert_eq!(lease("a").decide(0, Some(&old), clock(0, 100)), Step::Write(row("a", 5, 3_100)));
}

/// One step of a node: it reads, may pause, and writes what it decided; the answer may be lost.
#[derive(Clone, Debug)]
struct Move {
    node: usize,
    wait: u64,
    to_table: u64,
    pause: u64,
    back: u64,
    is_lost: bool,
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let one = (0usize..3, 0u64..2_500, 0u64..400, 0u64..4_000, 0u64..400, any::<bool>());
    let one = one.prop_map(|(node, wait, to_table, pause, back, is_lost)| Move {
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
    /// Whatever the delays, pauses and lost answers: no two nodes hold the lease at one moment,
    /// terms only rise with the holder, and a holder that comes back does so after the length.
    #[test]
    fn never_two_holders(moves in moves()) {
        let names = ["a", "b", "c"];
        let mut leases: Vec<DutyLease> = names.iter().map(|name| lease(name)).collect();
        let mut table: Option<(u64, LeaseRow)> = None;
        let mut now = 10_000u64;
        let mut acts: Vec<(u64, usize, u64)> = Vec::new();
        for (version, step) in (1u64..).zip(moves) {
            now += step.wait;
            let asked_at = now;
            now += step.to_table;
            // The table's clock is another one: 5,000 ms ahead of the nodes'.
            let read_clock = clock(asked_at, now + 5_000);
            let read = table.clone();
            now += step.back;
            let lease = &mut leases[step.node];
            if let Some((_, row)) = &read {
                lease.confirm(row, read_clock);
            }
            let decided = lease.decide(now, read.as_ref().map(|(_, row)| row), read_clock);
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
                        lease.confirm(&row, write_clock);
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
