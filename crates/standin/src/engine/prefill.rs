//! Prefills one prompt at a time, in order of priority.

use std::sync::Mutex;
use std::time::Duration;

use async_channel::Sender;
use keeljunction::runtime::{self, lock};

/// A priority queue for the prefill stage, which processes one prompt at a time.
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
    /// Waits for its turn and prefills `tokens` tokens.
    pub async fn run(&self, tokens: u64, tokens_per_second: u64, priority: u32) {
        lock(&self.queue).queued_tokens += tokens;
        if let Some(turn) = self.enqueue(priority) {
            let _ = turn.recv().await;
        }
        let micros = tokens * 1_000_000 / tokens_per_second.max(1);
        runtime::sleep(Duration::from_micros(micros)).await;
        self.release(tokens);
    }

    /// Returns the number of tokens that are waiting or being prefilled.
    pub fn get_queued_tokens(&self) -> u64 {
        lock(&self.queue).queued_tokens
    }

    fn enqueue(&self, priority: u32) -> Option<async_channel::Receiver<()>> {
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

    fn release(&self, tokens: u64) {
        let mut queue = lock(&self.queue);
        queue.queued_tokens -= tokens;
        let next = (0..queue.waiting.len())
            .min_by_key(|index| (queue.waiting[*index].0, queue.waiting[*index].1));
        match next {
            Some(index) => drop(queue.waiting.remove(index).2.try_send(())),
            None => queue.is_busy = false,
        }
    }
}
