//! The gateway node, which relays requests and responses whose bodies are opaque to it.
//!
//! The decision logic is in [`keeljunction_core::serving`]; this crate adds sockets, timers and
//! tasks. The names used by a platform are known only to its adapter, which implements the typed
//! ports in [`port`].
//!
//! | module | purpose |
//! |---|---|
//! | [`settings`] | the settings of a node |
//! | [`port`] | the interface of a platform adapter |
//! | [`node`] | the state of a node, and the tasks that keep it up to date |
//! | [`process`] | the process of a node, from its start to its exit |
//! | [`exchange`] | the handling of one request, from its head to its outcome |
//! | [`backend`] | calls to backend servers, whose responses are matched to their requests |
//! | [`active_responses`] | a registry of the responses that are being relayed |
//! | [`obligations`] | the work that a process must complete before it exits |
//! | [`event`], [`log`](mod@log), [`metrics`] | events, logs and metrics |
//! | [`trace`] | collects the log lines of one request |
//! | [`http`], [`runtime`] | HTTP, the executor and timers |

pub mod active_responses;
pub mod backend;
pub mod event;
pub mod exchange;
pub mod http;
pub mod log;
pub mod metrics;
pub mod node;
pub mod obligations;
pub mod port;
pub mod process;
pub mod runtime;
pub mod settings;
pub mod trace;
