//! What a node knows and does.
//!
//! | module | does |
//! |---|---|
//! | [`state`] | what a node knows |
//! | [`request`], [`answer`] | a request, and its answer as it grows |
//! | [`accept`] | takes a request, or refuses it at once |
//! | [`grant`], [`shard`] | asks the owner of a shard for a backend server; is the owner |
//! | [`relay`], [`attempt`] | carries a request through as many attempts as it may have |
//! | [`ending`] | ends an answer, and records it with its claim |
//! | [`copy`], [`takeover`] | keeps a request's record at a peer; goes on with a gone node's requests |
//! | [`find`] | finds the answer of a caller that comes back |
//! | [`claims`] | lets an unrepeatable request run at most once |
//! | [`gossip`], [`adoption`], [`watch`] | membership, the bundle in force, the VM list and notices |
//! | [`control`], [`lease`] | does what only one node may do, under a lease |
//! | [`order`], [`fleet`] | orders engines to load models; starts VMs |
//! | [`departure`] | moves streams off VMs that are going away |
//! | [`service`] | answers peers |
//! | [`settlement`] | reports to owners of shards which grants are used and released |
//! | [`housekeeping`] | forgets what is old |
//! | [`serve`] | starts it all |
//! | [`stop`] | stops without cutting anything |

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
