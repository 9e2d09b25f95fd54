//! Which servers requests go to while the traffic of a service moves to another version.

use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::rollout::{
    Action, Announcement, Order, Phase, Progress, Registry, Report, Series, Snapshot, Stage,
    Tallies, Tolerance, VersionFilter,
};
use keeljunction_core::serving::table_version::TableVersion;

use crate::support::{at, server};

const TOLERANCE: Tolerance = Tolerance { share: 0.1, slack: 0.0, nodes: 3 };

fn order(number: u64) -> Order {
    Order {
        service: "llm".to_owned(),
        target_version: "v2".to_owned(),
        duration: 12_000,
        number: at(number),
    }
}

fn told(number: u64, stage: Stage, age: Option<u64>) -> Announcement {
    Announcement { order: order(number), stage, age, barred: Vec::new() }
}

fn server_of(version: &str) -> Server {
    Server { version: version.to_owned(), service: "llm".to_owned(), ..server(version, "a") }
}

fn book_at(stage: Stage) -> Registry {
    let mut book = Registry::default();
    book.merge_announcement(10_000, &told(7, stage, Some(0)), true);
    book
}

#[test]
fn without_an_order_requests_go_to_all_servers() {
    let book = Registry::default();
    assert_eq!(book.pick_filter(10_000, "llm", &TOLERANCE, 0.5), VersionFilter::Any);
    assert!(book.is_allowed(VersionFilter::Any, &server_of("v2")));
}

#[test]
fn an_order_that_nobody_has_begun_sends_nothing_to_the_new_version() {
    let mut book = Registry::default();
    assert!(book.apply_order(order(7), true));
    assert!(!book.apply_order(order(7), true));
    assert!(!book.apply_order(order(6), true));
    assert_eq!(book.pick_filter(10_000, "llm", &TOLERANCE, 0.5), VersionFilter::PreferOthers);
    assert!(!book.is_allowed(VersionFilter::PreferOthers, &server_of("v2")));
    assert!(book.is_allowed(VersionFilter::PreferOthers, &server_of("v1")));
    assert!(book.is_on_trial(&server_of("v2")));
}

#[test]
fn a_canary_gets_its_share_of_each_nodes_requests_and_no_more() {
    let mut book = book_at(Stage::Canary);
    let mut sent = 0;
    for _ in 0..1_000 {
        let side = book.pick_filter(10_000, "llm", &TOLERANCE, 0.5);
        let version = if side == VersionFilter::Canary { "v2" } else { "v1" };
        sent += u64::from(side == VersionFilter::Canary);
        book.count_sent(&server_of(version));
    }
    assert_eq!(sent, 80);
}

#[test]
fn the_tolerated_slack_is_shared_by_all_nodes() {
    let mut book = book_at(Stage::Canary);
    let tolerance = Tolerance { slack: 50.0, nodes: 5, ..TOLERANCE };
    let mut sent = 0;
    while book.pick_filter(10_000, "llm", &tolerance, 0.5) == VersionFilter::Canary {
        book.count_sent(&server_of("v2"));
        sent += 1;
    }
    // A fifth of half of the slack: the rest is for nodes that start again.
    assert_eq!(sent, 5);
}

#[test]
fn a_stage_that_was_not_heard_of_lately_sends_nothing_to_the_new_version() {
    for stage in [Stage::Canary, Stage::Shifting] {
        let book = book_at(stage);
        assert_eq!(
            book.pick_filter(12_000, "llm", &TOLERANCE, 0.5) == VersionFilter::Target,
            stage == Stage::Shifting
        );
        assert_eq!(book.pick_filter(12_600, "llm", &TOLERANCE, 0.5), VersionFilter::PreferOthers);
    }
    // A verdict stands.
    assert_eq!(
        book_at(Stage::RolledBack).pick_filter(90_000, "llm", &TOLERANCE, 0.5),
        VersionFilter::Others
    );
    assert_eq!(
        book_at(Stage::Completed).pick_filter(90_000, "llm", &TOLERANCE, 0.5),
        VersionFilter::Any
    );
}

