//! Applies the load signals in server responses.

use hyper::StatusCode;
use keeljunction_core::Millis;
use keeljunction_core::serving::directory::{Departure, Server};

use crate::event::{self, Event};
use crate::node::{Node, Notification, slots, watch};
use crate::port::{ResponseHead, UnreadableHeader};

/// A response that carries a signal.
pub(super) struct ResponseInfo {
    /// When the request was sent.
    pub sent_at: Millis,
    /// The status of the response.
    pub status: StatusCode,
    /// Whether the server ran the request and the response head is valid.
    pub has_run: bool,
}

/// Applies the signal in a server's response.
///
/// Only the response to a request that ran can clear a rate limit, because the component that
/// rejects requests may know less than the one that runs them. Signals of an earlier incarnation of
/// the server are ignored.
pub(super) fn apply(
    node: &Node,
    server: &Server,
    response_info: &ResponseInfo,
    head: &ResponseHead,
) {
    let ResponseHead { signal, unreadable, .. } = head;
    let ResponseInfo { sent_at, status, has_run } = *response_info;
    log_unreadable_headers(node, server, unreadable);
    let is_superseded = node.with(|state| state.directory.is_superseded(server));
    if is_superseded || (signal.is_empty() && !has_run) {
        return;
    }
    if status == StatusCode::SERVICE_UNAVAILABLE && head.is_not_executed {
        slots::record_rejection(node, server);
    }
    node.metrics.count_signal(signal);
    let now = node.now();
    let update = node.with(|state| {
        let update = state.backpressure.record(now, sent_at, server, signal);
        if let Some(until) = update.back_off_until {
            state.health.record_back_off(&server.id, until);
        }
        update
    });
    let departure = Departure { server: server.id.clone(), incarnation: server.incarnation };
    let is_new_departure = signal.is_leaving && watch::apply_departure(node, &departure);
    let is_news = update.limit.is_some()
        || update.back_off_until.is_some()
        || update.brittleness.is_some()
        || is_new_departure;
    if is_news {
        event::emit(&Event::ServerSignal {
            server: &server.id,
            service: &server.service,
            status: status.as_u16(),
            rate_limit: signal.rate_limit,
            back_off_ms: signal.back_off,
            is_leaving: signal.is_leaving,
            max_rejections: signal.max_rejections,
        });
    }
    if let Some(observation) = update.limit {
        node.notify_peers(Notification::LimitObserved(observation));
    }
    if let Some(observation) = update.brittleness {
        slots::notify(node, observation);
    }
    if is_new_departure {
        node.notify_peers(Notification::ServerLeaving(departure));
    }
}

/// Logs headers that cannot be parsed, once per server.
fn log_unreadable_headers(node: &Node, server: &Server, unreadable: &[UnreadableHeader]) {
    if unreadable.is_empty() || !node.with(|state| state.backpressure.record_unreadable(server)) {
        return;
    }
    for UnreadableHeader { name, value } in unreadable {
        event::emit(&Event::HeaderUnreadable { server: &server.id, header: name, value });
    }
}
