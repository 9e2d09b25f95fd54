//! Which requests end the servers that run them.
//!
//! | module | does |
//! |---|---|
//! | `fingerprint` | names the content of a request |

mod fingerprint;

pub use fingerprint::{Content, Fingerprint};

use crate::Millis;

/// How long after the first piece of its answer a request is still suspected where its server ends, in
/// milliseconds. A request that ends a server does so when the server begins to run it: in a recorded
/// day with 52 ends, each came before the first piece. Long streams beside it are not suspected.
pub const SUSPECTED_FOR: Millis = 1_000;
