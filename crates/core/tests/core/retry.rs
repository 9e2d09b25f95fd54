//! The retry budget and the retry backoff.

use keeljunction_core::retry::{Allowance, Budget, back_off};
use proptest::prelude::*;

const RATIO: f64 = 0.2;
const MIN_RETRIES: f64 = 50.0;
const WINDOW: u64 = 10_000;
const ALLOWANCE: Allowance = Allowance::shared(RATIO, MIN_RETRIES, WINDOW);

fn count_taken(budget: &mut Budget, now: u64, nodes: usize) -> usize {
    (0..100).filter(|_| budget.take(now, "llm", nodes)).count()
}

#[test]
fn a_process_uses_none_of_the_shared_fixed_number_before_it_has_run_for_a_window() {
    let mut budget = Budget::new(1_000, ALLOWANCE);
    assert_eq!(count_taken(&mut budget, 1_000 + WINDOW - 1, 10), 0);
    assert_eq!(count_taken(&mut budget, 1_000 + WINDOW, 10), 2);
    assert_eq!(count_taken(&mut budget, 1_000 + 2 * WINDOW - 1, 10), 0);
    assert_eq!(count_taken(&mut budget, 1_000 + 2 * WINDOW, 10), 2);
}

#[test]
fn the_first_process_of_a_node_uses_a_part_of_the_shared_fixed_number_at_once() {
    let mut budget = Budget::new(1_000, ALLOWANCE);
    budget.record_first_run(1_020);
    assert_eq!(count_taken(&mut budget, 1_020, 1), 8);
    assert_eq!(count_taken(&mut budget, 1_020 + WINDOW - 1, 1), 0);
}

#[test]
fn a_shared_fixed_number_that_is_small_for_the_nodes_is_not_used() {
    let mut budget = Budget::new(0, ALLOWANCE);
    assert_eq!(count_taken(&mut budget, 2 * WINDOW, 26), 0);
    assert_eq!(count_taken(&mut budget, 2 * WINDOW, 25), 1);
    assert_eq!(count_taken(&mut budget, 4 * WINDOW, 12), 2);
    assert_eq!(count_taken(&mut budget, 6 * WINDOW, 2), 8);
}

#[test]
fn requests_add_a_part_of_the_ratio_until_they_leave_the_window() {
    let mut budget = Budget::new(1_000, Allowance::shared(RATIO, 0.0, WINDOW));
    for _ in 0..100 {
        budget.count_request(1_000, "llm");
    }
    assert_eq!(budget.get_remaining(1_000, "llm", 1), 5.0);
    assert_eq!(budget.get_remaining(11_000, "llm", 1), 0.0);
}

#[test]
fn failures_that_last_are_retried_up_to_the_earned_part_of_the_ratio() {
    let mut budget = Budget::new(0, Allowance::shared(RATIO, 0.0, WINDOW));
    let mut retries = 0;
    for now in (0..20_000).step_by(10) {
        budget.count_request(now, "llm");
        retries += usize::from(budget.take(now, "llm", 7));
    }
    // 2,000 requests earn 0.14 retries each; the first ones earn more than may be kept.
    assert!((277..=280).contains(&retries), "{retries}");
}

#[test]
fn services_do_not_share_a_budget() {
    let mut budget = Budget::new(0, Allowance::shared(RATIO, 0.0, WINDOW));
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
        let mut nodes: Vec<Budget> = (0..8).map(|_| Budget::new(0, ALLOWANCE)).collect();
        let mut retries: Vec<u64> = Vec::new();
        for (at, node) in &arrivals {
            nodes[*node].count_request(*at, "llm");
            while nodes[*node].take(*at, "llm", 8) {
                retries.push(*at);
            }
        }
        for end in &retries {
            let in_window = |at: &&u64| **at <= *end && **at + WINDOW > *end;
            let requests = arrivals.iter().map(|(at, _)| at).filter(in_window).count();
            let used = retries.iter().filter(in_window).count();
            prop_assert!(used as f64 <= RATIO * requests as f64 + MIN_RETRIES);
        }
    }
}

#[test]
fn a_wave_of_failures_is_limited_to_the_ratio_and_the_burst() {
    let mut budget = Budget::new(0, Allowance::own(0.1, 3.0, 10_000));
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
        let mut budget = Budget::new(0, Allowance::own(ratio, min_retries, 10_000));
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
    /// Starts the first process of a node.
    fn join(now: u64) -> Self {
        let mut process = Self::start(now);
        process.budget.record_first_run(now);
        process
    }

    fn start(now: u64) -> Self {
        Self { budget: Budget::new(now, ALLOWANCE), known: None, suspended_until: 0 }
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
            processes[index] = Process::start(now);
        }
        Change::RestartAll => {
            processes.iter_mut().for_each(|process| *process = Process::start(now))
        }
        Change::Stop(index) if count > 1 => drop(processes.swap_remove(pick(index))),
        Change::Join => processes.push(Process::join(now)),
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
        let (mut totals, mut now) = (Totals::default(), 20_000);
        let mut processes: Vec<Process> =
            (0..initial_nodes).map(|_| Process::join(now)).collect();
        for (step, change) in changes {
            now += step;
            apply(change, now, &mut processes, &mut totals);
        }
        let count_until = |times: &[u64], end: u64| {
            times.iter().filter(|at| **at <= end && **at + WINDOW > end).count()
        };
        for end in &totals.retries {
            let ends = [*end, end - WINDOW / 2, end - WINDOW];
            let requests = ends.map(|end| count_until(&totals.requests, end));
            let requests = requests.into_iter().max().unwrap_or(0) as f64;
            let allowed = RATIO * requests + MIN_RETRIES;
            let retries = count_until(&totals.retries, *end);
            prop_assert!(retries as f64 <= allowed, "{} retries, {} allowed", retries, allowed);
        }
    }
}
