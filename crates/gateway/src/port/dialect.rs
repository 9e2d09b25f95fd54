//! Reads and writes the heads of requests and answers.

use hyper::HeaderMap;
use hyper::http::{request, response};
use keeljunction_core::Millis;
use keeljunction_core::serving::backpressure::Signal;

/// Translates heads between the callers' and servers' protocol and the product's own terms.
#[derive(Clone, Copy)]
pub struct HeaderCodec {
    /// Reads a caller's request.
    pub decode_request: fn(&request::Parts) -> RequestHead,
    /// Turns a caller's headers into those that a server gets.
    pub encode_request: fn(&mut HeaderMap, &ForwardContext<'_>),
    /// Reads a server's answer.
    pub decode_response: fn(&response::Parts) -> ResponseHead,
}

/// What a caller's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Names the request.
    pub id: Option<String>,
    /// How long the caller will wait, in milliseconds.
    pub deadline: Option<Millis>,
    /// The key that the caller presents.
    pub api_key: Option<String>,
    /// The size and parts of the prompt, for model servers.
    pub prompt: Option<Prompt>,
    /// The last event that the caller has got already.
    pub last_event_id: Option<u64>,
}

/// The size and parts of a prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub input_tokens: u64,
    /// The most tokens of the answer.
    pub output_tokens: u64,
    /// The prompt's parts in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the part; requests that share it name it alike.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// What the node says to a server beside the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct ForwardContext<'a> {
    /// Milliseconds that are left.
    pub time_left: Millis,
    /// The server that is meant, so that another at its address does not run the request.
    pub server_id: &'a str,
    /// The client account that holds the caller's key.
    pub account: Option<&'a str>,
    /// The request's priority, for model servers; 0 is the most urgent.
    pub urgency: Option<u32>,
    /// The last event that the caller has got, where a stream goes on.
    pub last_event_id: Option<u64>,
}

/// What a server's head says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// The request that the answer belongs to.
    pub request_id: Option<String>,
    /// Whether the server signed the answer.
    pub is_sealed: bool,
    /// Whether the server says that it did not run the request.
    pub is_not_executed: bool,
    /// Whether another server than the one that was meant stands at the address.
    pub is_wrong_server: bool,
    /// Whether the body is encoded, and so not what the server made.
    pub is_encoded: bool,
    /// Requests that wait at the server, where it reports them.
    pub queued_requests: Option<u32>,
    /// What the server says about the requests that follow.
    pub signal: Signal,
    /// Headers of the signal that cannot be read, or are read as less than they say.
    pub unreadable: Vec<UnreadableHeader>,
}

/// A header whose value cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableHeader {
    /// Its name.
    pub name: String,
    /// The beginning of its value.
    pub value: String,
}
