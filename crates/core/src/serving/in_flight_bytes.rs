//! Limits the bytes of requests in flight at one server.
//!
//! A server holds a request until it has responded. It may crash when the requests outgrow its
//! memory, which nothing reports. A server that breaks a connection while many bytes of this node
//! are in flight there therefore lowers the limit for all servers of its service. The limit doubles
//! at intervals without another such failure. A server at its limit counts as full.

use std::collections::HashMap;

use crate::Millis;

/// The bytes that must be in flight at a server for its crash to be blamed on a lack of memory:
/// some tens of usual requests, or a single large one.
pub const MIN_SUSPECT_BYTES: u64 = 32 * 1024;
/// The interval at which a limit doubles. A crashed server is back by then, and a node whose limit
/// is too low recovers within a minute.
const DOUBLING_PERIOD_MS: Millis = 5_000;
/// How often a limit doubles before it is removed.
const MAX_DOUBLINGS: u32 = 8;

/// Tracks and limits the bytes of this node's requests at each server.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    /// The bytes in flight at each server, by its id.
    servers: HashMap<String, u64>,
    /// The limit for each server of a service, by service.
    limits: HashMap<String, Limit>,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    bytes: u64,
    lowered_at: Millis,
}

impl Limit {
    /// Returns the limit in bytes, or `None` once it has expired.
    fn get(&self, now: Millis) -> Option<u64> {
        let elapsed = now.saturating_sub(self.lowered_at);
        let doublings = u32::try_from(elapsed / DOUBLING_PERIOD_MS).unwrap_or(MAX_DOUBLINGS);
        (doublings < MAX_DOUBLINGS).then(|| self.bytes << doublings)
    }
}

impl Limiter {
    /// Counts a request that is sent to a server.
    pub fn begin(&mut self, id: &str, bytes: u64) {
        if bytes > 0 {
            *self.servers.entry(id.to_owned()).or_default() += bytes;
        }
    }

    /// Counts the end of a request.
    pub fn end(&mut self, id: &str, bytes: u64) {
        let Some(in_flight) = self.servers.get_mut(id) else { return };
        *in_flight = in_flight.saturating_sub(bytes);
        if *in_flight == 0 {
            self.servers.remove(id);
        }
    }

    /// Returns the bytes in flight at a server.
    pub fn get(&self, id: &str) -> u64 {
        self.servers.get(id).copied().unwrap_or(0)
    }

    /// Returns the bytes in flight at all servers.
    pub fn get_total(&self) -> u64 {
        self.servers.values().sum()
    }

    /// Records that a server broke a connection before its response was complete. Returns the new
    /// limit, or `None` if too few bytes were in flight to lower it.
    ///
    /// The limit falls to half of the bytes in flight, but not below [`MIN_SUSPECT_BYTES`].
    pub fn record_disconnect(&mut self, now: Millis, service: &str, id: &str) -> Option<u64> {
        let in_flight = self.get(id);
        if in_flight < MIN_SUSPECT_BYTES {
            return None;
        }
        let before = self.get_limit(now, service).unwrap_or(u64::MAX);
        let bytes = (in_flight / 2).max(MIN_SUSPECT_BYTES).min(before);
        self.limits.insert(service.to_owned(), Limit { bytes, lowered_at: now });
        Some(bytes)
    }

    /// Returns the limit for each server of a service, or `None` if there is none.
    pub fn get_limit(&self, now: Millis, service: &str) -> Option<u64> {
        self.limits.get(service)?.get(now)
    }

    /// Returns `true` if a request of `bytes` bytes would exceed the limit of a server.
    ///
    /// A single request is never too large for an idle server.
    pub fn is_full(&self, now: Millis, service: &str, id: &str, bytes: u64) -> bool {
        let in_flight = self.get(id);
        let Some(limit) = self.get_limit(now, service) else { return false };
        in_flight > 0 && in_flight + bytes > limit
    }
}
