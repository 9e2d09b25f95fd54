//! Generates load and records the results.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fastrand::Rng;
use keeljunction::http::Client;
use keeljunction::runtime::{self, lock};

use super::summary::Summary;
use crate::engine::expected_output;
use crate::harness::{Call, Response};

/// A kind of call and its share of the load.
#[derive(Clone, Debug)]
pub struct Kind {
    /// The name of the kind in the summary.
    pub name: String,
    /// The weight of the kind in the random choice among all kinds.
    pub weight: u32,
    /// The credential of the client account.
    pub credential: String,
    /// The request class.
    pub class: String,
    /// The model name.
    pub model: String,
    /// Number of unique words in the prompt.
    pub prompt_words: usize,
    /// Number of different prompt prefixes that calls share; 0 disables shared prefixes.
    pub shared_prefixes: usize,
    /// Number of words in a shared prefix.
    pub prefix_words: usize,
    /// Number of tokens to generate.
    pub tokens: u64,
}

/// The load to generate.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Addresses that receive calls, in round-robin order.
    pub targets: Vec<SocketAddr>,
    /// Mean number of calls per second.
    pub rate: f64,
    /// Duration of the load.
    pub duration: Duration,
    /// The random seed; the same seed gives the same calls at the same scheduled times.
    pub seed: u64,
    /// The kinds of calls.
    pub kinds: Vec<Kind>,
    /// Whether a rejected call is retried once, after `Retry-After`.
    pub retries_rejected: bool,
}

/// Generates the load and returns a summary for each kind of call.
pub async fn run(client: &Client, plan: &Plan) -> BTreeMap<String, Summary> {
    let mut random = Rng::with_seed(plan.seed);
    let summaries: Arc<Mutex<BTreeMap<String, Summary>>> = Arc::default();
    let started = Instant::now();
    let mut scheduled = Duration::ZERO;
    let mut calls = Vec::new();
    let mut number = 0;
    let retries_rejected = plan.retries_rejected;
    while scheduled < plan.duration {
        let (kind, prompt) = choose_call(plan, &mut random);
        let target = plan.targets[number % plan.targets.len()];
        number += 1;
        let wait = (started + scheduled).saturating_duration_since(Instant::now());
        runtime::sleep(wait).await;
        let (client, summaries, scheduled_at) =
            (client.clone(), summaries.clone(), started + scheduled);
        calls.push(runtime::spawn_with_handle(async move {
            let call =
                Call::completion(&kind.credential, &kind.class, &kind.model, &prompt, kind.tokens);
            let start_delay = scheduled_at.elapsed();
            let mut response = call.send(&client, target).await.ok();
            let retry_delay =
                response.as_ref().and_then(get_retry_delay).filter(|_| retries_rejected);
            if let Some(retry_delay) = retry_delay {
                runtime::sleep(retry_delay).await;
                response = call.send(&client, target).await.ok();
            }
            let mut summaries = lock(&summaries);
            let summary = summaries.entry(kind.name).or_default();
            if retry_delay.is_some() {
                summary.retried += 1;
                summary.admitted_after_retry +=
                    u64::from(response.as_ref().is_some_and(|response| response.is_complete));
            }
            record(summary, response, &prompt, kind.tokens, start_delay);
        }));
        scheduled += Duration::from_secs_f64(-random.f64().max(1e-12).ln() / plan.rate);
    }
    for call in calls {
        call.await;
    }
    let summaries = lock(&summaries);
    summaries.clone()
}

/// Returns the retry delay of a rejected call.
fn get_retry_delay(response: &Response) -> Option<Duration> {
    if response.is_complete || response.outcome() != "not_run" {
        return None;
    }
    response.json()["retry_after_ms"].as_u64().map(Duration::from_millis)
}

fn record(
    summary: &mut Summary,
    response: Option<Response>,
    prompt: &str,
    tokens: u64,
    start_delay: Duration,
) {
    let Some(response) = response else {
        summary.failed += 1;
        return;
    };
    if !response.is_complete {
        if response.outcome() == "not_run" {
            summary.rejected += 1
        } else {
            summary.failed += 1
        }
        return;
    }
    summary.completed += 1;
    summary.tokens += response.token_times.len() as u64;
    if response.body != expected_output(prompt, tokens) {
        summary.mismatched += 1;
    }
    let first_token =
        response.token_times.first().copied().unwrap_or(response.head_time) + start_delay;
    let _ = summary.first_token_micros.record(first_token.as_micros() as u64);
    for pair in response.token_times.windows(2) {
        let _ = summary.token_interval_micros.record((pair[1] - pair[0]).as_micros().max(1) as u64);
    }
}

fn choose_call(plan: &Plan, random: &mut Rng) -> (Kind, String) {
    let total_weight: u32 = plan.kinds.iter().map(|kind| kind.weight).sum();
    let mut remaining = random.u32(0..total_weight.max(1));
    let kind = plan.kinds.iter().find(|kind| {
        let is_selected = remaining < kind.weight;
        remaining = remaining.saturating_sub(kind.weight);
        is_selected
    });
    let kind = kind.unwrap_or(&plan.kinds[0]).clone();
    let mut prompt = String::new();
    if kind.shared_prefixes > 0 {
        let prefix = random.usize(..kind.shared_prefixes);
        for word in 0..kind.prefix_words {
            prompt.push_str(&format!("{}{prefix}x{word} ", kind.name));
        }
    }
    let unique_id = random.u64(..);
    for word in 0..kind.prompt_words {
        prompt.push_str(&format!("q{unique_id:x}x{word} "));
    }
    (kind, prompt)
}
