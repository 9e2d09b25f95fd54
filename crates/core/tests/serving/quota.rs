use std::collections::BTreeMap;

use keeljunction_core::serving::quota::{
    AccountUsage, Limit, Quotas, Reachability, Report, Source, Tolerance,
};
use proptest::prelude::*;

const LIMIT: Limit = Limit { rate_per_second: 100.0, burst: 200.0 };
/// The tolerated excess of a small limit: no slack.
const OVERSHOOT: Tolerance = Tolerance { window_seconds: 8.0, overshoot: 0.1, slack: 0.0 };

/// Returns the quotas of a node that has run for long, with no tolerated excess.
fn long_running_quotas() -> Quotas {
    Quotas::new(0, Tolerance::default())
}

const ALONE: Reachability =
    Reachability { heard: 1, known: 1, report_delay: 200, is_grouped: false };

#[test]
fn requests_without_a_limit_are_admitted() {
    let mut quotas = long_running_quotas();
    let none = Limit { rate_per_second: 0.0, burst: 0.0 };
    assert_eq!(quotas.consume(10_000, "acme", u64::MAX / 2, none, ALONE), Ok(()));
}

#[test]
fn the_rate_applies_after_the_burst_is_spent() {
    let mut quotas = long_running_quotas();
    assert_eq!(quotas.consume(11_000, "acme", 200, LIMIT, ALONE), Ok(()));
    assert_eq!(quotas.consume(11_000, "acme", 1, LIMIT, ALONE), Err(10));
    assert_eq!(quotas.consume(11_100, "acme", 110, LIMIT, ALONE), Ok(()));
    assert_eq!(quotas.consume(11_100, "acme", 1, LIMIT, ALONE), Err(1_010));
}

#[test]
fn each_account_has_its_own_limit() {
    let mut quotas = long_running_quotas();
    quotas.consume(11_000, "acme", 500, LIMIT, ALONE).expect("within the limit");
    assert_eq!(quotas.consume(11_000, "other", 1, LIMIT, ALONE), Ok(()));
}

fn reported(requested: u64, admitted: i64) -> Report {
    reported_at_rate(requested, admitted, 0)
}

fn reported_at_rate(requested: u64, admitted: i64, requested_per_second: u64) -> Report {
    let units = AccountUsage { requested, admitted, requested_per_second, level: Some(0) };
    Report { accounts: BTreeMap::from([("acme".to_owned(), units)]), ..Report::default() }
}

/// Returns the report of a peer that has run for a minute and knows the level.
fn reported_by_long_running(admitted: i64, level: i64) -> Report {
    let units = AccountUsage { admitted, level: Some(level), ..AccountUsage::default() };
    let accounts = BTreeMap::from([("acme".to_owned(), units)]);
    Report { age: 60_000, counted_for: 60_000, accounts }
}

const TWO: Reachability = Reachability { heard: 2, known: 2, report_delay: 200, is_grouped: false };

#[test]
fn usage_of_peers_counts_once() {
    let mut quotas = long_running_quotas();
    quotas.consume(11_000, "acme", 1, LIMIT, TWO).expect("within the limit");
    quotas.merge(15_000, Source::Peer, ("peer", 1), &reported(150, 150));
    quotas.merge(15_000, Source::Peer, ("peer", 1), &reported(150, 150));
    assert_eq!(quotas.consume(15_000, "acme", 50, LIMIT, ALONE), Ok(()));
    assert_eq!(quotas.consume(15_000, "acme", 1, LIMIT, ALONE), Err(10));
}

#[test]
fn usage_of_a_peer_before_this_node_started_does_not_count() {
    let mut quotas = Quotas::new(10_900, OVERSHOOT);
    quotas.consume(11_000, "acme", 1, LIMIT, TWO).expect("within the limit");
    quotas.merge(11_100, Source::Peer, ("peer", 1), &reported_by_long_running(90_000, 150));
    assert_eq!(quotas.consume(11_100, "acme", 10, LIMIT, TWO), Ok(()));
}

