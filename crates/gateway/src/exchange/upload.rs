//! Reads a request's body whole, within the node's memory and the caller's time.
//!
//! A declared length is reserved before anything is read; a body without one grows in steps, each
//! of which is reserved first. What is read is released with the last copy of the body.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::{Body as HttpBody, Incoming};
use hyper::header::EXPECT;
use keeljunction_core::Millis;
use keeljunction_core::serving::memory::{Claim, Kind};
use keeljunction_core::serving::refusal::Refusal;
use keeljunction_core::serving::upload::Pace;

use crate::event::{self, Event};
use crate::http::Stop;
use crate::metrics::ReasonLabels;
use crate::node::Node;
use crate::node::memory::Reservation;
use crate::runtime;

/// The least step in which a body without a length grows, in bytes: what is read at once.
const LEAST_STEP: u64 = 16 * 1024;
/// The part of what is held by which it grows: few steps for long bodies, and little in vain.
const STEP_PART: u64 = 4;
/// The time for which what a caller still sends is read and dropped after a refusal. A connection
/// that closes with unread bytes is reset, which takes the refusal from its caller.
const DRAIN_WITHIN: Duration = Duration::from_secs(2);

/// Why there is no body, and after how many milliseconds the caller should retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Failed {
    /// Why.
    pub reason: Refusal,
    /// When to retry.
    pub retry_after: Millis,
}

impl From<Refusal> for Failed {
    fn from(reason: Refusal) -> Self {
        Self { reason, retry_after: 0 }
    }
}

/// What a body may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Bounds {
    /// Its bytes.
    pub bytes: u64,
    /// The time in which it has to bring the least rate's bytes.
    pub window: Millis,
    /// The time until it is whole.
    pub within: Millis,
}

/// A body for which memory is reserved, and of which nothing has been read.
pub(super) struct Upload<'a> {
    node: &'a Arc<Node>,
    request: &'a str,
    bounds: Bounds,
    length: Option<u64>,
    /// None where there is no body.
    reservation: Option<Reservation>,
}

impl<'a> Upload<'a> {
    /// Reserves memory for a body.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::BodyTooLong`] and [`Refusal::NoMemory`].
    pub async fn begin(
        node: &'a Arc<Node>,
        request: &'a str,
        account: &str,
        urgency: u32,
        arriving: &Arriving,
        bounds: Bounds,
    ) -> Result<Self, Failed> {
        let length = arriving.body.size_hint().exact();
        let reservation = match length {
            Some(0) => None,
            Some(length) if length > bounds.bytes => return Err(Refusal::BodyTooLong.into()),
            _ => {
                let claim = Claim { kind: Kind::RequestBody, account, urgency };
                let mut reservation = Reservation::for_claim(node, &claim);
                grow(&mut reservation, length.unwrap_or(LEAST_STEP.min(bounds.bytes))).await?;
                Some(reservation)
            }
        };
        Ok(Self { node, request, bounds, length, reservation })
    }

    /// Reads the body.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::BodyTimeout`] where it comes too slowly, [`Refusal::NoMemory`] where it
    /// is evicted, [`Refusal::BodyTooLong`] and [`Refusal::BadRequest`].
    pub async fn read(mut self, arriving: &mut Arriving) -> Result<Bytes, Failed> {
        let Some(mut reservation) = self.reservation.take() else { return Ok(Bytes::new()) };
        arriving.is_begun = true;
        let mut content = Vec::with_capacity(reservation.get_bytes() as usize);
        let mut wait = None;
        while self.length != Some(content.len() as u64) {
            let received = content.len() as u64;
            match next(&mut arriving.body, &mut wait, || self.begin_wait(&mut reservation)).await {
                Next::Data(data) => {
                    let needed = received + data.len() as u64;
                    if needed > self.bounds.bytes {
                        return Err(Refusal::BodyTooLong.into());
                    }
                    make_room(&mut reservation, &mut content, needed, self.bounds.bytes).await?;
                    content.extend_from_slice(&data);
                    if self.length != Some(needed) {
                        reservation.note_received(data.len() as u64);
                    }
                }
                Next::End if self.length.is_none() => break,
                Next::End | Next::Broken => return Err(Refusal::BadRequest.into()),
                Next::Tick if wait.as_mut().is_none_or(|wait| !wait.note_tick(received)) => {}
                Next::Tick => return Err(self.evict(received, TOO_SLOW)),
                Next::Due => return Err(self.evict(received, "deadline")),
                Next::Evicted => return Err(self.evict(received, NO_MEMORY)),
            }
        }
        reservation.note_whole();
        Ok(Bytes::from_owner(Held { content, _reservation: reservation }))
    }

    fn begin_wait(&self, reservation: &mut Reservation) -> Wait {
        let pace = Pace::new(self.bounds.window, self.length);
        let within = Duration::from_millis(self.bounds.within);
        Wait {
            stop: reservation.watch(),
            tick: Timer::after(Duration::from_millis(pace.get_tick())),
            due: Timer::after(within),
            pace,
        }
    }

