//! Requests.

use bytes::Bytes;
use keeljunction_core::Millis;
use keeljunction_core::bundle::{Class, Document, Kind, Service};
use keeljunction_core::route;

use crate::peer::wire;

/// Estimated tokens of an answer if the client sets no limit.
const DEFAULT_OUTPUT_TOKENS: u64 = 128;

/// The parts of a model request that routing needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The number of tokens in the prompt.
    pub tokens: u64,
    /// The hashes of the prompt blocks.
    pub prefix: Vec<u64>,
    /// The maximum number of generated tokens.
    pub output_tokens: u64,
}

impl Prompt {
    /// Reads the prompt from the body of a model request.
    pub fn read(body: &serde_json::Value) -> Self {
        let mut text = String::new();
        if let Some(prompt) = body["prompt"].as_str() {
            text.push_str(prompt);
        }
        for message in body["messages"].as_array().into_iter().flatten() {
            text.push_str(message["content"].as_str().unwrap_or_default());
            text.push(' ');
        }
        Self {
            tokens: route::count_tokens(&text),
            prefix: route::hash_blocks(&text),
            output_tokens: body["max_tokens"].as_u64().unwrap_or(DEFAULT_OUTPUT_TOKENS),
        }
    }
}

/// An authenticated and validated request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The client account.
    pub account: String,
    /// The group that the account belongs to.
    pub group: String,
    /// The request key, which is unique per account.
    pub key: String,
    /// A random ID of this submission by the client.
    pub instance: String,
    /// The service, as configured when the request was accepted.
    pub service: Service,
    /// The request class, as configured when the request was accepted.
    pub class: Class,
    /// The HTTP method.
    pub method: String,
    /// The path on the backend server.
    pub path: String,
    /// The headers to forward to a plain service.
    pub headers: Vec<(String, String)>,
    /// The request body.
    pub body: Bytes,
    /// The SHA-256 digest of method, path and body, in hex.
    pub digest: String,
    /// Whether the client requested a stream.
    pub stream: bool,
    /// The deadline, on this node's clock.
    pub deadline: Millis,
    /// The parts of a model request that routing needs.
    pub prompt: Prompt,
}

/// The ID of a request: the account and the request key.
pub type Id = (String, String);

impl Request {
    /// Returns the ID of the request.
    pub fn get_id(&self) -> Id {
        (self.account.clone(), self.key.clone())
    }

    /// Returns the key by which nodes are ranked to select the holders of the record.
    pub fn get_ranking_key(&self) -> String {
        make_ranking_key(&self.account, &self.key)
    }

    /// Returns `true` if the request has no side effects and can be sent again.
    pub fn is_safe(&self) -> bool {
        self.class.repeatable && matches!(self.method.as_str(), "GET" | "HEAD" | "OPTIONS")
    }

    /// Returns `true` if the request must be claimed before it is sent.
    pub fn needs_claim(&self) -> bool {
        !self.class.repeatable && !self.service.deduplicates
    }

    /// Returns `true` if the request is for a model engine.
    pub fn is_model(&self) -> bool {
        self.service.kind == Kind::Model
    }

    /// Converts the request to a record for a peer.
    pub fn to_record(&self, now: Millis, owner: &str) -> wire::Record {
        let header = |(name, value): &(String, String)| wire::Header {
            name: name.clone(),
            value: value.clone(),
        };
        wire::Record {
            account: self.account.clone(),
            key: self.key.clone(),
            instance: self.instance.clone(),
            owner: owner.to_owned(),
            service: self.service.name.clone(),
            class: self.class.name.clone(),
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.iter().map(header).collect(),
            body: self.body.to_vec(),
            body_digest: self.digest.clone(),
            stream: self.stream,
            deadline_left_ms: self.deadline.saturating_sub(now),
            ..wire::Record::default()
        }
    }

    /// Converts a record to a request, using the active bundle.
    ///
    /// Returns `None` if the bundle no longer contains its account, service or class.
    pub fn from_record(now: Millis, record: &wire::Record, bundle: &Document) -> Option<Self> {
        let group = bundle
            .groups
            .iter()
            .find(|group| group.accounts.iter().any(|a| a.name == record.account))?;
        let service = bundle.get_service(&record.service)?.clone();
        let prompt = match service.kind {
            Kind::Model => Prompt::read(&serde_json::from_slice(&record.body).ok()?),
            Kind::Plain => Prompt::default(),
        };
        Some(Self {
            account: record.account.clone(),
            group: group.name.clone(),
            key: record.key.clone(),
            instance: record.instance.clone(),
            service,
            class: bundle.get_class(&record.class)?.clone(),
            method: record.method.clone(),
            path: record.path.clone(),
            headers: record.headers.iter().map(|h| (h.name.clone(), h.value.clone())).collect(),
            body: Bytes::copy_from_slice(&record.body),
            digest: record.body_digest.clone(),
            stream: record.stream,
            deadline: now + record.deadline_left_ms,
            prompt,
        })
    }
}

/// Returns the key by which nodes are ranked to select the holders of a request's record.
pub fn make_ranking_key(account: &str, key: &str) -> String {
    format!("record/{account}/{key}")
}
