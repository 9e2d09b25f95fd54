use std::collections::BTreeMap;

use keeljunction_core::serving::configuration::{
    Account, CallerLimits, Configuration, Route, RouteKind, WeightedService,
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: 1_000,
        ttft_objective: 100,
        gap_objective: None,
        priority: 0,
        backends: vec![
            WeightedService { service: "old".to_owned(), weight: 90 },
            WeightedService { service: "new".to_owned(), weight: 10 },
        ],
        max_attempts: 1,
        allow_anonymous: false,
    }
}

fn configuration() -> Configuration {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
    ];
    let account =
        Account { name: "acme".to_owned(), keys: vec!["key-1".to_owned()], ..Account::default() };
    Configuration::new(1, routes, BTreeMap::new(), CallerLimits::default(), Some(vec![account]))
}

fn find_route_name(host: &str, path: &str) -> Option<String> {
    configuration().find_route(host, path).map(|route| route.name.clone())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    assert_eq!(find_route_name("a.example", "/x/y/z"), Some("long".to_owned()));
    assert_eq!(find_route_name("a.example", "/x/z"), Some("short".to_owned()));
    assert_eq!(find_route_name("b.example", "/x/y/z"), Some("other".to_owned()));
}

#[test]
fn a_host_is_found_in_any_case_and_with_a_port() {
    assert_eq!(find_route_name("A.Example:8080", "/x/1"), Some("short".to_owned()));
}

#[test]
fn no_other_host_or_path_is_found() {
    assert_eq!(find_route_name("c.example", "/x/1"), None);
    assert_eq!(find_route_name("a.example", "/"), None);
    assert_eq!(find_route_name("a.example", "/x"), None);
}

#[test]
fn a_key_belongs_to_one_account() {
    let configuration = configuration();
    assert_eq!(configuration.find_account("key-1").map(|t| t.name.as_str()), Some("acme"));
    assert_eq!(configuration.find_account("key-2"), None);
}

#[test]
fn weights_split_the_requests_of_a_route() {
    let route = route("r", "a.example", "/");
    assert_eq!(route.pick_service(0.0), Some("old"));
    assert_eq!(route.pick_service(0.89), Some("old"));
    assert_eq!(route.pick_service(0.91), Some("new"));
    assert_eq!(route.pick_service(1.0), Some("new"));
}

#[test]
fn a_service_without_weight_is_never_picked() {
    let mut route = route("r", "a.example", "/");
    route.backends[1].weight = 0;
    assert_eq!(route.pick_service(1.0), Some("old"));
}

#[test]
fn only_requests_that_may_run_again_are_repeatable() {
    assert!(RouteKind::Idempotent.is_repeatable());
    assert!(RouteKind::Streaming { resumable: true }.is_repeatable());
    assert!(!RouteKind::Streaming { resumable: false }.is_repeatable());
    assert!(!RouteKind::NonIdempotent.is_repeatable());
}
