//! Finds the software version that began a stream which a request resumes.

use std::collections::BTreeSet;
use std::sync::Arc;

use keeljunction_core::Millis;
use keeljunction_core::serving::configuration::Route;
use keeljunction_core::serving::refusal::Refusal;
use keeljunction_core::serving::stream_origin::{Decision, Key, Origin};

use super::pin::{Pin, has_server, is_withdrawn};
use crate::event::{self, Event};
use crate::metrics::ReasonLabels;
use crate::node::stream_origins::{self, Finding};
use crate::node::{Node, server_list};
use crate::port::RequestHead;

/// A request that may resume a stream.
pub(super) struct ResumeRequest<'a> {
    /// The decoded head.
    pub head: &'a RequestHead,
    /// The route.
    pub route: &'a Route,
    /// The client account, or an empty string.
    pub account: &'a str,
    /// Time until which the caller may resume the stream.
    pub caller_deadline: Millis,
}

/// Finds the pin of a request that resumes a stream. Returns `None` if the request resumes none.
///
/// # Errors
///
/// Returns the reason for refusing the request if no server may continue the stream.
pub(super) async fn find(
    node: &Arc<Node>,
    request: &ResumeRequest<'_>,
) -> Result<Option<Pin>, Refusal> {
    let ResumeRequest { head, route, account, caller_deadline } = request;
    let is_resumed = head.resumes.is_some() || head.last_event_id.is_some();
    if !is_resumed || !route.kind.is_resumable() {
        return Ok(None);
    }
    let services: Vec<&str> = route.backends.iter().map(|known| known.service.as_str()).collect();
    let key = head.resumes.as_deref().map(|id| Key::new(account, id));
    // Few requests resume a stream, and the futures of all others would be as large as this one.
    let finding = Box::pin(stream_origins::find(node, key, &services)).await;
    let result = Box::pin(check(node, &services, &finding.decision)).await;
    record_finding(node, head, &finding, result.as_ref().err().copied());
    let origin = result?;
    // A caller that has received no event of the earlier request names this one the next time.
    let own = head.id.as_deref().map(|id| Key::new(account, id));
    let mut running = Vec::new();
    for key in BTreeSet::from_iter(key.into_iter().chain(own)) {
        running.push(stream_origins::begin(node, key, &origin, *caller_deadline).await);
    }
    Ok(Some(Pin::Pinned { origin, _running: running }))
}

/// Returns the origin whose servers continue a stream. The server list is brought up to date before the
/// request is refused for lack of a server.
async fn check(
    node: &Arc<Node>,
    services: &[&str],
    decision: &Decision,
) -> Result<Origin, Refusal> {
    let origin = decision.get_origin().ok_or(Refusal::UnknownStream)?;
    if !services.contains(&origin.service.as_str()) {
        return Err(Refusal::UnknownStream);
    }
    if !has_server(node, origin) && !is_withdrawn(node, origin) {
        server_list::refresh(node).await;
    }
    match has_server(node, origin) {
        true => Ok(origin.clone()),
        false => Err(Refusal::VersionGone),
    }
}

/// Logs and counts how the origin of a stream was found, or why the request is refused.
fn record_finding(node: &Node, head: &RequestHead, finding: &Finding, refusal: Option<Refusal>) {
    let origin = finding.decision.get_origin();
    let how = match refusal.filter(|_| origin.is_some()) {
        Some(Refusal::UnknownStream) => "other_route",
        Some(refusal) => refusal.as_str(),
        None => finding.decision.as_str(),
    };
    node.metrics.stream_resumes.get_or_create(&ReasonLabels { reason: how.to_owned() }).inc();
    event::emit(&Event::StreamResumed {
        request: head.id.as_deref().unwrap_or(""),
        resumes: head.resumes.as_deref(),
        how,
        service: origin.map(|origin| origin.service.as_str()),
        version: origin.map(|origin| origin.version.as_str()),
        asked_ms: finding.search.map(|search| search.took),
        nodes_asked: finding.search.map(|search| search.asked),
        nodes_answered: finding.search.map(|search| search.answered),
    });
}
