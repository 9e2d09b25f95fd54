//! The retry budget and the retry backoff.

use keeljunction_core::retry::{Allowance, Budget, back_off};
use proptest::prelude::*;

const ALLOWANCE: Allowance =
    Allowance { ratio: 0.2, min_retries: 50.0, window: 10_000, usable_fraction: 0.7 };

#[test]
fn an_unused_budget_allows_an_equal_share_of_the_fixed_number() {
    let mut budget = Budget::new(ALLOWANCE);
    let taken = (0..100).filter(|_| budget.take(1_000, "llm", 10)).count();
    assert_eq!(taken, 3);
}

#[test]
fn requests_add_their_ratio_until_they_leave_the_window() {
    let mut budget = Budget::new(Allowance { min_retries: 0.0, ..ALLOWANCE });
    for _ in 0..100 {
        budget.count_request(1_000, "llm");
    }
    assert_eq!(budget.get_remaining(1_000, "llm", 1), 14.0);
    assert_eq!(budget.get_remaining(11_000, "llm", 1), 0.0);
}

#[test]
fn services_do_not_share_a_budget() {
    let mut budget = Budget::new(Allowance { min_retries: 0.0, ..ALLOWANCE });
    for _ in 0..100 {
        budget.count_request(1_000, "llm");
    }
    assert!(!budget.take(1_000, "api", 1));
}

proptest! {
    /// However the requests are distributed over the nodes, and without communication between the nodes,
    /// the retries in any window stay within the total allowance.
    #[test]
    fn no_window_exceeds_the_allowance(
        arrivals in proptest::collection::vec((0u64..20_000, 0usize..8), 1..400),
    ) {
        let mut arrivals = arrivals;
        arrivals.sort_unstable();
        let mut nodes: Vec<Budget> = (0..8).map(|_| Budget::new(ALLOWANCE)).collect();
        let mut retries: Vec<u64> = Vec::new();
        for (at, node) in &arrivals {
            nodes[*node].count_request(*at, "llm");
            while nodes[*node].take(*at, "llm", 8) {
                retries.push(*at);
            }
        }
        for end in &retries {
            let in_window = |at: &&u64| **at <= *end && **at + ALLOWANCE.window > *end;
            let requests = arrivals.iter().map(|(at, _)| at).filter(in_window).count();
            let used = retries.iter().filter(in_window).count();
            prop_assert!(used as f64 <= 0.2 * requests as f64 + ALLOWANCE.min_retries);
        }
    }
}

#[test]
fn a_wave_of_failures_is_limited_to_the_ratio_and_the_burst() {
    let allowance =
        Allowance { ratio: 0.1, min_retries: 3.0, window: 10_000, usable_fraction: 1.0 };
    let mut budget = Budget::new(allowance);
    for now in 0..100 {
        budget.count_request(now, "llm");
    }
    // Unused retries do not accumulate beyond the window.
    assert_eq!((0..100).filter(|_| budget.take(60_000, "llm", 1)).count(), 3);
}

proptest! {
    /// For any order of attempts and failures, retries stay within the ratio plus the burst.
    #[test]
    fn retries_stay_within_the_ratio(attempts in prop::collection::vec(any::<bool>(), 0..500), share in 0..500u32, burst in 0..10u32) {
        let ratio = f64::from(share) / 1_000.0;
        let min_retries = f64::from(burst);
        let mut budget = Budget::new(Allowance { ratio, min_retries, window: 10_000, usable_fraction: 1.0 });
        let (mut first, mut retries) = (0, 0);
        for is_first in attempts {
            if is_first {
                budget.count_request(0, "llm");
                first += 1;
            } else {
                retries += u32::from(budget.take(0, "llm", 1));
            }
        }
        prop_assert!(retries <= burst + first * share / 1_000);
    }

    /// A backoff lies between half its bound and its bound.
    #[test]
    fn a_backoff_is_bounded(attempt in 1..40u32, random in 0.0..1.0f64) {
        let wait = back_off(attempt, 100, 5_000, random);
        prop_assert!((50..=5_000).contains(&wait));
    }
}

