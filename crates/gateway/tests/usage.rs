//! The table row that holds the counts of unreported usage windows.

use keeljunction_core::serving::usage::{Counts, Incarnation, Ledger};
use keeljunction_gateway::node::usage_rows::encode_running;

/// The maximum size of a row's value in the platform's table service.
const MAX_ROW_BYTES: usize = 65_536;

/// Each aggregator counts for its group, and each client account sends some requests to each group.
/// The uncompressed row of 986 nodes and 333 client accounts exceeded the maximum size.
#[test]
fn running_counts_of_a_large_fleet_fit_one_row() {
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
        let uncompressed = postcard::to_stdvec(&kept).expect("encoded").len();
        let compressed = encode_running(&kept).expect("encoded").len();
        assert!(
            compressed < MAX_ROW_BYTES,
            "{compressed} of {uncompressed} bytes, {incarnations} groups"
        );
    }
}
