//! An HTTP client that reuses connections and reports whether a request may have been sent.
//!
//! | module | responsibility |
//! |---|---|
//! | this one | sends requests and keeps the idle connections |
//! | `connection` | opens a connection and determines for how long it is reused |
//! | `response_body` | returns the connection of a response to the client, or closes it |
//! | `send_error` | defines why a request has no response |

mod connection;
mod response_body;
mod send_error;

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_net::TcpStream;
use hyper::body::Incoming;
use hyper::{Request, Response};

use self::connection::{Connection, connect_from};
use super::Body;
use crate::runtime;

pub use self::response_body::ResponseBody;
pub use self::send_error::SendError;

/// Default maximum number of idle connections to one address.
const DEFAULT_MAX_IDLE_PER_ADDRESS: usize = 64;
/// Time for which an idle connection may be reused. Keepalive probes detect dead connections
/// meanwhile, so only the server's own time-out should end an idle connection: where a node seldom
/// sends a request to the same server, a shorter time makes it open a connection for most of them.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// The highest valid status (RFC 9110, section 15). The library also accepts three digits beyond it,
/// and refuses a status below 100.
const MAX_STATUS: u16 = 599;

/// The outcome of sending a request on an idle connection.
pub enum ReuseOutcome {
    /// The request was sent.
    Sent(Result<Response<ResponseBody>, SendError>),
    /// There was no usable connection; the request was not sent.
    NoConnection(Request<Body>),
}

type IdleConnections = Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>;

/// An HTTP/1.1 client that keeps idle connections.
///
/// A connection is reused only after a complete response. An abandoned connection is closed at
/// once, so that the server can stop its work.
#[derive(Clone)]
pub struct Client {
    idle: IdleConnections,
    connect_timeout: Duration,
    source: Option<IpAddr>,
    idle_timeout: Duration,
    max_idle_per_address: Arc<AtomicUsize>,
    opened: Arc<AtomicU64>,
}

impl Client {
    /// Creates a client with a time-out for opening connections.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            idle: IdleConnections::default(),
            connect_timeout,
            source: None,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            max_idle_per_address: Arc::new(AtomicUsize::new(DEFAULT_MAX_IDLE_PER_ADDRESS)),
            opened: Arc::default(),
        }
    }

    /// Sets the time for which an idle connection may be reused.
    pub fn with_idle_timeout(self, idle_timeout: Duration) -> Self {
        Self { idle_timeout, ..self }
    }

    /// Sets the address from which connections are opened, if the system should not choose it.
    pub fn with_source(self, source: Option<IpAddr>) -> Self {
        Self { source, ..self }
    }

    /// Sets the maximum number of idle connections to one address.
    ///
    /// A server limits the connections of all nodes together, so the idle connections of this node
    /// must leave room for the requests of other nodes.
    pub fn set_max_idle_per_address(&self, max_connections: usize) {
        self.max_idle_per_address.store(max_connections, Ordering::Relaxed);
    }

    /// Returns the number of idle connections to an address.
    pub fn get_idle_count(&self, address: SocketAddr) -> usize {
        runtime::lock(&self.idle).get(&address).map_or(0, Vec::len)
    }

    /// Returns the number of connections opened so far.
    pub fn get_opened_count(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        runtime::lock(&self.idle).remove(&address);
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only if no byte of the request left this machine.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<ResponseBody>, SendError> {
        let request = match self.send_on_idle(to, request).await {
            ReuseOutcome::Sent(result) => return result,
            ReuseOutcome::NoConnection(request) => request,
        };
        let mut connection = self.connect(to).await?;
        match connection.send(request).await {
            Ok(response) => self.receive(to, connection, response),
            Err(mut error) => Err(match error.take_message() {
                Some(_) => SendError::NotSent(error.into_error().to_string()),
                None => connection.get_send_error(&error.into_error()),
            }),
        }
    }

    /// Sends a request on an idle connection and waits for the response head, if there is one.
    pub async fn send_on_idle(&self, to: SocketAddr, request: Request<Body>) -> ReuseOutcome {
        let mut request = request;
        while let Some(mut connection) = self.take_idle(to) {
            match connection.send(request).await {
                Ok(response) => return ReuseOutcome::Sent(self.receive(to, connection, response)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => {
                        let error = connection.get_send_error(&error.into_error());
                        return ReuseOutcome::Sent(Err(error));
                    }
                },
            }
        }
        ReuseOutcome::NoConnection(request)
    }

    /// Returns `true` if an address accepts connections. The connection opened for the check is
    /// closed again.
    pub async fn is_listening(&self, address: SocketAddr) -> bool {
        self.opened.fetch_add(1, Ordering::Relaxed);
        matches!(self.open(address).await, Some(Ok(_)))
    }

    /// Opens a connection. Returns `None` after the time-out.
    async fn open(&self, to: SocketAddr) -> Option<io::Result<TcpStream>> {
        let connecting = async {
            match self.source {
                Some(source) => connect_from(source, to).await,
                None => TcpStream::connect(to).await,
            }
        };
        runtime::timeout(self.connect_timeout, connecting).await
    }

    fn take_idle(&self, to: SocketAddr) -> Option<Connection> {
        let mut idle = runtime::lock(&self.idle);
        let connections = idle.get_mut(&to)?;
        let now = runtime::boottime_now();
        connections.retain(|connection| connection.is_usable(now, self.idle_timeout));
        // Take the most recently used connection, so that surplus ones stay idle until the server
        // closes them.
        connections.pop()
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection, SendError> {
        let stream = match self.open(to).await {
            Some(Ok(stream)) => stream,
            Some(Err(error)) => return Err(SendError::NotSent(error.to_string())),
            None => return Err(SendError::NotSent("no connection in time".to_owned())),
        };
        self.opened.fetch_add(1, Ordering::Relaxed);
        Connection::handshake(to, stream).await
    }

    /// Returns a response whose connection is kept for reuse.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::MaybeSent`] if the status is not one that HTTP defines.
    fn receive(
        &self,
        to: SocketAddr,
        mut connection: Connection,
        response: Response<Incoming>,
    ) -> Result<Response<ResponseBody>, SendError> {
        let status = response.status().as_u16();
        if status > MAX_STATUS {
            return Err(SendError::MaybeSent(format!("the status {status} is invalid")));
        }
        connection.record_response(response.headers());
        let (idle, max_idle) = (self.idle.clone(), self.max_idle_per_address.clone());
        Ok(response.map(|body| ResponseBody::new(body, to, connection, idle, max_idle)))
    }
}
