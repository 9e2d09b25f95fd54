//! Backpressure: rate limits and back-offs that servers report in their responses.
//!
//! A server may report a rate limit: the requests per second that it accepts from all nodes
//! together. One node, the server's owner, holds the token bucket of that limit and grants permits
//! to the others; a node sends nothing to a rate-limited server without a permit. The limit thus
//! holds for any number of nodes, and its cost depends only on the requests to rate-limited
//! servers.
//!
//! A server may also request a back-off from a node: for a time it accepts no request from this
//! node. Whether a server is leaving is kept in the server directory ([`super::directory`]).
//!
//! A server may be brittle: it crashes if it has to reject more than a few requests per second. Its
//! owner grants its slots to the requests of all nodes, so that it rejects none.
//!
//! Backpressure excludes a server from the candidates. Ejection ([`super::health`]) is only a
//! preference: an ejected server is used if no other is left.
//!
//! | module | content |
//! |---|---|
//! | `signal` | the backpressure of one response |
//! | `instance_key` | identifies an incarnation of a server |
//! | `observation` | a rate limit as nodes gossip it |
//! | `rate_limits` | rate-limited servers, at each node |
//! | `back_offs` | servers that accept no requests from this node for a time |
//! | `permits` | grants permits for rate-limited servers, at their owners |
//! | `brittleness` | whether the servers of a service are brittle, as nodes gossip it |
//! | `brittle_services` | services whose servers are brittle, at each node |
//! | `slot_claims` | the slots of brittle servers that this node uses |
//! | `slot_pools` | grants the slots of brittle servers, at their owners |
//! | `denials` | counts the slots that an owner denied, by cause |
//! | `tracker` | the whole backpressure state of a node |

mod back_offs;
mod brittle_services;
mod brittleness;
mod denials;
mod instance_key;
mod observation;
mod permits;
mod rate_limits;
mod signal;
mod slot_claims;
mod slot_pools;
mod tracker;

pub use self::back_offs::BackOffs;
pub use self::brittle_services::{BrittleServices, Robustness};
pub use self::brittleness::Brittleness;
pub use self::denials::{Cause, Denials};
pub use self::instance_key::InstanceKey;
pub use self::observation::Observation;
pub use self::permits::{Decision, Permits};
pub use self::rate_limits::RateLimits;
pub use self::signal::Signal;
pub use self::slot_claims::{ClaimedServer, SlotClaims};
pub use self::slot_pools::{Holding, OwnerView, SlotPools, SlotRequest};
pub use self::tracker::{Tracker, Update};
