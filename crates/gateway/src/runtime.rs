//! The one executor, timers, and bounds on time.

use std::future::Future;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use async_executor::{Executor, Task};
use async_io::Timer;

static EXECUTOR: Executor<'static> = Executor::new();

/// Starts a task on the executor and lets it run on its own.
pub fn spawn<F>(future: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    EXECUTOR.spawn(future).detach();
}

/// Starts a task whose result can be awaited; it is cancelled when dropped.
pub fn task<F, T>(future: F) -> Task<T>
where
    F: Future<Output = T> + Send + 'static,
    T: Send + 'static,
{
    EXECUTOR.spawn(future)
}

/// Runs a future to its end on this thread, with `threads` more that run tasks.
pub fn run<F: Future>(threads: usize, future: F) -> F::Output {
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let workers: Vec<_> = (0..threads)
        .map(|_| {
            let stopped = stopped.clone();
            thread::spawn(move || async_io::block_on(EXECUTOR.run(stopped.recv())))
        })
        .collect();
    let output = async_io::block_on(EXECUTOR.run(future));
    drop(stop);
    for worker in workers {
        let _ = worker.join();
    }
    output
}

/// Waits for a time.
pub async fn sleep(time: Duration) {
    Timer::after(time).await;
}

/// Waits for a future for a time at most; `None` once the time is over.
pub async fn within<F: Future>(time: Duration, future: F) -> Option<F::Output> {
    let bounded = async {
        sleep(time).await;
        None
    };
    futures_lite::future::or(async { Some(future.await) }, bounded).await
}

/// Repeats a step for ever, with a pause of `period` after each.
pub fn every<F, Fut>(period: Duration, mut step: F)
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

/// A monotonic clock in milliseconds since it was made.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock. It starts well above zero, so that spans can be taken off it.
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns what the clock showed at its start.
    pub fn get_start(&self) -> u64 {
        CLOCK_START_MS
    }

    /// Returns the milliseconds since the start.
    pub fn now(&self) -> u64 {
        CLOCK_START_MS + self.start.elapsed().as_millis() as u64
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
