//! Authentication and validation of client requests, before admission.

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HeaderMap};
use hyper::{Method, Request as HttpRequest, StatusCode};
use keeljunction_core::bundle::{self, Class, Document, Kind, Service};
use serde_json::Value;
use uuid::Uuid;

use super::problem::Problem;
use crate::http;
use crate::node::accept::KeySource;
use crate::node::request::Prompt;
use crate::node::state::ActiveBundle;
use crate::node::{Node, Request};

const CLASS_HEADER: &str = "keeljunction-class";
const KEY_HEADER: &str = "idempotency-key";
const LAST_EVENT_ID_HEADER: &str = "last-event-id";
const MAX_KEY_LENGTH: usize = 128;
const SERVICES_PREFIX: &str = "/services/";
const COMPLETIONS_PATH: &str = "/v1/completions";
const CHAT_PATH: &str = "/v1/chat/completions";
/// Client headers that are forwarded to plain services.
const FORWARDED_HEADERS: [&str; 3] = ["content-type", "accept", "accept-language"];

/// A valid request, and how to respond to it.
pub struct ValidRequest {
    /// The request.
    pub request: Request,
    /// Where the key of the request comes from.
    pub key_source: KeySource,
    /// The offset of the first token to send.
    pub offset: u64,
    /// The model; empty for a plain service.
    pub model: String,
    /// Whether the request uses the chat API.
    pub is_chat: bool,
}

/// The route that a path matches.
enum Route<'a> {
    Model,
    Plain { service: &'a str, path: String },
}

/// Validates a request.
///
/// # Errors
///
/// Returns the [`Problem`] to respond with. The request was not sent to a server.
pub async fn check(
    node: &Node,
    active: &ActiveBundle,
    request: HttpRequest<Incoming>,
) -> Result<ValidRequest, Problem> {
    let bundle = &active.document;
    let (head, body) = request.into_parts();
    let (group, account) = authenticate(bundle, &head.headers)?;
    let class = find_class(bundle, &head.headers)?.clone();
    let (key, key_source) = find_key(&head.headers, &class)?;
    let offset = find_offset(&head.headers)?;
    let uri = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let route = find_route(&head.method, head.uri.path(), &uri)?;
    let body = read_body(node, body).await?;
    let (service, path, parsed) = match route {
        Route::Model => {
            let parsed = parse_body(&body)?;
            (find_model(bundle, &parsed)?, uri.clone(), parsed)
        }
        Route::Plain { service, path } => (find_service(bundle, service)?, path, Value::Null),
    };
    let is_model = service.kind == Kind::Model;
    let prompt = if is_model { Prompt::read(&parsed) } else { Prompt::default() };
    let digest = digest(head.method.as_str(), &path, &body);
    let headers = FORWARDED_HEADERS.iter().filter_map(|name| {
        Some(((*name).to_owned(), head.headers.get(*name)?.to_str().ok()?.to_owned()))
    });
    let request = Request {
        account,
        group,
        key,
        instance: Uuid::new_v4().to_string(),
        service: service.clone(),
        deadline: node.now() + class.deadline_ms,
        class,
        method: head.method.to_string(),
        path,
        headers: headers.collect(),
        digest,
        stream: parsed["stream"].as_bool().unwrap_or(false),
        body,
        prompt,
    };
    let key_source = if offset > 0 { KeySource::Resumption } else { key_source };
    let model = parsed["model"].as_str().unwrap_or_default().to_owned();
    Ok(ValidRequest { request, key_source, offset, model, is_chat: uri.starts_with(CHAT_PATH) })
}

fn authenticate(bundle: &Document, headers: &HeaderMap) -> Result<(String, String), Problem> {
    let header = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let credential = header.and_then(|value| value.strip_prefix("Bearer ")).ok_or_else(|| {
        Problem::refused(StatusCode::UNAUTHORIZED, "no credential; send Authorization: Bearer ...")
    })?;
    let digest = bundle::digest(credential.trim().as_bytes());
    let found = bundle.get_account(&digest).ok_or_else(|| {
        Problem::refused(StatusCode::UNAUTHORIZED, "no client account has this credential")
    })?;
    Ok((found.0.name.clone(), found.1.name.clone()))
}

fn find_class<'a>(bundle: &'a Document, headers: &HeaderMap) -> Result<&'a Class, Problem> {
    let names: Vec<&str> = bundle.classes.iter().map(|class| class.name.as_str()).collect();
    let allowed = names.join(", ");
    let Some(name) = header(headers, CLASS_HEADER) else {
        let detail = format!("no request class; send Keeljunction-Class, one of: {allowed}");
        return Err(Problem::refused(StatusCode::BAD_REQUEST, detail));
    };
    bundle.get_class(name).ok_or_else(|| {
        let detail = format!("no request class {name:?}; possible values: {allowed}");
        Problem::refused(StatusCode::BAD_REQUEST, detail)
    })
}

