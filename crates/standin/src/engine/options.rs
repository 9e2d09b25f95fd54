//! How an engine behaves.

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// Prompt tokens that it reads in a second.
    pub prefill_per_second: u64,
    /// Time between two tokens of a stream, in milliseconds.
    pub gap_ms: u64,
    /// Streams at the same time.
    pub slots: usize,
    /// Blocks that its cache holds.
    pub cache_blocks: usize,
    /// Age of the load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Every so many cache events one is left out; 0 for none.
    pub event_gap: u64,
    /// Tokens of KV cache that it sends away in a second; 0 where it cannot.
    pub export_per_second: u64,
    /// Whether it refuses orders with an old fence.
    pub checks_fences: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            prefill_per_second: 8_000,
            gap_ms: 10,
            slots: 16,
            cache_blocks: 4_096,
            report_lag_ms: 200,
            event_gap: 0,
            export_per_second: 50_000,
            checks_fences: true,
        }
    }
}
