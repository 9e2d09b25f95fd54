//! A client that keeps connections and knows whether a request can have arrived.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use async_executor::Task;
use async_net::TcpStream;
use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use rustix::net::sockopt;

use super::{Body, Socket, drive};
use crate::runtime;

/// The most idle connections kept to one address where nothing else is set.
const IDLE_PER_ADDRESS: usize = 64;
/// How long a connection is kept where the server does not tell: some close idle ones after a few
/// seconds, and a request that crosses the close may have run.
const KEEP_FOR: Duration = Duration::from_secs(2);
/// How long a connection may rest and still be used again. Probes show meanwhile whether it has gone
/// silent, so that only the server's own time-out ends it. On a quiet day of 74 nodes and 64 servers,
/// played once without processor time, 14,199 requests made 6,299 connections instead of the 9,915 of
/// connections that rested for 2 s at the most.
const REST: Duration = Duration::from_secs(120);
/// How long a connection rests before it is probed, and the time between two probes. One that has
/// gone silent without a reset is closed by the system after some three seconds; a request that is
/// sent there before would wait until its own time-out.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Probes without an answer after which the system closes a connection.
const PROBES: u32 = 2;
/// Taken off the time-out that a server announces, so that no request is sent while it closes.
const KEEP_MARGIN: Duration = Duration::from_millis(700);
/// How long sent bytes may stay unacknowledged before the system closes a connection, in
/// milliseconds.
const UNACKNOWLEDGED_MS: u32 = 3_000;

/// Explains why there is no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request left; it cannot have run.
    NotSent(String),
    /// Some of it may have arrived.
    MaybeSent(String),
}

impl SendError {
    /// Returns `true` if no byte of the request left.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::MaybeSent(why) => write!(f, "no answer: {why}"),
        }
    }
}

impl std::error::Error for SendError {}

type Idle = Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>;

/// A connection whose socket closes as soon as it is dropped.
struct Connection {
    sender: SendRequest<Body>,
    /// When the server may close it, on the clock that counts suspensions.
    until: Duration,
    /// Since when it rests.
    rests_since: Duration,
    _driver: Task<()>,
}

/// An HTTP/1.1 client that keeps idle connections.
///
/// A connection is used again only after a whole answer. One that is given up on is closed at
/// once, so that the server can stop its work.
#[derive(Clone)]
pub struct Client {
    idle: Idle,
    connect_within: Duration,
    rest: Duration,
    idle_per_address: Arc<AtomicUsize>,
    opened: Arc<AtomicU64>,
}

impl Client {
    /// Makes a client that gives a connection this long to be made.
    pub fn new(connect_within: Duration) -> Self {
        Self {
            idle: Idle::default(),
            connect_within,
            rest: REST,
            idle_per_address: Arc::new(AtomicUsize::new(IDLE_PER_ADDRESS)),
            opened: Arc::default(),
        }
    }

    /// Sets how long a connection may rest and still be used again.
    pub fn with_idle_timeout(self, rest: Duration) -> Self {
        Self { rest, ..self }
    }

    /// Sets how many connections to one address may rest.
    ///
    /// A server accepts a number of connections from all nodes together: those that rest here must
    /// leave room for the other nodes' requests.
    pub fn set_max_idle_per_address(&self, most: usize) {
        self.idle_per_address.store(most, Ordering::Relaxed);
    }

    /// Returns how many connections to an address rest.
    pub fn get_idle_count(&self, address: SocketAddr) -> usize {
        runtime::lock(&self.idle).get(&address).map_or(0, Vec::len)
    }

    /// Returns how many connections were made so far.
    pub fn get_opened_count(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        runtime::lock(&self.idle).remove(&address);
    }