#[test]
fn servers_that_stop_with_the_completion_get_nothing_while_they_are_still_listed() {
    let book = book_at(Stage::Completed);
    assert_eq!(book.pick_filter(14_900, "llm", &TOLERANCE, 0.5), VersionFilter::PreferTarget);
    assert_eq!(book.pick_retry_filter(14_900, "llm"), VersionFilter::PreferTarget);
    assert!(!book.is_allowed(VersionFilter::PreferTarget, &server_of("v1")));
    assert_eq!(book.pick_filter(15_000, "llm", &TOLERANCE, 0.5), VersionFilter::Any);
}

#[test]
fn a_stage_never_goes_back() {
    let mut book = book_at(Stage::RolledBack);
    assert_eq!(book.merge_announcement(10_100, &told(7, Stage::Shifting, Some(0)), true), None);
    assert_eq!(book.pick_filter(10_100, "llm", &TOLERANCE, 0.5), VersionFilter::Others);
    // An older order neither; a newer one begins anew.
    assert_eq!(book.merge_announcement(10_100, &told(6, Stage::Completed, Some(0)), true), None);
    assert_eq!(
        book.merge_announcement(10_100, &told(8, Stage::Canary, Some(0)), true),
        Some(Stage::Canary)
    );
}

#[test]
fn a_retry_goes_to_the_version_that_is_known_to_work() {
    assert_eq!(book_at(Stage::Canary).pick_retry_filter(10_000, "llm"), VersionFilter::Others);
    assert_eq!(book_at(Stage::RolledBack).pick_retry_filter(10_000, "llm"), VersionFilter::Others);
    assert_eq!(
        book_at(Stage::Shifting).pick_retry_filter(10_000, "llm"),
        VersionFilter::PreferOthers
    );
}

fn series() -> Series {
    Series { route: "brief".to_owned(), phase: Phase::FirstToken }
}

#[test]
fn answers_of_all_nodes_add_up_and_those_of_servers_that_just_started_have_no_latency() {
    let mut book = book_at(Stage::Canary);
    let cold = Server { warm_within: Some(4_000), id: "cold".to_owned(), ..server_of("v2") };
    book.record_joined(10_000, &cold);
    book.record_success(11_000, &cold, "brief", Phase::FirstToken, 900);
    book.record_success(14_000, &cold, "brief", Phase::FirstToken, 300);
    book.record_failure(&server_of("v1"), "brief", Phase::FirstToken);
    let mut member = Tallies::default();
    member.get_mut(series(), true).record_success(Some(200));
    let report = Report { service: "llm".to_owned(), number: at(7), tallies: member, in_flight: 2 };
    book.merge(true, ("n-2", 1), std::slice::from_ref(&report));
    // A repeated report counts once; one of another order not at all.
    book.merge(true, ("n-2", 1), std::slice::from_ref(&report));
    book.merge(false, ("n-3", 1), &[Report { number: at(6), ..report }]);
    let sum = book.sum_all("llm", |_| 3).expect("an order");
    assert_eq!((sum.tallies.count_target(), sum.in_flight), (3, 5));
    let (_, pair) = sum.tallies.iter().next().expect("a series");
    assert_eq!((pair.target.good, pair.target.latencies.len()), (3, 2));
    assert_eq!((pair.baseline.good, pair.baseline.failed), (0, 1));
    // What a node counted still counts when it is gone; it has nothing in flight.
    book.forget("n-2", 1);
    let sum = book.sum_all("llm", |_| 3).expect("an order");
    assert_eq!((sum.tallies.count_target(), sum.in_flight), (3, 3));
}

/// Tallies of so many answers of each version, of which some of the new version's failed.
fn answers(target: u64, failed: u64, rest: u64) -> Tallies {
    let mut tallies = Tallies::default();
    for number in 0..target {
        let tally = tallies.get_mut(series(), true);
        if number < failed { tally.record_failure() } else { tally.record_success(Some(100)) }
    }
    (0..rest).for_each(|_| tallies.get_mut(series(), false).record_success(Some(100)));
    tallies
}

