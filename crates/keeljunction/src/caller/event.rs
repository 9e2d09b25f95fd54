//! Answers of models, as events or as one document.

use serde::Serialize;
use serde_json::json;

/// What an answer is called towards the caller.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The request key.
    pub key: String,
    /// The model.
    pub model: String,
    /// Whether the caller speaks of messages or of a prompt.
    pub is_chat: bool,
}

/// The event that ends a stream.
pub const LAST: &str = "data: [DONE]\n\n";

impl Shape {
    /// Writes one token as an event. Its id is the offset, to come back with.
    pub fn token(&self, offset: u64, text: &str) -> String {
        format!("id: {offset}\ndata: {}\n\n", self.chunk(Some(text), None))
    }

    /// Writes the event after the last token.
    pub fn finish(&self) -> String {
        format!("data: {}\n\n", self.chunk(None, Some("stop")))
    }

    /// Writes the whole answer as one document.
    pub fn whole(&self, text: &str, tokens: u64) -> String {
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

/// A part of an answer, as the usual protocol has it.
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
