//! What a node knows, and the tasks that keep it up to date.
//!
//! | module | does |
//! |---|---|
//! | [`state`] | holds what the node knows |
//! | [`serve`] | starts the node and runs it until it has stopped |
//! | [`watch`] | follows the configuration and the list of servers |
//! | [`gossip`] | tells peers of this node's counts, and hears theirs |
//! | [`position`] | gets what the few readers of the platform's tables know |
//! | [`document`] | packs what peers get from each other |
//! | [`duty`] | holds the lease and makes the calls that one node at a time may make |
//! | [`stop`] | ends the node without cutting an answer |

mod capacity_duty;
pub mod document;
pub mod duty;
pub mod gossip;
mod listeners;
mod peer_calls;
pub mod position;
pub mod serve;
pub mod state;
pub mod stop;
pub mod usage_duty;
pub mod watch;

pub use state::Node;
