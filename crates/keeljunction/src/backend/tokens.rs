//! Tokens from an engine's event stream.

use std::pin::Pin;

use eventsource_stream::{Event, Eventsource};
use futures_lite::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use serde::Deserialize;

use crate::http;

const LAST: &str = "[DONE]";

/// One thing that an engine says in a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// A token with its attempt and offset.
    Token {
        /// The attempt that it belongs to.
        attempt: String,
        /// Its place in the answer, from 0.
        offset: u64,
        /// Its text.
        text: String,
    },
    /// The answer is whole.
    Last,
}

type Events = Pin<Box<dyn Stream<Item = Option<Event>> + Send>>;

/// A stream of tokens from an engine.
pub struct Tokens {
    events: Events,
    /// Tokens that the engine had to compute before the first of these.
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
    /// Reads tokens from the body of an engine's response.
    pub fn new(body: http::ResponseBody, prefill: u64) -> Self {
        let events = BodyDataStream::new(body).eventsource();
        Self { events: Box::pin(events.map(Result::ok)), prefill }
    }

    /// Returns the next piece; `None` where the stream broke off or is not understood.
    pub async fn next(&mut self) -> Option<Piece> {
        loop {
            let event = self.events.next().await??;
            if event.data == LAST {
                return Some(Piece::Last);
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