#[test]
fn a_starting_node_takes_over_the_level_of_a_running_peer() {
    for level in [-40, 0, 30] {
        let mut quotas = Quotas::new(10_900, OVERSHOOT);
        quotas.merge(11_000, Source::Peer, ("peer", 1), &reported_by_long_running(90_000, level));
        let taken = (0..100).filter(|_| quotas.consume(11_000, "acme", 1, LIMIT, ALONE).is_ok());
        assert_eq!(taken.count() as i64, level.max(0));
    }
}

#[test]
fn a_restart_of_all_nodes_does_not_renew_the_burst() {
    let mut quotas = Quotas::new(10_900, OVERSHOOT);
    quotas.consume(11_000, "acme", 80, LIMIT, ALONE).expect("a part of the burst");
    quotas.consume(11_000, "acme", 1, LIMIT, ALONE).expect_err("nothing is left");
}

#[test]
fn units_of_a_request_that_did_not_run_are_refunded() {
    let mut quotas = long_running_quotas();
    quotas.consume(11_000, "acme", 300, LIMIT, ALONE).expect("within the limit");
    quotas.refund("acme", 300);
    assert_eq!(quotas.consume(11_000, "acme", 200, LIMIT, ALONE), Ok(()));
    // 500 units were requested in 11 seconds; the first sample has a weight of one half.
    let units =
        AccountUsage { requested: 500, admitted: 200, requested_per_second: 22, level: Some(0) };
    let accounts = BTreeMap::from([("acme".to_owned(), units)]);
    assert_eq!(quotas.report(11_000), Report { age: 11_000, counted_for: 11_000, accounts });
}

#[test]
fn a_fraction_of_the_rate_is_reserved_for_unheard_nodes() {
    let mut quotas = long_running_quotas();
    let cut = Reachability { heard: 1, known: 4, report_delay: 200, is_grouped: false };
    for _ in 0..10 {
        quotas.consume(11_000, "acme", 20, LIMIT, cut).expect("within the limit");
    }
    // This node gets a quarter of the rate.
    quotas.consume(11_000, "acme", 1, LIMIT, cut).expect_err("nothing is left");
    quotas.consume(12_000, "acme", 25, LIMIT, cut).expect("a second's part");
    quotas.consume(12_000, "acme", 1, LIMIT, cut).expect_err("nothing is left");
}

#[test]
fn a_peer_is_assumed_to_continue_at_its_last_rate_until_its_next_report() {
    let mut quotas = long_running_quotas();
    quotas.consume(11_000, "acme", 1, LIMIT, TWO).expect("within the limit");
    quotas.merge(11_000, Source::Peer, ("peer", 1), &reported(0, 0));
    quotas.merge(11_500, Source::Peer, ("peer", 1), &reported(150, 150));
    // 200 - 150 units are available at 1,500 ms and 10 are refilled by 1,600 ms, but another 30
    // were admitted unreported.
    assert_eq!(quotas.consume(11_600, "acme", 60, LIMIT, ALONE), Ok(()));
    assert_eq!(quotas.consume(11_700, "acme", 1, LIMIT, ALONE), Err(510));
    quotas.merge(11_800, Source::Peer, ("peer", 1), &reported(150, 150));
    assert_eq!(quotas.consume(11_800, "acme", 1, LIMIT, ALONE), Ok(()));
}

#[test]
fn below_the_low_water_mark_nodes_share_the_rate_by_their_requests() {
    let mut quotas = long_running_quotas();
    quotas.consume(10_000, "acme", 100, LIMIT, TWO).expect("within the limit");
    quotas.report(10_000);
    quotas.merge(10_000, Source::Peer, ("peer", 1), &reported(0, 0));
    quotas.consume(11_000, "acme", 100, LIMIT, TWO).expect("within the limit");
    quotas.report(11_000);
    quotas.merge(11_000, Source::Peer, ("peer", 1), &reported_at_rate(300, 300, 150));
    let taken: u64 = (11_000..13_000u64)
        .step_by(10)
        .map(|now| u64::from(quotas.consume(now, "acme", 1, LIMIT, TWO).is_ok()))
        .sum();
    // At most a quarter of 100 units per second for two seconds, and half of that while the peer's
    // units over the limit are paid back.
    assert!((25..=50).contains(&taken), "{taken}");
}

