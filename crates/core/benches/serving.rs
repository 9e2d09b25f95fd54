//! Benchmarks of the decisions for relayed requests, by the number of nodes.

#![allow(missing_docs)]

use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use keeljunction_core::serving::choice::{Candidate, Criteria, choose, shortlist};
use keeljunction_core::serving::directory::{Batch, Directory, Entry, Server};
use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::load::{Load, LoadTracker, RequestCost, short_id};
use keeljunction_core::serving::members::{self, Members};
use keeljunction_core::serving::quarantine::{
    Content, Crash, Fingerprint, InterruptedRequest, Standing, Tracker, Verdict,
};
use keeljunction_core::serving::quota::{
    AccountUsage, Limit, Quotas, Reachability, Report, Source, Tolerance,
};
use keeljunction_core::serving::spill::Offer;
use keeljunction_core::serving::stream_origin::{Key, Origin, Registry};
use keeljunction_core::serving::table_version::TableVersion;
use keeljunction_core::serving::topology::Topology;

/// Numbers of nodes and of servers.
const SIZES: [(usize, usize); 6] =
    [(7, 18), (83, 112), (300, 200), (1_000, 600), (1_000, 10_000), (2_000, 20_000)];
/// Numbers of nodes.
const NODES: [usize; 5] = [7, 83, 300, 1_000, 2_000];
/// Numbers of servers in a list that changes.
const LISTS: [usize; 3] = [200, 10_000, 20_000];
/// Servers at which a node has requests in flight.
const BUSY: usize = 7;

fn at(number: u64) -> TableVersion {
    TableVersion::new(Era::UNNAMED, number)
}

fn servers(count: usize) -> Vec<Server> {
    let server = |number: usize| Server {
        id: format!("i-{number:010x}"),
        incarnation: 0,
        service: "llm".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        data_centre: format!("z{}", number % 6),
        slots: 12,
        is_leaving: false,
        is_spot: true,
        leaves_within: None,
        warm_within: None,
        version: "v1".to_owned(),
    };
    (0..count).map(server).collect()
}

fn entries(count: usize) -> Vec<members::Entry> {
    let entry = |number: usize| members::Entry {
        name: format!("front-hall-{}-{number}", number % 6),
        address: SocketAddr::from(([10, 0, 0, 1], number as u16)),
        data_centre: format!("z{}", number % 6),
        link_mbps: if number < 18 { 200 } else { 20 },
    };
    (0..count).map(entry).collect()
}

fn members(count: usize) -> Members {
    let all = entries(count);
    let mut members = Members::new(0, all[count - 1].clone(), &[]);
    members.merge_list(0, all, true);
    members
}

fn choice(criterion: &mut Criterion) {
    let criteria = Criteria {
        shared_prefix: Some(7),
        prompt_tokens: 6_610,
        prefill_rate: Some(64.0),
        ttft_objective: 1_200,
        gap_objective: Some(600),
        ..Criteria::default()
    };
    for (nodes, count) in SIZES {
        let servers = servers(count);
        let mut tracker = LoadTracker::default();
        let is_grouped = members(nodes).is_grouped();
        let reporting = if is_grouped { 0 } else { nodes };
        for node in 0..reporting {
            let busy = servers.iter().skip(node * 3 % count).take(BUSY);
            let load = Load { requests: 1, ..Load::default() };
            let loads = busy.map(|server| (short_id(&server.id), load)).collect();
            tracker.merge(u64::MAX, &node.to_string(), loads);
        }
        let make_candidate = |server| Candidate {
            server,
            load: tracker.total(&server.id),
            is_ejected: false,
            slowness: 1.0,
        };
        let mut random = 0;
        criterion.bench_function(&format!("choice, {nodes} nodes, {count} servers"), |bencher| {
            bencher.iter(|| {
                random += 1;
                let listed = match is_grouped {
                    true => shortlist(servers.iter(), &criteria, random, false, |_| true),
                    false => servers.iter().collect(),
                };
                let candidates: Vec<Candidate<'_>> =
                    listed.into_iter().map(make_candidate).collect();
                black_box(choose(&candidates, &criteria, random));
            });
        });
    }
}

/// The data centres of two regions, as seen from a node of the first one.
fn two_regions() -> Arc<Topology> {
    let region = |number: usize| if number.is_multiple_of(2) { "a" } else { "b" };
    let data_centres = (0..6).map(|number| (format!("z{number}"), region(number).to_owned()));
    Arc::new(Topology::new("z0", data_centres.collect()).expect("a known data centre"))
}

