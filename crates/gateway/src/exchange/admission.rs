//! Checks a request and finds its route, client account and time.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::http::request::Parts;
use hyper::{Method, Uri, header};
use keeljunction_core::Millis;
use keeljunction_core::serving::choice::Criteria;
use keeljunction_core::serving::configuration::{Account, Configuration, QuotaUnit, Route};
use keeljunction_core::serving::demand::DemandTotals;
use keeljunction_core::serving::load::{PRIORITIES, RequestCost};
use keeljunction_core::serving::quarantine::{Content, Fingerprint};
use keeljunction_core::serving::refusal::Refusal;

use super::respond::{Record, Refused};
use super::upload::{Arriving, Bounds, Upload};
use crate::node::interrupted_attempts::InterruptedAttempt;
use crate::node::{self, Node};
use crate::port::{Prompt, RequestHead};
use crate::runtime::lock;

/// The time that a caller is assumed to wait where it does not say.
const DEFAULT_DEADLINE: Millis = 30_000;
/// The least `Retry-After` of a client account beyond its limit, in milliseconds: what is refilled
/// at once goes to those that came first.
const QUOTA_RETRY_AFTER: Millis = 500;
/// `Retry-After` where the node's own knowledge is what is missing, in milliseconds: two rounds of
/// its questions to other nodes.
const KNOWLEDGE_RETRY_AFTER: Millis = 400;

/// A request that was admitted.
pub(super) struct Exchange {
    /// What the caller's head says.
    pub head: RequestHead,
    /// The request's method.
    pub method: Method,
    /// The path and query, as they came.
    pub uri: Uri,
    /// The caller's headers that concern more than one connection.
    pub headers: HeaderMap,
    /// The route.
    pub route: Arc<Route>,
    /// The service that the route's weights picked.
    pub service: String,
    /// Whether the service's servers run a model.
    pub has_engine: bool,
    /// The client account's name.
    pub account: Option<String>,
    /// The request's priority; 0 is the most urgent.
    pub urgency: u32,
    /// When the final answer is due.
    pub due: Millis,
    /// The size of the request for a server.
    pub work: RequestCost,
    /// What bears on the choice of a server.
    pub criteria: Criteria,
    /// Names the request's content.
    pub fingerprint: Fingerprint,
    /// The whole body, until no attempt can need it any more.
    body: Mutex<Bytes>,
    /// The body's length, also once it was released.
    pub body_bytes: usize,
    charge: Charge,
    is_usage_counted: AtomicBool,
}

impl Exchange {
    /// Admits a request, or says why not. Nothing was sent to a server in either case.
    ///
    /// The head is checked before the body is read.
    pub async fn admit(
        node: &Arc<Node>,
        parts: Parts,
        head: RequestHead,
        arriving: &mut Arriving,
        record: &mut Record,
    ) -> Result<Self, Refused> {
        let now = record.get_arrival();
        let deadline = head.deadline.unwrap_or(DEFAULT_DEADLINE);
        let refuse = |reason, retry_after| Refused { reason, retry_after, left: deadline };
        let (configuration, age) =
            node.with(|state| (state.configuration.clone(), state.freshness.get_age(now)));
        let configuration =
            configuration.ok_or(refuse(Refusal::NotConfigured, KNOWLEDGE_RETRY_AFTER))?;
        record.version = Some(configuration.version);
        record.age = age;
        let is_fresh = node.is_configuration_fresh();
        if head.id.is_none() {
            return Err(refuse(Refusal::BadRequest, 0));
        }
        if measure_head(&parts) > configuration.limits.head_bytes {
            return Err(refuse(Refusal::HeadTooLong, 0));
        }
        // A node whose knowledge may be old says so; it never denies what may be allowed by now.
        if !is_fresh {
            return Err(refuse(Refusal::Stale, KNOWLEDGE_RETRY_AFTER));
        }
        let route = find_route(&configuration, &parts).ok_or(refuse(Refusal::NoRoute, 0))?;
        record.route = Some(route.name.clone());
        let account = authenticate(&configuration, &route, &head)
            .map_err(|reason| refuse(reason, 0))?
            .cloned();
        record.account = account.as_ref().map(|account| account.name.clone());
        let service =
            route.pick_service(fastrand::f64()).ok_or(refuse(Refusal::NoServer, 1_000))?;
        let service = service.to_owned();
        record.service = Some(service.clone());
        let priority = account.as_ref().map_or(0, |account| account.priority);
        let urgency = priority * PRIORITY_STEP + route.priority;
        let bounds = Bounds {
            bytes: configuration.limits.body_bytes as u64,
            window: configuration.limits.head_timeout,
            within: deadline.min(route.timeout),
        };
        let id = record.id.clone();
        let name = record.account.as_deref().unwrap_or("");
        let upload = Upload::begin(node, &id, name, urgency, arriving, bounds)
            .await
            .map_err(|rejection| rejection.with_left(deadline))?;
        let charge = consume_quota(node, account.as_ref(), head.prompt.as_ref())
            .await
            .map_err(|wait| refuse(Refusal::OverQuota, wait.max(QUOTA_RETRY_AFTER)))?;
        let body =
            upload.read(arriving).await.map_err(|rejection| rejection.with_left(deadline))?;
        let fingerprint = compute_fingerprint(&parts, name, &body);
        record.fingerprint = Some(fingerprint);
        if let Some(refused_for) = node.get_quarantine_remaining(fingerprint) {
            return Err(refuse(Refusal::Quarantined, refused_for));
        }
        let prompt = head.prompt.as_ref();
        let work = size_work(prompt, urgency);
        count_demand(node, &service, prompt, &work);
        let engine = configuration.services.get(&service).and_then(|known| known.engine.as_ref());
        Ok(Self {
            method: parts.method,
            uri: parts.uri,
            headers: forwardable(parts.headers),
            body_bytes: body.len(),
            body: Mutex::new(body),
            has_engine: engine.is_some(),
            service,
            account: account.map(|account| account.name),
            urgency,
            due: now + deadline.min(route.timeout),
            work,
            criteria: make_criteria(head.prompt.as_ref(), &work, &route),
            fingerprint,
            route,
            head,
            charge: charge.keep(),
            is_usage_counted: AtomicBool::new(false),
        })
    }

