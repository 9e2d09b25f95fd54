//! Validates a request and determines its route, client account and deadline.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::http::request::Parts;
use hyper::{Method, Uri, header};
use keeljunction_core::Millis;
use keeljunction_core::serving::choice::Criteria;
use keeljunction_core::serving::configuration::{Account, Configuration, Route};
use keeljunction_core::serving::demand::DemandTotals;
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::load::{PRIORITIES, RequestCost};
use keeljunction_core::serving::quarantine::{Content, Fingerprint};
use keeljunction_core::serving::refusal::Refusal;

use super::origin::{self, ResumeRequest};
use super::pin::Pin;
use super::quota_charge::{QuotaCharge, consume_quota};
use super::respond::{RefusalResponse, RequestRecord};
use super::stopping;
use super::upload::{BodyLimits, IncomingBody, Upload};
use crate::http::remove_hop_by_hop;
use crate::node::Node;
use crate::node::interrupted_attempts::InterruptedAttempt;
use crate::port::{Prompt, RequestHead};
use crate::runtime::lock;

/// Deadline of a request that does not carry one.
const DEFAULT_DEADLINE_MS: Millis = 30_000;
/// Minimum `Retry-After` of a client account over its quota. Units that are refilled earlier go to
/// the requests that arrived first.
const MIN_QUOTA_RETRY_AFTER_MS: Millis = 500;
/// `Retry-After` if this node's configuration is missing or stale. It covers two rounds of queries
/// to other nodes.
const STALE_RETRY_AFTER_MS: Millis = 400;

/// An admitted request.
pub(super) struct Exchange {
    /// The decoded request head.
    pub head: RequestHead,
    /// The request's method.
    pub method: Method,
    /// The original path and query.
    pub uri: Uri,
    /// The caller's end-to-end headers.
    pub headers: HeaderMap,
    /// The route.
    pub route: Arc<Route>,
    /// The service, picked by the route's weights.
    pub service: String,
    /// Whether the servers of the service run a model.
    pub is_model_service: bool,
    /// The client account's name.
    pub account: Option<String>,
    /// The request's priority; 0 is the most urgent.
    pub urgency: u32,
    /// Time at which the final response is due.
    pub deadline: Millis,
    /// Time until which the caller may resume the response at any node.
    pub caller_deadline: Millis,
    /// The software version that the response stays at, once one has begun it.
    pub pin: OnceLock<Pin>,
    /// Estimated cost of the request for a server.
    pub cost: RequestCost,
    /// Criteria for the choice of a server.
    pub criteria: Criteria,
    /// Fingerprint of the request's content.
    pub fingerprint: Fingerprint,
    /// Fingerprints of the parts that its prompt may share with others.
    pub shared_parts: Arc<[Fingerprint]>,
    /// The whole body, until it is released because no further attempt can need it.
    body: Mutex<Bytes>,
    /// Length of the body, kept after the body is released.
    pub body_bytes: usize,
    charge: QuotaCharge,
    is_usage_counted: AtomicBool,
}