/// The choice in the own region of two, which is all that most requests need.
fn regions(criterion: &mut Criterion) {
    let criteria = Criteria {
        shared_prefix: Some(7),
        prompt_tokens: 6_610,
        prefill_rate: Some(64.0),
        ttft_objective: 1_200,
        gap_objective: Some(600),
        ..Criteria::default()
    };
    let topology = two_regions();
    for (nodes, count) in SIZES {
        let mut members = members(nodes).with_topology(topology.clone());
        members.refresh(0);
        if !members.is_grouped() {
            continue;
        }
        let servers = servers(count);
        let tracker = LoadTracker::default();
        let make_candidate = |server| Candidate {
            server,
            load: tracker.total(&server.id),
            is_ejected: false,
            slowness: 1.0,
        };
        let mut random = 0;
        let name = format!("choice in one of two regions, {nodes} nodes, {count} servers");
        criterion.bench_function(&name, |bencher| {
            bencher.iter(|| {
                random += 1;
                let local = servers.iter().filter(|server| topology.is_local(&server.data_centre));
                let listed = shortlist(local, &criteria, random, false, |_| true);
                let candidates: Vec<Candidate<'_>> =
                    listed.into_iter().map(make_candidate).collect();
                let choice = choose(&candidates, &criteria, random);
                black_box(Offer::of(&choice, &candidates));
            });
        });
        let name = format!("owner of a load in one of two regions, {nodes} nodes");
        let mut server = 0;
        criterion.bench_function(&name, |bencher| {
            bencher.iter(|| {
                server += 1;
                black_box(members.find_load_owner(server, "z2"));
            });
        });
    }
}

/// A list of servers of which few have changed.
fn directory(criterion: &mut Criterion) {
    for count in LISTS {
        let mut directory = Directory::default();
        directory.replace(at(1), servers(count));
        let name = format!("the whole list again, {count} servers");
        criterion.bench_function(&name, |bencher| {
            bencher.iter_batched(
                || servers(count),
                |servers| black_box(directory.replace(at(1), servers)),
                BatchSize::LargeInput,
            );
        });
        let mut version = 1;
        criterion.bench_function(&format!("one change, {count} servers"), |bencher| {
            bencher.iter(|| {
                version += 1;
                let id = format!("i-{:010x}", version % 7);
                let (after, version) = (at(version - 1), at(version));
                let entry = Entry { id, version, server: None };
                directory.apply_batch(Batch { after, version, entries: vec![entry] });
                black_box(directory.get_update(Some(after)));
            });
        });
    }
}

/// The ranking among nodes that join one after the other.
fn joining(criterion: &mut Criterion) {
    for nodes in [83, 1_000, 2_000] {
        let mut members = members(nodes);
        let newcomers = entries(nodes + 1_000);
        let mut number = nodes;
        criterion.bench_function(&format!("a node that joins {nodes} others"), |bencher| {
            bencher.iter(|| {
                number = if number + 1 < newcomers.len() { number + 1 } else { nodes };
                let newcomer = members::Entry {
                    link_mbps: 20 + (number % 2) as u32,
                    ..newcomers[nodes].clone()
                };
                members.merge_entries(0, &[newcomer]);
                members.refresh(black_box(0));
            });
        });
    }
}

fn reports(criterion: &mut Criterion) {
    for nodes in NODES {
        let mut members = members(nodes);
        let mut now = 0;
        criterion.bench_function(&format!("refresh of the members, {nodes} nodes"), |bencher| {
            bencher.iter(|| {
                now += 1;
                members.refresh(black_box(now % 500));
            });
        });
        let members = self::members(nodes);
        let mut server = 0;
        criterion.bench_function(&format!("owner of a load, {nodes} nodes"), |bencher| {
            bencher.iter(|| {
                server += 1;
                black_box(members.find_owner(server));
            });
        });
    }
    let mut tracker = LoadTracker::default();
    let work = RequestCost { prompt_tokens: 100, priority: 1, memory_tokens: 200 };
    criterion.bench_function("one load told and read", |bencher| {
        bencher.iter(|| {
            tracker.merge_server(u64::MAX, "node", 7, Load { requests: 1, ..Load::default() });
            tracker.begin("server", &work);
            black_box(tracker.total("server"));
            tracker.end("server", &work, true);
        });
    });
}

