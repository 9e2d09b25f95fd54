//! The process of a node, from its start to its exit.
//!
//! | module | purpose |
//! |---|---|
//! | [`serve`] | starts the node and runs it until it has stopped |
//! | `listeners` | answers probes and serves the metrics |
//! | [`stop`] | shuts the node down without interrupting responses |

mod listeners;
pub mod serve;
pub mod stop;
