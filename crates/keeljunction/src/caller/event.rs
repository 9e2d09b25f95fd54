//! Answers of models, as events or as one document.

use serde_json::{Value, json};

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
        let choice = match self.is_chat {
            true => json!({ "index": 0, "delta": { "content": text }, "finish_reason": null }),
            false => json!({ "index": 0, "text": text, "finish_reason": null }),
        };
        format!("id: {offset}\ndata: {}\n\n", self.chunk(choice))
    }

    /// Writes the event after the last token.
    pub fn finish(&self) -> String {
        let choice = match self.is_chat {
            true => json!({ "index": 0, "delta": {}, "finish_reason": "stop" }),
            false => json!({ "index": 0, "text": "", "finish_reason": "stop" }),
        };
        format!("data: {}\n\n", self.chunk(choice))
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

    fn chunk(&self, choice: Value) -> Value {
        let object = if self.is_chat { "chat.completion.chunk" } else { "text_completion" };
        json!({ "id": self.key, "object": object, "model": self.model, "choices": [choice] })
    }
}
