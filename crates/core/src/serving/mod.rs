//! Decisions for relayed exchanges: requests and answers whose bodies are opaque to the node.
//!
//! | module | decides |
//! |---|---|
//! | [`configuration`] | what a configuration says, and which route and client account a request belongs to |
//! | [`era`] | which copy of the table service's rows a node deals with |
//! | [`table_version`] | which of two versions of a row is the newer one |
//! | [`freshness`] | whether what a node believes is recent enough to act on |
//! | [`topology`], [`round_trip`] | which region a data centre stands in, and how far away that is |
//! | [`memory`] | who may hold how much of a node's memory |
//! | [`upload`] | whether a request's body comes fast enough |
//! | [`read_ahead`] | how much of an answer is read ahead, and when a caller is disconnected |
//! | [`in_flight_bytes`] | how many bytes of requests may lie at one server |
//! | [`directory`] | which servers there are and which may get new work |
//! | [`load`] | how busy each server is, by this node's and its peers' counts |
//! | [`choice`] | which server a request goes to |
//! | [`summary_pacer`] | how often nodes tell other regions what they count |
//! | [`spill`] | whether a request leaves its region |
//! | [`backpressure`] | what servers say in their answers about the requests that follow |
//! | [`health`] | which servers are ejected because of their latest answers |
//! | [`members`] | which other nodes there are, who aggregates whose reports, and who reads for all |
//! | [`report_log`] | which of a node's counts its peers have taken over |
//! | [`quota`] | whether a client account is within its limit over all nodes |
//! | [`usage`] | how many requests of each client account began in each window |
//! | [`duty_lease`] | which node makes the calls that one node at a time may make |
//! | [`event_stream`] | where the events of a stream begin and end |
//! | [`demand`], [`throughput`], [`capacity`] | how many servers to order, where, and of which kind |
//! | [`rollout`] | how the traffic of a service moves to servers of another version |
//! | [`quarantine`] | which requests end the servers that run them |
//! | [`refusal`] | why a request was refused, and when to retry |

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
pub mod rollout;
pub mod round_trip;
pub mod spill;
pub mod summary_pacer;
pub mod table_version;
pub mod throughput;
pub mod topology;
pub mod upload;
pub mod usage;
