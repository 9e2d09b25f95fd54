//! When the future that waits for an event beside busy tasks sees it.

use std::cell::Cell;
use std::thread;
use std::time::{Duration, Instant};

use keeljunction_gateway::node::stop::beat_until;
use keeljunction_gateway::runtime;

const TASKS: usize = 20;
const TURN: Duration = Duration::from_millis(5);
const ROUNDS: u64 = 6;

/// Guards against beats that go on while the future that waits for signals is not polled.
#[test]
fn no_beat_comes_between_an_event_and_the_future_that_awaits_it() {
    let late: Vec<Duration> = runtime::run(0, async {
        for _ in 0..TASKS {
            runtime::spawn(async {
                loop {
                    let until = Instant::now() + TURN;
                    while Instant::now() < until {}
                    futures_lite::future::yield_now().await;
                }
            });
        }
        let last_beat = Cell::new(Instant::now());
        let mut late = Vec::new();
        for round in 0..ROUNDS {
            let (sender, receiver) = async_channel::bounded(1);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(300 + 37 * round));
                sender.try_send(Instant::now()).expect("the future waits");
            });
            let event = beat_until(receiver.recv(), || last_beat.set(Instant::now()));
            let sent_at = event.await.expect("an event");
            late.push(last_beat.get().saturating_duration_since(sent_at));
        }
        late
    });
    assert!(late.iter().all(Duration::is_zero), "{late:?}");
}
