//! Reads prompts one after another, the most urgent first.

use std::sync::Mutex;
use std::time::Duration;

use async_channel::Sender;
use keeljunction::runtime::{self, lock};

/// The one place where prompts are read.
#[derive(Debug, Default)]
pub struct Prefill {
    queue: Mutex<Queue>,
}

#[derive(Debug, Default)]
struct Queue {
    is_busy: bool,
    arrivals: u64,
    queued_tokens: u64,
    waiting: Vec<(u32, u64, Sender<()>)>,
}

impl Prefill {
    /// Reads so many tokens when the turn comes.
    pub async fn read(&self, tokens: u64, per_second: u64, priority: u32) {
        lock(&self.queue).queued_tokens += tokens;
        if let Some(turn) = self.join(priority) {
            let _ = turn.recv().await;
        }
        let micros = tokens * 1_000_000 / per_second.max(1);
        runtime::sleep(Duration::from_micros(micros)).await;
        self.leave(tokens);
    }

    /// Returns how many tokens wait or are being read.
    pub fn queued_tokens(&self) -> u64 {
        lock(&self.queue).queued_tokens
    }

    fn join(&self, priority: u32) -> Option<async_channel::Receiver<()>> {
        let mut queue = lock(&self.queue);
        if !queue.is_busy {
            queue.is_busy = true;
            return None;
        }
        let (sender, receiver) = async_channel::bounded(1);
        queue.arrivals += 1;
        let arrival = queue.arrivals;
        queue.waiting.push((priority, arrival, sender));
        Some(receiver)
    }

    fn leave(&self, tokens: u64) {
        let mut queue = lock(&self.queue);
        queue.queued_tokens -= tokens;
        let next = (0..queue.waiting.len())
            .min_by_key(|place| (queue.waiting[*place].0, queue.waiting[*place].1));
        match next {
            Some(place) => drop(queue.waiting.remove(place).2.try_send(())),
            None => queue.is_busy = false,
        }
    }
}
