//! The platform client. Each call has a timeout and is subject to a rate limit.

use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use keeljunction_core::bucket::TokenBucket;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::{Commit, Notice, Read, Row, Scan, Start, Started, Transaction, Vm};
use crate::http::{self, Body, Target};
use crate::runtime::{self, Clock};
use crate::settings;

const MAX_RESPONSE_BYTES: usize = 64 << 20;
const OBJECTS_PATH: &str = "/objects";

/// The reason why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The call was not sent, so it had no effect.
    #[error("the platform was not reached: {0}")]
    NotSent(String),
    /// The response was lost. The call may have had an effect.
    #[error("the platform's answer was lost: {0}")]
    Unknown(String),
    /// The platform refused the call, which had no effect.
    #[error("the platform refused the call with status {0}")]
    Refused(u16),
}

/// A client for the platform.
pub struct Client {
    http: http::Client,
    settings: settings::Platform,
    bucket: Mutex<TokenBucket>,
    clock: Clock,
}

impl Client {
    /// Creates a client. It connects on first use.
    pub fn new(settings: settings::Platform, http: http::Client) -> Self {
        let clock = Clock::new();
        let bucket = Mutex::new(TokenBucket::full(clock.now(), settings.calls_per_second));
        Self { http, settings, bucket, clock }
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the call fails.
    pub async fn read(&self, key: &str) -> Result<Option<Row>, Fault> {
        let rows: Vec<Row> =
            self.post_json("/table/read", &Read { keys: vec![key.to_owned()] }).await?;
        Ok(rows.into_iter().next())
    }

    /// Reads several rows. Missing rows are left out of the result.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the call fails.
    pub async fn read_all(&self, keys: Vec<String>) -> Result<Vec<Row>, Fault> {
        self.post_json("/table/read", &Read { keys }).await
    }

    /// Reads the rows whose keys start with a prefix, ordered by key.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the call fails.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<Row>, Fault> {
        self.post_json("/table/scan", &Scan { prefix: prefix.to_owned() }).await
    }

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the call fails. With [`Fault::Unknown`] the transaction may have been
    /// committed.
    pub async fn commit(&self, transaction: &Transaction) -> Result<Commit, Fault> {
        self.post_json("/table/commit", transaction).await
    }

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the call fails.
    pub async fn put_object(&self, key: &str, content: Bytes) -> Result<(), Fault> {
        let target = Target::new(OBJECTS_PATH).with_segment(key);
        self.call(Method::PUT, &target, content.into()).await.map(|_| ())
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the call fails. [`Fault::Refused`] with status 404 means that the
    /// object does not exist.
    pub async fn get_object(&self, key: &str) -> Result<Bytes, Fault> {
        let target = Target::new(OBJECTS_PATH).with_segment(key);
        self.call(Method::GET, &target, Body::empty()).await
    }

    /// Reads the VM list, which may be out of date. Elements that are no VMs are left out.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the call fails.
    pub async fn vms(&self) -> Result<Vec<Vm>, Fault> {
        decode_list(&self.call(Method::GET, &Target::new("/vms"), Body::empty()).await?)
    }

    /// Reads the current reclaim notices. Elements that are no notices are left out.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the call fails.
    pub async fn notices(&self) -> Result<Vec<Notice>, Fault> {
        decode_list(&self.call(Method::GET, &Target::new("/notices"), Body::empty()).await?)
    }

    /// Starts a VM.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the call fails, and [`Fault::Refused`] if no VM is available.
    pub async fn start(&self, start: &Start) -> Result<Started, Fault> {
        self.post_json("/cloud/start", start).await
    }

    async fn post_json<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &'static str,
        content: &Q,
    ) -> Result<A, Fault> {
        let body =
            serde_json::to_vec(content).map_err(|error| Fault::NotSent(error.to_string()))?;
        decode(&self.call(Method::POST, &Target::new(path), body.into()).await?)
    }

    async fn call(&self, method: Method, target: &Target, body: Body) -> Result<Bytes, Fault> {
        let timeout = Duration::from_millis(self.settings.call_ms);
        self.wait_for_rate_limit().await?;
        let request = Request::builder()
            .method(method)
            .uri(target.as_str())
            .header("host", self.settings.address.to_string())
            .body(body)
            .map_err(|error| Fault::NotSent(error.to_string()))?;
        let answer = runtime::timeout(timeout, self.exchange(request)).await;
        answer.unwrap_or_else(|| Err(Fault::Unknown("no answer in time".to_owned())))
    }

    async fn exchange(&self, request: Request<Body>) -> Result<Bytes, Fault> {
        let sent = self.http.send(self.settings.address, request).await;
        let response = sent.map_err(|failure| match failure {
            http::SendError::NotSent(why) => Fault::NotSent(why),
            http::SendError::MaybeSent(why) | http::SendError::Endless(why) => Fault::Unknown(why),
        })?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(status_fault(status));
        }
        let content = http::read_body(response.into_body(), MAX_RESPONSE_BYTES).await;
        content.ok_or_else(|| Fault::Unknown("the answer broke off".to_owned()))
    }

    /// Waits until the rate limit permits a call.
    async fn wait_for_rate_limit(&self) -> Result<(), Fault> {
        let deadline = self.clock.now() + self.settings.call_ms;
        loop {
            let taken = runtime::lock(&self.bucket).take(self.clock.now());
            let Err(wait) = taken else { return Ok(()) };
            if self.clock.now() + wait > deadline {
                return Err(Fault::NotSent("this node's share of calls is used up".to_owned()));
            }
            runtime::sleep(Duration::from_millis(wait)).await;
        }
    }
}

/// Distinguishes a refusal, which had no effect, from a server error, which may have had one.
fn status_fault(status: StatusCode) -> Fault {
    if status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE {
        return Fault::Unknown(format!("status {status}"));
    }
    Fault::Refused(status.as_u16())
}

fn decode<A: DeserializeOwned>(content: &[u8]) -> Result<A, Fault> {
    serde_json::from_slice(content).map_err(|error| Fault::Unknown(error.to_string()))
}

/// Decodes the elements of a list one by one, and leaves out those that are malformed.
fn decode_list<A: DeserializeOwned>(content: &[u8]) -> Result<Vec<A>, Fault> {
    // An element that is not UTF-8 is malformed, and not the whole list.
    let content = String::from_utf8_lossy(content);
    let elements: Vec<Box<RawValue>> = decode(content.as_bytes())?;
    let decoded = elements.iter().map(|element| serde_json::from_str(element.get()));
    let report = |error: &serde_json::Error| {
        log::warn!("the platform listed a malformed element: {error}");
    };
    Ok(decoded.filter_map(|element| element.inspect_err(report).ok()).collect())
}
