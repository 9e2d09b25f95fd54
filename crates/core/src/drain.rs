//! Draining of the streams on a VM that is being reclaimed.

use crate::Millis;

/// Part of the notice period that is kept as a safety margin, in milliseconds.
const SAFETY_MARGIN_MS: Millis = 250;

/// A stream on the VM that is being reclaimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stream {
    /// The attempt's name.
    pub attempt: String,
    /// The priority of the request class; 0 is the most urgent.
    pub priority: u32,
    /// Tokens of prompt and response in the engine's KV cache.
    pub context_tokens: u64,
    /// Tokens that may still be generated.
    pub tokens_left: u64,
    /// Time per generated token, in milliseconds.
    pub gap_ms: Millis,
}

/// Limits set by the reclaim notice and the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time left until the VM is gone, in milliseconds.
    pub notice: Millis,
    /// KV cache export rate of the VM, in tokens per second; 0 if it cannot export.
    pub export_tokens_per_second: u64,
}

/// What to do with a stream on the VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Let it finish on the VM.
    Finish,
    /// Transfer its KV cache to another server and continue there.
    Move,
    /// Continue on another server, which recomputes the prompt and the tokens so far.
    Resume,
}

/// Plans an action for each stream: finish in place if time permits, else move, else resume.
///
/// Moves use the VM's bandwidth one after another: the most urgent class first, then the streams
/// with the most cached tokens. The plan is sorted in the order of execution.
pub fn plan(limits: &Limits, streams: &[Stream]) -> Vec<(String, Action)> {
    let notice = limits.notice.saturating_sub(SAFETY_MARGIN_MS);
    let (finishing, mut evicted): (Vec<&Stream>, Vec<&Stream>) =
        streams.iter().partition(|stream| stream.tokens_left * stream.gap_ms <= notice);
    evicted.sort_by_key(|stream| (stream.priority, u64::MAX - stream.context_tokens));
    let mut used = 0;
    let mut actions = Vec::with_capacity(streams.len());
    for stream in evicted {
        let action = match transfer_time(limits, stream) {
            Some(time) if used + time <= notice => {
                used += time;
                Action::Move
            }
            _ => Action::Resume,
        };
        actions.push((stream.attempt.clone(), action));
    }
    actions.extend(finishing.into_iter().map(|s| (s.attempt.clone(), Action::Finish)));
    actions
}

fn transfer_time(limits: &Limits, stream: &Stream) -> Option<Millis> {
    let tokens = stream.context_tokens * 1000;
    tokens.checked_div(limits.export_tokens_per_second)
}