impl Exchange {
    /// Admits a request, or returns the reason for rejecting it. Nothing has been sent to a server
    /// in either case.
    ///
    /// The head is checked before the body is read.
    pub async fn admit(
        node: &Arc<Node>,
        parts: Parts,
        head: RequestHead,
        incoming_body: &mut IncomingBody,
        record: &mut RequestRecord,
    ) -> Result<Self, RefusalResponse> {
        let now = record.get_arrival();
        let deadline_ms = head.deadline.unwrap_or(DEFAULT_DEADLINE_MS);
        let reject = |reason, retry_after| RefusalResponse {
            reason,
            retry_after,
            time_remaining: deadline_ms,
        };
        let (configuration, age) =
            node.with(|state| (state.configuration.clone(), state.freshness.get_age(now)));
        let configuration =
            configuration.ok_or(reject(Refusal::NotConfigured, STALE_RETRY_AFTER_MS))?;
        record.configuration_version = Some(configuration.version);
        record.configuration_age = age;
        let is_fresh = node.is_configuration_fresh();
        if head.id.is_none() {
            return Err(reject(Refusal::BadRequest, 0));
        }
        if get_head_bytes(&parts) > configuration.limits.head_bytes {
            return Err(reject(Refusal::HeadTooLong, 0));
        }
        // A node with a stale configuration reports that. It does not deny what a newer
        // configuration may allow.
        if !is_fresh {
            return Err(reject(Refusal::Stale, STALE_RETRY_AFTER_MS));
        }
        let route = find_route(&configuration, &parts).ok_or(reject(Refusal::NoRoute, 0))?;
        record.route = Some(route.name.clone());
        let account = authenticate(&configuration, &route, &head)
            .map_err(|reason| reject(reason, 0))?
            .cloned();
        record.account = account.as_ref().map(|account| account.name.clone());
        let timeout = deadline_ms.min(route.timeout);
        if !stopping::can_end(node, &record.id, &route.name, now + timeout) {
            return Err(reject(Refusal::Stopping, stopping::RETRY_AFTER_MS));
        }
        let caller_deadline = now + deadline_ms;
        let resume_request = ResumeRequest {
            head: &head,
            route: &route,
            account: record.account.as_deref().unwrap_or(""),
            caller_deadline,
        };
        let pin = origin::find(node, &resume_request).await.map_err(|reason| reject(reason, 0))?;
        let service = match pin.as_ref().and_then(Pin::get_service) {
            Some(service) => service.to_owned(),
            None => {
                let picked = route.pick_service(fastrand::f64());
                picked.ok_or(reject(Refusal::NoServer, 1_000))?.to_owned()
            }
        };
        record.service = Some(service.clone());
        let shared_parts = list_shared_parts(head.prompt.as_ref());
        if let Some((part, quarantined_for)) = node.find_quarantined(&shared_parts) {
            record.fingerprint = Some(part);
            return Err(reject(Refusal::Quarantined, quarantined_for));
        }
        let priority = account.as_ref().map_or(0, |account| account.priority);
        let urgency = priority * ACCOUNT_PRIORITY_FACTOR + route.priority;
        let limits = BodyLimits {
            max_bytes: configuration.limits.body_bytes as u64,
            rate_window: configuration.limits.head_timeout,
            timeout,
        };
        let id = record.id.clone();
        let name = record.account.as_deref().unwrap_or("");
        let upload = Upload::reserve(node, &id, name, urgency, incoming_body, limits)
            .await
            .map_err(|rejection| rejection.with_time_remaining(deadline_ms))?;
        let charge = consume_quota(node, account.as_ref(), head.prompt.as_ref())
            .await
            .map_err(|wait| reject(Refusal::OverQuota, wait.max(MIN_QUOTA_RETRY_AFTER_MS)))?;
        let body = upload
            .read(incoming_body)
            .await
            .map_err(|rejection| rejection.with_time_remaining(deadline_ms))?;
        // The body may have taken seconds.
        if !stopping::can_end(node, &record.id, &route.name, now + timeout) {
            return Err(reject(Refusal::Stopping, stopping::RETRY_AFTER_MS));
        }
        let fingerprint = compute_fingerprint(&parts, name, &body);
        record.fingerprint = Some(fingerprint);
        record.record_admission(&route.name, head.last_event_id.is_some());
        if let Some((_, quarantined_for)) = node.find_quarantined(&[fingerprint]) {
            return Err(reject(Refusal::Quarantined, quarantined_for));
        }
        let prompt = head.prompt.as_ref();
        let cost = estimate_cost(prompt, urgency);
        count_demand(node, &service, prompt, &cost);
        let engine = configuration.services.get(&service).and_then(|known| known.engine.as_ref());
        let mut headers = parts.headers;
        remove_hop_by_hop(&mut headers);
        Ok(Self {
            method: parts.method,
            uri: parts.uri,
            headers,
            body_bytes: body.len(),
            body: Mutex::new(body),
            is_model_service: engine.is_some(),
            service,
            account: account.map(|account| account.name),
            urgency,
            deadline: now + deadline_ms.min(route.timeout),
            caller_deadline,
            pin: pin.map_or_else(OnceLock::new, OnceLock::from),
            cost,
            criteria: make_criteria(head.prompt.as_ref(), &cost, &route),
            fingerprint,
            shared_parts,
            route,
            head,
            charge: charge.commit(),
            is_usage_counted: AtomicBool::new(false),
        })
    }

    /// Returns the time left until the final response is due.
    pub fn get_time_remaining(&self, now: Millis) -> Millis {
        self.deadline.saturating_sub(now)
    }

    /// Returns `true` if the request may be sent to a server of this software version.
    pub fn is_pin_met(&self, server: &Server) -> bool {
        self.pin.get().is_none_or(|pin| pin.is_allowed(server))
    }

    /// Counts one request of the client account when a server has started to run it. Retries of the
    /// request are not counted again.
    pub fn count_usage(&self, node: &Node) {
        let Some(account) = &self.account else { return };
        if !self.is_usage_counted.swap(true, Ordering::Relaxed) {
            node.count_usage(account);
        }
    }

    /// Returns the milliseconds for which the request, or a part of its prompt, is still quarantined.
    pub fn get_quarantine_remaining(&self, node: &Node) -> Option<Millis> {
        let found = node.find_quarantined(&[self.fingerprint]);
        let found = found.or_else(|| node.find_quarantined(&self.shared_parts));
        found.map(|(_, quarantined_for)| quarantined_for)
    }

