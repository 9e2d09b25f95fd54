//! Benchmarks of the decisions for each request or token.

#![allow(missing_docs)]

use std::hint::black_box;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use keeljunction_core::member::{List, Member, State, Timing};
use keeljunction_core::rendezvous;
use keeljunction_core::route;
use keeljunction_core::shard::{Decision, GrantRequest, Queue};
use keeljunction_core::stream::Cursor;

fn queue(servers: usize) -> Queue {
    let mut queue = Queue::new(64, 8_000);
    let names: Vec<String> = (0..servers).map(|n| format!("server-{n}")).collect();
    queue.set_servers(names.iter().map(|name| (name.as_str(), "10.0.0.1:80", "x", false)));
    queue.set_weights([("flood", 3), ("desk", 1)].into_iter());
    queue
}

fn make_request(number: usize, prefix: &[u64]) -> GrantRequest {
    GrantRequest {
        id: number.to_string(),
        group: "flood".to_owned(),
        priority: 1,
        deadline: u64::MAX / 2,
        wait: 10_000,
        prompt_tokens: 16 * prefix.len() as u64,
        output_tokens: 128,
        prefix: prefix.to_vec(),
        avoid: Vec::new(),
    }
}

fn grant(criterion: &mut Criterion) {
    let prefix: Vec<u64> = (0..64).collect();
    for servers in [4, 8, 16, 32] {
        let mut queue = queue(servers);
        let mut number = 0;
        criterion.bench_function(
            &format!("grant and release among {servers} servers"),
            |bencher| {
                bencher.iter(|| {
                    number += 1;
                    let decision = queue.submit(number as u64, make_request(number, &prefix));
                    if let Decision::Granted(grant) = black_box(decision) {
                        queue.record_first_token(&grant.id);
                        queue.release(number as u64, &grant.id, None);
                    }
                });
            },
        );
    }
}

fn wait(criterion: &mut Criterion) {
    for waiting in [10, 100, 1_000] {
        criterion.bench_function(&format!("release with {waiting} waiting"), |bencher| {
            let full = || {
                let mut queue = queue(1);
                for number in 0..64 + waiting {
                    queue.submit(0, GrantRequest { wait: 1_000_000, ..make_request(number, &[]) });
                }
                queue
            };
            let release = |mut queue: Queue| {
                queue.release(1, "0", None);
                queue.poll(1)
            };
            bencher.iter_batched(full, release, BatchSize::SmallInput);
        });
    }
}

fn names(criterion: &mut Criterion) {
    for nodes in [9, 33, 330] {
        let names: Vec<String> = (0..nodes).map(|n| format!("entry-{n}")).collect();
        criterion.bench_function(&format!("owner among {nodes} nodes"), |bencher| {
            bencher.iter(|| {
                rendezvous::owner(black_box("shard/hidro-llm/7"), names.iter().map(String::as_str))
            });
        });
    }
}

fn news(criterion: &mut Criterion) {
    let member = |n: usize, incarnation| Member {
        name: format!("entry-{n}"),
        data_centre: "x".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        incarnation,
        state: State::Alive,
    };
    for nodes in [9, 33, 330] {
        let mut list = List::new(member(0, 1), Timing { suspicion: 1_000, dead_retention: 1_000 });
        for n in 1..nodes {
            list.apply(0, member(n, 1));
        }
        let mut incarnation = 1;
        criterion.bench_function(
            &format!("take and give one piece of news among {nodes} nodes"),
            |bencher| {
                bencher.iter(|| {
                    incarnation += 1;
                    list.apply(0, member(1 + incarnation as usize % (nodes - 1), incarnation));
                    black_box(list.take_updates(6))
                });
            },
        );
    }
}

fn tokens(criterion: &mut Criterion) {
    let mut cursor = Cursor::new("attempt", 0);
    criterion.bench_function("take a token", |bencher| {
        bencher.iter(|| cursor.take("attempt", cursor.get_next(), black_box(" token")));
    });
    let prompt: String = (0..1_000).map(|n| format!("word{n} ")).collect();
    criterion.bench_function("blocks of a prompt of 1000 words", |bencher| {
        bencher.iter(|| route::hash_blocks(black_box(&prompt)));
    });
}

criterion_group! {
    name = decisions;
    config = Criterion::default().sample_size(30).measurement_time(std::time::Duration::from_millis(600)).warm_up_time(std::time::Duration::from_millis(200));
    targets = grant, wait, names, news, tokens
}
criterion_main!(decisions);
