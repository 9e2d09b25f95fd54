//! A connection to a peer.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_net::TcpStream;
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use hyper::header::{AUTHORIZATION, HeaderValue};
use hyper::{Request, Response};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use tonic::Status;
use tonic::body::Body;
use tower_service::Service;

use super::traffic::CountedStream;
use crate::runtime;

/// Runs hyper's tasks on this crate's executor.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spawner;

impl<F> hyper::rt::Executor<F> for Spawner
where
    F: Future<Output = ()> + Send + 'static,
{
    fn execute(&self, future: F) {
        runtime::spawn(future);
    }
}

/// A connection to a peer, shared by concurrent calls.
#[derive(Clone)]
pub struct Channel {
    sender: SendRequest<Body>,
    credential: HeaderValue,
}

impl Channel {
    /// Connects to a peer. Each call sends the credential.
    ///
    /// # Errors
    ///
    /// Returns a status of `Unavailable` if the connection cannot be established.
    pub async fn connect(address: SocketAddr, credential: HeaderValue) -> Result<Self, Status> {
        let stream = TcpStream::connect(address).await.map_err(unavailable)?;
        let _ = stream.set_nodelay(true);
        let mut builder = http2::Builder::new(Spawner);
        builder.timer(SmolTimer::new());
        let (sender, connection) =
            builder.handshake(FuturesIo::new(CountedStream(stream))).await.map_err(unavailable)?;
        runtime::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self { sender, credential })
    }

    /// Returns `true` if the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Service<Request<Body>> for Channel {
    type Response = Response<Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.sender.poll_ready(context)
    }

    fn call(&mut self, mut request: Request<Body>) -> Self::Future {
        request.headers_mut().insert(AUTHORIZATION, self.credential.clone());
        Box::pin(self.sender.send_request(request))
    }
}

fn unavailable(error: impl std::fmt::Display) -> Status {
    Status::unavailable(error.to_string())
}
