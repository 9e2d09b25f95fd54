//! Measures the cost of a log line for the logging thread: written, sampled out, and dropped because
//! the queue is full while standard output is blocked.
//!
//! Results go to standard error, because the log lines go to standard output:
//! `cargo bench -p keeljunction-gateway --bench log > /dev/null`.

use std::hint::black_box;
use std::thread;
use std::time::{Duration, Instant};

use keeljunction_gateway::event::{Event, emit};
use keeljunction_gateway::log;

/// Lines per batch: fewer than the capacity of the queue.
const BATCH_LINES: u32 = 2_000;
const BATCHES: usize = 9;
/// Pause in which the queue drains: longer than the interval between the writer's batches.
const DRAIN: Duration = Duration::from_millis(250);
/// Limit of routine lines per second.
const LINES_PER_SECOND: u32 = 50;

fn main() {
    log::init("info", LINES_PER_SECOND);
    report("a failure's line, written", measure(&ended("busy"), DRAIN));
    report("a usual line, sampled out", measure(&ended("answered"), Duration::ZERO));
    // While this lock is held the writer is blocked, as by a reader that stalls.
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
        framing: Some("length"),
        answer_ms: Some(90),
        total_ms: 1_500,
        retry_after_ms: None,
        version: Some(7),
        age_ms: Some(400),
        stopping_ms: None,
    }
}

/// Measures several batches and returns the nanoseconds per line of each, in ascending order.
fn measure(event: &Event<'_>, pause: Duration) -> Vec<u128> {
    let batch = |_| {
        let started = Instant::now();
        (0..BATCH_LINES).for_each(|_| emit(black_box(event)));
        let nanoseconds = started.elapsed().as_nanos() / u128::from(BATCH_LINES);
        thread::sleep(pause);
        nanoseconds
    };
    let mut nanoseconds: Vec<u128> = (0..BATCHES).map(batch).collect();
    nanoseconds.sort_unstable();
    nanoseconds
}

fn report(what: &str, nanoseconds: Vec<u128>) {
    let (min, median, max) =
        (nanoseconds[0], nanoseconds[nanoseconds.len() / 2], nanoseconds[nanoseconds.len() - 1]);
    eprintln!("{what}: {median} ns ({min} to {max})");
}
