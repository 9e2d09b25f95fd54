//! Measurements on real processes. Each prints a table and writes a plot where there is one.

mod baseline;
mod plot;
mod policy;
mod shares;
mod size;
mod spread;

use std::io;
use std::path::Path;

pub use spread::Spread;

/// A measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Which {
    /// What a node adds to a call, and what it costs.
    Baseline,
    /// What relaying a token costs; a part of the baseline.
    Tokens,
    /// Routing policies and shard owners, under three loads.
    Policy,
    /// Shares of groups at twice the capacity, and callers that come back.
    Shares,
    /// Membership and rolls, at several sizes.
    Size,
}

/// Runs a measurement; plots go into a folder.
///
/// # Errors
///
/// Returns the system's error, or says what did not come up.
pub async fn run(which: Which, folder: &Path) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    match which {
        Which::Baseline => baseline::run().await,
        Which::Tokens => baseline::cost_of_tokens().await,
        Which::Policy => policy::run(folder).await,
        Which::Shares => shares::run().await,
        Which::Size => size::run(folder).await,
    }
}
