//! Reads a whole request body within the memory budget and the time limit.
//!
//! The declared length is reserved before anything is read. A body without a declared length grows
//! in steps, and each step is reserved first. Memory is released with the last copy of the body.

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
use crate::node::memory::ReservationGuard;
use crate::runtime;

/// Minimum step by which a body without a declared length grows: the size of one read.
const MIN_STEP_BYTES: u64 = 16 * 1024;
/// Divisor of the reserved bytes that gives the next step. Growing by a quarter takes few steps and
/// leaves little memory unused.
const STEP_DIVISOR: u64 = 4;
/// Time for which the remaining bytes of a rejected request are read and discarded. Closing a
/// connection with unread bytes resets it, and the caller loses the rejection.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// `Retry-After` of an evicted upload. At a usual speed, the body that needed the memory has
/// arrived by then.
const EVICTED_RETRY_AFTER_MS: Millis = 1_000;
/// Eviction reason in logs and metrics: the upload is below the minimum rate.
const TOO_SLOW: &str = "too_slow";
/// Eviction reason in logs and metrics: the upload timed out.
const DEADLINE: &str = "deadline";
/// Eviction reason in logs and metrics: the upload was stalled and its memory was needed.
const NO_MEMORY: &str = "no_memory";

/// Limits on a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BodyLimits {
    /// Maximum size.
    pub max_bytes: u64,
    /// Window over which the minimum rate is measured, in milliseconds.
    pub rate_window: Millis,
    /// Time within which the body must be complete, in milliseconds.
    pub timeout: Millis,
}

/// A body whose memory is reserved and that has not been read yet.
pub(super) struct Upload<'a> {
    node: &'a Arc<Node>,
    request: &'a str,
    limits: BodyLimits,
    length: Option<u64>,
    /// `None` if there is no body.
    reservation: Option<ReservationGuard>,
}

impl<'a> Upload<'a> {
    /// Reserves memory for a body.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::BodyTooLong`] if the declared length exceeds the limit, and
    /// [`Refusal::NoMemory`] if the memory cannot be reserved.
    pub async fn reserve(
        node: &'a Arc<Node>,
        request: &'a str,
        account: &str,
        urgency: u32,
        incoming_body: &IncomingBody,
        limits: BodyLimits,
    ) -> Result<Self, Rejection> {
        let length = incoming_body.body.size_hint().exact();
        let reservation = match length {
            Some(0) => None,
            Some(length) if length > limits.max_bytes => return Err(Refusal::BodyTooLong.into()),
            _ => {
                let requester = Requester { kind: Kind::RequestBody, account, urgency };
                let mut reservation = ReservationGuard::for_requester(node, &requester);
                grow(&mut reservation, length.unwrap_or(MIN_STEP_BYTES.min(limits.max_bytes)))
                    .await?;
                Some(reservation)
            }
        };
        Ok(Self { node, request, limits, length, reservation })
    }

    /// Reads the body.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::BodyTimeout`] if the body arrives too slowly, [`Refusal::NoMemory`] if it
    /// is evicted, [`Refusal::BodyTooLong`] if it exceeds the limit, and [`Refusal::BadRequest`] if
    /// it ends early or cannot be read.
    pub async fn read(mut self, incoming_body: &mut IncomingBody) -> Result<Bytes, Rejection> {
        let Some(mut reservation) = self.reservation.take() else { return Ok(Bytes::new()) };
        incoming_body.has_read_started = true;
        let mut content = Vec::with_capacity(reservation.get_bytes() as usize);
        let mut wait = None;
        while self.length != Some(content.len() as u64) {
            let received = content.len() as u64;
            match next_event(&mut incoming_body.body, &mut wait, || {
                self.start_wait(&mut reservation)
            })
            .await
            {
                ReadEvent::Data(data) => {
                    let needed = received + data.len() as u64;
                    if needed > self.limits.max_bytes {
                        return Err(Refusal::BodyTooLong.into());
                    }
                    ensure_capacity(&mut reservation, &mut content, needed, self.limits.max_bytes)
                        .await?;
                    content.extend_from_slice(&data);
                    if self.length != Some(needed) {
                        reservation.record_received(data.len() as u64);
                    }
                }
                ReadEvent::End if self.length.is_none() => break,
                ReadEvent::End | ReadEvent::Failed => return Err(Refusal::BadRequest.into()),
                ReadEvent::Tick if wait.as_mut().is_none_or(|wait| !wait.record_tick(received)) => {
                }
                ReadEvent::Tick => return Err(self.evict(received, TOO_SLOW)),
                ReadEvent::TimedOut => return Err(self.evict(received, DEADLINE)),
                ReadEvent::Evicted => return Err(self.evict(received, NO_MEMORY)),
            }
        }
        reservation.complete_upload();
        Ok(Bytes::from_owner(ReservedBytes { content, _reservation: reservation }))
    }

    fn start_wait(&self, reservation: &mut ReservationGuard) -> Wait {
        let rate_monitor = RateMonitor::new(self.limits.rate_window, self.length);
        let timeout = Duration::from_millis(self.limits.timeout);
        Wait {
            eviction: reservation.watch_eviction(),
            tick: Timer::after(Duration::from_millis(rate_monitor.get_tick_interval())),
            deadline: Box::pin(runtime::sleep(timeout)),
            rate_monitor,
        }
    }

