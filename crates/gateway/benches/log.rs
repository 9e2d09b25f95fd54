//! What a log line costs the thread that logs it: written, sampled out, and lost to a full queue
//! while the standard output stands still.
//!
//! Results go to standard error, because the lines themselves go to standard output:
//! `cargo bench -p keeljunction-gateway --bench log > /dev/null`.

use std::hint::black_box;
use std::thread;
use std::time::{Duration, Instant};

use keeljunction_gateway::event::{Event, emit};
use keeljunction_gateway::log;

/// Lines measured at once: fewer than the queue holds.
const BATCH: u32 = 2_000;
const BATCHES: usize = 9;
/// Longer than the writer gathers lines.
const DRAIN: Duration = Duration::from_millis(250);
/// Sampled lines a second that are admitted.
const ADMITTED: u32 = 50;

fn main() {
    log::init("info", ADMITTED);
    report("a failure's line, written", measure(&ended("busy"), DRAIN));
    report("a usual line, sampled out", measure(&ended("answered"), Duration::ZERO));
    // While this is held the writer waits, as for a reader that stands still.
    let output = std::io::stdout().lock();
    measure(&ended("busy"), Duration::ZERO);
    report("a failure's line, lost to a full queue", measure(&ended("busy"), Duration::ZERO));
    drop(output);
}

fn ended(outcome: &'static str) -> Event<'static> {
    Event::RequestEnded {
        fingerprint: None,
        request: "9c41d07be2a35f68",
        route: Some("r-kyzd2ha"),
        account: Some("acme"),
        status: 200,
        outcome,
        attempts: 1,
        first_token_ms: Some(25),
        longest_gap_ms: Some(180),
        answer_ms: Some(90),
        total_ms: 1_500,
        retry_after_ms: None,
        version: Some(7),
        age_ms: Some(400),
    }
}

/// Measures some batches; returns the nanoseconds a line of each, the smallest first.
fn measure(event: &Event<'_>, pause: Duration) -> Vec<u128> {
    let batch = |_| {
        let started = Instant::now();
        (0..BATCH).for_each(|_| emit(black_box(event)));
        let took = started.elapsed().as_nanos() / u128::from(BATCH);
        thread::sleep(pause);
        took
    };
    let mut took: Vec<u128> = (0..BATCHES).map(batch).collect();
    took.sort_unstable();
    took
}

fn report(what: &str, took: Vec<u128>) {
    let (least, middle, most) = (took[0], took[took.len() / 2], took[took.len() - 1]);
    eprintln!("{what}: {middle} ns ({least} to {most})");
}
