//! Requests that cannot be granted at the moment.

use std::collections::HashSet;

use super::request::GrantRequest;
use crate::route;

/// The requests that cannot be granted at the moment. If a request that avoids no servers cannot be
/// granted, no other request of its kind can, so a long queue is not tried request by request.
#[derive(Debug, Default)]
pub(super) struct Blocked {
    kinds: HashSet<(bool, bool)>,
    ids: HashSet<String>,
}

impl Blocked {
    pub(super) fn add(&mut self, request: &GrantRequest) {
        if request.avoid.is_empty() {
            self.kinds.insert(kind_of(request));
        } else {
            self.ids.insert(request.id.clone());
        }
    }

    pub(super) fn contains(&self, request: &GrantRequest) -> bool {
        self.kinds.contains(&kind_of(request)) || self.ids.contains(&request.id)
    }
}

/// Returns whether a request may use the room reserved for the most urgent class, and whether its
/// prompt is long.
fn kind_of(request: &GrantRequest) -> (bool, bool) {
    (request.priority == 0, request.prompt_tokens > route::LONG_PROMPT_TOKENS)
}
