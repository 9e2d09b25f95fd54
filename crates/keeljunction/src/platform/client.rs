//! Calls to the platform, each bounded in time and under a rate.

use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use keeljunction_core::bucket::TokenBucket;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{Commit, Key, Notice, Row, Scan, Start, Started, Transaction, Vm};
use crate::http::{self, Body};
use crate::runtime::{self, Clock};
use crate::settings;

const MAX_ANSWER: usize = 64 << 20;

/// Explains why there is no answer from the platform.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The call cannot have had an effect.
    #[error("the platform was not reached: {0}")]
    NotSent(String),
    /// The call may have had its effect, and the answer was lost.
    #[error("the platform's answer was lost: {0}")]
    Unknown(String),
    /// The platform refused the call.
    #[error("the platform refused the call with status {0}")]
    Refused(u16),
}

/// A client of the platform.
pub struct Client {
    http: http::Client,
    settings: settings::Platform,
    bucket: Mutex<TokenBucket>,
    clock: Clock,
}

impl Client {
    /// Makes a client; it connects when it is first used.
    pub fn new(settings: settings::Platform, http: http::Client) -> Self {
        let clock = Clock::new();
        let bucket = Mutex::new(TokenBucket::full(clock.now(), settings.calls_per_second));
        Self { http, settings, bucket, clock }
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] where there is no answer.
    pub async fn read(&self, key: &str) -> Result<Option<Row>, Fault> {
        let rows: Vec<Row> = self.ask("/table/read", &Key { keys: vec![key.to_owned()] }).await?;
        Ok(rows.into_iter().next())
    }

    /// Reads several rows; those that are not there are left out.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] where there is no answer.
    pub async fn read_all(&self, keys: Vec<String>) -> Result<Vec<Row>, Fault> {
        self.ask("/table/read", &Key { keys }).await
    }

    /// Reads the rows whose keys start with a prefix, in order.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] where there is no answer.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<Row>, Fault> {
        self.ask("/table/scan", &Scan { prefix: prefix.to_owned() }).await
    }

    /// Carries out a transaction.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] where there is no answer; with [`Fault::Unknown`] it may have happened.
    pub async fn commit(&self, transaction: &Transaction) -> Result<Commit, Fault> {
        self.ask("/table/commit", transaction).await
    }

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] where there is no answer.
    pub async fn put_object(&self, key: &str, content: Bytes) -> Result<(), Fault> {
        let path = format!("/objects/{key}");
        self.call(Method::PUT, &path, content.into()).await.map(|_| ())
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] where there is no answer; [`Fault::Refused`] with 404 where it is not there.
    pub async fn get_object(&self, key: &str) -> Result<Bytes, Fault> {
        self.call(Method::GET, &format!("/objects/{key}"), Body::empty()).await
    }

    /// Reads the list of VMs, which lags.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] where there is no answer.
    pub async fn vms(&self) -> Result<Vec<Vm>, Fault> {
        decode(&self.call(Method::GET, "/vms", Body::empty()).await?)
    }

    /// Reads the reclaim notices that are out.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] where there is no answer.
    pub async fn notices(&self) -> Result<Vec<Notice>, Fault> {
        decode(&self.call(Method::GET, "/notices", Body::empty()).await?)
    }

    /// Starts a VM.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] where there is no answer; [`Fault::Refused`] where there is no VM to be
    /// had.
    pub async fn start(&self, start: &Start) -> Result<Started, Fault> {
        self.ask("/cloud/start", start).await
    }

    async fn ask<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        question: &Q,
    ) -> Result<A, Fault> {
        let body =
            serde_json::to_vec(question).map_err(|error| Fault::NotSent(error.to_string()))?;
        decode(&self.call(Method::POST, path, body.into()).await?)
    }

    async fn call(&self, method: Method, path: &str, body: Body) -> Result<Bytes, Fault> {
        let time = Duration::from_millis(self.settings.call_ms);
        self.take_turn().await?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.settings.address.to_string())
            .body(body)
            .map_err(|error| Fault::NotSent(error.to_string()))?;
        let answer = runtime::timeout(time, self.exchange(request)).await;
        answer.unwrap_or_else(|| Err(Fault::Unknown("no answer in time".to_owned())))
    }

    async fn exchange(&self, request: Request<Body>) -> Result<Bytes, Fault> {
        let sent = self.http.send(self.settings.address, request).await;
        let response = sent.map_err(|failure| match failure {
            http::SendError::NotSent(why) => Fault::NotSent(why),
            http::SendError::MaybeSent(why) => Fault::Unknown(why),
        })?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(refusal(status));
        }
        let content = http::read_body(response.into_body(), MAX_ANSWER).await;
        content.ok_or_else(|| Fault::Unknown("the answer broke off".to_owned()))
    }

    /// Waits for its turn under the rate.
    async fn take_turn(&self) -> Result<(), Fault> {
        let until = self.clock.now() + self.settings.call_ms;
        loop {
            let taken = runtime::lock(&self.bucket).take(self.clock.now());
            let Err(wait) = taken else { return Ok(()) };
            if self.clock.now() + wait > until {
                return Err(Fault::NotSent("this node's share of calls is used up".to_owned()));
            }
            runtime::sleep(Duration::from_millis(wait)).await;
        }
    }
}

/// Distinguishes a refusal, which had no effect, from a failure halfway, which may have had one.
fn refusal(status: StatusCode) -> Fault {
    if status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE {
        return Fault::Unknown(format!("status {status}"));
    }
    Fault::Refused(status.as_u16())
}

fn decode<A: DeserializeOwned>(content: &[u8]) -> Result<A, Fault> {
    serde_json::from_slice(content).map_err(|error| Fault::Unknown(error.to_string()))
}
