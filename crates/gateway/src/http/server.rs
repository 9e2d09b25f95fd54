//! An HTTP server that can shut down gracefully.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use async_net::{TcpListener, TcpStream};
use futures_lite::future;
use hyper::body::{Body as HttpBody, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use smol_hyper::rt::SmolTimer;

use super::connections::Connection;
use super::observed_stream::ObservedStream;
use super::tracked::TrackedBody;
use super::{Body, ConnectionHandle, Connections, Phase, Shutdown, Socket, drive};
use crate::runtime;

/// Returns the time that a connection may take until the next request's head is complete.
pub type HeadTimeout = Arc<dyn Fn() -> Duration + Send + Sync>;

/// Default time for a request head to arrive.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two checks of a connection with unread data. It is a fraction of the half
/// second within which a run must be cancelled after its caller has disconnected.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Limits on connections and request heads.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request head.
    pub head_bytes: usize,
    /// Maximum number of concurrent connections; further connections are closed at once.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { head_bytes: 32 * 1024, connections: 10_000 }
    }
}

/// A listening HTTP server.
pub struct Server {
    listener: TcpListener,
    limits: Limits,
    head_timeout: HeadTimeout,
    shutdown: Shutdown,
    connections: Connections,
}

impl Server {
    /// Binds a listener to an address.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address cannot be bound.
    pub async fn bind(address: SocketAddr, limits: Limits, shutdown: Shutdown) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let head_timeout: HeadTimeout = Arc::new(|| DEFAULT_HEAD_TIMEOUT);
        let connections = Connections::default();
        connections.set_accepting(true);
        Ok(Self { listener, limits, head_timeout, shutdown, connections })
    }

    /// Sets the head time-out of new connections. The function is called for each of them.
    pub fn with_head_timeout(self, head_timeout: HeadTimeout) -> Self {
        Self { head_timeout, ..self }
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address cannot be read.
    pub fn get_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns the open connections.
    pub fn get_connections(&self) -> Connections {
        self.connections.clone()
    }

    /// Handles requests until the server's shutdown closes the listener. Connections that are still
    /// open then are served to their end.
    pub async fn serve<F, Fut>(self, handler: F)
    where
        F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Response<Body>> + Send + 'static,
    {
        loop {
            let accepted = future::or(async { Some(self.listener.accept().await) }, async {
                self.shutdown.accepting.wait().await;
                None
            });
            match accepted.await {
                None => {
                    self.accept_pending(handler).await;
                    return self.connections.set_accepting(false);
                }
                Some(Ok((stream, _))) => self.spawn_connection(stream, handler.clone()),
                Some(Err(error)) => {
                    log::warn!("cannot accept a connection: {error}");
                    runtime::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    /// Accepts the connections that the system has already established, before the listener closes.
    async fn accept_pending<F, Fut>(&self, handler: F)
    where
        F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Response<Body>> + Send + 'static,
    {
        while let Some(Ok((stream, _))) = future::poll_once(self.listener.accept()).await {
            self.spawn_connection(stream, handler.clone());
        }
    }

    fn spawn_connection<F, Fut>(&self, stream: TcpStream, handler: F)
    where
        F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Response<Body>> + Send + 'static,
    {
        if self.connections.count().get_total() >= self.limits.connections {
            return;
        }
        let accepted = Accepted {
            connection: self.connections.begin(),
            limits: self.limits,
            head_timeout: (self.head_timeout)(),
            shutdown: self.shutdown.clone(),
        };
        runtime::spawn(serve_connection(stream, handler, accepted));
    }
}

/// Waits until the peer closes its side of a connection.
///
/// The HTTP library does not notice the close while another request waits behind the one that is
/// being handled, because it still has data to read.
async fn wait_for_close(stream: TcpStream) -> io::Error {
    let mut byte = [0; 1];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) => return io::Error::from(io::ErrorKind::ConnectionReset),
            Ok(_) => runtime::sleep(CLOSE_CHECK_INTERVAL).await,
            Err(error) => return error,
        }
    }
}

/// Returns `true` if only the end of the connection declares the end of a response. HTTP/1.0 has no
/// chunks, so that its caller takes any end for that of the response, except for a reset.
fn is_ended_by_connection(version: Version, body: &Body) -> bool {
    version == Version::HTTP_10 && body.size_hint().exact().is_none()
}

/// A connection that was accepted, with its limits and the shutdown of its server.
struct Accepted {
    connection: Connection,
    limits: Limits,
    head_timeout: Duration,
    shutdown: Shutdown,
}

async fn serve_connection<F, Fut>(stream: TcpStream, handler: F, accepted: Accepted)
where
    F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let Accepted { connection, limits, head_timeout, shutdown } = accepted;
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot disable the delay of small packets: {error}");
    }
    let watched_stream = stream.clone();
    let connection_handle = ConnectionHandle::new(&stream);
    let service = service_fn(|mut request: Request<Incoming>| {
        let guard = connection.begin_response();
        request.extensions_mut().insert(connection_handle.clone());
        let version = request.version();
        let response = handler(request);
        let closed = wait_for_close(watched_stream.clone());
        let connection_handle = connection_handle.clone();
        let responded = async move {
            let response = response.await;
            if is_ended_by_connection(version, response.body()) {
                connection_handle.reject_end();
            }
            Ok(response.map(|body| TrackedBody::new(body, guard)))
        };
        future::or(responded, async { Err(closed.await) })
    });
    let mut builder = http1::Builder::new();
    builder.timer(SmolTimer::new()).header_read_timeout(head_timeout);
    builder.max_buf_size(limits.head_bytes.max(8192));
    let tracked_stream = ObservedStream::new(stream, connection.clone());
    let socket = Socket::new(tracked_stream).with_connection_handle(connection_handle.clone());
    let turn = socket.get_turn();
    let mut http_connection = pin!(builder.serve_connection(socket, service));
    let stopping = wait_for_shutdown(&shutdown, &connection, &watched_stream);
    let ended = async {
        let _ = drive(http_connection.as_mut(), &turn).await;
        None
    };
    match future::or(ended, async { Some(stopping.await) }).await {
        None | Some(Stop::Abandon) => {}
        Some(Stop::AfterResponse) => {
            http_connection.as_mut().graceful_shutdown();
            let responded = async {
                let _ = drive(http_connection, &turn).await;
            };
            future::or(responded, shutdown.responding.wait()).await;
        }
    }
}