fn find_key(headers: &HeaderMap, class: &Class) -> Result<(String, KeySource), Problem> {
    match header(headers, KEY_HEADER) {
        Some(key) if is_valid_key(key) => Ok((key.to_owned(), KeySource::Client)),
        Some(_) => {
            let detail = "Idempotency-Key takes 1 to 128 of A-Z a-z 0-9 . _ : -";
            Err(Problem::refused(StatusCode::BAD_REQUEST, detail))
        }
        None if class.repeatable => Ok((Uuid::new_v4().to_string(), KeySource::Generated)),
        None => {
            let detail =
                "a request of this class runs at most once; send an Idempotency-Key with it";
            Err(Problem::refused(StatusCode::BAD_REQUEST, detail))
        }
    }
}

fn is_valid_key(key: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._:-".contains(&byte);
    (1..=MAX_KEY_LENGTH).contains(&key.len()) && key.bytes().all(is_allowed)
}

/// Returns the offset after the last event that the client has received.
fn find_offset(headers: &HeaderMap) -> Result<u64, Problem> {
    let Some(last) = header(headers, LAST_EVENT_ID_HEADER) else { return Ok(0) };
    let last: u64 = last.parse().map_err(|_| {
        Problem::refused(
            StatusCode::BAD_REQUEST,
            "Last-Event-ID takes the id of an event of the answer",
        )
    })?;
    Ok(last.saturating_add(1))
}

fn find_route<'a>(method: &Method, path: &'a str, uri: &str) -> Result<Route<'a>, Problem> {
    if path == COMPLETIONS_PATH || path == CHAT_PATH {
        if method != Method::POST {
            return Err(Problem::refused(StatusCode::METHOD_NOT_ALLOWED, "this path takes POST"));
        }
        return Ok(Route::Model);
    }
    let Some(rest) = path.strip_prefix(SERVICES_PREFIX) else {
        let detail = format!(
            "no such path; possible: {COMPLETIONS_PATH}, {CHAT_PATH}, {SERVICES_PREFIX}NAME/..."
        );
        return Err(Problem::refused(StatusCode::NOT_FOUND, detail));
    };
    let service = rest.split('/').next().unwrap_or_default();
    let path = &uri[SERVICES_PREFIX.len() + service.len()..];
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    Ok(Route::Plain { service, path })
}

async fn read_body(node: &Node, body: Incoming) -> Result<Bytes, Problem> {
    let max_bytes = node.settings.limits.body_bytes;
    http::read_body(body, max_bytes).await.ok_or_else(|| {
        let detail = format!("the body is longer than {max_bytes} bytes, or broke off");
        Problem::refused(StatusCode::PAYLOAD_TOO_LARGE, detail)
    })
}

fn parse_body(body: &[u8]) -> Result<Value, Problem> {
    let parsed: Value = serde_json::from_slice(body).map_err(|error| {
        Problem::refused(StatusCode::BAD_REQUEST, format!("the body is not JSON: {error}"))
    })?;
    if !parsed.is_object() {
        return Err(Problem::refused(StatusCode::BAD_REQUEST, "the body is not a JSON object"));
    }
    let has_prompt = parsed["prompt"].is_string() || parsed["messages"].is_array();
    if !has_prompt {
        let detail = "no prompt; send prompt as text, or messages as a list";
        return Err(Problem::refused(StatusCode::BAD_REQUEST, detail));
    }
    Ok(parsed)
}

fn find_model<'a>(bundle: &'a Document, body: &Value) -> Result<&'a Service, Problem> {
    let models = bundle.services.iter().flat_map(|service| &service.models);
    let names: Vec<&str> = models.map(|model| model.name.as_str()).collect();
    let Some(name) = body["model"].as_str() else {
        let detail = format!("no model; possible values: {}", names.join(", "));
        return Err(Problem::refused(StatusCode::BAD_REQUEST, detail));
    };
    bundle.get_model_service(name).ok_or_else(|| {
        let detail = format!("no model {name:?}; possible values: {}", names.join(", "));
        Problem::refused(StatusCode::NOT_FOUND, detail)
    })
}

fn find_service<'a>(bundle: &'a Document, name: &str) -> Result<&'a Service, Problem> {
    let service = bundle.get_service(name).filter(|service| service.kind == Kind::Plain);
    service.ok_or_else(|| {
        let plain = bundle.services.iter().filter(|service| service.kind == Kind::Plain);
        let names: Vec<&str> = plain.map(|service| service.name.as_str()).collect();
        let detail = format!("no plain service {name:?}; possible values: {}", names.join(", "));
        Problem::refused(StatusCode::NOT_FOUND, detail)
    })
}

fn digest(method: &str, path: &str, body: &[u8]) -> String {
    let mut content = format!("{method} {path}\n").into_bytes();
    content.extend_from_slice(body);
    bundle::digest(&content)
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}
