//! Non-blocking logging of JSON lines to standard output.
//!
//! Lines pass through a bounded queue to a writer thread, so a blocked standard output does not
//! delay requests. Routine events are sampled above a number of lines per second. A summary line
//! counts the lines that were sampled out, and those dropped because the queue was full. Failures
//! are never sampled.

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

/// Maximum number of lines queued for the writer thread.
const QUEUE_CAPACITY: usize = 4_096;
/// How long lines are collected before they are written in one batch.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
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
    sampled_out: u64,
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

/// Starts logging to standard output, with a minimum level and a limit of routine lines per second.
///
/// Further calls have no effect.
pub fn init(level: &str, lines_per_second: u32) {
    let (queue, lines) = async_channel::bounded(QUEUE_CAPACITY);
    let filter = LevelFilter::from_str(level).unwrap_or(LevelFilter::Info);
    let window = SampleWindow { began: Instant::now(), lines: 0, sampled_out: 0 };
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

/// Changes the minimum level.
pub fn set_level(level: &str) {
    let Ok(filter) = LevelFilter::from_str(level) else { return };
    log::set_max_level(filter);
    if let Some(log) = LOG.get() {
        *lock(&log.level) = filter;
    }
}

/// Logs an event, or counts it if it is sampled out.
pub fn write_event(event: &Event<'_>) {
    let Some(log) = LOG.get() else { return };
    if *lock(&log.level) < LevelFilter::Info {
        return;
    }
    if event.is_routine() && !log.try_admit() {
        log.sampled_out.fetch_add(1, Ordering::Relaxed);
        return;
    }
    log.push(&Line { time_ms: unix_ms(), level: "INFO", content: event });
}

/// Returns the number of lines sampled out and the number dropped because the queue was full.
pub fn get_suppressed_counts() -> (u64, u64) {
    let Some(log) = LOG.get() else { return (0, 0) };
    (log.sampled_out.load(Ordering::Relaxed), log.dropped.load(Ordering::Relaxed))
}

/// Waits briefly until the queued lines are written.
pub fn flush() {
    let Some(log) = LOG.get() else { return };
    let until = Instant::now() + FLUSH_TIMEOUT;
    while !log.queue.is_empty() && Instant::now() < until {
        thread::sleep(Duration::from_millis(5));
    }
}

impl Log {
    /// Returns `true` if one more routine line may be logged in this second. When a new second begins,
    /// logs a summary of the lines sampled out in the previous one.
    fn try_admit(&self) -> bool {
        let mut window = lock(&self.window);
        if window.began.elapsed() >= Duration::from_secs(1) {
            let sampled_out = window.sampled_out;
            *window = SampleWindow { began: Instant::now(), lines: 0, sampled_out: 0 };
            if sampled_out > 0 {
                let dropped_lines = self.dropped.load(Ordering::Relaxed);
                let content =
                    Summary { event: "log_summary", sampled_out_lines: sampled_out, dropped_lines };
                self.push(&Line { time_ms: unix_ms(), level: "WARN", content });
            }
        }
        if window.lines >= self.lines_per_second {
            window.sampled_out += 1;
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

/// Writes queued lines in batches until the queue is closed.
fn write_lines(lines: &Receiver<String>) {
    while let Ok(mut text) = lines.recv_blocking() {
        while let Ok(line) = lines.try_recv() {
            text.push_str(&line);
        }
        let mut output = std::io::stdout().lock();
        let _ = output.write_all(text.as_bytes());
        let _ = output.flush();
        drop(output);
        thread::sleep(BATCH_INTERVAL);
    }
}

/// Queues the lines logged by the macros of the `log` crate.
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
