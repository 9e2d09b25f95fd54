//! A request that was authenticated and checked.

use bytes::Bytes;
use keeljunction_core::Millis;
use keeljunction_core::bundle::{Class, Document, Kind, Service};
use keeljunction_core::route;

use crate::peer::wire;

/// Tokens that an answer is taken to have where the caller does not say.
const DEFAULT_OUTPUT_TOKENS: u64 = 128;

/// What a model request asks, as far as routing needs it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Hashes of its blocks.
    pub prefix: Vec<u64>,
    /// Tokens that may be generated at most.
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

/// A request that was authenticated and checked.
#[derive(Clone, Debug)]
pub struct Request {
    /// The client account.
    pub account: String,
    /// The group that the account belongs to.
    pub group: String,
    /// The request key, which belongs to the account.
    pub key: String,
    /// A random name of this try of the caller.
    pub instance: String,
    /// The service as it stood in the bundle then.
    pub service: Service,
    /// The class as it stood in the bundle then.
    pub class: Class,
    /// The method.
    pub method: String,
    /// The path on the backend server.
    pub path: String,
    /// Headers to pass on to a plain service.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
    /// The SHA-256 digest of method, path and body, in hex.
    pub digest: String,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// When the answer is of no more use, on this node's clock.
    pub deadline: Millis,
    /// What routing needs of a model request.
    pub prompt: Prompt,
}

/// The name of a request among all accounts.
pub type Id = (String, String);

impl Request {
    /// Returns the name of the request among all accounts.
    pub fn get_id(&self) -> Id {
        (self.account.clone(), self.key.clone())
    }

    /// Returns the key whose succession list gives the holders of the record.
    pub fn get_succession_key(&self) -> String {
        succession_key(&self.account, &self.key)
    }

    /// Returns `true` if the request changes nothing and can simply be sent again.
    pub fn is_safe(&self) -> bool {
        self.class.repeatable && matches!(self.method.as_str(), "GET" | "HEAD" | "OPTIONS")
    }

    /// Returns `true` if a claim must be had before it may be sent.
    pub fn needs_claim(&self) -> bool {
        !self.class.repeatable && !self.service.deduplicates
    }

    /// Returns `true` if it is for a model engine.
    pub fn is_model(&self) -> bool {
        self.service.kind == Kind::Model
    }

    /// Writes the request as a record for a peer.
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

    /// Reads a request from a record, with the bundle now in force.
    ///
    /// Returns `None` where the bundle no longer knows its account, service or class.
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

/// Names the key whose succession list gives the holders of a request's record.
pub fn succession_key(account: &str, key: &str) -> String {
    format!("record/{account}/{key}")
}
