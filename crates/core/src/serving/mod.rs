//! Decisions for relayed requests and responses, whose bodies are opaque to the node.
//!
//! | module | content |
//! |---|---|
//! | [`configuration`] | the configuration, and the route and client account of a request |
//! | [`era`] | the copy of the table service's rows that a node works with |
//! | [`table_version`] | versions of rows and their order |
//! | [`freshness`] | whether a node's knowledge is recent enough to act on |
//! | [`topology`], [`round_trip`] | the regions of data centres, and the round trips between them |
//! | [`memory`] | who may hold how much of a node's memory |
//! | [`upload`] | whether a request's body arrives fast enough |
//! | [`read_ahead`] | how much of a response is read ahead, and when a caller is disconnected |
//! | [`in_flight_bytes`] | limits the request bytes in flight at each server |
//! | [`directory`] | the known servers, and which of them accept new requests |
//! | [`load`] | the load of each server, by the counts of this node and its peers |
//! | [`choice`] | which server a request is sent to |
//! | [`summary_pacer`] | how often nodes send their counts to other regions |
//! | [`spill`] | whether a request leaves its region |
//! | [`backpressure`] | rate limits and back-offs that servers report in their responses |
//! | [`health`] | outlier ejection of servers |
//! | [`server_path`] | whether this node reaches the servers, and which peers relay its requests if not |
//! | [`members`] | the other nodes, their aggregators, and who reads the tables for all |
//! | [`report_log`] | a node's reports until they are acknowledged |
//! | [`quota`] | whether a client account is within its quota over all nodes |
//! | [`usage`] | how many requests of each client account began in each window |
//! | [`duty_lease`] | which node makes the calls that only one node at a time may make |
//! | [`response_body`] | whether a response body is complete when it has ended |
//! | [`response_times`] | estimates how long the responses on a route take |
//! | [`shutdown`] | which requests a node that shuts down still begins |
//! | [`event_stream`] | splits event streams into events and checks their order |
//! | [`stream_origin`] | which software version began a stream, and may continue it |
//! | [`demand`], [`throughput`], [`capacity`] | how many servers to order, where, and of which kind |
//! | [`rollout`] | moves the traffic of a service to servers of another version |
//! | [`quarantine`] | which requests crash the servers that run them |
//! | [`version_history`] | which software versions of a service may still be running streams |
//! | [`refusal`] | reasons for refusing a request, and when to retry |

pub mod backpressure;
pub mod capacity;
pub mod choice;
pub mod configuration;
pub mod demand;
pub mod directory;
pub mod duty_lease;
pub mod era;
pub mod event_stream;
pub mod freshness;
pub mod health;
pub mod in_flight_bytes;
pub mod load;
pub mod members;
pub mod memory;
pub mod quarantine;
pub mod quota;
pub mod read_ahead;
pub mod refusal;
pub mod report_log;
pub mod response_body;
pub mod response_times;
pub mod rollout;
pub mod round_trip;
pub mod server_path;
pub mod shutdown;
pub mod spill;
pub mod stream_origin;
pub mod summary_pacer;
pub mod table_version;
pub mod throughput;
pub mod topology;
pub mod upload;
pub mod usage;
pub mod version_history;
