//! Decodes and encodes the heads of requests and responses.

use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::http::{request, response};
use keeljunction_core::serving::backpressure::Signal;
use keeljunction_core::{Error, Millis};

/// Translates between the HTTP headers of callers and servers and the gateway's own types.
#[derive(Clone)]
pub struct HeaderCodec {
    /// The header with the ID of a request, which servers repeat in their responses.
    pub request_id: HeaderName,
    /// Decodes the head of a caller's request.
    pub decode_request: fn(&request::Parts) -> RequestHead,
    /// Converts a caller's headers into the headers for a server. Fails if a header cannot hold the
    /// server's ID or the name of the client account.
    pub encode_request: fn(&mut HeaderMap, &ForwardContext<'_>) -> Result<(), Error>,
    /// Decodes the head of a server's response, which carries the ID of its request.
    pub decode_response: fn(&response::Parts) -> ResponseHead,
}

/// Decoded head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// The request id.
    pub id: Option<String>,
    /// Time that the caller will wait, in milliseconds.
    pub deadline: Option<Millis>,
    /// The API key of the caller.
    pub api_key: Option<String>,
    /// Size and parts of the prompt, for model servers.
    pub prompt: Option<Prompt>,
    /// The last event that the caller has received.
    pub last_event_id: Option<u64>,
    /// The id of the request that began the stream that the caller resumes.
    pub resumes: Option<String>,
}

/// Size and parts of a prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Number of tokens of the prompt.
    pub input_tokens: u64,
    /// Maximum number of tokens of the response.
    pub output_tokens: u64,
    /// Parts of the prompt in order. The last part belongs to this request alone.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part, equal for all requests that share it.
    pub id: u64,
    /// Number of tokens of the part.
    pub tokens: u64,
}

/// Values that the node adds to a forwarded request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardContext<'a> {
    /// Time left until the deadline, in milliseconds.
    pub time_remaining: Millis,
    /// Id of the target server, so that another server at its address rejects the request.
    pub server_id: &'a str,
    /// The client account of the caller.
    pub account: Option<&'a str>,
    /// The request's priority for model servers; 0 is the most urgent.
    pub urgency: Option<u32>,
    /// The last event that the caller has received, if the request resumes a stream.
    pub last_event_id: Option<u64>,
}

/// Decoded head of a server's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Whether the server sealed the response.
    pub is_sealed: bool,
    /// Whether the server reports that it did not run the request.
    pub is_not_executed: bool,
    /// Whether another server than the target is listening at the address.
    pub is_wrong_server: bool,
    /// Whether the body has a content encoding, so it is not the server's original output.
    pub is_encoded: bool,
    /// Number of requests in the server's queue, if reported.
    pub queued_requests: Option<u32>,
    /// The server's signal for the following requests.
    pub signal: Signal,
    /// Signal headers that cannot be parsed, or whose value exceeds what can be represented.
    pub unreadable: Vec<UnreadableHeader>,
}

/// A header whose value cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableHeader {
    /// The header name.
    pub name: String,
    /// The beginning of the header value.
    pub value: String,
}
