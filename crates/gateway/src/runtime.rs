//! The one executor, the clock, timers, and bounds on time.
//!
//! All spans are measured on one clock, which counts the time that the machine is suspended: what a node
//! believed before holds no longer than it may. The system's timers leave that time out, so that sleeps
//! are checked against the clock when a suspension is noticed.

use std::future::Future;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use async_executor::{Executor, Task};
use async_io::Timer;
use event_listener::Event;
use rustix::time::{ClockId, clock_gettime};

static EXECUTOR: Executor<'static> = Executor::new();

/// Starts a task on the executor and lets it run on its own.
pub fn spawn<F>(future: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    EXECUTOR.spawn(future).detach();
}

/// Starts a task whose result can be awaited; it is cancelled when dropped.
pub fn spawn_with_handle<F, T>(future: F) -> Task<T>
where
    F: Future<Output = T> + Send + 'static,
    T: Send + 'static,
{
    EXECUTOR.spawn(future)
}

/// Runs a future to its end on this thread, and tasks on `threads` others; on this one too where there are
/// none.
///
/// Beside other threads this one runs no tasks, so that the future may block it: the executor wakes one
/// sleeping thread for new tasks and no second one until that one has looked. Where the future blocked its
/// thread for 8 s, all tasks of the process stood still for as long, eleven times in 24.
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

/// Wakes all sleeps after a suspension of the machine.
static RESUMED: Event = Event::new();

/// Waits for a time, in which a suspension of the machine counts.
pub async fn sleep(time: Duration) {
    let until = boottime_now() + time;
    loop {
        let resumed = RESUMED.listen();
        let left = until.saturating_sub(boottime_now());
        let timer = async {
            Timer::after(left).await;
            true
        };
        let woken = async {
            resumed.await;
            false
        };
        if futures_lite::future::or(timer, woken).await {
            return;
        }
    }
}

/// Returns the time since the machine's start, in which a suspension counts.
pub fn boottime_now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // Neither part is negative on this clock.
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

/// Notices that the machine was suspended.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionDetector {
    boot: Duration,
    steady: Duration,
}

impl SuspensionDetector {
    /// The least difference of the two clocks that is taken for a suspension: both are read one after
    /// the other, on a VM whose processor may be away in between.
    const LEAST: Duration = Duration::from_millis(50);

    /// Begins at a time on the clock that counts suspensions, and on the one that does not.
    pub fn new(boot: Duration, steady: Duration) -> Self {
        Self { boot, steady }
    }

    /// Returns how long the machine was suspended since the last look, if it was.
    pub fn check(&mut self, boot: Duration, steady: Duration) -> Option<Duration> {
        let counted = boot.saturating_sub(self.boot);
        let suspended = counted.saturating_sub(steady.saturating_sub(self.steady));
        *self = Self { boot, steady };
        (suspended >= Self::LEAST).then_some(suspended)
    }
}

/// Returns the time of the system's timers, which leave suspensions out.
pub fn monotonic_now() -> Duration {
    let time = clock_gettime(ClockId::Monotonic);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

/// Lets all sleeps check how much of their time is left.
pub fn wake_sleepers() {
    RESUMED.notify(usize::MAX);
}

/// Waits for a future for a time at most; `None` once the time is over.
pub async fn timeout<F: Future>(time: Duration, future: F) -> Option<F::Output> {
    let bounded = async {
        sleep(time).await;
        None
    };
    futures_lite::future::or(async { Some(future.await) }, bounded).await
}

/// Repeats a step for ever, with a pause of `period` after each.
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

/// A monotonic clock in milliseconds since it was made. It counts the time that the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts a clock. It starts well above zero, so that spans can be taken off it.
    pub fn new() -> Self {
        Self { start: boottime_now() }
    }

    /// Returns what the clock showed at its start.
    pub fn get_start(&self) -> u64 {
        CLOCK_START_MS
    }

    /// Returns the milliseconds since the start.
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

/// Locks a mutex; one that was poisoned by a broken invariant is taken all the same.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
