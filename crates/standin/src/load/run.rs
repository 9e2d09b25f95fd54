//! Runs a load.

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

/// One kind of call, and how often it is made.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Its name in the summary.
    pub name: String,
    /// Its part among all kinds.
    pub weight: u32,
    /// The caller's credential.
    pub credential: String,
    /// The request class.
    pub class: String,
    /// The model.
    pub model: String,
    /// Words of the prompt.
    pub prompt_words: usize,
    /// Different prompt starts that calls share; 0 where each is its own.
    pub topics: usize,
    /// Words that a prompt start has.
    pub topic_words: usize,
    /// Tokens to generate.
    pub tokens: u64,
}

/// A load to run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Where calls go, in turn.
    pub targets: Vec<SocketAddr>,
    /// Calls in a second, on average.
    pub rate: f64,
    /// How long calls are made.
    pub time: Duration,
    /// The seed: the same gives the same calls at the same times.
    pub seed: u64,
    /// The kinds of calls.
    pub kinds: Vec<Kind>,
    /// Whether refused callers retry once, after `Retry-After`.
    pub is_followed: bool,
}

/// Runs a load and returns a summary for each kind.
pub async fn run(client: &Client, plan: &Plan) -> BTreeMap<String, Summary> {
    let mut random = Rng::with_seed(plan.seed);
    let summaries: Arc<Mutex<BTreeMap<String, Summary>>> = Arc::default();
    let started = Instant::now();
    let mut due = Duration::ZERO;
    let mut calls = Vec::new();
    let mut number = 0;
    let is_followed = plan.is_followed;
    while due < plan.time {
        let (kind, prompt) = draw(plan, &mut random);
        let target = plan.targets[number % plan.targets.len()];
        number += 1;
        let wait = (started + due).saturating_duration_since(Instant::now());
        runtime::sleep(wait).await;
        let (client, summaries, due_at) = (client.clone(), summaries.clone(), started + due);
        calls.push(runtime::spawn_with_handle(async move {
            let call =
                Call::completion(&kind.credential, &kind.class, &kind.model, &prompt, kind.tokens);
            let late = due_at.elapsed();
            let mut answer = call.send(&client, target).await.ok();
            let wait = answer.as_ref().and_then(retry_after).filter(|_| is_followed);
            if let Some(wait) = wait {
                runtime::sleep(wait).await;
                answer = call.send(&client, target).await.ok();
            }
            let mut summaries = lock(&summaries);
            let summary = summaries.entry(kind.name).or_default();
            if wait.is_some() {
                summary.returned += 1;
                summary.admitted +=
                    u64::from(answer.as_ref().is_some_and(|answer| answer.is_complete));
            }
            note(summary, answer, &prompt, kind.tokens, late);
        }));
        due += Duration::from_secs_f64(-random.f64().max(1e-12).ln() / plan.rate);
    }
    for call in calls {
        call.await;
    }
    let summaries = lock(&summaries);
    summaries.clone()
}

/// Reads the `Retry-After` of a refusal.
fn retry_after(answer: &Response) -> Option<Duration> {
    if answer.is_complete || answer.outcome() != "not_run" {
        return None;
    }
    answer.json()["retry_after_ms"].as_u64().map(Duration::from_millis)
}

fn note(
    summary: &mut Summary,
    answer: Option<Response>,
    prompt: &str,
    tokens: u64,
    late: Duration,
) {
    let Some(answer) = answer else {
        summary.failed += 1;
        return;
    };
    if !answer.is_complete {
        if answer.outcome() == "not_run" {
            summary.refused += 1
        } else {
            summary.failed += 1
        }
        return;
    }
    summary.done += 1;
    summary.tokens += answer.token_times.len() as u64;
    if answer.body != expected_output(prompt, tokens) {
        summary.wrong += 1;
    }
    let first = answer.token_times.first().copied().unwrap_or(answer.head_time) + late;
    let _ = summary.first.record(first.as_micros() as u64);
    for pair in answer.token_times.windows(2) {
        let _ = summary.gap.record((pair[1] - pair[0]).as_micros().max(1) as u64);
    }
}

fn draw(plan: &Plan, random: &mut Rng) -> (Kind, String) {
    let sum: u32 = plan.kinds.iter().map(|kind| kind.weight).sum();
    let mut left = random.u32(0..sum.max(1));
    let kind = plan.kinds.iter().find(|kind| {
        let is_it = left < kind.weight;
        left = left.saturating_sub(kind.weight);
        is_it
    });
    let kind = kind.unwrap_or(&plan.kinds[0]).clone();
    let mut prompt = String::new();
    if kind.topics > 0 {
        let topic = random.usize(..kind.topics);
        for word in 0..kind.topic_words {
            prompt.push_str(&format!("{}{topic}x{word} ", kind.name));
        }
    }
    let own = random.u64(..);
    for word in 0..kind.prompt_words {
        prompt.push_str(&format!("q{own:x}x{word} "));
    }
    (kind, prompt)
}
