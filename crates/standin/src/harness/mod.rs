//! Starts processes for tests, the demo and measurements. keeljunction itself starts no processes.

mod call;
mod cluster;
mod documents;
mod process;

pub use call::{Call, Response, Stream, get_json, post_json};
pub use cluster::{BRANCH_CREDENTIAL, Cluster, ClusterConfig, DUTY_CREDENTIAL, EntryNode};
pub use process::{Process, binary};
