//! How many bytes of requests may lie at one server.
//!
//! A server holds a request until it has answered. It may end when what it holds outgrows its
//! memory, which nobody reports. A server that ends a connection while it holds much for this node
//! therefore lowers the bound for all servers of its service; the bound doubles again after a time
//! without such an end. A server at the bound counts as full.

use std::collections::HashMap;

use crate::Millis;

/// The least bytes held at a server whose end is taken for a lack of memory: some tens of usual
/// requests, or a single large one.
pub const MIN_SUSPECT_BYTES: u64 = 32 * 1024;
/// The time in which a bound doubles, in milliseconds: a server that ended is back by then, and the
/// node that lowered its bound too far works at it again within a minute.
const DOUBLES_IN: Millis = 5_000;
/// Times that a bound doubles before it is forgotten.
const DOUBLINGS: u32 = 8;

/// The bytes of this node's requests that each server holds, and the bounds of the services.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    /// The bytes held at each server, by its id.
    servers: HashMap<String, u64>,
    /// The bound for each server of a service, by the service.
    bounds: HashMap<String, Bound>,
}

#[derive(Clone, Copy, Debug)]
struct Bound {
    bytes: u64,
    lowered_at: Millis,
}

impl Bound {
    /// Returns the bytes at a time; `None` once the bound is forgotten.
    fn get(&self, now: Millis) -> Option<u64> {
        let since = now.saturating_sub(self.lowered_at);
        let doublings = u32::try_from(since / DOUBLES_IN).unwrap_or(DOUBLINGS);
        (doublings < DOUBLINGS).then(|| self.bytes << doublings)
    }
}

impl Limiter {
    /// Counts a request that is sent to a server.
    pub fn begin(&mut self, id: &str, bytes: u64) {
        if bytes > 0 {
            *self.servers.entry(id.to_owned()).or_default() += bytes;
        }
    }

    /// Notes that a request has ended.
    pub fn end(&mut self, id: &str, bytes: u64) {
        let Some(held) = self.servers.get_mut(id) else { return };
        *held = held.saturating_sub(bytes);
        if *held == 0 {
            self.servers.remove(id);
        }
    }

    /// Returns the bytes that lie at a server.
    pub fn get(&self, id: &str) -> u64 {
        self.servers.get(id).copied().unwrap_or(0)
    }

    /// Returns the bytes that lie at all servers.
    pub fn get_total(&self) -> u64 {
        self.servers.values().sum()
    }

    /// Notes that a server ended a connection before its answer was whole; returns the new bound, or
    /// `None` where the server held too little to lower it.
    ///
    /// The bound falls to half of what was held, and no lower than [`MIN_SUSPECT_BYTES`].
    pub fn record_disconnect(&mut self, now: Millis, service: &str, id: &str) -> Option<u64> {
        let held = self.get(id);
        if held < MIN_SUSPECT_BYTES {
            return None;
        }
        let before = self.get_limit(now, service).unwrap_or(u64::MAX);
        let bytes = (held / 2).max(MIN_SUSPECT_BYTES).min(before);
        self.bounds.insert(service.to_owned(), Bound { bytes, lowered_at: now });
        Some(bytes)
    }

    /// Returns the bytes that may lie at each server of a service; `None` where nothing bounds them.
    pub fn get_limit(&self, now: Millis, service: &str) -> Option<u64> {
        self.bounds.get(service)?.get(now)
    }

    /// Returns `true` if a request of so many bytes would take a server beyond its bound.
    ///
    /// One request alone is never too large for an idle server.
    pub fn is_full(&self, now: Millis, service: &str, id: &str, bytes: u64) -> bool {
        let held = self.get(id);
        let Some(bound) = self.get_limit(now, service) else { return false };
        held > 0 && held + bytes > bound
    }
}
