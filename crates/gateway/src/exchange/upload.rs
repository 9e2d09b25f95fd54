//! Reads a request's body whole, within the node's memory and the caller's time.
//!
//! A declared length is reserved before anything is read; a body without one grows in steps, each
//! of which is reserved first. What is read is released with the last copy of the body.

use std::pin::Pin;
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
use keeljunction_core::serving::memory::{Kind, Requester};
use keeljunction_core::serving::refusal::Refusal;
use keeljunction_core::serving::upload::RateMonitor;

use super::rejection::Rejection;
use crate::event::{self, Event};
use crate::http::StopSignal;
use crate::metrics::ReasonLabels;
use crate::node::Node;
use crate::node::memory::Reservation;
use crate::runtime;

/// The least step by which a body without a length grows, in bytes: the size of one read.
const LEAST_STEP: u64 = 16 * 1024;
/// The divisor of what is held that gives the step: a body grows by a quarter, in few steps and with
/// little memory unused.
const STEP_PART: u64 = 4;
/// How long what a caller still sends after a refusal is read and dropped. A connection that closes
/// with unread bytes is reset, and the refusal is lost.
const DRAIN_WITHIN: Duration = Duration::from_secs(2);
/// `Retry-After` of an evicted upload, in milliseconds: at a usual speed the body that needed its
/// memory has come by then.
const RETRY_AFTER: Millis = 1_000;
/// Why an upload is evicted, in logs and metrics: it is slower than the least rate.
const TOO_SLOW: &str = "too_slow";
/// Its time is over.
const DEADLINE: &str = "deadline";
/// It rested, and its memory was needed.
const NO_MEMORY: &str = "no_memory";

/// What a body may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Bounds {
    /// The most bytes.
    pub bytes: u64,
    /// The window over which the least rate is measured, in milliseconds.
    pub window: Millis,
    /// The time within which it must be whole, in milliseconds.
    pub within: Millis,
}

/// A body for which memory is reserved, and of which nothing has been read.
pub(super) struct Upload<'a> {
    node: &'a Arc<Node>,
    request: &'a str,
    bounds: Bounds,
    length: Option<u64>,
    /// `None` where there is no body.
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
    ) -> Result<Self, Rejection> {
        let length = arriving.body.size_hint().exact();
        let reservation = match length {
            Some(0) => None,
            Some(length) if length > bounds.bytes => return Err(Refusal::BodyTooLong.into()),
            _ => {
                let claim = Requester { kind: Kind::RequestBody, account, urgency };
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
    pub async fn read(mut self, arriving: &mut Arriving) -> Result<Bytes, Rejection> {
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
                Next::Due => return Err(self.evict(received, DEADLINE)),
                Next::Evicted => return Err(self.evict(received, NO_MEMORY)),
            }
        }
        reservation.note_complete();
        Ok(Bytes::from_owner(Held { content, _reservation: reservation }))
    }

    fn begin_wait(&self, reservation: &mut Reservation) -> Wait {
        let pace = RateMonitor::new(self.bounds.window, self.length);
        let within = Duration::from_millis(self.bounds.within);
        Wait {
            stop: reservation.watch_eviction(),
            tick: Timer::after(Duration::from_millis(pace.get_tick_interval())),
            due: Box::pin(runtime::sleep(within)),
            pace,
        }
    }

    /// Logs and counts an eviction, and returns the rejection of the request.
    fn evict(&self, received: u64, why: &'static str) -> Rejection {
        let labels = ReasonLabels { reason: why.to_owned() };
        self.node.metrics.uploads_evicted.get_or_create(&labels).inc();
        let (request, length) = (self.request, self.length);
        event::emit(&Event::UploadEvicted { request, received, length, why });
        match why {
            NO_MEMORY => Rejection { reason: Refusal::NoMemory, retry_after: RETRY_AFTER },
            _ => Refusal::BodyTimeout.into(),
        }
    }
}

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

/// What ends the wait for more of a body. Most bodies come with their head and need none.
struct Wait {
    stop: StopSignal,
    /// Only wakes the wait: a tick that comes late, after a suspension too, counts as one.
    tick: Timer,
    due: Pin<Box<dyn Future<Output = ()> + Send>>,
    pace: RateMonitor,
}

impl Wait {
    /// Notes a tick, and returns `true` if too little has come.
    fn note_tick(&mut self, received: u64) -> bool {
        self.tick.set_after(Duration::from_millis(self.pace.get_tick_interval()));
        self.pace.record_tick(received)
    }

    async fn end(&mut self) -> Next {
        let stopped = async {
            self.stop.wait().await;
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

/// Returns what comes next of a body.
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

/// Polls for data that has come already, twice: the connection task reads on only after the first
/// poll.
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

async fn grow(reservation: &mut Reservation, bytes: u64) -> Result<(), Rejection> {
    let grown = reservation.grow_or_wait(bytes).await;
    grown.map_err(|retry_after| Rejection { reason: Refusal::NoMemory, retry_after })
}

/// Reserves memory and makes room for `needed` bytes, and at most `most`.
async fn make_room(
    reservation: &mut Reservation,
    content: &mut Vec<u8>,
    needed: u64,
    most: u64,
) -> Result<(), Rejection> {
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
    /// Whether the caller waits for `100 Continue` before it sends the body.
    expects_continue: bool,
    /// Whether some of it may have been read.
    is_begun: bool,
}

impl Arriving {
    /// Takes a body of which nothing was read.
    pub fn new(body: Incoming, headers: &HeaderMap) -> Self {
        Self { body, expects_continue: headers.contains_key(EXPECT), is_begun: false }
    }

    /// Returns `true` if some of it may have been read.
    pub fn is_begun(&self) -> bool {
        self.is_begun
    }

    /// Reads and drops for a while what a refused caller still sends.
    ///
    /// A caller that still waits for `100 Continue` sends nothing, and reading would send it that.
    pub fn drain(self) {
        let is_waiting = self.expects_continue && !self.is_begun;
        if self.body.is_end_stream() || is_waiting {
            return;
        }
        let mut body = self.body;
        runtime::spawn(async move {
            let drained = async { while let Some(Ok(_)) = body.frame().await {} };
            // After that the body is dropped, which closes the connection.
            let _ = runtime::timeout(DRAIN_WITHIN, drained).await;
        });
    }
}
