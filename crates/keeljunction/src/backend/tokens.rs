//! Parsing of tokens from an engine's event stream.

use std::io;
use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use eventsource_stream::{Event, Eventsource};
use futures_lite::{Stream, StreamExt, stream};
use http_body_util::BodyDataStream;
use keeljunction_core::serving::event_stream::Scanner;
use keeljunction_core::serving::response_body;
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
        let events = read_events(body).eventsource();
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

/// Splits a body into complete events, and fails if too many bytes arrive without completing one. The
/// parser would scan an incomplete event from its start again with each chunk.
fn read_events(body: http::ResponseBody) -> impl Stream<Item = io::Result<Bytes>> {
    let buffer = EventBuffer::default();
    stream::try_unfold((BodyDataStream::new(body), buffer), |(mut body, mut buffer)| async move {
        loop {
            if let Some(event) = buffer.next_event() {
                return Ok(Some((event, (body, buffer))));
            }
            if buffer.is_endless() {
                log::warn!("an engine's response is a stream in which no event ends");
                return Err(io::Error::other("no event ends"));
            }
            let Some(data) = body.next().await else { return Ok(None) };
            buffer.pending.extend_from_slice(&data.map_err(io::Error::other)?);
        }
    })
}

/// The received part of a stream, without the comments and blank lines between events.
#[derive(Default)]
struct EventBuffer {
    pending: BytesMut,
    scanner: Scanner,
    /// The number of pending bytes that the scanner has read.
    scanned: usize,
}

impl EventBuffer {
    /// Takes the next complete event.
    fn next_event(&mut self) -> Option<Bytes> {
        while let Some(read) = self.scanner.read_to_boundary(&self.pending[self.scanned..]) {
            let bytes = self.pending.split_to(self.scanned + read);
            self.scanned = 0;
            if self.scanner.is_after_event() {
                return Some(bytes.freeze());
            }
        }
        self.scanned = self.pending.len();
        None
    }

    /// Returns `true` if too much was received without the end of an event.
    fn is_endless(&self) -> bool {
        response_body::is_endless(&self.scanner)
    }
}
