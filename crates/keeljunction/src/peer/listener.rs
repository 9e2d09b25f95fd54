//! Where peers connect.

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
use super::traffic::Counted;
use crate::runtime;

/// Bytes of one message at most: a bundle, or a record with its body.
const MAX_MESSAGE: usize = 64 << 20;

/// A listener for peers. It answers only those that show the credential.
pub struct Listener {
    listener: TcpListener,
    expected: Arc<Vec<u8>>,
}

impl Listener {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// Returns the system's error where the address cannot be had.
    pub async fn bind(address: SocketAddr, credential: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener, expected: Arc::new(format!("Bearer {credential}").into_bytes()) })
    }

    /// Returns the address that was got.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn get_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Answers peers for as long as the process lives.
    pub async fn serve<P: Peer>(self, peer: P) {
        let server = PeerServer::new(peer)
            .max_decoding_message_size(MAX_MESSAGE)
            .max_encoding_message_size(MAX_MESSAGE);
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    runtime::spawn(handle(stream, server.clone(), self.expected.clone()))
                }
                Err(error) => {
                    log::warn!("no peer was accepted: {error}");
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
        let is_peer = is_peer(&request, &expected);
        async move {
            if !is_peer {
                let refusal: Response<Body> = Status::unauthenticated("not a peer").into_http();
                return Ok(refusal);
            }
            server.call(request).await
        }
    });
    let mut builder = http2::Builder::new(Spawner);
    builder.timer(SmolTimer::new());
    let _ = builder.serve_connection(FuturesIo::new(Counted(stream)), service).await;
}

fn is_peer(request: &Request<Incoming>, expected: &[u8]) -> bool {
    let shown = request.headers().get(AUTHORIZATION);
    shown.is_some_and(|shown| bool::from(shown.as_bytes().ct_eq(expected)))
}
