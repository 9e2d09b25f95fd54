//! Reads an answer from its server.
//!
//! A stream that may be resumed is cut into events, so that another server can go on after the
//! last whole one. All other bodies are taken as they are. A body that breaks off ends with an
//! error, which cuts the caller's connection, so that it never looks whole.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::{Stream, future, stream};
use http_body_util::BodyExt;
use keeljunction_core::Millis;
use keeljunction_core::serving::configuration::RouteKind;
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::event_stream::{Sequence, SequenceCheck, Splitter};
use keeljunction_core::serving::rollout::Phase;

use super::admission::Exchange;
use super::attempt::{self, Answer, AnswerBody, LoadGuard};
use super::dispatch;
use super::progress::Tried;
use super::relay;
use super::respond::{ANSWERED, Record};
use crate::event::{self, Event};
use crate::http::ResponseBody;
use crate::node::{Node, crashes, rollouts};
use crate::runtime;

/// An answer that has begun.
pub(super) struct Open {
    /// Its status.
    pub status: u16,
    /// The server that sends it.
    pub server: Server,
    /// What has come.
    pub first: Bytes,
    /// The rest.
    pub rest: ResponseBody,
    /// Counts the request at the server.
    pub load: LoadGuard,
}

/// What comes of an answer.
pub(super) enum Step {
    /// A piece of it.
    Piece(Bytes),
    /// Its end, or why it is not whole, with the record of its request.
    End(io::Result<()>, Box<Record>),
}

/// An answer as it comes.
pub(super) type Source = Pin<Box<dyn Stream<Item = Step> + Send>>;

/// Reads the rest of an answer, from one server after another where its route allows it.
pub(super) fn read(node: Arc<Node>, exchange: Arc<Exchange>, record: Record, open: Open) -> Source {
    let Open { status, server, first, rest, load } = open;
    let due = Duration::from_millis(exchange.get_left(node.now()));
    let relay = Relay {
        status,
        splitter: is_resumable(&exchange).then(Splitter::default),
        sequence: Sequence::after(exchange.head.last_event_id),
        ready: VecDeque::new(),
        reply: Some(rest),
        tried: Tried { all: vec![server.id.clone()], ended: Vec::new() },
        pace: Pace::new(node.now(), server),
        due: Box::pin(runtime::sleep(due)),
        load: Some(load),
        node,
        exchange,
        record: Box::new(record),
        end: None,
    };
    Box::pin(relay.into_stream(first))
}

fn is_resumable(exchange: &Exchange) -> bool {
    exchange.route.kind == RouteKind::Streaming { resumable: true }
}

/// An answer that is being read, from one server or from several in turn.
struct Relay {
    node: Arc<Node>,
    exchange: Arc<Exchange>,
    record: Box<Record>,
    status: u16,
    splitter: Option<Splitter>,
    sequence: Sequence,
    ready: VecDeque<Bytes>,
    reply: Option<ResponseBody>,
    tried: Tried,
    pace: Pace,
    due: Pin<Box<dyn Future<Output = ()> + Send>>,
    load: Option<LoadGuard>,
    end: Option<End>,
}

/// How fast one server sends its part of a stream.
struct Pace {
    server: Server,
    began_at: Millis,
    last_at: Millis,
    pieces: u64,
}

impl Pace {
    fn new(now: Millis, server: Server) -> Self {
        Self { server, began_at: now, last_at: now, pieces: 0 }
    }

    fn note(&mut self, now: Millis) {
        self.pieces += 1;
        self.last_at = now;
    }

