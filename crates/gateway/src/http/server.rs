//! A server that can stop without cutting anything.

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
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol_hyper::rt::SmolTimer;

use super::{Body, ConnectionHandle, Socket, drive};
use crate::runtime;

/// Returns how long a connection may rest before the next request's head is whole.
pub type HeadTimeout = Arc<dyn Fn() -> Duration + Send + Sync>;

/// Time for a request's head to arrive where no other time is set.
const HEAD_WITHIN: Duration = Duration::from_secs(10);

/// The time between two looks at a connection on which unread bytes wait: a part of the half second
/// in which a run must end after its caller has left.
const UNREAD_PAUSE: Duration = Duration::from_millis(100);

/// Bounds on what a connection may ask of the server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Connections at the same time; more are closed at once.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { head_bytes: 32 * 1024, connections: 10_000 }
    }
}

/// A signal that is given once, and that any number of tasks wait for.
#[derive(Clone, Debug)]
pub struct StopSignal {
    sender: async_channel::Sender<Infallible>,
    receiver: async_channel::Receiver<Infallible>,
}

impl StopSignal {
    /// Makes a signal that has not been given.
    pub fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }

    /// Gives the signal, once and for all.
    pub fn send(&self) {
        self.sender.close();
    }

    /// Waits until the signal is given.
    pub async fn wait(&self) {
        let _ = self.receiver.recv().await;
    }
}

impl Default for StopSignal {
    fn default() -> Self {
        Self::new()
    }
}

/// A count of open connections.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCount(Arc<AtomicUsize>);

impl ConnectionCount {
    /// Returns how many connections are open.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

/// A listening server.
pub struct Server {
    listener: TcpListener,
    limits: Limits,
    head_within: HeadTimeout,
    stop: StopSignal,
    open: ConnectionCount,
}

impl Server {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// Returns the system's error where the address cannot be had.
    pub async fn bind(address: SocketAddr, limits: Limits, stop: StopSignal) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let head_within: HeadTimeout = Arc::new(|| HEAD_WITHIN);
        Ok(Self { listener, limits, head_within, stop, open: ConnectionCount::default() })
    }

    /// Sets how long connections that come from now on may rest; the closure runs for each of them.
    pub fn with_head_timeout(self, head_within: HeadTimeout) -> Self {
        Self { head_within, ..self }
    }

    /// Returns the address that was got.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn get_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns the count of open connections.
    pub fn get_connection_count(&self) -> ConnectionCount {
        self.open.clone()
    }

    /// Answers requests until the stop signal is given.
    pub async fn serve<F, Fut>(self, answer: F)
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
                None => return self.accept_waiting(answer).await,
                Some(Ok((stream, _))) => self.connect(stream, answer.clone()),
                Some(Err(error)) => {
                    log::warn!("no connection was accepted: {error}");
                    runtime::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    /// Accepts the connections that the system has made already, before the listener closes.
    async fn accept_waiting<F, Fut>(&self, answer: F)
    where
        F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Response<Body>> + Send + 'static,
    {
        while let Some(Ok((stream, _))) = future::poll_once(self.listener.accept()).await {
            self.connect(stream, answer.clone());
        }
    }

    fn connect<F, Fut>(&self, stream: TcpStream, answer: F)
    where
        F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Response<Body>> + Send + 'static,
    {
        if self.open.get() >= self.limits.connections {
            return;
        }
        self.open.0.fetch_add(1, Ordering::SeqCst);
        let (open, stop, limits) = (self.open.clone(), self.stop.clone(), self.limits);
        let head_within = (self.head_within)();
        runtime::spawn(async move {
            handle(stream, answer, limits, head_within, stop).await;
            open.0.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

/// Waits until the peer closes its side of a connection.
///
/// The HTTP library sees that only while it has nothing left to read: not where another request
/// waits behind the one that is being answered.
async fn wait_for_close(stream: TcpStream) -> io::Error {
    let mut byte = [0; 1];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) => return io::Error::from(io::ErrorKind::ConnectionReset),
            Ok(_) => runtime::sleep(UNREAD_PAUSE).await,
            Err(error) => return error,
        }
    }
}

async fn handle<F, Fut>(
    stream: TcpStream,
    answer: F,
    limits: Limits,
    head_within: Duration,
    stop: StopSignal,
) where
    F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let watched = stream.clone();
    let peer = ConnectionHandle::new(&stream);
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(peer.clone());
        let response = answer(request);
        let closed = wait_for_close(watched.clone());
        future::or(async { Ok(response.await) }, async { Err(closed.await) })
    });
    let mut builder = http1::Builder::new();
    builder.timer(SmolTimer::new()).header_read_timeout(head_within);
    builder.max_buf_size(limits.head_bytes.max(8192));
    let socket = Socket::new(stream);
    let writes = socket.get_write_state();
    let mut connection = pin!(builder.serve_connection(socket, service));
    let stopping = pin!(stop.wait());
    let ended = async {
        let _ = drive(connection.as_mut(), &writes).await;
        false
    };
    let stopped = async {
        stopping.await;
        true
    };
    if future::or(ended, stopped).await {
        connection.as_mut().graceful_shutdown();
        let _ = drive(connection, &writes).await;
    }
}
