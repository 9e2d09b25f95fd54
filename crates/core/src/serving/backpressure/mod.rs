//! Backpressure: what servers say in their answers about the requests that follow.
//!
//! A server may name a rate limit: the requests a second that it takes from all nodes together. One node,
//! the server's owner, has the bucket of that limit and gives permits to all others; a node sends nothing
//! to a limited server without one. So the limit holds over any number of nodes, and what it costs depends
//! on the requests for limited servers alone.
//!
//! A server may also request a back-off of a node: it takes no request from this node for a time. That a server
//! leaves is kept with the list of servers ([`super::directory`]).
//!
//! What a server says bars it from being a candidate at all. Ejection ([`super::health`]) is a preference:
//! an ejected server is used where no other is left.
//!
//! | module | does |
//! |---|---|
//! | `signal` | says what one answer says |
//! | `instance_key` | names a start of a server |
//! | `observation` | says what a node saw of a server's limit |
//! | `rate_limits` | holds which servers are limited, at each node |
//! | `back_offs` | holds which servers take no requests from this node for a time |
//! | `permits` | gives permits for limited servers, at their owners |
//! | `tracker` | holds all of it, at each node |

mod back_offs;
mod instance_key;
mod observation;
mod permits;
mod rate_limits;
mod signal;
mod tracker;

pub use self::back_offs::BackOffs;
pub use self::instance_key::InstanceKey;
pub use self::observation::Observation;
pub use self::permits::{Decision, Permits};
pub use self::rate_limits::RateLimits;
pub use self::signal::Signal;
pub use self::tracker::{Tracker, Update};