    /// Logs and counts an eviction, and returns the rejection of the request.
    fn evict(&self, received: u64, why: &'static str) -> Rejection {
        let labels = ReasonLabels { reason: why.to_owned() };
        self.node.metrics.uploads_evicted.get_or_create(&labels).inc();
        let (request, length) = (self.request, self.length);
        event::emit(&Event::UploadEvicted { request, received, length, why });
        match why {
            NO_MEMORY => {
                Rejection { reason: Refusal::NoMemory, retry_after: EVICTED_RETRY_AFTER_MS }
            }
            _ => Refusal::BodyTimeout.into(),
        }
    }
}

/// A body with the memory reserved for it.
struct ReservedBytes {
    content: Vec<u8>,
    _reservation: ReservationGuard,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

/// Next event while a body is read.
enum ReadEvent {
    Data(Bytes),
    End,
    Failed,
    Evicted,
    Tick,
    TimedOut,
}

/// Conditions that end the wait for more of a body. Most bodies arrive with their head and need no
/// wait.
struct Wait {
    eviction: StopSignal,
    /// Only wakes the wait. A tick that fires late, for example after a suspension, counts once.
    tick: Timer,
    deadline: Pin<Box<dyn Future<Output = ()> + Send>>,
    rate_monitor: RateMonitor,
}

impl Wait {
    /// Records a tick, and returns `true` if the body is below the minimum rate.
    fn record_tick(&mut self, received: u64) -> bool {
        self.tick.set_after(Duration::from_millis(self.rate_monitor.get_tick_interval()));
        self.rate_monitor.record_tick(received)
    }

    async fn wait(&mut self) -> ReadEvent {
        let evicted = async {
            self.eviction.wait().await;
            ReadEvent::Evicted
        };
        let timed_out = async {
            (&mut self.deadline).await;
            ReadEvent::TimedOut
        };
        let tick = async {
            (&mut self.tick).await;
            ReadEvent::Tick
        };
        future::or(evicted, future::or(timed_out, tick)).await
    }
}

/// Returns the next event of a body.
async fn next_event(
    body: &mut Incoming,
    wait: &mut Option<Wait>,
    start_wait: impl FnOnce() -> Wait,
) -> ReadEvent {
    if wait.is_none()
        && let Some(next) = poll_twice(body).await
    {
        return next;
    }
    let wait = wait.get_or_insert_with(start_wait);
    future::or(next_data(body), wait.wait()).await
}

/// Polls twice for data that has already arrived. The connection task reads more data only after
/// the first poll.
async fn poll_twice(body: &mut Incoming) -> Option<ReadEvent> {
    if let Some(next) = future::poll_once(next_data(body)).await {
        return Some(next);
    }
    future::yield_now().await;
    future::poll_once(next_data(body)).await
}

async fn next_data(body: &mut Incoming) -> ReadEvent {
    loop {
        match body.frame().await {
            None => return ReadEvent::End,
            Some(Err(_)) => return ReadEvent::Failed,
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return ReadEvent::Data(data);
                }
            }
        }
    }
}

async fn grow(reservation: &mut ReservationGuard, bytes: u64) -> Result<(), Rejection> {
    let grown = reservation.grow_or_wait(bytes).await;
    grown.map_err(|retry_after| Rejection { reason: Refusal::NoMemory, retry_after })
}

/// Reserves memory and capacity for `needed` bytes, and for at most `max_bytes`.
async fn ensure_capacity(
    reservation: &mut ReservationGuard,
    content: &mut Vec<u8>,
    needed: u64,
    max_bytes: u64,
) -> Result<(), Rejection> {
    let reserved = reservation.get_bytes();
    if needed <= reserved {
        return Ok(());
    }
    let step = (reserved / STEP_DIVISOR).max(MIN_STEP_BYTES);
    let target = (reserved + step).max(needed).min(max_bytes);
    grow(reservation, target - reserved).await?;
    content.reserve_exact(target as usize - content.len());
    Ok(())
}

/// A request body, until it is read or its connection ends.
pub(super) struct IncomingBody {
    body: Incoming,
    /// Whether the caller waits for `100 Continue` before sending the body.
    expects_continue: bool,
    /// Whether part of the body may have been read.
    has_read_started: bool,
}

impl IncomingBody {
    /// Wraps an unread body.
    pub fn new(body: Incoming, headers: &HeaderMap) -> Self {
        Self { body, expects_continue: headers.contains_key(EXPECT), has_read_started: false }
    }

    /// Returns `true` if part of the body may have been read.
    pub fn has_read_started(&self) -> bool {
        self.has_read_started
    }

    /// Reads and discards the rest of a rejected request for a limited time.
    ///
    /// A caller that still waits for `100 Continue` sends nothing, and reading would send it that
    /// status.
    pub fn drain(self) {
        let is_waiting = self.expects_continue && !self.has_read_started;
        if self.body.is_end_stream() || is_waiting {
            return;
        }
        let mut body = self.body;
        runtime::spawn(async move {
            let drained = async { while let Some(Ok(_)) = body.frame().await {} };
            // Dropping the body afterwards closes the connection.
            let _ = runtime::timeout(DRAIN_TIMEOUT, drained).await;
        });
    }
}