    /// Returns the time left until the final answer is due.
    pub fn get_left(&self, now: Millis) -> Millis {
        self.due.saturating_sub(now)
    }

    /// Counts that a server began to run the request, once for all attempts: the client account
    /// has made one request, whichever server's answer it gets.
    pub fn count_usage(&self, node: &Node) {
        let Some(account) = &self.account else { return };
        if !self.is_usage_counted.swap(true, Ordering::Relaxed) {
            node.count_usage(account);
        }
    }

    /// Returns what is known of a run of the request that broke off now, given when it was sent and
    /// since when its answer came.
    pub fn cut_run(
        &self,
        interrupted_at: Millis,
        sent_at: Millis,
        response_started_at: Option<Millis>,
    ) -> InterruptedAttempt {
        InterruptedAttempt {
            fingerprint: self.fingerprint,
            sent_at,
            interrupted_at,
            response_started_at,
        }
    }

    /// Gives the client account's units back where the request did not run.
    pub fn refund_quota(&self, reason: Refusal) {
        if !reason.may_have_run() {
            self.charge.refund();
        }
    }

    /// Returns the body; without content once it was released.
    pub fn get_body(&self) -> Bytes {
        lock(&self.body).clone()
    }

    /// Releases the body's memory, where no further attempt can need it.
    pub fn release_body(&self) {
        lock(&self.body).clear();
    }
}

/// Units that were taken from a client account, and that are given back where this is dropped
/// before the request is admitted: its caller has left, or its body did not come.
struct Charge {
    node: Arc<Node>,
    units: Option<(String, u64)>,
    is_kept: bool,
}

impl Charge {
    fn keep(mut self) -> Self {
        self.is_kept = true;
        self
    }

    fn refund(&self) {
        if let Some((account, units)) = &self.units {
            self.node.with(|state| state.quotas.refund(account, *units));
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.is_kept {
            self.refund();
        }
    }
}

/// A client account's priority counts for this many priorities of routes.
const PRIORITY_STEP: u32 = 3;

/// Measures a head as it came, in bytes.
fn measure_head(parts: &Parts) -> usize {
    let line =
        parts.method.as_str().len() + parts.uri.path_and_query().map_or(0, |p| p.as_str().len());
    let headers = parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    line + headers.map(|length| length + HEADER_FRAME_BYTES).sum::<usize>()
}

/// The colon, the blank and the line end of a header.
const HEADER_FRAME_BYTES: usize = 4;

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

async fn consume_quota(
    node: &Arc<Node>,
    account: Option<&Account>,
    prompt: Option<&Prompt>,
) -> Result<Charge, Millis> {
    let mut charge = Charge { node: node.clone(), units: None, is_kept: false };
    let Some(account) = account else { return Ok(charge) };
    let units = match account.unit {
        QuotaUnit::Requests => 1,
        QuotaUnit::Tokens { default } => {
            prompt.map_or(default, |prompt| prompt.input_tokens + prompt.output_tokens)
        }
    };
    node::consume_units(node, account, units).await?;
    charge.units = Some((account.name.clone(), units));
    Ok(charge)
}

/// Removes the headers that concern one connection only, and the framing of the body, which is
/// written anew.
fn forwardable(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(&name);
    }
    for name in HOP_BY_HOP {
        headers.remove(*name);
    }
    headers
}

/// Headers that concern one connection only.
pub(super) const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
];

fn size_work(prompt: Option<&Prompt>, urgency: u32) -> RequestCost {
    prompt.map_or(RequestCost::default(), |prompt| RequestCost {
        prompt_tokens: own_tokens(prompt),
        priority: (urgency as usize).min(PRIORITIES - 1),
        memory_tokens: prompt.input_tokens + prompt.output_tokens,
    })
}

/// Returns the tokens of the last part, which no server has read yet; the parts before it are
/// mostly kept where the request goes.
fn own_tokens(prompt: &Prompt) -> u64 {
    prompt.parts.last().map_or(prompt.input_tokens, |part| part.tokens)
}

/// Counts the request as demand of the service.
fn count_demand(node: &Node, service: &str, prompt: Option<&Prompt>, work: &RequestCost) {
    let request = DemandTotals {
        requests: 1,
        prompt_tokens: work.prompt_tokens,
        output_tokens: prompt.map_or(0, |prompt| prompt.output_tokens),
    };
    node.with(|state| state.demand.count(service, &request));
}

fn make_criteria(prompt: Option<&Prompt>, work: &RequestCost, route: &Route) -> Criteria {
    let shared = prompt.and_then(|prompt| prompt.parts.split_last()?.1.last());
    Criteria {
        shared_prefix: shared.map(|part| part.id),
        prompt_tokens: work.prompt_tokens,
        priority: work.priority,
        ttft_objective: route.ttft_objective,
        gap_objective: route.gap_objective,
        ..Criteria::default()
    }
}