    /// Describes an attempt that was interrupted now, given when it was sent and when its response
    /// started.
    pub fn get_interrupted_attempt(
        &self,
        interrupted_at: Millis,
        sent_at: Millis,
        response_started_at: Option<Millis>,
    ) -> InterruptedAttempt {
        InterruptedAttempt {
            fingerprint: self.fingerprint,
            shared_parts: self.shared_parts.clone(),
            sent_at,
            interrupted_at,
            response_started_at,
        }
    }

    /// Refunds the quota units of the client account if the request did not run.
    pub fn refund_quota(&self, reason: Refusal) {
        if !reason.may_have_run() {
            self.charge.refund();
        }
    }

    /// Returns the body, which is empty after it was released.
    pub fn get_body(&self) -> Bytes {
        lock(&self.body).clone()
    }

    /// Releases the memory of the body when no further attempt can need it.
    pub fn release_body(&self) {
        lock(&self.body).clear();
    }
}

/// Maximum number of parts of a prompt that are suspected of crashing servers.
const MAX_SHARED_PARTS: usize = 32;

/// Number of route priorities that one client account priority counts for.
const ACCOUNT_PRIORITY_FACTOR: u32 = 3;

/// Returns the size of the request head on the wire, in bytes.
fn get_head_bytes(parts: &Parts) -> usize {
    let line =
        parts.method.as_str().len() + parts.uri.path_and_query().map_or(0, |p| p.as_str().len());
    let headers = parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    line + headers.map(|length| length + HEADER_OVERHEAD_BYTES).sum::<usize>()
}

/// Size of the colon, the space and the line end of a header.
const HEADER_OVERHEAD_BYTES: usize = 4;

fn find_route(configuration: &Configuration, parts: &Parts) -> Option<Arc<Route>> {
    configuration.find_route(get_host(parts)?, parts.uri.path()).cloned()
}

fn get_host(parts: &Parts) -> Option<&str> {
    let named = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    parts.uri.host().or(named)
}

fn compute_fingerprint(parts: &Parts, account: &str, body: &[u8]) -> Fingerprint {
    let host = get_host(parts).unwrap_or("");
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Fingerprint::new(&Content { account, host, path, body })
}

/// Returns the fingerprints of all parts of a prompt but the last, which belongs to this request alone.
fn list_shared_parts(prompt: Option<&Prompt>) -> Arc<[Fingerprint]> {
    let Some((_, shared)) = prompt.and_then(|prompt| prompt.parts.split_last()) else {
        return Arc::default();
    };
    shared.iter().take(MAX_SHARED_PARTS).map(|part| Fingerprint::of_part(part.id)).collect()
}

fn authenticate<'a>(
    configuration: &'a Configuration,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<&'a Account>, Refusal> {
    if configuration.accounts.is_none() {
        return Ok(None);
    }
    let account = head.api_key.as_deref().and_then(|key| configuration.find_account(key));
    match account {
        Some(account) => Ok(Some(account)),
        None if route.allow_anonymous => Ok(None),
        None => Err(Refusal::UnknownKey),
    }
}

fn estimate_cost(prompt: Option<&Prompt>, urgency: u32) -> RequestCost {
    prompt.map_or(RequestCost::default(), |prompt| RequestCost {
        prompt_tokens: get_unshared_tokens(prompt),
        priority: (urgency as usize).min(PRIORITIES - 1),
        memory_tokens: prompt.input_tokens + prompt.output_tokens,
    })
}

/// Returns the tokens of the last part, which no server has processed yet. The parts before it are
/// usually cached by the server that receives the request.
fn get_unshared_tokens(prompt: &Prompt) -> u64 {
    prompt.parts.last().map_or(prompt.input_tokens, |part| part.tokens)
}

/// Counts the request in the demand of the service.
fn count_demand(node: &Node, service: &str, prompt: Option<&Prompt>, cost: &RequestCost) {
    let request = DemandTotals {
        requests: 1,
        prompt_tokens: cost.prompt_tokens,
        output_tokens: prompt.map_or(0, |prompt| prompt.output_tokens),
    };
    node.with(|state| state.demand.count(service, &request));
}

fn make_criteria(prompt: Option<&Prompt>, cost: &RequestCost, route: &Route) -> Criteria {
    let shared = prompt.and_then(|prompt| prompt.parts.split_last()?.1.last());
    Criteria {
        shared_prefix: shared.map(|part| part.id),
        prompt_tokens: cost.prompt_tokens,
        priority: cost.priority,
        ttft_objective: route.ttft_objective,
        gap_objective: route.gap_objective,
        ..Criteria::default()
    }
}
