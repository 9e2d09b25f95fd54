//! Calls to backend servers.
//!
//! A faulty server may send a response twice, and the second copy arrives where the response to the
//! next request on that connection is expected. Servers repeat the ID of a request in each response
//! to it, so [`Client`] returns a [`Response`] only if it carries the ID of the request that was
//! sent. The status and the headers of any other response are not accessible.
//!
//! | module | purpose |
//! |---|---|
//! | `client` | sends requests, and closes connections on which a response did not match |
//! | `response` | a response that carries the ID of its request |
//! | `mismatch` | why a response does not belong to a request |

mod client;
mod mismatch;
mod response;

pub use client::{Client, SendError};
pub use mismatch::Mismatch;
pub use response::Response;