proptest! {
    /// Nodes that are all partitioned from each other and always receive more requests than the
    /// limit allows admit no more than the rate together, plus each node's initial burst.
    #[test]
    fn partitioned_nodes_stay_within_the_whole_rate(nodes in 1usize..9, unit in 1u64..50) {
        let reach = Reachability { heard: 1, known: nodes, report_delay: 200, is_grouped: false };
        let mut quotas: Vec<Quotas> = (0..nodes).map(|_| long_running_quotas()).collect();
        let mut late = 0;
        for step in 0..1_000u64 {
            for quota in &mut quotas {
                while quota.consume(step * 20, "acme", unit, LIMIT, reach).is_ok() {
                    if step * 20 >= 10_000 {
                        late += unit;
                    }
                }
            }
        }
        let allowed = 100.0 * 10.0 + (nodes as u64 * 2 * unit) as f64;
        prop_assert!(late as f64 <= allowed, "{} of {}", late, allowed);
    }

}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Nodes that report only now and then, at several times the limit, admit no more in any window
    /// of eight seconds than its rate and burst plus a tenth.
    #[test]
    fn many_nodes_stay_within_the_limit_in_every_window(
        nodes in 2usize..60,
        report_delay in 100u64..700,
        pressure in 1.2f64..6.0,
        seed in any::<u64>(),
    ) {
        let limit = Limit { rate_per_second: 100_000.0, burst: 100_000.0 };
        let reach = Reachability { heard: nodes, known: nodes, report_delay, is_grouped: false };
        let mut random = fastrand::Rng::with_seed(seed);
        let mut quotas: Vec<Quotas> = (0..nodes).map(|_| Quotas::new(0, OVERSHOOT)).collect();
        let mut admitted: Vec<(u64, u64)> = Vec::new();
        let size = 1_200u64;
        let per_step = pressure * limit.rate_per_second / 100.0 / size as f64;
        let mut due_units = 0.0;
        for now in (10_000..30_000u64).step_by(10) {
            // The client account is quiet at first, and then sends several times its limit.
            due_units += if now < 13_000 { per_step / 10.0 } else { per_step };
            while due_units >= 1.0 {
                due_units -= 1.0;
                let node = random.usize(..nodes);
                if quotas[node].consume(now, "acme", size, limit, reach).is_ok() {
                    admitted.push((now, size));
                }
            }
            for node in 0..nodes {
                if (now + node as u64 * 7) % report_delay < 10 {
                    let reported = quotas[node].report(now);
                    for (other, quota) in quotas.iter_mut().enumerate() {
                        if other != node {
                            quota.merge(now, Source::Peer, (&format!("n-{node}"), 1), &reported);
                        }
                    }
                }
            }
        }
        let slack = nodes as u64 * size;
        for (start, _) in &admitted {
            let window = admitted.iter().filter(|(at, _)| at >= start && *at < start + 8_000);
            let units: u64 = window.map(|(_, units)| units).sum();
            let allowed = ((8.0 * 100_000.0 + 100_000.0) * 1.1) as u64 + slack;
            prop_assert!(units <= allowed, "{units} of {allowed} from {start}");
        }
    }
}

