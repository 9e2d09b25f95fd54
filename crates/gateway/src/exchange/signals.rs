//! Takes over what servers say in their answers about the requests that follow.

use hyper::StatusCode;
use keeljunction_core::Millis;
use keeljunction_core::serving::directory::{Departure, Server};

use crate::event::{self, Event};
use crate::node::{Node, Notification, watch};
use crate::port::{ResponseHead, UnreadableHeader};

/// How a server answered.
pub(super) struct Answered {
    /// When the request was sent.
    pub sent_at: Millis,
    /// The status of the answer.
    pub status: StatusCode,
    /// Whether the server ran the request, and the head of its answer is sound.
    pub is_run: bool,
}

/// Takes over what an answer of a server says.
///
/// Only an answer to a request that ran ends a limit: what rejects a request may know less than what
/// runs it. What an earlier start of the server said holds no more.
pub(super) fn note(node: &Node, server: &Server, answered: &Answered, head: &ResponseHead) {
    let ResponseHead { signal, unreadable, .. } = head;
    let Answered { sent_at, status, is_run } = *answered;
    note_unreadable(node, server, unreadable);
    let is_superseded = node.with(|state| state.directory.is_superseded(server));
    if is_superseded || (signal.is_empty() && !is_run) {
        return;
    }
    node.metrics.count_signal(signal);
    let now = node.now();
    let noted = node.with(|state| {
        let noted = state.backpressure.record(now, sent_at, server, signal);
        if let Some(until) = noted.back_off_until {
            state.health.record_back_off(&server.id, until);
        }
        noted
    });
    let departure = Departure { server: server.id.clone(), incarnation: server.incarnation };
    let departs = signal.is_leaving && watch::apply_departure(node, &departure);
    if noted.limit.is_some() || noted.back_off_until.is_some() || departs {
        event::emit(&Event::ServerSignal {
            server: &server.id,
            service: &server.service,
            status: status.as_u16(),
            rate_limit: signal.rate_limit,
            back_off_ms: signal.back_off,
            is_leaving: signal.is_leaving,
        });
    }
    if let Some(sighting) = noted.limit {
        node.notify_peers(Notification::LimitSeen(sighting));
    }
    if departs {
        node.notify_peers(Notification::ServerLeaving(departure));
    }
}

/// Logs headers that cannot be read, once for each server.
fn note_unreadable(node: &Node, server: &Server, unreadable: &[UnreadableHeader]) {
    if unreadable.is_empty() || !node.with(|state| state.backpressure.record_unreadable(server)) {
        return;
    }
    for UnreadableHeader { name, value } in unreadable {
        event::emit(&Event::HeaderUnreadable { server: &server.id, header: name, value });
    }
}