    /// Returns the mean time between two pieces; `None` where there was one only.
    fn get_mean(&self) -> Option<Millis> {
        (self.last_at - self.began_at).checked_div(self.pieces)
    }
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Whole,
    Broken(&'static str),
}

/// What came next from the server.
enum Next {
    Data(Bytes),
    Whole,
    Broken,
    Due,
}

impl Relay {
    fn into_stream(mut self, first: Bytes) -> impl Stream<Item = Step> {
        self.take(first);
        stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next_piece().await {
                Ok(Some(piece)) => Some((Step::Piece(piece), Some(relay))),
                Ok(None) => Some((Step::End(Ok(()), relay.record), None)),
                Err(error) => Some((Step::End(Err(error), relay.record), None)),
            }
        })
    }

    /// Returns the next piece; `None` after the last one.
    async fn next_piece(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            if let Some(piece) = self.ready.pop_front() {
                return Ok(Some(piece));
            }
            match self.end {
                Some(End::Whole) => return Ok(None),
                Some(End::Broken(why)) => {
                    return Err(io::Error::new(io::ErrorKind::UnexpectedEof, why));
                }
                None => {}
            }
            match self.receive().await {
                Next::Data(data) => {
                    self.node.count_cross_region_bytes(
                        &self.pace.server.data_centre,
                        0,
                        data.len(),
                    );
                    self.pace.note(self.node.now());
                    self.take(data);
                }
                Next::Whole => {
                    self.note_stream(true);
                    self.finish();
                }
                Next::Due => self.stop(End::Broken("timeout")),
                Next::Broken => {
                    self.note_stream(false);
                    self.go_on_elsewhere().await;
                }
            }
        }
    }

    async fn receive(&mut self) -> Next {
        // A server whose bytes always wait would never let the timer be polled.
        if self.exchange.get_left(self.node.now()) == 0 {
            return Next::Due;
        }
        let Some(reply) = self.reply.as_mut() else { return Next::Broken };
        let due = &mut self.due;
        let received = async {
            loop {
                match reply.frame().await {
                    None => return Next::Whole,
                    Some(Err(_)) => return Next::Broken,
                    Some(Ok(frame)) => {
                        if let Ok(data) = frame.into_data() {
                            return Next::Data(data);
                        }
                    }
                }
            }
        };
        let due = async {
            due.await;
            Next::Due
        };
        future::or(received, due).await
    }

    /// Counts how the server's part of the stream ended.
    fn note_stream(&self, is_whole: bool) {
        let (server, route) = (&self.pace.server, &self.exchange.route.name);
        match is_whole {
            true => {
                let Some(mean) = self.pace.get_mean() else { return };
                rollouts::note_success(&self.node, server, route, Phase::Stream, mean);
            }
            false => rollouts::note_failure(&self.node, server, route, Phase::Stream),
        }
    }

    /// Takes bytes of the server: as they are, or the whole events among them.
    fn take(&mut self, data: Bytes) {
        let Some(splitter) = self.splitter.as_mut() else {
            self.ready.push_back(data);
            return;
        };
        splitter.push(&data);
        while let Some(event) = splitter.next_event() {
            let verdict = event.id.map_or(SequenceCheck::Next, |id| self.sequence.check(id));
            match verdict {
                SequenceCheck::Next => self.ready.push_back(event.bytes),
                SequenceCheck::Duplicate => {}
                SequenceCheck::Gap => {
                    self.stop(End::Broken("an event is missing"));
                    return;
                }
            }
        }
    }

    /// Ends with what the server ended with; an event that was cut in two is no end.
    fn finish(&mut self) {
        let is_cut = self.splitter.as_ref().is_some_and(|s| !s.get_rest().is_empty());
        match is_cut {
            true => self.stop(End::Broken("an event is cut")),
            false => {
                relay::note_success(&self.node, &self.exchange, self.status);
                self.record.end(self.status, ANSWERED);
                self.stop(End::Whole);
            }
        }
    }

    fn stop(&mut self, end: End) {
        self.record.note_answer_end();
        if let End::Broken(why) = end {
            self.record.end(self.status, if why == "timeout" { "cut_by_timeout" } else { "cut" });
        }
        self.reply = None;
        self.load = None;
        self.end = Some(end);
    }

    /// Lets another server go on after the last whole event, where the route allows it.
    async fn go_on_elsewhere(&mut self) {
        attempt::note_end(&self.node, &self.pace.server);
        if let Some(load) = &self.load {
            let since = Some(self.pace.began_at);
            let run = self.exchange.cut_run(self.node.now(), load.get_begin(), since);
            crashes::note_interrupted_attempt(&self.node, &self.pace.server, run);
        }
        self.reply = None;
        self.load = None;
        event::emit(&Event::AttemptFailed {
            request: &self.record.id,
            server: self.tried.all.last().map_or("", String::as_str),
            attempt: self.record.attempts,
            may_have_run: true,
            why: "broke_off",
        });
        let Some(splitter) = self.splitter.as_mut() else {
            return self.stop(End::Broken("the server broke off"));
        };
        *splitter = Splitter::default();
        let order_after = self.sequence.get_last();
        let resumed = dispatch::resume(
            &self.node,
            &self.exchange,
            &mut self.record,
            &mut self.tried,
            order_after,
        )
        .await;
        match resumed {
            Some(Answer { server, body: AnswerBody::Open { first, rest }, load, .. }) => {
                self.pace = Pace::new(self.node.now(), server);
                self.node.metrics.resumed.inc();
                self.reply = Some(rest);
                self.load = Some(load);
                self.take(first);
            }
            Some(Answer { body: AnswerBody::Whole(bytes), .. }) => {
                self.take(bytes);
                if self.end.is_none() {
                    self.finish();
                }
            }
            None => self.stop(End::Broken("no server goes on")),
        }
    }
}