/// Simulates a client account's requests to many nodes that all restart twice: 87 nodes, a burst of
/// one second of the rate, 2.6 times the rate from shortly before the first restart, and 4.7 times
/// the rate while callers come back. The scenario comes from a trial run (tanglaw-keel-grown,
/// trouble-3).
fn simulate_restarts(seed: u64) -> Vec<(u64, u64)> {
    const NODES: usize = 87;
    const PERIOD: u64 = 600;
    /// Request sizes in tokens: short questions, with long documents among them.
    const SIZES: [u64; 10] = [800, 800, 800, 2_400, 2_400, 12_000, 12_000, 12_000, 30_000, 50_000];
    const MEAN_SIZE: f64 = 12_320.0;
    const RESTARTS: [u64; 2] = [14_000, 18_000];
    const DOWN: u64 = 600;
    let limit = Limit { rate_per_second: 1_066_000.0, burst: 1_066_000.0 };
    let mut random = fastrand::Rng::with_seed(seed);
    let mut incarnations = 1;
    let mut started_at = 0;
    let mut quotas: Vec<Quotas> = (0..NODES).map(|_| Quotas::new(0, TOLERANCE)).collect();
    let mut admitted = Vec::new();
    let mut due_units = 0.0;
    for now in (10_000..26_000u64).step_by(10) {
        if RESTARTS.contains(&now) {
            incarnations += 1;
            started_at = now + DOWN;
            quotas = (0..NODES).map(|_| Quotas::new(0, TOLERANCE)).collect();
        }
        if now < started_at {
            continue;
        }
        // Each incarnation has its own clock.
        let clock = now - started_at;
        // A node that has just started knows of all others, and hears them one after the other.
        let heard = NODES.min(1 + (clock / 6) as usize);
        let known = NODES;
        let reach = Reachability { heard, known, report_delay: PERIOD, is_grouped: false };
        let pressure = match now {
            ..13_000 => 0.56,
            _ if now < started_at + 600 => 4.7,
            _ => 2.6,
        };
        due_units += pressure * limit.rate_per_second / 100.0 / MEAN_SIZE;
        while due_units >= 1.0 {
            due_units -= 1.0;
            // A few nodes receive many more requests than the others.
            let node = random.usize(..NODES).min(random.usize(..NODES));
            let size = SIZES[random.usize(..SIZES.len())];
            if quotas[node].consume(clock, "acme", size, limit, reach).is_ok() {
                admitted.push((now, size));
            }
        }
        for node in 0..NODES {
            if (now + node as u64 * 7) % PERIOD < 10 {
                let reported = quotas[node].report(clock);
                for (other, quota) in quotas.iter_mut().enumerate() {
                    if other != node {
                        quota.merge(
                            clock,
                            Source::Peer,
                            (&format!("n-{node}"), incarnations),
                            &reported,
                        );
                    }
                }
            }
        }
    }
    admitted
}

#[test]
fn two_restarts_of_all_nodes_stay_within_the_limit_in_every_window() {
    for seed in 0..3 {
        let admitted = simulate_restarts(seed);
        let most = (13_000..18_000).step_by(10).map(|start| {
            let window = admitted.iter().filter(|(at, _)| (start..start + 8_000).contains(at));
            window.map(|(_, units)| units).sum::<u64>()
        });
        let most = most.max().unwrap_or(0);
        let allowed = ((8.0 + 1.0) * 1_066_000.0 * 1.1) as u64 + 140_000;
        assert!(most <= allowed, "{most} of {allowed} with seed {seed}");
        // The client account also gets most of what it is entitled to.
        assert!(most >= 8 * 1_066_000 * 7 / 10, "only {most} of {allowed} with seed {seed}");
    }
}

#[test]
fn a_new_node_takes_an_equal_share_until_its_peers_have_reported_requests() {
    let reach = Reachability { heard: 10, known: 10, report_delay: 200, is_grouped: false };
    let mut quotas = Quotas::new(10_000, OVERSHOOT);
    // Its peers have just started too, and reported before their first request.
    for peer in 0..9 {
        quotas.merge(10_050, Source::Peer, (&format!("n-{peer}"), 1), &reported(0, 0));
    }
    let mut admitted = 0;
    for now in (10_100..11_100u64).step_by(10) {
        admitted += 10 * u64::from(quotas.consume(now, "acme", 10, LIMIT, reach).is_ok());
        if now % 200 == 0 {
            quotas.report(now);
        }
    }
    // Of 1,000 units requested in a second, the node admits a tenth of 100, plus what it saved up
    // at its start.
    assert!(admitted <= 120, "{admitted}");
}

