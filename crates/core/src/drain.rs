//! What becomes of the streams on a VM that is going away.

use crate::Millis;

/// Time kept for things to go wrong, in milliseconds.
const MARGIN_MS: Millis = 250;

/// A stream on the VM that is going away.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stream {
    /// The attempt's name.
    pub attempt: String,
    /// The class's priority; 0 is the most urgent.
    pub priority: u32,
    /// Tokens of prompt and answer whose state the engine holds.
    pub context_tokens: u64,
    /// Tokens that may still come.
    pub tokens_left: u64,
    /// Time between two tokens, in milliseconds.
    pub gap_ms: Millis,
}

/// What the notice and the engines allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Milliseconds left until the VM is gone.
    pub notice: Millis,
    /// Tokens of KV cache that the VM can send away in a second; 0 where it cannot.
    pub export_tokens_per_second: u64,
}

/// What to do with a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Let it finish where it is.
    Finish,
    /// Carry its KV cache to another server and go on there.
    Move,
    /// Go on elsewhere from the prompt and the tokens so far, which are computed again.
    Resume,
}

/// Plans each stream: finish in place where there is time, else move, else resume.
///
/// Moves share the VM's bandwidth one after another: the most urgent class first, then those
/// with the most tokens to save. The plan comes in the order in which to act.
pub fn plan(limits: &Limits, streams: &[Stream]) -> Vec<(String, Action)> {
    let notice = limits.notice.saturating_sub(MARGIN_MS);
    let (finishing, mut going): (Vec<&Stream>, Vec<&Stream>) =
        streams.iter().partition(|stream| stream.tokens_left * stream.gap_ms <= notice);
    going.sort_by_key(|stream| (stream.priority, u64::MAX - stream.context_tokens));
    let mut spent = 0;
    let mut actions = Vec::with_capacity(streams.len());
    for stream in going {
        let action = match transfer_time(limits, stream) {
            Some(time) if spent + time <= notice => {
                spent += time;
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
