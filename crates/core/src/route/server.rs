//! What is known of a backend server's load.

use crate::Millis;

/// A load report that older than this counts as unknown, in milliseconds.
pub const MAX_REPORT_AGE_MS: Millis = 2_000;

/// What a backend server last said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// When it was true, on the reader's clock.
    pub at: Millis,
    /// Requests running or waiting there.
    pub requests: u32,
    /// Prompt tokens waiting to be read there.
    pub queued_tokens: u64,
}

/// A backend server as a router sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// The server's name.
    pub name: String,
    /// Where it is reached, as `IP:port`.
    pub address: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Whether it is going away and must get nothing new.
    pub is_leaving: bool,
    /// Requests that this router may have there at the same time, as learned.
    pub limit: u32,
    /// Requests that it takes at the same time from all routers together.
    pub capacity: u32,
    /// Requests that this router has there.
    pub in_flight: u32,
    /// Uncached prompt tokens that this router sent and that are not yet read.
    pub backlog_tokens: u64,
    /// Long prompts that this router has there.
    pub long_prompts: u32,
    /// The last report.
    pub report: Option<LoadReport>,
    /// When a connection to it last failed, if none has worked since.
    pub failed_at: Option<Millis>,
}

impl Server {
    /// Makes an idle server with a limit of requests at the same time.
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

    /// Returns the report, unless it is too old to mean anything.
    pub fn get_fresh_report(&self, now: Millis) -> Option<LoadReport> {
        self.report.filter(|report| now.saturating_sub(report.at) <= MAX_REPORT_AGE_MS)
    }

    /// Returns `true` if there is room for one more: of this router's part, less `reserve`, and of the
    /// server's whole as reported.
    pub fn has_room(&self, now: Millis, reserve: u32) -> bool {
        let reported = self.get_fresh_report(now).map_or(0, |report| report.requests);
        self.in_flight < self.limit.saturating_sub(reserve) && reported < self.capacity
    }

    /// Estimates the requests there: this router's own count, or the report's if that is more.
    pub fn get_load(&self, now: Millis) -> u32 {
        let reported = self.get_fresh_report(now).map_or(0, |report| report.requests);
        self.in_flight.max(reported)
    }

    /// Estimates the prompt tokens that wait there.
    pub fn get_queued_tokens(&self, now: Millis) -> u64 {
        let reported = self.get_fresh_report(now).map_or(0, |report| report.queued_tokens);
        self.backlog_tokens.max(reported)
    }
}
