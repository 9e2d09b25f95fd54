use keeljunction_core::serving::throughput::{Sample, Throughput};

fn sample(tokens: u64, first_token_ms: u64) -> Sample {
    Sample { server: 1, is_alone: true, tokens, first_token_ms }
}

#[test]
fn a_few_samples_give_no_estimate() {
    let mut throughput = Throughput::default();
    for _ in 0..9 {
        throughput.add(1_000, sample(6_000, 110));
    }
    assert_eq!(throughput.get_prefill_rate(), None);
}

#[test]
fn fixed_costs_are_subtracted() {
    let mut throughput = Throughput::default();
    for _ in 0..10 {
        throughput.add(1_000, sample(100, 10));
        throughput.add(1_000, sample(6_000, 110));
    }
    assert_eq!(throughput.get_fixed_ms(), 10.0);
    assert_eq!(throughput.get_prefill_rate(), Some(60.0));
}

#[test]
fn requests_that_waited_hardly_count() {
    let mut throughput = Throughput::default();
    for index in 0..20 {
        throughput.add(1_000, sample(6_000, if index < 12 { 1_000 } else { 100 }));
    }
    assert_eq!(throughput.get_prefill_rate(), Some(60.0));
}

#[test]
fn old_samples_expire() {
    let mut throughput = Throughput::default();
    for _ in 0..10 {
        throughput.add(1_000, sample(6_000, 1_000));
    }
    for _ in 0..10 {
        throughput.add(40_000, sample(6_000, 100));
    }
    assert_eq!(throughput.get_prefill_rate(), Some(60.0));
}

#[test]
fn samples_of_peers_count_and_are_not_reported() {
    let mut throughput = Throughput::default();
    for _ in 0..9 {
        throughput.merge(1_000, sample(6_000, 100));
    }
    throughput.add(1_000, sample(6_000, 100));
    assert_eq!(throughput.get_prefill_rate(), Some(60.0));
    assert_eq!(throughput.take_unreported(), [sample(6_000, 100)]);
    assert!(throughput.take_unreported().is_empty());
}

/// The throughput of usual servers that read 60 tokens per millisecond.
fn make_usual() -> Throughput {
    let mut throughput = Throughput::default();
    for server in (10..20).flat_map(|server| [server; 5]) {
        throughput.add(1_000, Sample { server, ..sample(6_000, 100) });
    }
    throughput
}

#[test]
fn the_slowness_of_a_server_is_rounded_to_steps() {
    let mut throughput = make_usual();
    for (server, first_token_ms) in [(1, 132), (2, 115), (3, 400), (4, 90_000)] {
        for _ in 0..5 {
            throughput.merge(1_000, Sample { server, ..sample(6_000, first_token_ms) });
        }
    }
    throughput.rate_servers(1_000);
    let slowness = [1, 2, 3, 4, 5].map(|server| throughput.get_slowness(server));
    assert_eq!(slowness, [1.25, 1.0, 4.0, 8.0, 1.0]);
}

#[test]
fn prompts_that_waited_do_not_make_a_server_slow() {
    let mut throughput = make_usual();
    for _ in 0..9 {
        throughput.merge(1_000, Sample { is_alone: false, ..sample(6_000, 400) });
    }
    throughput.rate_servers(1_000);
    assert_eq!(throughput.get_slowness(1), 1.0);
}

#[test]
fn the_rating_of_a_server_is_forgotten_with_it() {
    let mut throughput = make_usual();
    for _ in 0..5 {
        throughput.merge(1_000, sample(6_000, 400));
    }
    throughput.rate_servers(31_000);
    assert_eq!(throughput.get_slowness(1), 4.0);
    throughput.forget(1);
    assert_eq!(throughput.get_slowness(1), 1.0);
}

#[test]
fn slow_responses_expire() {
    let mut throughput = make_usual();
    for _ in 0..5 {
        throughput.merge(1_000, sample(6_000, 400));
    }
    throughput.rate_servers(31_000);
    assert_eq!(throughput.get_slowness(1), 4.0);
    throughput.rate_servers(31_001);
    assert_eq!(throughput.get_slowness(1), 1.0);
}
