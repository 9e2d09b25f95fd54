//! What a node knows, and the tasks that keep it up to date.
//!
//! | module | does |
//! |---|---|
//! | [`state`] | holds what the node knows |
//! | [`serve`] | starts the node and runs it until it has stopped |
//! | [`watch`] | follows the configuration and the list of servers |
//! | [`skipped`] | remembers which entries of the platform's tables cannot be read |
//! | `staleness` | says how old the knowledge of the platform's tables is |
//! | `pauses` | notices that the process stood still |
//! | `peers` | exchanges what nodes tell each other |
//! | [`memory`] | reserves memory for what is held for callers and servers |
//! | `interrupted_attempts`, `uploads` | hold what `crashes` and [`memory`] keep of requests that are served |
//! | `crashes` | finds out which servers crashed, and under which requests |
//! | `cross_region` | counts what requests send to other regions and get from there |
//! | [`document`] | packs what peers get from each other |
//! | `connections` | keeps the connections to servers that rest within the node's share |
//! | `quarantine_rows` | keeps which requests crash servers in the platform's table |
//! | [`duty`] | holds the lease and makes the calls that one node at a time may make |
//! | `era_origin` | keeps when the eras of the table service began |
//! | `table` | calls the table service, and follows its eras |
//! | [`stop`] | ends the node without cutting an answer |

mod capacity_duty;
mod connections;
pub(crate) mod crashes;
mod cross_region;
pub mod document;
pub mod duty;
mod era_origin;
pub(crate) mod interrupted_attempts;
mod listeners;
pub mod memory;
mod pause;
mod pauses;
mod peers;
mod quarantine_rows;
mod rollout_duty;
mod rollout_status;
pub(crate) mod rollouts;
pub mod serve;
pub mod skipped;
mod staleness;
pub mod state;
pub mod stop;
mod table;
mod uploads;
mod usage_duty;
pub mod usage_rows;
pub mod watch;

pub use memory::Reservation;
pub(crate) use peers::loads::{note_change as note_load_change, query as query_loads};
pub(crate) use peers::message::Notification;
pub(crate) use peers::notifications::notify_request_started;
pub(crate) use peers::permits::{self, Permit};
pub(crate) use peers::quarantine::note_request_completed;
pub(crate) use peers::quota::consume as consume_units;
pub use state::Node;
