//! Parsing of tokens from an engine's event stream.

use std::pin::Pin;

use eventsource_stream::{Event, Eventsource};
use futures_lite::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use serde::Deserialize;

use crate::http;

const DONE: &str = "[DONE]";

/// One chunk of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// A token with its attempt and offset.
    Token {
        /// The ID of the attempt that it belongs to.
        attempt: String,
        /// The offset in the answer, from 0.
        offset: u64,
        /// The text of the token.
        text: String,
    },
    /// The end of a complete answer.
    End,
}

type Events = Pin<Box<dyn Stream<Item = Option<Event>> + Send>>;

/// A stream of tokens from an engine.
pub struct Tokens {
    events: Events,
    /// The number of tokens that the engine had to prefill before the first token.
    pub prefill: u64,
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    text: Option<String>,
    delta: Option<Delta>,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

impl Tokens {
    /// Creates a stream of tokens from the body of an engine's response.
    pub fn new(body: http::ResponseBody, prefill: u64) -> Self {
        let events = BodyDataStream::new(body).eventsource();
        Self { events: Box::pin(events.map(Result::ok)), prefill }
    }

    /// Returns the next chunk, or `None` if the stream was interrupted or is malformed.
    pub async fn next(&mut self) -> Option<Piece> {
        loop {
            let event = self.events.next().await??;
            if event.data == DONE {
                return Some(Piece::End);
            }
            if event.id.is_empty() {
                continue;
            }
            let (attempt, offset) = event.id.rsplit_once('/')?;
            let chunk: Chunk = serde_json::from_str(&event.data).ok()?;
            let choice = chunk.choices.into_iter().next()?;
            let text = choice.text.or(choice.delta.and_then(|delta| delta.content))?;
            let offset = offset.parse().ok()?;
            return Some(Piece::Token { attempt: attempt.to_owned(), offset, text });
        }
    }
}
