//! The row that keeps the counts of windows that are not reported yet.

use keeljunction_core::serving::usage::{Counts, Incarnation, Ledger};
use keeljunction_gateway::node::usage_rows::encode_running;

/// What the platform's table service takes as the value of one row, in bytes.
const LONGEST_ROW: usize = 65_536;

/// Each aggregator counts for its group, and each client account sends some requests to each group. The row
/// of 986 nodes and 333 client accounts grew beyond what a row may hold.
#[test]
fn the_running_counts_of_a_large_fleet_fit_one_row() {
    for (incarnations, accounts, requests) in [(68, 333, 3_500), (140, 666, 7_000)] {
        let mut random = fastrand::Rng::with_seed(3);
        let mut ledger = Ledger::default();
        for window in 1..=3 {
            let mut counts = vec![Counts::new(); incarnations];
            for _ in 0..requests {
                let account = format!("acc{:05}", random.usize(..accounts));
                *counts[random.usize(..incarnations)].entry(account).or_default() += 1;
            }
            for (number, counts) in counts.iter().enumerate() {
                let incarnation =
                    Incarnation { node: format!("front-{number}"), number: random.u64(..) };
                ledger.merge(window, &incarnation, counts);
            }
        }
        let kept = ledger.get_snapshot(1);
        let unpacked = postcard::to_stdvec(&kept).expect("encoded").len();
        let packed = encode_running(&kept).expect("encoded").len();
        assert!(packed < LONGEST_ROW, "{packed} of {unpacked} bytes, {incarnations} groups");
    }
}
