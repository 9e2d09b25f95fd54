//! A connection of the client: how it is opened, and for how long it is reused.

use std::error::Error as _;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::time::Duration;

use async_executor::Task;
use async_io::Async;
use async_net::TcpStream;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use rustix::io::Errno;
use rustix::net::{self, AddressFamily, SocketFlags, SocketType, sockopt};

use super::SendError;
use crate::http::{Body, Progress, Socket, drive};
use crate::runtime;

/// Time for which a connection is reused if the server does not announce one. Some servers close
/// idle connections after a few seconds, and a request sent during the close may have run.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(2);
/// Idle time before the first keepalive probe and between two probes. The system closes a
/// connection that was lost without a reset after about three seconds. A request sent on it before
/// that waits until its own time-out.
const KEEPALIVE_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the system closes a connection.
const MAX_KEEPALIVE_PROBES: u32 = 2;
/// Maximum time for which a connection is reused if the server announces a longer one. An idle
/// connection is closed earlier by [`super::DEFAULT_IDLE_TIMEOUT`].
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3_600);
/// Margin subtracted from the time-out that a server announces, so that no request is sent while
/// the server closes the connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Time for which sent data may stay unacknowledged before the system closes a connection.
const TCP_USER_TIMEOUT_MS: u32 = 3_000;

/// A connection whose socket closes as soon as it is dropped.
pub(super) struct Connection {
    sender: SendRequest<Body>,
    /// Time at which the server may close the connection, on the clock that counts suspensions.
    usable_until: Duration,
    /// Time since which the connection is idle.
    idle_since: Duration,
    progress: Progress,
    _driver: Task<()>,
}

impl Connection {
    /// Begins HTTP on an open socket.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if the handshake fails.
    pub async fn handshake(to: SocketAddr, stream: TcpStream) -> Result<Self, SendError> {
        let _ = stream.set_nodelay(true);
        if let Err(error) = detect_dead_peer(&stream) {
            log::warn!("cannot enable the detection of a dead connection to {to}: {error}");
        }
        let progress = Progress::default();
        let socket = Socket::with_progress(stream, progress.clone());
        let turn = socket.get_turn();
        let handshake = http1::handshake(socket).await;
        let (sender, connection) =
            handshake.map_err(|error| SendError::NotSent(error.to_string()))?;
        let driver = runtime::spawn_with_handle(async move {
            let _ = drive(pin!(connection), &turn).await;
        });
        let now = runtime::boottime_now();
        Ok(Self {
            sender,
            usable_until: now + DEFAULT_KEEP_ALIVE,
            idle_since: now,
            progress,
            _driver: driver,
        })
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// Returns an error with the request if no byte of it was sent, or without it if it may have
    /// arrived.
    pub async fn send(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Body>>> {
        self.progress.record();
        self.sender.try_send_request(request).await
    }

    /// Records a response head, which may announce how long the server keeps the connection.
    pub fn record_response(&mut self, headers: &HeaderMap) {
        self.progress.record();
        self.usable_until = runtime::boottime_now() + parse_keep_alive(headers);
    }

    /// Returns the progress of the connection's responses.
    pub fn get_progress(&self) -> Progress {
        self.progress.clone()
    }

    /// Waits until another request can be sent. Returns `false` if the connection was closed.
    pub async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Records that the connection is idle from now on.
    pub fn record_idle(&mut self) {
        self.idle_since = runtime::boottime_now();
    }

    /// Returns why a request that was sent has no response.
    pub fn get_send_error(&self, error: &hyper::Error) -> SendError {
        let is_endless = self.progress.is_endless() || error.is_parse_too_large();
        let why = error.source().map_or_else(|| error.to_string(), ToString::to_string);
        match is_endless {
            true => SendError::Endless(why),
            false => SendError::MaybeSent(why),
        }
    }

    /// Returns `true` if a request may be sent on the idle connection.
    pub fn is_usable(&self, now: Duration, idle_timeout: Duration) -> bool {
        let is_idle_too_long = now.saturating_sub(self.idle_since) >= idle_timeout;
        self.sender.is_ready() && now < self.usable_until && !is_idle_too_long
    }
}

/// Opens a connection from an address of this machine.
pub(super) async fn connect_from(source: IpAddr, to: SocketAddr) -> io::Result<TcpStream> {
    let family = if to.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = net::socket_with(family, SocketType::STREAM, flags, None)?;
    net::bind(&socket, &SocketAddr::new(source, 0))?;
    match net::connect(&socket, &to) {
        Ok(()) | Err(Errno::INPROGRESS) => {}
        Err(error) => return Err(error.into()),
    }
    let stream = Async::new(std::net::TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error),
        None => Ok(TcpStream::from(stream)),
    }
}

/// Lets the system close a connection whose peer no longer responds, in use or idle.
fn detect_dead_peer(stream: &TcpStream) -> io::Result<()> {
    sockopt::set_tcp_user_timeout(stream, TCP_USER_TIMEOUT_MS)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_PROBE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_PROBE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, MAX_KEEPALIVE_PROBES)?;
    Ok(())
}

/// Returns how long a server keeps an idle connection, at most [`MAX_KEEP_ALIVE`].
fn parse_keep_alive(headers: &HeaderMap) -> Duration {
    let announced = headers.get(hyper::header::HeaderName::from_static("keep-alive"));
    let parameters = announced.and_then(|value| value.to_str().ok()).unwrap_or("");
    let seconds = parameters.split(',').find_map(|parameter| {
        let (name, value) = parameter.trim().split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        is_timeout.then(|| value.trim().parse().ok())?
    });
    seconds.map_or(DEFAULT_KEEP_ALIVE, |seconds| {
        Duration::from_secs(seconds).min(MAX_KEEP_ALIVE).saturating_sub(KEEP_ALIVE_MARGIN)
    })
}