    fn evict(&self, received: u64, why: &'static str) -> Failed {
        let labels = ReasonLabels { reason: why.to_owned() };
        self.node.metrics.uploads_evicted.get_or_create(&labels).inc();
        let (request, length) = (self.request, self.length);
        event::emit(&Event::UploadEvicted { request, received, length, why });
        match why {
            NO_MEMORY => Failed { reason: Refusal::NoMemory, retry_after: RETRY_AFTER },
            _ => Refusal::BodyTimeout.into(),
        }
    }
}

/// Why an upload is evicted.
const TOO_SLOW: &str = "too_slow";
const NO_MEMORY: &str = "no_memory";

/// `Retry-After` of an upload that was evicted, in milliseconds: the one that it made room for has
/// come by then, where it comes at a usual speed.
const RETRY_AFTER: Millis = 1_000;

/// A body with the memory that is reserved for it.
struct Held {
    content: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

/// What comes next of a body.
enum Next {
    Data(Bytes),
    End,
    Broken,
    Evicted,
    Tick,
    Due,
}

/// What ends the wait for more of a body; made only where a body does not come with its head, as
/// most do.
struct Wait {
    stop: Stop,
    tick: Timer,
    due: Timer,
    pace: Pace,
}

impl Wait {
    /// Notes a tick, and returns `true` if too little has come.
    fn note_tick(&mut self, received: u64) -> bool {
        self.tick.set_after(Duration::from_millis(self.pace.get_tick()));
        self.pace.note_tick(received)
    }

    async fn end(&mut self) -> Next {
        let stopped = async {
            self.stop.given().await;
            Next::Evicted
        };
        let due = async {
            (&mut self.due).await;
            Next::Due
        };
        let tick = async {
            (&mut self.tick).await;
            Next::Tick
        };
        future::or(stopped, future::or(due, tick)).await
    }
}

async fn next(
    body: &mut Incoming,
    wait: &mut Option<Wait>,
    begin_wait: impl FnOnce() -> Wait,
) -> Next {
    if wait.is_none()
        && let Some(next) = poll_twice(body).await
    {
        return next;
    }
    let wait = wait.get_or_insert_with(begin_wait);
    future::or(next_data(body), wait.end()).await
}

/// Looks for data that is there already: the connection that the body comes by reads on only after
/// the first look.
async fn poll_twice(body: &mut Incoming) -> Option<Next> {
    if let Some(next) = future::poll_once(next_data(body)).await {
        return Some(next);
    }
    future::yield_now().await;
    future::poll_once(next_data(body)).await
}

async fn next_data(body: &mut Incoming) -> Next {
    loop {
        match body.frame().await {
            None => return Next::End,
            Some(Err(_)) => return Next::Broken,
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Next::Data(data);
                }
            }
        }
    }
}

async fn grow(reservation: &mut Reservation, bytes: u64) -> Result<(), Failed> {
    let grown = reservation.grow_or_wait(bytes).await;
    grown.map_err(|retry_after| Failed { reason: Refusal::NoMemory, retry_after })
}

/// Lets a body grow to so many bytes at least.
async fn make_room(
    reservation: &mut Reservation,
    content: &mut Vec<u8>,
    needed: u64,
    most: u64,
) -> Result<(), Failed> {
    let held = reservation.get_bytes();
    if needed <= held {
        return Ok(());
    }
    let step = (held / STEP_PART).max(LEAST_STEP);
    let target = (held + step).max(needed).min(most);
    grow(reservation, target - held).await?;
    content.reserve_exact(target as usize - content.len());
    Ok(())
}

/// The body of a request, until it is read or its connection ends.
pub(super) struct Arriving {
    body: Incoming,
    has_asked: bool,
    is_begun: bool,
}

impl Arriving {
    /// Takes a body that nothing was read of. A caller that expects to be told sends nothing before.
    pub fn new(body: Incoming, headers: &HeaderMap) -> Self {
        Self { body, has_asked: headers.contains_key(EXPECT), is_begun: false }
    }

    /// Returns `true` if some of it may have been read.
    pub fn is_begun(&self) -> bool {
        self.is_begun
    }

    /// Reads and drops for a while what a refused caller still sends.
    ///
    /// A caller that has asked is told not to send: reading would tell it to.
    pub fn drain(self) {
        let is_told = self.has_asked && !self.is_begun;
        if self.body.is_end_stream() || is_told {
            return;
        }
        let mut body = self.body;
        runtime::spawn(async move {
            let drained = async { while let Some(Ok(_)) = body.frame().await {} };
            // Where the time is over, the connection closes with the body.
            let _ = runtime::within(DRAIN_WITHIN, drained).await;
        });
    }
}
