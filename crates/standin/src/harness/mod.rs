//! Starts processes, for tests, the demo and measurements. The product itself starts none.

mod call;
mod cluster;
mod documents;
mod process;

pub use call::{Answer, Call, Stream, ask, get};
pub use cluster::{BRANCH, Cluster, DUTY, Entry, Plan};
pub use process::{Process, binary};
