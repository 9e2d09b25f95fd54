//! The connections to all peers.

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

/// One connection to each peer, made when it is first used.
pub struct Pool {
    credential: HeaderValue,
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl Pool {
    /// Makes a pool whose calls show a credential.
    pub fn new(credential: &str) -> Self {
        let header = HeaderValue::from_str(&format!("Bearer {credential}"));
        let credential = header.unwrap_or_else(|_| HeaderValue::from_static("Bearer"));
        Self { credential, channels: Mutex::default() }
    }

    /// Makes one call, which takes `time` at most.
    ///
    /// # Errors
    ///
    /// Returns the peer's status, or one of `Unavailable` or `DeadlineExceeded` where the peer
    /// did not answer.
    pub async fn call<F, Fut, T>(&self, address: &str, time: Duration, call: F) -> Result<T, Status>
    where
        F: FnOnce(PeerClient<Channel>) -> Fut,
        Fut: Future<Output = Result<Response<T>, Status>>,
    {
        let address: SocketAddr =
            address.parse().map_err(|_| Status::invalid_argument("not an IP:port"))?;
        let origin = Uri::try_from(format!("http://{address}"))
            .map_err(|_| Status::invalid_argument("not an IP:port"))?;
        let exchange = async {
            let channel = self.get(address).await?;
            call(PeerClient::with_origin(channel, origin)).await
        };
        let late = || Err(Status::deadline_exceeded("the peer did not answer in time"));
        let answer = runtime::timeout(time, exchange).await.unwrap_or_else(late);
        if let Err(status) = &answer
            && matches!(status.code(), Code::Unavailable | Code::DeadlineExceeded | Code::Unknown)
        {
            runtime::lock(&self.channels).remove(&address);
        }
        answer.map(Response::into_inner)
    }

    async fn get(&self, address: SocketAddr) -> Result<Channel, Status> {
        let known = runtime::lock(&self.channels).get(&address).cloned();
        if let Some(channel) = known.filter(|channel| !channel.is_closed()) {
            return Ok(channel);
        }
        let channel = Channel::connect(address, self.credential.clone()).await?;
        runtime::lock(&self.channels).insert(address, channel.clone());
        Ok(channel)
    }
}