/// How a connection ends because its server shuts down.
enum Stop {
    /// It is closed after the response that is under way, or at once if there is none.
    AfterResponse,
    /// It is closed although part of a request head has arrived.
    Abandon,
}

/// Waits until the connection is to be closed because its server shuts down.
///
/// Once the listener has closed, a connection with part of a request head, or a new one, whose
/// client is about to send one, may complete it until the shutdown's last step. The HTTP library
/// would close it at once.
async fn wait_for_shutdown(
    shutdown: &Shutdown,
    connection: &Connection,
    stream: &TcpStream,
) -> Stop {
    shutdown.accepting.wait().await;
    loop {
        let phase = connection.get_phase();
        let is_awaited = match phase {
            Phase::New | Phase::ReadingHead => true,
            Phase::Idle => has_unread_bytes(stream).await,
            Phase::Responding => false,
        };
        if !is_awaited {
            return Stop::AfterResponse;
        }
        let changed = async {
            connection.wait_for_change(phase).await;
            true
        };
        let expired = async {
            shutdown.reading.wait().await;
            false
        };
        if !future::or(changed, expired).await {
            return Stop::Abandon;
        }
    }
}

/// Returns `true` if bytes have arrived that were not read yet.
async fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    matches!(future::poll_once(stream.peek(&mut byte)).await, Some(Ok(1..)))
}
