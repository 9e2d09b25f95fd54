//! The entry node: admission, routing, replication and membership.
//!
//! | module | purpose |
//! |---|---|
//! | [`state`] | state shared by all modules |
//! | [`request`], [`answer`] | a request, and its answer while it is generated |
//! | [`accept`] | admission of requests |
//! | [`grant`], [`shard`] | grants of backend servers; the queue of a shard |
//! | [`relay`], [`attempt`] | attempts of a request, with failover and migration |
//! | [`ending`] | end of an answer, recorded with its claim |
//! | [`copy`], [`takeover`] | replication of records; takeover of a dead node's requests |
//! | [`find`] | search for the answer of a client that reconnects |
//! | [`claims`] | claims, which make unrepeatable requests run at most once |
//! | [`gossip`], [`adoption`], [`watch`] | membership, the active bundle, the VM list and notices |
//! | [`control`], [`lease`] | control loop of a service, under a lease |
//! | [`order`], [`fleet`] | orders to engines to load models; VM starts |
//! | [`departure`] | draining of VMs that are being reclaimed |
//! | [`service`] | calls from peers |
//! | [`settlement`] | reports of used and released grants to shard owners |
//! | [`housekeeping`] | removal of expired answers and records |
//! | [`serve`] | startup |
//! | [`stop`] | graceful shutdown |

pub mod accept;
pub mod adoption;
pub mod answer;
pub mod attempt;
pub mod claims;
pub mod control;
pub mod copy;
pub mod departure;
pub mod ending;
pub mod find;
pub mod fleet;
pub mod gossip;
pub mod grant;
pub mod housekeeping;
pub mod lease;
pub mod order;
pub mod relay;
pub mod request;
pub mod serve;
pub mod service;
pub mod settlement;
pub mod shard;
pub mod state;
pub mod stop;
pub mod takeover;
pub mod watch;

pub use answer::Answer;
pub use request::Request;
pub use state::Node;
