//! The connection pool for peers.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use hyper::Uri;
use hyper::header::HeaderValue;
use tonic::{Code, Response, Status};

use super::Channel;
use super::generated::peer_client::PeerClient;
use crate::runtime;

/// A pool with one connection per peer, opened on first use.
pub struct Pool {
    credential: HeaderValue,
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl Pool {
    /// Creates a pool whose calls send the credential.
    pub fn new(credential: &str) -> Self {
        let header = HeaderValue::from_str(&format!("Bearer {credential}"));
        let credential = header.unwrap_or_else(|_| HeaderValue::from_static("Bearer"));
        Self { credential, channels: Mutex::default() }
    }

    /// Makes one call to a peer.
    ///
    /// After a connection failure or timeout the connection is dropped from the pool.
    ///
    /// # Errors
    ///
    /// Returns the peer's status, or `Unavailable` or `DeadlineExceeded` if the peer did not
    /// respond.
    pub async fn call<F, Fut, T>(
        &self,
        address: &str,
        timeout: Duration,
        call: F,
    ) -> Result<T, Status>
    where
        F: FnOnce(PeerClient<Channel>) -> Fut,
        Fut: Future<Output = Result<Response<T>, Status>>,
    {
        let address: SocketAddr =
            address.parse().map_err(|_| Status::invalid_argument("the address is not IP:port"))?;
        let origin = Uri::try_from(format!("http://{address}"))
            .map_err(|_| Status::invalid_argument("the address is not IP:port"))?;
        let exchange = async {
            let channel = self.get(address).await?;
            call(PeerClient::with_origin(channel, origin)).await
        };
        let timed_out =
            || Err(Status::deadline_exceeded("the peer did not respond before the timeout"));
        let result = runtime::timeout(timeout, exchange).await.unwrap_or_else(timed_out);
        if let Err(status) = &result
            && matches!(status.code(), Code::Unavailable | Code::DeadlineExceeded | Code::Unknown)
        {
            runtime::lock(&self.channels).remove(&address);
        }
        result.map(Response::into_inner)
    }

    async fn get(&self, address: SocketAddr) -> Result<Channel, Status> {
        let existing = runtime::lock(&self.channels).get(&address).cloned();
        if let Some(channel) = existing.filter(|channel| !channel.is_closed()) {
            return Ok(channel);
        }
        let channel = Channel::connect(address, self.credential.clone()).await?;
        runtime::lock(&self.channels).insert(address, channel.clone());
        Ok(channel)
    }
}
