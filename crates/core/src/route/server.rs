//! The load of a backend server, as seen by a router.

use crate::Millis;

/// Maximum age of a load report, in milliseconds; older reports are ignored.
pub const MAX_REPORT_AGE_MS: Millis = 2_000;

/// A backend server's last report of its own load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// When the report was accurate, on the local clock.
    pub at: Millis,
    /// Requests running or queued on the server.
    pub requests: u32,
    /// Prompt tokens queued for prefill on the server.
    pub queued_tokens: u64,
}

/// A backend server, as seen by a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// The server's name.
    pub name: String,
    /// Its address, as `IP:port`.
    pub address: String,
    /// The data centre that it runs in.
    pub data_centre: String,
    /// Whether it is leaving and must get no new requests.
    pub is_leaving: bool,
    /// The adaptive limit of concurrent requests from this router.
    pub limit: u32,
    /// Concurrent requests that it accepts from all routers together.
    pub capacity: u32,
    /// Requests in flight from this router.
    pub in_flight: u32,
    /// Uncached prompt tokens sent by this router whose prefill is not finished.
    pub backlog_tokens: u64,
    /// Requests with long prompts in flight from this router.
    pub long_prompts: u32,
    /// The last load report.
    pub report: Option<LoadReport>,
    /// When a connection to it last failed, if none has succeeded since.
    pub failed_at: Option<Millis>,
}

impl Server {
    /// Creates an idle server with a limit of concurrent requests.
    pub fn new(name: &str, address: &str, data_centre: &str, limit: u32) -> Self {
        Self {
            name: name.to_owned(),
            address: address.to_owned(),
            data_centre: data_centre.to_owned(),
            is_leaving: false,
            limit,
            capacity: limit,
            in_flight: 0,
            backlog_tokens: 0,
            long_prompts: 0,
            report: None,
            failed_at: None,
        }
    }

    /// Returns the load report, unless it is too old.
    pub fn get_fresh_report(&self, now: Millis) -> Option<LoadReport> {
        self.report.filter(|report| now.saturating_sub(report.at) <= MAX_REPORT_AGE_MS)
    }

    /// Returns `true` if the server can take one more request: within this router's limit, less
    /// `reserve`, and within the server's capacity as reported.
    pub fn has_room(&self, now: Millis, reserve: u32) -> bool {
        let reported = self.get_fresh_report(now).map_or(0, |report| report.requests);
        self.in_flight < self.limit.saturating_sub(reserve) && reported < self.capacity
    }

    /// Returns the estimated number of requests on the server: the larger of this router's own count
    /// and the reported one.
    pub fn get_load(&self, now: Millis) -> u32 {
        let reported = self.get_fresh_report(now).map_or(0, |report| report.requests);
        self.in_flight.max(reported)
    }

    /// Returns the estimated number of prompt tokens queued on the server.
    pub fn get_queued_tokens(&self, now: Millis) -> u64 {
        let reported = self.get_fresh_report(now).map_or(0, |report| report.queued_tokens);
        self.backlog_tokens.max(reported)
    }
}