    /// Sends a request and waits for the response's head.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only where no byte of the request left this machine.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<ResponseBody>, SendError> {
        let mut request = request;
        while let Some(mut connection) = self.take_idle(to) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(self.keep(to, connection, response)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::MaybeSent(error.into_error().to_string())),
                },
            }
        }
        let mut connection = self.connect(to).await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(self.keep(to, connection, response)),
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let why = error.into_error().to_string();
                Err(if is_unsent { SendError::NotSent(why) } else { SendError::MaybeSent(why) })
            }
        }
    }

    /// Returns `true` if something listens at an address: a connection can be made, which is closed
    /// again.
    pub async fn is_listening(&self, address: SocketAddr) -> bool {
        self.opened.fetch_add(1, Ordering::Relaxed);
        let connecting = runtime::timeout(self.connect_within, TcpStream::connect(address)).await;
        matches!(connecting, Some(Ok(_)))
    }

    fn take_idle(&self, to: SocketAddr) -> Option<Connection> {
        let mut idle = runtime::lock(&self.idle);
        let kept = idle.get_mut(&to)?;
        let now = runtime::boottime_now();
        kept.retain(|connection| connection.is_usable(now, self.rest));
        // The one that was used last: those that are not needed rest until the server closes them.
        kept.pop()
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection, SendError> {
        let connecting = runtime::timeout(self.connect_within, TcpStream::connect(to)).await;
        let stream = match connecting {
            Some(Ok(stream)) => stream,
            Some(Err(error)) => return Err(SendError::NotSent(error.to_string())),
            None => return Err(SendError::NotSent("no connection in time".to_owned())),
        };
        self.opened.fetch_add(1, Ordering::Relaxed);
        let _ = stream.set_nodelay(true);
        if let Err(error) = watch_for_silence(&stream) {
            log::warn!("a connection to {to} that goes silent shows late: {error}");
        }
        let socket = Socket::new(stream);
        let writes = socket.get_write_state();
        let made = http1::handshake(socket).await;
        let (sender, connection) = made.map_err(|error| SendError::NotSent(error.to_string()))?;
        let driver = runtime::spawn_with_handle(async move {
            let _ = drive(pin!(connection), &writes).await;
        });
        let now = runtime::boottime_now();
        Ok(Connection { sender, until: now + KEEP_FOR, rests_since: now, _driver: driver })
    }

    fn keep(
        &self,
        to: SocketAddr,
        mut connection: Connection,
        response: Response<Incoming>,
    ) -> Response<ResponseBody> {
        connection.until = runtime::boottime_now() + keep_for(response.headers());
        let idle = self.idle.clone();
        let idle_per_address = self.idle_per_address.clone();
        response.map(|body| ResponseBody {
            body,
            is_ended: false,
            kept: Some(Kept { to, connection, idle, idle_per_address }),
        })
    }
}

impl Connection {
    fn is_usable(&self, now: Duration, rest: Duration) -> bool {
        let has_rested_long = now.saturating_sub(self.rests_since) >= rest;
        self.sender.is_ready() && now < self.until && !has_rested_long
    }
}

/// Lets the system close a connection whose peer has gone silent, at work and at rest.
fn watch_for_silence(stream: &TcpStream) -> io::Result<()> {
    sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_MS)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, PROBE_AFTER)?;
    sockopt::set_tcp_keepintvl(stream, PROBE_AFTER)?;
    sockopt::set_tcp_keepcnt(stream, PROBES)?;
    Ok(())
}

/// Reads how long a server keeps an idle connection.
fn keep_for(headers: &HeaderMap) -> Duration {
    let announced = headers.get(hyper::header::HeaderName::from_static("keep-alive"));
    let parameters = announced.and_then(|value| value.to_str().ok()).unwrap_or("");
    let seconds = parameters.split(',').find_map(|parameter| {
        let (name, value) = parameter.trim().split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        is_timeout.then(|| value.trim().parse().ok())?
    });
    seconds.map_or(KEEP_FOR, |seconds| Duration::from_secs(seconds).saturating_sub(KEEP_MARGIN))
}

/// The body of a response. The connection is kept once it has been read to its end, and closed at
/// once where the body is dropped before that.
pub struct ResponseBody {
    body: Incoming,
    is_ended: bool,
    kept: Option<Kept>,
}

struct Kept {
    to: SocketAddr,
    connection: Connection,
    idle: Idle,
    idle_per_address: Arc<AtomicUsize>,
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if matches!(polled, Poll::Ready(None)) {
            self.is_ended = true;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        let Some(mut kept) = self.kept.take() else { return };
        if !self.is_ended && !self.body.is_end_stream() {
            return;
        }
        runtime::spawn(async move {
            if kept.connection.sender.ready().await.is_ok() {
                let mut idle = runtime::lock(&kept.idle);
                let connections = idle.entry(kept.to).or_default();
                kept.connection.rests_since = runtime::boottime_now();
                if connections.len() < kept.idle_per_address.load(Ordering::Relaxed) {
                    connections.push(kept.connection);
                }
            }
        });
    }
}
