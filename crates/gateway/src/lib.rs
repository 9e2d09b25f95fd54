//! Serves relayed exchanges: requests and answers whose bodies are opaque to the node.
//!
//! Decisions live in [`keeljunction_core::serving`]; this crate puts sockets, timers and tasks
//! round them. What a platform calls things is known to its adapter alone, which fills the typed
//! ports of [`port`].
//!
//! | module | does |
//! |---|---|
//! | [`settings`] | the settings of a node |
//! | [`port`] | what an adapter to a platform provides |
//! | [`node`] | what a node knows, and the tasks that keep it up to date |
//! | [`exchange`] | one request, from its head to its final outcome |
//! | [`active_responses`] | lists the answers that are passed on |
//! | [`event`], [`log`](mod@log), [`metrics`] | what a node reports of its decisions |
//! | [`trace`] | gathers what was logged of one request |
//! | [`http`], [`runtime`] | plumbing |

pub mod active_responses;
pub mod event;
pub mod exchange;
pub mod http;
pub mod log;
pub mod metrics;
pub mod node;
pub mod port;
pub mod runtime;
pub mod settings;
pub mod trace;
