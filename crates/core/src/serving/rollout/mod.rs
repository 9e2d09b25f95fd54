//! Rollouts: moving the traffic of a service to servers of another version.
//!
//! The operator orders a rollout; the platform starts servers of the target version next to the
//! others. One node at a time, the duty holder, decides on the stage: a canary gets a small share
//! of the requests until the verdict, then the target version gets all of them. Every node follows
//! the stage that it learns of.
//!
//! Invariants:
//!
//! - Until the verdict, no node sends more than the canary's share of its own requests to the
//!   target version. This keeps the bound over all nodes without any communication.
//! - A node that has not learned of the stage recently sends nothing to the target version.
//! - A version that was rolled back gets no more requests.
//! - A node without news of a version does not conclude that it was not accepted.
//!
//! | module | content |
//! |---|---|
//! | `order` | orders and their stages |
//! | `standing` | the known outcomes of earlier orders, by version |
//! | `exposure` | limits the share of the canary |
//! | `tally` | counts responses, failures and latencies by route |
//! | `outages` | counts crashes of servers |
//! | `evidence` | adds up the evidence against a version |
//! | `judge` | detects from tallies that a version is worse than the others |
//! | `progress` | decides on the next stage |
//! | `registry` | the rollouts that a node knows of |

mod evidence;
mod exposure;
mod judge;
mod order;
mod outages;
mod progress;
mod registry;
mod standing;
mod tally;

pub use self::exposure::{Exposure, Tolerance};
pub use self::judge::{Judge, Regression, Symptom};
pub use self::order::{Announcement, Order, Stage, Status};
pub use self::progress::{Action, Progress, Snapshot};
pub use self::registry::{Registry, Report, Summary, VersionFilter};
pub use self::standing::{Outcome, Standing, Standings};
pub use self::tally::{Comparison, Latencies, Phase, Series, Tallies, Tally};