/// A change of the nodes that share a budget.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// A request arrives at a node, and all retries that its budget allows are taken.
    Request(usize),
    /// A process is killed and starts again.
    Restart(usize),
    /// All processes are killed and start again.
    RestartAll,
    /// A node leaves, and its clients go to the others.
    Stop(usize),
    /// A node joins.
    Join,
    /// A node hears only some of the others from now on.
    Cut(usize, usize),
    /// All nodes hear each other again.
    Heal,
    /// A process stands still, and goes on after the given time.
    Suspend(usize, u64),
}

/// A process of a node, with its view of the others.
struct Process {
    budget: Budget,
    /// The number of nodes that it knows, or `None` if it knows all.
    known: Option<usize>,
    suspended_until: u64,
}

impl Process {
    fn start() -> Self {
        Self { budget: Budget::new(ALLOWANCE), known: None, suspended_until: 0 }
    }
}

/// Retries and requests of all processes that ever ran.
#[derive(Default)]
struct Totals {
    requests: Vec<u64>,
    retries: Vec<u64>,
}

fn apply(change: Change, now: u64, processes: &mut Vec<Process>, totals: &mut Totals) {
    let (count, pick) = (processes.len(), |index: usize| index % processes.len());
    match change {
        Change::Request(index) => {
            totals.requests.push(now);
            let process = &mut processes[index % count];
            if now >= process.suspended_until {
                process.budget.count_request(now, "llm");
                while process.budget.take(now, "llm", process.known.unwrap_or(count)) {
                    totals.retries.push(now);
                }
            }
        }
        Change::Restart(index) => {
            let index = pick(index);
            processes[index] = Process::start();
        }
        Change::RestartAll => processes.iter_mut().for_each(|process| *process = Process::start()),
        Change::Stop(index) if count > 1 => drop(processes.swap_remove(pick(index))),
        Change::Join => processes.push(Process::start()),
        Change::Cut(index, known) => {
            let index = pick(index);
            processes[index].known = Some(1 + known % count);
        }
        Change::Heal => processes.iter_mut().for_each(|process| process.known = None),
        Change::Suspend(index, time) => {
            let index = pick(index);
            processes[index].suspended_until = now + time;
        }
        Change::Stop(_) => {}
    }
}

fn arbitrary_change() -> impl Strategy<Value = Change> {
    prop_oneof![
        60 => (0usize..20).prop_map(Change::Request),
        2 => (0usize..20).prop_map(Change::Restart),
        1 => Just(Change::RestartAll),
        1 => (0usize..20).prop_map(Change::Stop),
        1 => Just(Change::Join),
        2 => ((0usize..20), (0usize..20)).prop_map(|(index, known)| Change::Cut(index, known)),
        1 => Just(Change::Heal),
        1 => ((0usize..20), (0u64..30_000)).prop_map(|(index, time)| Change::Suspend(index, time)),
    ]
}

proptest! {
    /// Guards against processes that take a budget of all nodes as unspent after a start, or divide
    /// it by another number of nodes than the others do.
    #[test]
    fn retries_stay_within_the_allowance_while_nodes_start_stop_join_and_are_cut_off(
        changes in proptest::collection::vec((0u64..60, arbitrary_change()), 1..1_500),
        initial_nodes in 1usize..12,
    ) {
        let mut processes: Vec<Process> = (0..initial_nodes).map(|_| Process::start()).collect();
        let (mut totals, mut now) = (Totals::default(), 20_000);
        for (step, change) in changes {
            now += step;
            apply(change, now, &mut processes, &mut totals);
        }
        let count_until = |times: &[u64], end: u64| {
            times.iter().filter(|at| **at <= end && **at + ALLOWANCE.window > end).count()
        };
        for end in &totals.retries {
            let ends = [*end, end - ALLOWANCE.window / 2, end - ALLOWANCE.window];
            let requests = ends.map(|end| count_until(&totals.requests, end));
            let requests = requests.into_iter().max().unwrap_or(0) as f64;
            let allowed = ALLOWANCE.ratio * requests + ALLOWANCE.min_retries;
            let retries = count_until(&totals.retries, *end);
            prop_assert!(retries as f64 <= allowed, "{} retries, {} allowed", retries, allowed);
        }
    }
}
