//! A serving system for reclaimable VMs.
//!
//! Entry nodes stand between callers and backend servers. Each decision lives in
//! [`keeljunction_core`], without input or output; this crate puts sockets, timers and files
//! round it.
//!
//! | module | does |
//! |---|---|
//! | [`command`] | the command line |
//! | [`settings`] | the settings of a node |
//! | [`node`] | what a node knows and does |
//! | [`caller`] | the HTTP side towards callers |
//! | [`backend`] | the HTTP side towards backend servers |
//! | [`peer`] | the protocol between nodes |
//! | [`platform`] | the table service, object store, VM list and notices |
//! | [`http`], [`runtime`], [`log`](mod@log), [`metric`] | plumbing |

pub mod backend;
pub mod caller;
pub mod command;
pub mod log;
pub mod metric;
pub mod node;
pub mod peer;
pub mod platform;
pub mod settings;

pub use keeljunction_gateway::{http, runtime};
