//! A client that keeps connections and knows whether a request can have arrived.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use async_net::TcpStream;
use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use smol_hyper::rt::FuturesIo;

use super::Body;
use crate::runtime;

/// The most idle connections kept to one address.
const IDLE_PER_ADDRESS: usize = 64;

/// Says why there is no response.
#[derive(Debug)]
pub enum Failure {
    /// No byte of the request left; it cannot have run.
    NotSent(String),
    /// Some of it may have arrived.
    MaybeSent(String),
}

impl Failure {
    /// Says whether no byte of the request left.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::MaybeSent(why) => write!(f, "no answer: {why}"),
        }
    }
}

impl std::error::Error for Failure {}

type Idle = Arc<Mutex<HashMap<SocketAddr, Vec<SendRequest<Body>>>>>;

/// An HTTP/1.1 client that keeps idle connections.
#[derive(Clone)]
pub struct Client {
    idle: Idle,
    connect_within: Duration,
}

impl Client {
    /// Makes a client that gives a connection this long to be made.
    pub fn new(connect_within: Duration) -> Self {
        Self { idle: Idle::default(), connect_within }
    }

    /// Sends a request and waits for the response's head.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::NotSent`] only where no byte of the request left this machine.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Reply>, Failure> {
        let mut request = request;
        while let Some(mut sender) = self.take_idle(to) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(self.keep(to, sender, response)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(Failure::MaybeSent(error.into_error().to_string())),
                },
            }
        }
        let mut sender = self.connect(to).await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok(self.keep(to, sender, response)),
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let why = error.into_error().to_string();
                Err(if is_unsent { Failure::NotSent(why) } else { Failure::MaybeSent(why) })
            }
        }
    }

    fn take_idle(&self, to: SocketAddr) -> Option<SendRequest<Body>> {
        let mut idle = runtime::lock(&self.idle);
        let kept = idle.get_mut(&to)?;
        while let Some(sender) = kept.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    async fn connect(&self, to: SocketAddr) -> Result<SendRequest<Body>, Failure> {
        let connecting = runtime::within(self.connect_within, TcpStream::connect(to)).await;
        let stream = match connecting {
            Some(Ok(stream)) => stream,
            Some(Err(error)) => return Err(Failure::NotSent(error.to_string())),
            None => return Err(Failure::NotSent("no connection in time".to_owned())),
        };
        let _ = stream.set_nodelay(true);
        let made = http1::handshake(FuturesIo::new(stream)).await;
        let (sender, connection) = made.map_err(|error| Failure::NotSent(error.to_string()))?;
        runtime::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn keep(
        &self,
        to: SocketAddr,
        sender: SendRequest<Body>,
        response: Response<Incoming>,
    ) -> Response<Reply> {
        let idle = self.idle.clone();
        response.map(|body| Reply { body, kept: Some(Kept { to, sender, idle }) })
    }
}

/// The body of a response. The connection is kept once it has been read to its end.
pub struct Reply {
    body: Incoming,
    kept: Option<Kept>,
}

struct Kept {
    to: SocketAddr,
    sender: SendRequest<Body>,
    idle: Idle,
}

impl HttpBody for Reply {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}

impl Drop for Reply {
    fn drop(&mut self) {
        let Some(mut kept) = self.kept.take() else { return };
        if !self.body.is_end_stream() {
            return;
        }
        runtime::spawn(async move {
            if kept.sender.ready().await.is_ok() {
                let mut idle = runtime::lock(&kept.idle);
                let senders = idle.entry(kept.to).or_default();
                if senders.len() < IDLE_PER_ADDRESS {
                    senders.push(kept.sender);
                }
            }
        });
    }
}
