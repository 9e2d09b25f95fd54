//! An HTTP server that can shut down gracefully.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_net::{TcpListener, TcpStream};
use futures_lite::future;
use hyper::body::{Body as HttpBody, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use smol_hyper::rt::SmolTimer;

use super::{Body, ConnectionHandle, Socket, drive};
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

/// A signal that is sent once and that any number of tasks can wait for.
#[derive(Clone, Debug)]
pub struct StopSignal {
    sender: async_channel::Sender<Infallible>,
    receiver: async_channel::Receiver<Infallible>,
}

impl StopSignal {
    /// Creates a signal that has not been sent.
    pub fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }

    /// Sends the signal. It cannot be withdrawn.
    pub fn send(&self) {
        self.sender.close();
    }

    /// Waits until the signal is sent.
    pub async fn wait(&self) {
        let _ = self.receiver.recv().await;
    }
}

impl Default for StopSignal {
    fn default() -> Self {
        Self::new()
    }
}

/// The number of open connections.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCount(Arc<AtomicUsize>);

impl ConnectionCount {
    /// Returns the number of open connections.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

/// A listening HTTP server.
pub struct Server {
    listener: TcpListener,
    limits: Limits,
    head_timeout: HeadTimeout,
    stop: StopSignal,
    connection_count: ConnectionCount,
}

impl Server {
    /// Binds a listener to an address.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address cannot be bound.
    pub async fn bind(address: SocketAddr, limits: Limits, stop: StopSignal) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let head_timeout: HeadTimeout = Arc::new(|| DEFAULT_HEAD_TIMEOUT);
        Ok(Self {
            listener,
            limits,
            head_timeout,
            stop,
            connection_count: ConnectionCount::default(),
        })
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

    /// Returns the counter of open connections.
    pub fn get_connection_count(&self) -> ConnectionCount {
        self.connection_count.clone()
    }

    /// Handles requests until the stop signal is sent.
    pub async fn serve<F, Fut>(self, handler: F)
    where
        F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Response<Body>> + Send + 'static,
    {
        loop {
            let accepted = future::or(async { Some(self.listener.accept().await) }, async {
                self.stop.wait().await;
                None
            });
            match accepted.await {
                None => return self.accept_pending(handler).await,
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
        if self.connection_count.get() >= self.limits.connections {
            return;
        }
        self.connection_count.0.fetch_add(1, Ordering::SeqCst);
        let (connection_count, stop, limits) =
            (self.connection_count.clone(), self.stop.clone(), self.limits);
        let head_timeout = (self.head_timeout)();
        runtime::spawn(async move {
            serve_connection(stream, handler, limits, head_timeout, stop).await;
            connection_count.0.fetch_sub(1, Ordering::SeqCst);
        });
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

async fn serve_connection<F, Fut>(
    stream: TcpStream,
    handler: F,
    limits: Limits,
    head_timeout: Duration,
    stop: StopSignal,
) where
    F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let watched_stream = stream.clone();
    let connection_handle = ConnectionHandle::new(&stream);
    let service = service_fn(|mut request: Request<Incoming>| {
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
            Ok(response)
        };
        future::or(responded, async { Err(closed.await) })
    });
    let mut builder = http1::Builder::new();
    builder.timer(SmolTimer::new()).header_read_timeout(head_timeout);
    builder.max_buf_size(limits.head_bytes.max(8192));
    let socket = Socket::new(stream).with_connection_handle(connection_handle.clone());
    let write_state = socket.get_write_state();
    let mut connection = pin!(builder.serve_connection(socket, service));
    let stopping = pin!(stop.wait());
    let ended = async {
        let _ = drive(connection.as_mut(), &write_state).await;
        false
    };
    let stopped = async {
        stopping.await;
        true
    };
    if future::or(ended, stopped).await {
        connection.as_mut().graceful_shutdown();
        let _ = drive(connection, &write_state).await;
    }
}
