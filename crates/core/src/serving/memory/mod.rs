//! The memory budget of a node: how much memory it may hold for callers and servers, and who gets
//! it under pressure.
//!
//! Every body or response reserves its bytes before it holds them, and releases them afterwards.
//! The reservations never exceed the capacity. When the capacity is used up:
//!
//! - Bodies leave a fraction to responses in progress, responses leave one to bodies, and both
//!   leave one to control messages.
//! - Bodies share one pool, in which the less urgent leave a fraction to the most urgent. Small
//!   bodies have a pool of their own in addition.
//! - The account that has waited longest gets the memory that is released first. An account that
//!   holds its share gets no more while another one waits.
//! - A stalled upload is evicted in favour of a body that has not started yet.
//!
//! The process uses more memory than is reserved, for its sockets and in its allocator. Samples of
//! its resident memory reduce the capacity by the memory that is not reserved.
//!
//! The budget also decides whether the node is ready.
//!
//! | module | content |
//! |---|---|
//! | `budget` | reservations, by kind and account |
//! | `kind` | what bytes are reserved for |
//! | `reservation` | one reservation and its owner |
//! | `share` | the bytes that each account holds and waits for |
//! | `room` | pools and fair shares |
//! | `eviction` | refusals, and the uploads evicted to make room |
//! | `shortage` | why bytes were not reserved |
//! | `release` | the release rate, for `Retry-After` |
//! | `pressure` | memory usage, samples, and readiness |

mod budget;
mod eviction;
mod kind;
mod pressure;
mod release;
mod reservation;
mod room;
mod share;
mod shortage;

pub use budget::MemoryBudget;
pub use kind::Kind;
pub use pressure::Usage;
pub use reservation::{Requester, ReservationId};
pub use shortage::Shortage;