#[test]
fn available_units_may_be_negative() {
    let mut quotas = long_running_quotas();
    let limit = Limit { rate_per_second: 10.0, burst: 100.0 };
    assert_eq!(quotas.get_available(60_000, "acme"), None);
    quotas.consume(60_000, "acme", 30, limit, ALONE).expect("units");
    assert_eq!(quotas.get_available(60_000, "acme"), Some(70.0));
    assert_eq!(quotas.get_available(61_000, "acme"), Some(80.0));
    quotas.consume(61_000, "acme", 90, limit, ALONE).expect("units");
    assert_eq!(quotas.get_available(61_000, "acme"), Some(-10.0));
}

const TOLERANCE: Tolerance = Tolerance { window_seconds: 8.0, overshoot: 0.1, slack: 140_000.0 };

/// Seven nodes that start at the same time after a power loss, and the requests of a client
/// account.
struct Restart {
    /// The requested multiple of the rate while callers come back, and afterwards.
    pressure: (f64, f64),
    seed: u64,
}

impl Restart {
    const NODES: usize = 7;
    const PERIOD: u64 = 200;
    const LIMIT: Limit = Limit { rate_per_second: 500_000.0, burst: 500_000.0 };
    const SIZES: [u64; 5] = [800, 2_400, 2_400, 12_000, 30_000];
    const MEAN_SIZE: f64 = 9_520.0;
    const RETURN_PERIOD: u64 = 600;

    /// Returns the units that were requested and admitted within `span` after the start.
    fn simulate(&self, span: u64) -> (u64, u64) {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let mut quotas: Vec<Quotas> = (0..Self::NODES).map(|_| Quotas::new(0, TOLERANCE)).collect();
        let (mut requested, mut admitted, mut due_units) = (0, 0, 0.0);
        for now in (50..span).step_by(10) {
            // The list of nodes is read at once; each node hears the others with their next report.
            let heard = if now < Self::PERIOD { 1 } else { Self::NODES };
            let reach = Reachability {
                heard,
                known: Self::NODES,
                report_delay: Self::PERIOD,
                is_grouped: false,
            };
            let (first, later) = self.pressure;
            let pressure = if now < Self::RETURN_PERIOD { first } else { later };
            due_units += pressure * Self::LIMIT.rate_per_second / 100.0 / Self::MEAN_SIZE;
            while due_units >= 1.0 {
                due_units -= 1.0;
                let node = random.usize(..Self::NODES);
                let size = Self::SIZES[random.usize(..Self::SIZES.len())];
                requested += size;
                if quotas[node].consume(now, "acme", size, Self::LIMIT, reach).is_ok() {
                    admitted += size;
                }
            }
            for node in 0..Self::NODES {
                if now >= Self::PERIOD && (now + node as u64 * 30) % Self::PERIOD < 10 {
                    let report = quotas[node].report(now);
                    for (other, quota) in quotas.iter_mut().enumerate() {
                        if other != node {
                            quota.merge(now, Source::Peer, (&format!("n-{node}"), 1), &report);
                        }
                    }
                }
            }
        }
        (requested, admitted)
    }
}

#[test]
fn a_restart_of_all_nodes_admits_an_account_within_its_limit() {
    for seed in 0..5 {
        let restart = Restart { pressure: (1.3, 0.6), seed };
        let (requested, admitted) = restart.simulate(3_000);
        let refused = requested - admitted;
        assert!(refused * 10 <= requested, "refused {refused} of {requested} with seed {seed}");
    }
}

#[test]
fn a_restart_of_all_nodes_admits_no_more_than_the_tolerated_excess() {
    for seed in 0..5 {
        let restart = Restart { pressure: (6.0, 6.0), seed };
        let (_, admitted) = restart.simulate(3_000);
        // The rate for three seconds, plus the tolerated excess: (8 + 1) * 500,000 / 10 + 140,000.
        assert!(admitted <= 1_500_000 + 590_000, "{admitted} with seed {seed}");
    }
}
