//! How much memory a node may hold for callers and servers, and who gets it when it is short.
//!
//! Whoever holds bytes of a request or an answer reserves them first and releases them afterwards.
//! What is reserved never exceeds the capacity. While it is short,
//!
//! - bodies leave a part to answers under way, these leave one to bodies, and both to control;
//! - bodies share one pool, of which less urgent ones leave a part to the most urgent; small bodies
//!   have a pool of their own besides;
//! - the account that has waited for longest gets what is released first, and one that holds its
//!   share already gets no more while another one waits;
//! - an upload that rests is evicted for one that has yet to begin.
//!
//! The process takes more memory than is reserved: for its sockets, and what the allocator keeps.
//! Samples of its resident memory lower what may be reserved by what they show beyond the sum.
//!
//! A node reports each body and read-ahead to the accountant, which decides whether the node is ready.
//!
//! | module | holds |
//! |---|---|
//! | `budget` | what is reserved, by holder, kind and account |
//! | `kind` | what bytes are held for |
//! | `reservation` | who holds them |
//! | `share` | what each account holds and waits for |
//! | `room` | pools and fair shares |
//! | `eviction` | refusals, and the uploads that make room |
//! | `release` | the rate of releases, for `Retry-After` |
//! | `pressure` | the memory in use, samples, and readiness |

mod budget;
mod eviction;
mod kind;
mod pressure;
mod release;
mod reservation;
mod room;
mod share;

pub use budget::MemoryBudget;
pub use eviction::Shortage;
pub use kind::Kind;
pub use pressure::Usage;
pub use reservation::{Requester, ReservationId};
