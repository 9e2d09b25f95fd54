//! Logs as JSON lines on standard output, bounded and never in the way.
//!
//! Lines go through a bounded queue to a thread of their own, so that a standard output that
//! stands still delays no request. Events that come with every request are sampled beyond a
//! number of lines a second; a summary line counts those left out, and how many lines a
//! full queue cost. Failures are never sampled.

use std::io::Write;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use serde::Serialize;

use crate::event::Event;
use crate::runtime::{lock, unix_ms};

/// Lines that wait to be written.
const QUEUE_LINES: usize = 4_096;
/// The time in which lines gather before they are written together.
const GATHER: Duration = Duration::from_millis(100);
const FLUSH_WITHIN: Duration = Duration::from_millis(300);
const APPENDER: &str = "stdout";

static LOG: OnceLock<Log> = OnceLock::new();

struct Log {
    queue: Sender<String>,
    lines_per_second: u32,
    window: Mutex<SampleWindow>,
    dropped: AtomicU64,
    sampled_out: AtomicU64,
    level: Mutex<LevelFilter>,
}

#[derive(Debug)]
struct SampleWindow {
    began: Instant,
    lines: u32,
    left_out: u64,
}

#[derive(Serialize)]
struct Line<'a, T: Serialize> {
    time_ms: u64,
    level: &'a str,
    #[serde(flatten)]
    content: T,
}

#[derive(Serialize)]
struct Text<'a> {
    target: &'a str,
    message: String,
}

#[derive(Serialize)]
struct Summary {
    event: &'static str,
    sampled_out_lines: u64,
    dropped_lines: u64,
}

/// Sends logs of at least a level to standard output, with this many sampled lines a second.
///
/// A second call changes nothing.
pub fn init(level: &str, lines_per_second: u32) {
    let (queue, lines) = async_channel::bounded(QUEUE_LINES);
    let filter = LevelFilter::from_str(level).unwrap_or(LevelFilter::Info);
    let window = SampleWindow { began: Instant::now(), lines: 0, left_out: 0 };
    let log = Log {
        queue,
        lines_per_second,
        window: Mutex::new(window),
        dropped: AtomicU64::new(0),
        sampled_out: AtomicU64::new(0),
        level: Mutex::new(filter),
    };
    if LOG.set(log).is_err() {
        return;
    }
    thread::spawn(move || write_lines(&lines));
    let appender = Appender::builder().build(APPENDER, Box::new(QueueAppender));
    let root = Root::builder().appender(APPENDER).build(filter);
    if let Ok(config) = Config::builder().appender(appender).build(root) {
        let _ = log4rs::init_config(config);
    }
}

/// Changes the least level that is logged.
pub fn set_level(level: &str) {
    let Ok(filter) = LevelFilter::from_str(level) else { return };
    log::set_max_level(filter);
    if let Some(log) = LOG.get() {
        *lock(&log.level) = filter;
    }
}

/// Logs an event, or counts it where it is sampled out.
pub fn write_event(event: &Event<'_>) {
    let Some(log) = LOG.get() else { return };
    if *lock(&log.level) < LevelFilter::Info {
        return;
    }
    if event.is_routine() && !log.admit() {
        log.sampled_out.fetch_add(1, Ordering::Relaxed);
        return;
    }
    log.push(&Line { time_ms: unix_ms(), level: "INFO", content: event });
}

/// Returns how many lines were sampled out and how many a full queue cost.
pub fn get_suppressed_counts() -> (u64, u64) {
    let Some(log) = LOG.get() else { return (0, 0) };
    (log.sampled_out.load(Ordering::Relaxed), log.dropped.load(Ordering::Relaxed))
}

/// Waits for the lines in the queue to be written, for a short time at most.
pub fn flush() {
    let Some(log) = LOG.get() else { return };
    let until = Instant::now() + FLUSH_WITHIN;
    while !log.queue.is_empty() && Instant::now() < until {
        thread::sleep(Duration::from_millis(5));
    }
}

impl Log {
    /// Returns `true` if one more sampled line fits this second; logs how many the last one left out.
    fn admit(&self) -> bool {
        let mut window = lock(&self.window);
        if window.began.elapsed() >= Duration::from_secs(1) {
            let left_out = window.left_out;
            *window = SampleWindow { began: Instant::now(), lines: 0, left_out: 0 };
            if left_out > 0 {
                let dropped_lines = self.dropped.load(Ordering::Relaxed);
                let content =
                    Summary { event: "log_summary", sampled_out_lines: left_out, dropped_lines };
                self.push(&Line { time_ms: unix_ms(), level: "WARN", content });
            }
        }
        if window.lines >= self.lines_per_second {
            window.left_out += 1;
            return false;
        }
        window.lines += 1;
        true
    }

    fn push<T: Serialize>(&self, line: &Line<'_, T>) {
        let Ok(mut text) = serde_json::to_string(line) else { return };
        text.push('\n');
        if self.queue.try_send(text).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes lines as they come, many at a time, for ever.
fn write_lines(lines: &Receiver<String>) {
    while let Ok(mut text) = lines.recv_blocking() {
        while let Ok(line) = lines.try_recv() {
            text.push_str(&line);
        }
        let mut output = std::io::stdout().lock();
        let _ = output.write_all(text.as_bytes());
        let _ = output.flush();
        drop(output);
        thread::sleep(GATHER);
    }
}

/// Takes lines of the `log` macros into the queue.
#[derive(Debug)]
struct QueueAppender;

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        if let Some(log) = LOG.get() {
            let content = Text { target: record.target(), message: record.args().to_string() };
            log.push(&Line { time_ms: unix_ms(), level: record.level().as_str(), content });
        }
        Ok(())
    }

    fn flush(&self) {
        flush();
    }
}
