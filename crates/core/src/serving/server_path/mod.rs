//! Whether this node reaches the servers of a service, and which peers relay its requests if not.
//!
//! A node that cannot connect to servers may be cut off from them while they serve all other
//! nodes. It then sends its requests through peers, which pass them to the servers unchanged. The
//! node itself still admits each request, chooses its server and decides on retries, so every
//! request is counted once.
//!
//! - When two servers of a service cannot be connected to and nothing was received from any server in
//!   between, others are probed. If most of them are not reached either, the service is *cut off*.
//!   Two servers alone may simply have crashed.
//! - While the service is cut off, a few of its servers are probed regularly. The cut ends when most
//!   of them are reached in consecutive rounds.
//! - If peers do not reach the servers either, the servers are gone, and nothing is relayed for some
//!   time.
//!
//! | module | content |
//! |---|---|
//! | [`path`] | the state of one service |
//! | [`relays`] | which peers relay requests |

pub mod path;
pub mod relays;

use std::collections::BTreeMap;

pub use self::path::{Path, ProbeResult, Way};
pub use self::relays::{Candidate, Refusal, Relays};

use crate::Millis;

/// The paths to the servers of all services, and the peers that relay requests.
#[derive(Clone, Debug, Default)]
pub struct Paths {
    services: BTreeMap<String, Path>,
    /// The peers that relay requests.
    pub relays: Relays,
}

impl Paths {
    /// Returns the path to the servers of a service.
    pub fn get(&mut self, service: &str) -> &mut Path {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Path::default());
        }
        self.services.entry(service.to_owned()).or_default()
    }

    /// Returns the way that a request to a service takes.
    pub fn get_way(&self, now: Millis, service: &str) -> Way {
        self.services.get(service).map_or(Way::Direct, |path| path.get_way(now))
    }

    /// Returns `true` if this node is cut off from the servers of a service.
    pub fn is_cut_off(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(Path::is_cut_off)
    }

    /// Returns `true` if a server, given by its short id, could not be connected to since the last
    /// response of the service.
    pub fn is_unreachable(&self, service: &str, server: u64) -> bool {
        self.services.get(service).is_some_and(|path| path.is_unreachable(server))
    }

    /// Iterates over the services from whose servers this node is cut off.
    pub fn iter_cut_off(&self) -> impl Iterator<Item = &str> {
        self.services.iter().filter(|(_, path)| path.is_cut_off()).map(|(name, _)| name.as_str())
    }

    /// Lists the services whose servers must be probed now, and schedules their next probes.
    pub fn take_due_probes(&mut self, now: Millis) -> Vec<String> {
        let due = self.services.iter_mut().filter(|(_, path)| path.is_probe_due(now));
        due.map(|(service, path)| {
            path.schedule_probe(now);
            service.clone()
        })
        .collect()
    }
}
