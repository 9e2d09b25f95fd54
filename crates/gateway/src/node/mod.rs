//! The state of a gateway node and the tasks that maintain it.
//!
//! | module | purpose |
//! |---|---|
//! | `gateway` | the node: its resources, and the messages that wait to be sent |
//! | [`state`] | holds the node's view of the deployment |
//! | `requests_in_flight` | counts the requests whose responses have not ended |
//! | `process_context` | holds the resources of a process that exist before its node |
//! | `tasks` | starts the tasks of a node |
//! | [`watch`] | follows the configuration and the server list |
//! | `server_list` | brings the server list up to date for requests that would be refused |
//! | `reads` | shares reads for such requests, from the table service or from other nodes |
//! | [`skipped`] | tracks table entries that could not be decoded |
//! | `staleness` | reports the age of the node's copies of the platform's tables |
//! | `pause_detector` | detects that the process was paused or its machine suspended |
//! | `active_relays` | counts the requests that this node relays for others |
//! | `server_paths` | detects that this node is cut off from the servers of a service |
//! | `peers` | exchanges messages with the other nodes |
//! | [`memory`] | reserves memory for buffers of clients and servers |
//! | `interrupted_attempts`, `eviction_signals` | hold per-request state of `crashes`, [`memory`] |
//! | `crashes` | detects crashed servers and the requests they were serving |
//! | `cross_region` | counts the bytes that requests exchange with other regions |
//! | [`document`] | compresses documents that nodes fetch from each other |
//! | `gauges` | updates the gauges of the metrics |
//! | `connections` | limits idle connections to the node's share of each server |
//! | `quarantine_rows` | persists quarantined requests in a table of the platform |
//! | `versions` | tracks which software versions of each service may be running streams |
//! | `version_rows` | persists these versions in a table of the platform |
//! | [`leader`] | holds the duty lease and runs the tasks of its holder |
//! | `era_origin` | persists when the eras of the table service began |
//! | `table` | calls the table service and tracks its eras |
//! | `stream_origins` | records which software version began each stream |
//! | `stream_archive` | archives these records in a table of the platform |
//! | [`stop`] | defines what a node that shuts down must still complete, and leaves the other nodes |

mod active_relays;
mod back_off;
mod capacity_controller;
mod connections;
pub(crate) mod crashes;
mod cross_region;
pub mod document;
mod era_origin;
mod eviction_signals;
mod gateway;
pub(crate) mod gauges;
pub(crate) mod interrupted_attempts;
pub mod leader;
pub mod memory;
mod pause_detector;
mod peers;
pub(crate) mod process_context;
mod quarantine_rows;
mod reads;
mod regional_demand;
mod requests_in_flight;
mod rollout_controller;
mod rollout_record;
mod rollout_status;
pub(crate) mod rollouts;
pub(crate) mod server_list;
pub(crate) mod server_paths;
pub mod skipped;
mod staleness;
pub mod state;
pub mod stop;
mod stream_archive;
pub(crate) mod stream_origins;
mod table;
pub(crate) mod tasks;
mod usage_reporter;
pub mod usage_rows;
mod version_rows;
mod versions;
pub mod watch;

pub use gateway::Node;
pub use memory::ReservationGuard;
pub(crate) use peers::cluster::Cluster;
pub(crate) use peers::link::Link;
pub(crate) use peers::loads::{query as query_loads, record_change as record_load_change};
pub(crate) use peers::message::Notification;
pub(crate) use peers::notifications::notify_request_started;
pub(crate) use peers::permits::{self, Permit};
pub(crate) use peers::quarantine::{record_parts_completed, record_request_completed};
pub(crate) use peers::quota::consume as consume_units;
pub(crate) use peers::server_relay::send as send_through_peer;
pub(crate) use peers::slots;
pub(crate) use requests_in_flight::InFlightGuard;
