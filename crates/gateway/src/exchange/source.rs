//! Reads a response body from its server.
//!
//! A resumable stream is split into events, so that another server can resume it after the last
//! complete event. Other bodies are forwarded unchanged. An incomplete body ends with an error, so
//! that it does not look complete to the caller.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::{Stream, future, stream};
use keeljunction_core::Millis;
use keeljunction_core::serving::configuration::RouteKind;
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::event_stream::{Sequence, SequenceCheck, Splitter};
use keeljunction_core::serving::response_body::Content;
use keeljunction_core::serving::rollout::Phase;

use super::admission::Exchange;
use super::attempt::{self, ServerBody, ServerResponse};
use super::attempt_error::AttemptError;
use super::dispatch;
use super::load_guard::LoadGuard;
use super::notes;
use super::progress::Tried;
use super::respond::{ANSWERED, RequestRecord};
use super::server_body::{BodyReader, Cut};
use crate::event::{self, Event};
use crate::node::{Node, crashes, rollouts, server_paths};
use crate::runtime;

/// A response whose body has started.
pub(super) struct PartialResponse {
    /// The response status.
    pub status: u16,
    /// The server that sends the response.
    pub server: Server,
    /// What the body consists of.
    pub content: Content,
    /// The part of the body received so far.
    pub received: Bytes,
    /// The remaining body.
    pub rest: BodyReader,
    /// Counts the request in the server's load.
    pub load: LoadGuard,
}

/// An event of a response body.
pub(super) enum BodyEvent {
    /// A chunk of the body.
    Chunk(Bytes),
    /// The end of the body or the error that interrupted it, with the record of the request.
    End(io::Result<()>, Box<RequestRecord>),
}

/// A response body as a stream of events.
pub(super) type Source = Pin<Box<dyn Stream<Item = BodyEvent> + Send>>;

/// Reads the rest of a response body, from several servers in turn if the route allows that.
pub(super) fn read(
    node: Arc<Node>,
    exchange: Arc<Exchange>,
    record: RequestRecord,
    partial: PartialResponse,
) -> Source {
    let PartialResponse { status, server, content, received, rest, load } = partial;
    let time_remaining = Duration::from_millis(exchange.get_time_remaining(node.now()));
    let reader = StreamReader {
        status,
        splitter: is_resumable(&exchange, status, content).then(Splitter::default),
        sequence: Sequence::after(exchange.head.last_event_id),
        open_event: None,
        pending: VecDeque::new(),
        body: Some(rest),
        tried: Tried { all: vec![server.id.clone()], disconnected: Vec::new() },
        timing: StreamTiming::new(node.now(), server),
        deadline: Box::pin(runtime::sleep(time_remaining)),
        load: Some(load),
        node,
        exchange,
        record: Box::new(record),
        end: None,
    };
    Box::pin(reader.into_stream(received))
}

/// Returns `true` if another server may continue a response. An error response is pinned to no
/// software version, and what another server sends does not belong to its status.
fn is_resumable(exchange: &Exchange, status: u16, content: Content) -> bool {
    let is_resumable_route = exchange.route.kind == RouteKind::Streaming { resumable: true };
    let is_success = (200..300).contains(&status);
    is_resumable_route && is_success && content == Content::Events
}

/// Reads a response body from one server, or from several in turn.
struct StreamReader {
    node: Arc<Node>,
    exchange: Arc<Exchange>,
    record: Box<RequestRecord>,
    status: u16,
    splitter: Option<Splitter>,
    sequence: Sequence,
    /// The result for a partly received event, if its parts are forwarded separately.
    open_event: Option<SequenceCheck>,
    pending: VecDeque<Bytes>,
    body: Option<BodyReader>,
    tried: Tried,
    timing: StreamTiming,
    deadline: Pin<Box<dyn Future<Output = ()> + Send>>,
    load: Option<LoadGuard>,
    end: Option<StreamEnd>,
}

/// Timing of the part of a stream that one server sends.
struct StreamTiming {
    server: Server,
    started_at: Millis,
    last_chunk_at: Millis,
    chunk_count: u64,
}

impl StreamTiming {
    fn new(now: Millis, server: Server) -> Self {
        Self { server, started_at: now, last_chunk_at: now, chunk_count: 0 }
    }

    fn record_chunk(&mut self, now: Millis) {
        self.chunk_count += 1;
        self.last_chunk_at = now;
    }

    /// Returns the mean time between two chunks, or `None` if there was only one.
    fn get_mean(&self) -> Option<Millis> {
        (self.last_chunk_at - self.started_at).checked_div(self.chunk_count)
    }
}

/// How a response body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    Complete,
    Broken(&'static str),
}

/// Next event from the server.
enum ServerEvent {
    Data(Bytes),
    Complete,
    Broken(Cut),
    TimedOut,
}

impl StreamReader {
    fn into_stream(mut self, received: Bytes) -> impl Stream<Item = BodyEvent> {
        self.push_data(received);
        stream::unfold(Some(self), |reader| async move {
            let mut reader = reader?;
            match reader.next_chunk().await {
                Ok(Some(chunk)) => Some((BodyEvent::Chunk(chunk), Some(reader))),
                Ok(None) => Some((BodyEvent::End(Ok(()), reader.record), None)),
                Err(error) => Some((BodyEvent::End(Err(error), reader.record), None)),
            }
        })
    }