fn quota(criterion: &mut Criterion) {
    let limit = Limit { rate_per_second: 1e9, burst: 1e9 };
    for nodes in NODES {
        let is_grouped = members(nodes).is_grouped();
        // In groups a node hears only its aggregator, and an aggregator hears the others and its
        // group.
        let heard = if is_grouped { (nodes as f64).sqrt().ceil() as usize * 2 } else { nodes };
        let reach = Reachability { heard: nodes, known: nodes, report_delay: 400, is_grouped };
        let mut quotas = Quotas::new(0, Tolerance::default());
        let units =
            AccountUsage { admitted: 1_000, requested_per_second: 100, ..AccountUsage::default() };
        let accounts = (0..40).map(|account| (format!("account-{account}"), units)).collect();
        let report = Report { accounts, ..Report::default() };
        for peer in 0..heard {
            quotas.merge(10_000, Source::Peer, (&peer.to_string(), 1), &report);
        }
        let mut now = 10_000;
        criterion.bench_function(&format!("quota, an aggregator among {nodes} nodes"), |bencher| {
            bencher.iter(|| {
                now += 1;
                black_box(quotas.consume(now, "account-7", 100, limit, reach))
            });
        });
    }
}

/// The cost of the quarantine for each request, and for the owner with full tables.
fn quarantine(criterion: &mut Criterion) {
    let body = vec![b'x'; 4_096];
    let content = Content { account: "acme", host: "gauges.example", path: "/x/y", body: &body };
    criterion.bench_function("quarantine, fingerprint of 4 KB", |bencher| {
        bencher.iter(|| black_box(Fingerprint::new(&content)));
    });
    let mut tracker = Tracker::default();
    for number in 0..256 {
        let verdict = Verdict {
            fingerprint: Fingerprint::from_number(number * 7),
            service: 1,
            standing: Standing::Quarantined,
            left: 600_000,
            servers_crashed: 3,
        };
        tracker.merge(1_000, verdict);
    }
    criterion.bench_function("quarantine, a request beside a full list", |bencher| {
        bencher.iter(|| {
            black_box(tracker.get_quarantine_remaining(2_000, Fingerprint::from_number(8)));
            black_box(tracker.record_completion(2_000, Fingerprint::from_number(8)))
        });
    });
    let make_crash = |server: u64| {
        let run = |number| InterruptedRequest {
            fingerprint: Fingerprint::from_number(number),
            ran_for: 50,
        };
        Crash {
            service: 1,
            server,
            age: 0,
            runs: (server * 16..server * 16 + 16).map(run).collect(),
        }
    };
    for server in 0..512 {
        tracker.merge_report(10_000 + server, &make_crash(server));
    }
    let mut server = 512;
    criterion.bench_function("quarantine, an end at a full keeper", |bencher| {
        bencher.iter(|| {
            server += 1;
            tracker.merge_report(20_000 + server, &make_crash(server));
            black_box(tracker.judge(20_000 + server))
        });
    });
}

/// Records of the streams that a node began.
const OWN_RECORDS: usize = 330;

fn streams(criterion: &mut Criterion) {
    for nodes in NODES {
        let entries = entries(nodes);
        let own = entries[0].clone();
        let joined = entries[nodes - 1].clone();
        let mut members = Members::new(0, own, &[]);
        members.merge_list(0, entries, true);
        criterion.bench_function(&format!("streams, rank {nodes} holders"), |bencher| {
            bencher.iter(|| {
                let ranking = members.get_holder_ranking(0);
                black_box(ranking.list_candidates(fastrand::u64(..)))
            });
        });
        let ranking = members.get_holder_ranking(0);
        criterion.bench_function(&format!("streams, a record of one of {nodes}"), |bencher| {
            bencher.iter(|| black_box(ranking.is_asked(fastrand::u64(..), &joined)));
        });
        let mut registry = Registry::default();
        let keys: Vec<Key> =
            (0..OWN_RECORDS).map(|number| Key::new("acme", &number.to_string())).collect();
        for key in &keys {
            registry.begin(0, *key, &Origin::new("llm", "v1"), u64::MAX);
            let rank = || {
                let candidates = ranking.list_candidates(key.get_number()).into_iter();
                candidates.map(|entry| short_id(&entry.name)).collect()
            };
            for holder in registry.plan_copies(0, *key, |_| true, rank) {
                registry.confirm(holder, &[*key]);
            }
        }
        criterion.bench_function(
            &format!("streams, check {OWN_RECORDS} among {nodes}"),
            |bencher| {
                bencher.iter(|| {
                    for key in &keys {
                        let is_live = |holder| members.is_live_holder(0, holder);
                        black_box(registry.plan_copies(1, *key, is_live, Vec::new));
                    }
                });
            },
        );
    }
}

criterion_group! {
    name = serving;
    config = Criterion::default().sample_size(30).measurement_time(std::time::Duration::from_millis(600)).warm_up_time(std::time::Duration::from_millis(200));
    targets = choice, regions, directory, joining, reports, quota, quarantine, streams
}
criterion_main!(serving);