fn snapshot(stage: Stage, elapsed: u64, tallies: &Tallies) -> Snapshot<'_> {
    Snapshot {
        stage,
        duration: 12_000,
        elapsed,
        tallies,
        target_servers: 4,
        other_servers: 4,
        in_flight: 3,
    }
}

#[test]
fn a_good_version_passes_all_stages_within_the_ordered_time() {
    let tallies = answers(60, 0, 600);
    let mut progress = Progress::default();
    let step = |progress: &mut Progress, stage, elapsed| {
        progress.step(&snapshot(stage, elapsed, &tallies))
    };
    assert_eq!(step(&mut progress, Stage::Pending, 0), Action::Begin);
    assert_eq!(step(&mut progress, Stage::Canary, 6_500), Action::Wait);
    assert_eq!(step(&mut progress, Stage::Canary, 6_610), Action::Ramp);
    assert_eq!(step(&mut progress, Stage::Ramp, 8_150), Action::Wait);
    assert_eq!(step(&mut progress, Stage::Ramp, 8_170), Action::Shift);
    assert_eq!(step(&mut progress, Stage::Shifting, 8_200), Action::Wait);
    let drained =
        |elapsed| Snapshot { in_flight: 0, ..snapshot(Stage::Shifting, elapsed, &tallies) };
    // A version that is bad under its whole load must have the time to show.
    assert_eq!(progress.step(&drained(9_600)), Action::Wait);
    assert_eq!(progress.step(&drained(9_640)), Action::Complete { cut: 0 });
    assert_eq!(step(&mut progress, Stage::Shifting, 10_200), Action::Complete { cut: 3 });
    assert_eq!(step(&mut progress, Stage::Completed, 12_000), Action::Wait);
}

#[test]
fn a_version_with_too_few_answers_or_servers_is_given_up() {
    let few = answers(29, 0, 600);
    let mut progress = Progress::default();
    assert_eq!(progress.step(&snapshot(Stage::Canary, 10_000, &few)), Action::Wait);
    assert_eq!(progress.step(&snapshot(Stage::Canary, 10_200, &few)), Action::GiveUp);
    let enough = answers(60, 0, 600);
    let alone = Snapshot { target_servers: 2, ..snapshot(Stage::Canary, 8_000, &enough) };
    assert_eq!(Progress::default().step(&alone), Action::Wait);
}

#[test]
fn a_version_that_fails_is_rolled_back_in_every_stage() {
    for stage in [Stage::Canary, Stage::Ramp, Stage::Shifting] {
        let tallies = answers(20, 8, 600);
        let next = Progress::default().step(&snapshot(stage, 1_000, &tallies));
        assert!(matches!(next, Action::RollBack(_)), "{next:?}");
    }
}

#[test]
fn an_order_for_the_version_that_runs_is_complete_at_once() {
    let tallies = Tallies::default();
    let all = Snapshot { other_servers: 0, ..snapshot(Stage::Pending, 0, &tallies) };
    assert_eq!(Progress::default().step(&all), Action::Complete { cut: 0 });
}

#[test]
fn a_larger_share_is_drawn_before_all_requests_go_to_the_new_version() {
    let book = book_at(Stage::Ramp);
    assert_eq!(book.pick_filter(10_000, "llm", &TOLERANCE, 0.29), VersionFilter::Target);
    assert_eq!(book.pick_filter(10_000, "llm", &TOLERANCE, 0.31), VersionFilter::Others);
}

#[test]
fn the_canary_is_as_many_servers_as_have_its_share_to_do() {
    let book = book_at(Stage::Canary);
    let named = |number: usize| Server { id: format!("i-{number}"), ..server_of("v2") };
    let servers: Vec<Server> = (0..25).map(named).chain([server_of("v1")]).collect();
    let canaries = book.list_canaries(servers.iter(), &TOLERANCE);
    assert_eq!(canaries.len(), 3);
    assert!(!canaries.contains(&"v1"));
    assert_eq!(book.list_canaries(servers.iter().rev(), &TOLERANCE), canaries);
    assert_eq!(book.list_canaries(servers[..4].iter(), &TOLERANCE).len(), 1);
}

