//! A serving system for reclaimable VMs.
//!
//! Entry nodes route requests from clients to backend servers. All decisions are made in
//! [`keeljunction_core`], which does no I/O. This crate adds sockets, timers and files.
//!
//! | module | purpose |
//! |---|---|
//! | [`command`] | the command line |
//! | [`settings`] | the settings of a node |
//! | [`node`] | the entry node |
//! | [`caller`] | the HTTP server for clients and operators |
//! | [`backend`] | the HTTP clients for backend servers |
//! | [`peer`] | the protocol between nodes |
//! | [`platform`] | the client for the table service, object store, VM list and notices |
//! | [`http`], [`runtime`], [`log`](mod@log), [`metric`] | infrastructure |

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
