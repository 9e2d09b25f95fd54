//! Benchmarks on real processes. Each prints its results, and some also write a plot.

mod baseline;
mod plot;
mod policy;
mod shares;
mod size;
mod spread;

use std::io;
use std::path::Path;

pub use spread::Spread;

/// A benchmark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Benchmark {
    /// Latency that a node adds to a call, and its resource usage.
    Baseline,
    /// CPU time for relaying a token; part of the baseline.
    Tokens,
    /// Routing policies with and without shard owners, under three loads.
    Policy,
    /// Shares of the groups at twice the capacity, and the success of retries.
    Shares,
    /// Control overhead and roll propagation, at several cluster sizes.
    Size,
}

/// Runs a benchmark and writes its plots to a directory.
///
/// # Errors
///
/// Returns an I/O error, or an error if the cluster is not ready or a result is wrong.
pub async fn run(benchmark: Benchmark, directory: &Path) -> io::Result<()> {
    std::fs::create_dir_all(directory)?;
    match benchmark {
        Benchmark::Baseline => baseline::run().await,
        Benchmark::Tokens => baseline::measure_relay_cost().await,
        Benchmark::Policy => policy::run(directory).await,
        Benchmark::Shares => shares::run().await,
        Benchmark::Size => size::run(directory).await,
    }
}
