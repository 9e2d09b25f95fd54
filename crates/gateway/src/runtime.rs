//! The executor, clocks, timers and timeouts.
//!
//! All durations are measured on one clock that includes the time for which the machine is suspended,
//! so that no lease or other assumption of a node outlives its term. The system's timers exclude that
//! time; sleeps are therefore checked against the clock when a suspension is detected.

use std::future::Future;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use async_executor::{Executor, Task};
use async_io::Timer;
use event_listener::Event;
use rustix::time::{ClockId, clock_gettime};

static EXECUTOR: Executor<'static> = Executor::new();

/// Spawns a detached task on the executor.
pub fn spawn<F>(future: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    EXECUTOR.spawn(future).detach();
}

/// Spawns a task and returns its handle, which can be awaited. The task is cancelled when the handle is
/// dropped.
pub fn spawn_with_handle<F, T>(future: F) -> Task<T>
where
    F: Future<Output = T> + Send + 'static,
    T: Send + 'static,
{
    EXECUTOR.spawn(future)
}

/// Runs a future to completion on this thread, and spawned tasks on `threads` other threads, or on this
/// thread if `threads` is 0.
///
/// If there are other threads, this thread runs no tasks, so that the future may block it. The executor
/// wakes only one sleeping thread for new tasks, and no second one until the first has looked for work.
/// If it woke this thread while the future blocks it, all tasks of the process would stall.
pub fn run<F: Future>(threads: usize, future: F) -> F::Output {
    if threads == 0 {
        return async_io::block_on(EXECUTOR.run(future));
    }
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let workers: Vec<_> = (0..threads)
        .map(|_| {
            let stopped = stopped.clone();
            thread::spawn(move || async_io::block_on(EXECUTOR.run(stopped.recv())))
        })
        .collect();
    let output = async_io::block_on(future);
    drop(stop);
    for worker in workers {
        let _ = worker.join();
    }
    output
}

/// Notifies all sleeping tasks after a suspension of the machine.
static RESUMED: Event = Event::new();

/// Sleeps for a duration that includes suspensions of the machine.
pub async fn sleep(time: Duration) {
    let until = boottime_now() + time;
    loop {
        let resumed = RESUMED.listen();
        let remaining = until.saturating_sub(boottime_now());
        let timer = async {
            Timer::after(remaining).await;
            true
        };
        let notified = async {
            resumed.await;
            false
        };
        if futures_lite::future::or(timer, notified).await {
            return;
        }
    }
}

/// Returns the time since the boot of the machine, including suspensions (`CLOCK_BOOTTIME`).
pub fn boottime_now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // Neither field is negative on this clock.
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

/// Detects suspensions of the machine.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionDetector {
    boot: Duration,
    monotonic: Duration,
}

impl SuspensionDetector {
    /// The minimum difference of the two clocks that counts as a suspension. The clocks are read one
    /// after the other, and the VM's CPU may be descheduled in between.
    const MIN_SUSPENSION: Duration = Duration::from_millis(50);

    /// Creates a detector from the current time on the clock that includes suspensions and on the
    /// monotonic clock, which excludes them.
    pub fn new(boot: Duration, monotonic: Duration) -> Self {
        Self { boot, monotonic }
    }

    /// Returns for how long the machine was suspended since the last check, if it was.
    pub fn check(&mut self, boot: Duration, monotonic: Duration) -> Option<Duration> {
        let elapsed = boot.saturating_sub(self.boot);
        let suspended = elapsed.saturating_sub(monotonic.saturating_sub(self.monotonic));
        *self = Self { boot, monotonic };
        (suspended >= Self::MIN_SUSPENSION).then_some(suspended)
    }
}

/// Returns the time of the system's timers, which excludes suspensions (`CLOCK_MONOTONIC`).
pub fn monotonic_now() -> Duration {
    let time = clock_gettime(ClockId::Monotonic);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

/// Wakes all sleeping tasks so that they recompute their remaining time.
pub fn wake_sleepers() {
    RESUMED.notify(usize::MAX);
}

/// Awaits a future with a timeout. Returns `None` if the timeout expires first.
pub async fn timeout<F: Future>(time: Duration, future: F) -> Option<F::Output> {
    let bounded = async {
        sleep(time).await;
        None
    };
    futures_lite::future::or(async { Some(future.await) }, bounded).await
}

/// Spawns a task that repeats a step forever, with a pause of `period` after each run.
pub fn spawn_periodic<F, Fut>(period: Duration, mut step: F)
where
    F: FnMut() -> Fut + Send + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    spawn(async move {
        loop {
            step().await;
            sleep(period).await;
        }
    });
}

/// A monotonic clock in milliseconds that includes the time for which the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Creates a clock. It starts well above zero, so that durations can be subtracted from its times.
    pub fn new() -> Self {
        Self { start: boottime_now() }
    }

    /// Returns the time that the clock showed at its start.
    pub fn get_start(&self) -> u64 {
        CLOCK_START_MS
    }

    /// Returns the current time.
    pub fn now(&self) -> u64 {
        CLOCK_START_MS + boottime_now().saturating_sub(self.start).as_millis() as u64
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

const CLOCK_START_MS: u64 = 1_000_000;

/// Returns the milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Locks a mutex, ignoring poisoning.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
