//! Slots of brittle servers, with nodes that start, stop and are partitioned.

use keeljunction_core::serving::backpressure::{Robustness, Signal, Tracker};

use crate::brittle_fleet::{Fleet, Plan, Way};
use crate::support::server;

/// A fleet like the smallest deployments.
const SMALL: Plan = Plan {
    nodes: 8,
    servers: 8,
    slots: 2,
    run_ms: 50,
    max_rejections: 2,
    load: 0.6,
    way: Way::Grant,
    seed: 1,
};

/// Fleets of several sizes, with many small servers and with few large ones.
fn list_plans() -> Vec<Plan> {
    let sizes = [(1, 4, 2), (8, 8, 2), (9, 4, 6), (9, 18, 32), (83, 60, 6), (300, 100, 6)];
    let plans = sizes.map(|(nodes, servers, slots)| Plan { nodes, servers, slots, ..SMALL });
    plans.into()
}

/// The planned number of nodes.
const LARGE: Plan = Plan { nodes: 986, servers: 100, slots: 6, ..SMALL };

/// Returns how many servers may crash: two, and a tenth of them.
fn get_max_crashes(plan: &Plan) -> usize {
    2 + plan.servers / 10
}

/// Asserts that the servers bore the load, and served at least this fraction of what they can run.
fn assert_borne(fleet: &Fleet, plan: &Plan, min_served: f64) {
    let Fleet { sent, served, crashes, rejections, worst, .. } = fleet;
    let seen =
        format!("{crashes} crashes, {rejections} rejections, worst {worst}, {served} of {sent}");
    println!(
        "{} nodes, {} servers of {} slots, load {}: {seen}",
        plan.nodes, plan.servers, plan.slots, plan.load
    );
    assert!(*crashes <= get_max_crashes(plan), "{plan:?}: {seen}");
    let due = *sent as f64 * min_served / plan.load.max(1.0);
    assert!(*served as f64 >= due, "{plan:?}: {seen}");
}

/// Guards against a load that fits the slots and is rejected, because several nodes use the same one.
#[test]
fn a_load_that_fits_is_served_whatever_the_number_of_nodes() {
    for plan in list_plans().into_iter().chain([LARGE]) {
        let mut fleet = Fleet::start(plan, false);
        fleet.run(8_000);
        assert_borne(&fleet, &plan, 0.93);
    }
}

#[test]
fn overload_crashes_no_server() {
    for plan in list_plans() {
        for load in [1.3, 2.0] {
            let plan = Plan { load, ..plan };
            let mut fleet = Fleet::start(plan, false);
            fleet.run(5_000);
            // Unlike the product, the model tries servers at random.
            assert_borne(&fleet, &plan, 0.65);
        }
    }
}

#[test]
fn servers_bear_the_loss_of_their_owners_one_after_the_other() {
    for plan in list_plans().into_iter().filter(|plan| plan.nodes > 1) {
        let mut fleet = Fleet::start(plan, false);
        fleet.run(1_000);
        for node in 0..(plan.nodes / 4).min(12) {
            fleet.kill(node);
            fleet.run(1_500);
        }
        fleet.run(2_000);
        assert_borne(&fleet, &plan, 0.85);
    }
}

#[test]
fn servers_bear_nodes_that_start_without_knowledge() {
    for plan in list_plans().into_iter().filter(|plan| plan.nodes > 1) {
        for load in [0.6, 1.3] {
            let plan = Plan { load, ..plan };
            let mut fleet = Fleet::start(plan, false);
            fleet.run(1_000);
            for node in 0..plan.nodes.min(12) {
                fleet.restart(node);
                fleet.run(400);
            }
            fleet.run(4_000);
            assert_borne(&fleet, &plan, if load < 1.0 { 0.85 } else { 0.5 });
        }
    }
}

#[test]
fn servers_bear_a_start_of_all_nodes() {
    for plan in list_plans() {
        for load in [0.6, 1.3] {
            let plan = Plan { load, ..plan };
            let mut fleet = Fleet::start(plan, true);
            fleet.run(4_000);
            (0..plan.nodes).for_each(|node| fleet.restart(node));
            fleet.run(6_000);
            assert_borne(&fleet, &plan, if load < 1.0 { 0.85 } else { 0.5 });
        }
    }
}

/// What the parts serve meanwhile is not bounded: the slots of small servers cannot be divided.
#[test]
fn servers_bear_nodes_that_lose_each_other() {
    for plan in list_plans().into_iter().filter(|plan| plan.nodes > 1) {
        for parts in [2, 3] {
            for load in [0.6, 1.3] {
                let plan = Plan { load, ..plan };
                let mut fleet = Fleet::start(plan, false);
                fleet.run(1_000);
                (0..plan.nodes).for_each(|node| fleet.set_group(node, node % parts));
                fleet.run(6_000);
                (0..plan.nodes).for_each(|node| fleet.set_group(node, 0));
                fleet.run(3_000);
                assert_borne(&fleet, &plan, 0.0);
            }
        }
    }
}

#[test]
fn servers_bear_single_nodes_that_lose_all_others() {
    for plan in list_plans().into_iter().filter(|plan| plan.nodes > 1) {
        let mut fleet = Fleet::start(plan, false);
        fleet.run(1_000);
        (0..plan.nodes.div_ceil(10)).for_each(|node| fleet.set_group(node, node + 1));
        fleet.run(6_000);
        assert_borne(&fleet, &plan, 0.8);
    }
}

/// Compares the ways to decide whether a server has room; prints what each of them costs.
#[test]
fn only_granted_slots_spare_the_servers_and_serve_the_load() {
    for way in [Way::Guess, Way::Share, Way::Grant] {
        let mut crashes = 0;
        for plan in list_plans() {
            let plan = Plan { way, ..plan };
            let mut fleet = Fleet::start(plan, false);
            fleet.run(8_000);
            crashes += fleet.crashes;
            println!(
                "{way:?}, {} nodes, {} servers of {} slots: {} crashes, {} of {} served",
                plan.nodes, plan.servers, plan.slots, fleet.crashes, fleet.served, fleet.sent
            );
        }
        assert!(crashes == 0 || way != Way::Grant);
    }
}

#[test]
fn a_service_is_robust_again_when_its_responses_no_longer_report_it() {
    let mut node = Tracker::new(0.5, 1);
    let (server, other) = (server("s-1", "z1"), server("s-2", "z1"));
    assert_eq!(node.get_robustness(0, "llm"), Robustness::Unknown);
    let brittle = Signal { max_rejections: Some(3), ..Signal::default() };
    assert!(node.record(0, 0, &server, &brittle).brittleness.is_some());
    assert!(node.record(1, 0, &server, &brittle).brittleness.is_none());
    // A response that overtook the announcement, and another server that does not report it.
    node.record(10, 0, &other, &Signal::default());
    assert!(matches!(node.get_robustness(10, "llm"), Robustness::Brittle(_)));
    assert!(node.record(5_000, 4_900, &server, &Signal::default()).brittleness.is_some());
    assert!(matches!(node.get_robustness(5_000, "llm"), Robustness::Robust(_)));
}
