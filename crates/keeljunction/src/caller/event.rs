//! Model answers as server-sent events or as one JSON document.

use serde::Serialize;
use serde_json::json;

/// The fields of a response that do not change with each token.
#[derive(Clone, Debug)]
pub struct Envelope {
    /// The request key.
    pub key: String,
    /// The model.
    pub model: String,
    /// Whether the request uses the chat API.
    pub is_chat: bool,
}

/// The event that ends a stream.
pub const DONE_EVENT: &str = "data: [DONE]\n\n";

impl Envelope {
    /// Formats one token as an event. The event ID is the offset, for `Last-Event-ID`.
    pub fn token(&self, offset: u64, text: &str) -> String {
        format!("id: {offset}\ndata: {}\n\n", self.chunk(Some(text), None))
    }

    /// Formats the event after the last token.
    pub fn finish(&self) -> String {
        format!("data: {}\n\n", self.chunk(None, Some("stop")))
    }

    /// Formats the complete answer as one JSON document.
    pub fn document(&self, text: &str, tokens: u64) -> String {
        let choice = match self.is_chat {
            true => {
                json!({ "index": 0, "message": { "role": "assistant", "content": text }, "finish_reason": "stop" })
            }
            false => json!({ "index": 0, "text": text, "finish_reason": "stop" }),
        };
        let object = if self.is_chat { "chat.completion" } else { "text_completion" };
        let usage = json!({ "completion_tokens": tokens });
        json!({ "id": self.key, "object": object, "model": self.model, "choices": [choice], "usage": usage, "outcome": "done" })
            .to_string()
    }

    fn chunk(&self, text: Option<&str>, finish_reason: Option<&str>) -> String {
        let choice = match self.is_chat {
            true => {
                Choice { index: 0, text: None, delta: Some(Delta { content: text }), finish_reason }
            }
            false => Choice {
                index: 0,
                text: Some(text.unwrap_or_default()),
                delta: None,
                finish_reason,
            },
        };
        let object = if self.is_chat { "chat.completion.chunk" } else { "text_completion" };
        let chunk = Chunk { id: &self.key, object, model: &self.model, choices: [choice] };
        serde_json::to_string(&chunk).unwrap_or_default()
    }
}

/// A chunk of an answer, as in the OpenAI completions API.
#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'a str,
    model: &'a str,
    choices: [Choice<'a>; 1],
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}
