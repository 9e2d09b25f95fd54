use keeljunction_core::serving::budget::{Allowance, RetryBudget};
use proptest::prelude::*;

const ALLOWANCE: Allowance = Allowance { ratio: 0.2, least: 50.0, window: 10_000 };

#[test]
fn an_unused_budget_allows_an_even_part_of_the_fixed_number() {
    let mut budget = RetryBudget::new(ALLOWANCE);
    let taken = (0..100).filter(|_| budget.take(1_000, "llm", 10)).count();
    assert_eq!(taken, 3);
}

#[test]
fn requests_add_their_ratio_and_leave_with_the_window() {
    let mut budget = RetryBudget::new(Allowance { least: 0.0, ..ALLOWANCE });
    for _ in 0..100 {
        budget.count_request(1_000, "llm");
    }
    assert_eq!(budget.get_left(1_000, "llm", 1), 14.0);
    assert_eq!(budget.get_left(11_000, "llm", 1), 0.0);
}

#[test]
fn services_do_not_share_a_budget() {
    let mut budget = RetryBudget::new(Allowance { least: 0.0, ..ALLOWANCE });
    for _ in 0..100 {
        budget.count_request(1_000, "llm");
    }
    assert!(!budget.take(1_000, "api", 1));
}

proptest! {
    /// However the requests fall on the nodes, and whatever the nodes hear of each other, the
    /// repeats in any window stay within the whole allowance.
    #[test]
    fn no_window_exceeds_the_allowance(
        arrivals in proptest::collection::vec((0u64..20_000, 0usize..8), 1..400),
    ) {
        let mut arrivals = arrivals;
        arrivals.sort_unstable();
        let mut nodes: Vec<RetryBudget> = (0..8).map(|_| RetryBudget::new(ALLOWANCE)).collect();
        let mut repeats: Vec<u64> = Vec::new();
        for (at, node) in &arrivals {
            nodes[*node].count_request(*at, "llm");
            while nodes[*node].take(*at, "llm", 8) {
                repeats.push(*at);
            }
        }
        for end in &repeats {
            let in_window = |at: &&u64| **at <= *end && **at + ALLOWANCE.window > *end;
            let requests = arrivals.iter().map(|(at, _)| at).filter(in_window).count();
            let used = repeats.iter().filter(in_window).count();
            prop_assert!(used as f64 <= 0.2 * requests as f64 + ALLOWANCE.least);
        }
    }
}