#[test]
fn a_later_order_bars_the_version_of_one_that_was_not_completed() {
    let order_for =
        |version: &str, number| Order { target_version: version.to_owned(), ..order(number) };
    for (stage, is_barred) in
        [(Stage::Canary, true), (Stage::RolledBack, true), (Stage::Completed, false)]
    {
        let mut book = book_at(stage);
        assert!(book.apply_order(order_for("v3", 8), true));
        assert_eq!(
            book.is_allowed(VersionFilter::Others, &server_of("v2")),
            !is_barred,
            "{stage:?}"
        );
        assert_eq!(book.is_on_trial(&server_of("v2")), is_barred);
        assert!(book.is_allowed(VersionFilter::Others, &server_of("v1")));
        // Nodes that know the newest order only are told.
        let mut other = Registry::default();
        for announcement in book.list_announcements(10_000) {
            other.merge_announcement(10_000, &announcement, true);
        }
        assert_eq!(other.is_allowed(VersionFilter::Any, &server_of("v2")), !is_barred);
        // Ordered again it is on trial again.
        assert!(book.apply_order(order_for("v2", 9), true));
        assert_eq!(book.list_barred("llm"), ["v3"]);
        assert!(book.is_allowed(VersionFilter::Target, &server_of("v2")));
    }
}

fn returned(version: &str, number: u64) -> Order {
    let number = TableVersion::new(Era::named(2), number);
    Order { target_version: version.to_owned(), number, ..order(0) }
}

// Guards against a roll-out that begins anew because its order's row has another version after a return of the
// table service from an older copy.
#[test]
fn an_order_that_is_written_again_after_a_return_goes_on() {
    let mut book = Registry::default();
    book.merge_announcement(10_000, &told(7, Stage::RolledBack, Some(0)), true);
    for number in [3, 5] {
        assert!(book.apply_order(returned("v2", number), false));
        let (order, stage) = book.list_orders().remove(0);
        assert_eq!(
            (order.number, stage),
            (TableVersion::new(Era::named(2), number), Stage::RolledBack)
        );
    }
    // Once all is written again, the same order is a further one.
    assert!(book.apply_order(returned("v2", 9), true));
    assert_eq!(book.list_orders()[0].1, Stage::Pending);
}

// Guards against an earlier order that an older copy still holds.
#[test]
fn another_order_counts_after_a_return_once_the_operator_has_written_again() {
    let mut book = Registry::default();
    book.merge_announcement(10_000, &told(7, Stage::Shifting, Some(0)), true);
    assert!(!book.apply_order(returned("v1", 3), false));
    assert_eq!(book.list_orders()[0].0.target_version, "v2");
    assert!(book.apply_order(returned("v3", 4), true));
    assert_eq!(book.list_orders()[0].0.target_version, "v3");
}

// Guards against an order that is never begun: it was read before the era was settled.
#[test]
fn an_order_that_is_read_before_an_era_is_settled_counts_later_unless_the_known_one_is_written_again()
 {
    let mut book = Registry::default();
    book.merge_announcement(10_000, &told(7, Stage::Shifting, Some(0)), true);
    assert!(!book.apply_order(returned("v3", 4), false));
    assert_eq!(book.apply_deferred(), [returned("v3", 4)]);
    assert_eq!(book.list_orders()[0].0.target_version, "v3");
    assert!(book.apply_deferred().is_empty());

    let mut book = Registry::default();
    book.merge_announcement(10_000, &told(7, Stage::Shifting, Some(0)), true);
    assert!(!book.apply_order(returned("v1", 3), false));
    assert!(book.apply_order(returned("v2", 5), false));
    assert!(book.apply_deferred().is_empty());
    assert_eq!(book.list_orders(), [(returned("v2", 5), Stage::Shifting)]);
}