    /// Returns the next chunk, or `None` after the last one.
    async fn next_chunk(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            if let Some(chunk) = self.pending.pop_front() {
                return Ok(Some(chunk));
            }
            match self.end {
                Some(StreamEnd::Complete) => return Ok(None),
                Some(StreamEnd::Broken(why)) => {
                    return Err(io::Error::new(io::ErrorKind::UnexpectedEof, why));
                }
                None => {}
            }
            match self.receive().await {
                ServerEvent::Data(data) => {
                    self.node.count_cross_region_bytes(
                        &self.timing.server.data_centre,
                        0,
                        data.len(),
                    );
                    self.timing.record_chunk(self.node.now());
                    self.push_data(data);
                }
                ServerEvent::Complete => {
                    self.record_stream_end(None);
                    self.finish();
                }
                ServerEvent::TimedOut => self.stop(StreamEnd::Broken("timeout")),
                ServerEvent::Broken(cut) => {
                    self.record_stream_end(Some(cut));
                    self.resume_on_other_server(cut).await;
                }
            }
        }
    }

    async fn receive(&mut self) -> ServerEvent {
        // Without this check, a server that always has data ready would keep the timer from
        // being polled.
        if self.exchange.get_time_remaining(self.node.now()) == 0 {
            return ServerEvent::TimedOut;
        }
        let Some(body) = self.body.as_mut() else { return ServerEvent::Broken(Cut::Interrupted) };
        let deadline = &mut self.deadline;
        let received = async {
            match body.read().await {
                Ok(Some(data)) => ServerEvent::Data(data),
                Ok(None) => ServerEvent::Complete,
                Err(cut) => ServerEvent::Broken(cut),
            }
        };
        let timed_out = async {
            deadline.await;
            ServerEvent::TimedOut
        };
        future::or(received, timed_out).await
    }

    /// Records how the server's part of the stream ended: complete, or with a cut.
    fn record_stream_end(&self, cut: Option<Cut>) {
        let (server, route) = (&self.timing.server, &self.exchange.route.name);
        match cut {
            None => {
                let Some(mean) = self.timing.get_mean() else { return };
                rollouts::record_success(&self.node, server, route, Phase::Stream, mean);
            }
            Some(cut) => {
                let is_broken = cut != Cut::Endless;
                server_paths::report_failure(&self.node, server, route, Phase::Stream, is_broken);
            }
        }
    }

    /// Adds data from the server: unchanged, or split into complete events.
    fn push_data(&mut self, data: Bytes) {
        let Some(splitter) = self.splitter.as_mut() else {
            self.pending.push_back(data);
            return;
        };
        splitter.push(&data);
        while let Some(event) = splitter.next_event() {
            let checked = self.open_event.take().unwrap_or_else(|| {
                event.id.map_or(SequenceCheck::Next, |id| self.sequence.check(id))
            });
            self.open_event = (!event.is_complete).then_some(checked);
            match checked {
                SequenceCheck::Next => self.pending.push_back(event.bytes),
                SequenceCheck::Duplicate => {}
                SequenceCheck::Gap => {
                    self.stop(StreamEnd::Broken("an event is missing"));
                    return;
                }
            }
        }
    }

    /// Ends a complete body.
    fn finish(&mut self) {
        notes::record_success(&self.node, &self.exchange, self.status);
        self.record.set_outcome(self.status, ANSWERED);
        self.stop(StreamEnd::Complete);
    }

    fn stop(&mut self, end: StreamEnd) {
        self.record.record_response_end();
        if let StreamEnd::Broken(why) = end {
            let outcome = if why == "timeout" { "cut_by_timeout" } else { "cut" };
            self.record.set_outcome(self.status, outcome);
        }
        self.body = None;
        self.load = None;
        self.end = Some(end);
    }

    /// Records why the server's part of the stream ended. A server that sends no response has not crashed.
    fn record_cut(&self, cut: Cut) {
        let server = &self.timing.server;
        if cut == Cut::Endless {
            let error = AttemptError::Endless;
            return notes::record_failure(&self.node, &self.exchange, &self.record, server, error);
        }
        attempt::record_disconnect(&self.node, server);
        if let Some(load) = &self.load {
            let response_started_at = Some(self.timing.started_at);
            let interrupted = self.exchange.get_interrupted_attempt(
                self.node.now(),
                load.get_start(),
                response_started_at,
            );
            crashes::record_interrupted_attempt(&self.node, server, interrupted);
        }
        event::emit(&Event::AttemptFailed {
            request: &self.record.id,
            server: self.tried.all.last().map_or("", String::as_str),
            attempt: self.record.attempts,
            may_have_run: true,
            why: cut.as_str(),
        });
    }

    /// Resumes the stream on another server after the last complete event, if the route allows it.
    async fn resume_on_other_server(&mut self, cut: Cut) {
        self.record_cut(cut);
        self.body = None;
        self.load = None;
        let Some(splitter) = self.splitter.as_mut() else {
            return self.stop(StreamEnd::Broken("the server broke off"));
        };
        // The caller has a part of this event, which no server can continue.
        if self.open_event.take() == Some(SequenceCheck::Next) {
            return self.stop(StreamEnd::Broken("the server broke off inside a long event"));
        }
        *splitter = Splitter::default();
        let last_event_id = self.sequence.get_last();
        let resumed = dispatch::resume(
            &self.node,
            &self.exchange,
            &mut self.record,
            &mut self.tried,
            last_event_id,
        )
        .await;
        match resumed {
            Some(ServerResponse {
                server,
                body: ServerBody::Partial { received, rest },
                load,
                ..
            }) => {
                self.timing = StreamTiming::new(self.node.now(), server);
                self.node.metrics.resumed.inc();
                self.body = Some(rest);
                self.load = Some(load);
                self.push_data(received);
            }
            Some(ServerResponse { body: ServerBody::Complete(bytes), .. }) => {
                self.push_data(bytes);
                if self.end.is_none() {
                    self.finish();
                }
            }
            None => self.stop(StreamEnd::Broken("no server goes on")),
        }
    }
}
