//! Requests for which there is no room just now.

use std::collections::HashSet;

use super::ask::GrantRequest;
use crate::route;

/// Requests for which there is no room just now. Where one without wishes found none, no other of
/// its kind does, so that a long queue is not tried request by request.
#[derive(Debug, Default)]
pub(super) struct Hopeless {
    kinds: HashSet<(bool, bool)>,
    ids: HashSet<String>,
}

impl Hopeless {
    pub(super) fn add(&mut self, ask: &GrantRequest) {
        if ask.avoid.is_empty() {
            self.kinds.insert(kind_of(ask));
        } else {
            self.ids.insert(ask.id.clone());
        }
    }

    pub(super) fn contains(&self, ask: &GrantRequest) -> bool {
        self.kinds.contains(&kind_of(ask)) || self.ids.contains(&ask.id)
    }
}

/// Returns `true` if a request may use the room kept for the most urgent, and whether its prompt is long.
fn kind_of(ask: &GrantRequest) -> (bool, bool) {
    (ask.priority == 0, ask.prompt_tokens > route::LONG_PROMPT_TOKENS)
}
