//! The listener for peers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_net::{TcpListener, TcpStream};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use subtle::ConstantTimeEq;
use tonic::Status;
use tonic::body::Body;
use tower_service::Service;

use super::channel::Spawner;
use super::generated::peer_server::{Peer, PeerServer};
use super::traffic::CountedStream;
use crate::runtime;

/// The maximum size of a message, such as a bundle or a record with its body.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// A listener for peers. Calls without the credential are rejected.
pub struct Listener {
    listener: TcpListener,
    expected: Arc<Vec<u8>>,
}

impl Listener {
    /// Binds a listener to an address.
    ///
    /// # Errors
    ///
    /// Returns an [`io::Error`] if the address cannot be bound.
    pub async fn bind(address: SocketAddr, credential: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener, expected: Arc::new(format!("Bearer {credential}").into_bytes()) })
    }

    /// Returns the local address.
    ///
    /// # Errors
    ///
    /// Returns an [`io::Error`] if the address is not available.
    pub fn get_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves peers. Never returns.
    pub async fn serve<P: Peer>(self, peer: P) {
        let server = PeerServer::new(peer)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    runtime::spawn(handle(stream, server.clone(), self.expected.clone()))
                }
                Err(error) => {
                    log::warn!("could not accept a peer connection: {error}");
                    runtime::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }
}

async fn handle<P: Peer>(stream: TcpStream, server: PeerServer<P>, expected: Arc<Vec<u8>>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let mut server = server.clone();
        let is_authenticated = is_authenticated(&request, &expected);
        async move {
            if !is_authenticated {
                let rejection: Response<Body> = Status::unauthenticated("not a peer").into_http();
                return Ok(rejection);
            }
            server.call(request).await
        }
    });
    let mut builder = http2::Builder::new(Spawner);
    builder.timer(SmolTimer::new());
    let _ = builder.serve_connection(FuturesIo::new(CountedStream(stream)), service).await;
}

fn is_authenticated(request: &Request<Incoming>, expected: &[u8]) -> bool {
    let header = request.headers().get(AUTHORIZATION);
    header.is_some_and(|header| bool::from(header.as_bytes().ct_eq(expected)))
}
