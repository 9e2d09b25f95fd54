//! Configuration of an engine.

/// Configuration of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Prompt tokens that the engine prefills per second.
    pub prefill_tokens_per_second: u64,
    /// Interval between two tokens of a stream, in milliseconds.
    pub token_interval_ms: u64,
    /// Number of concurrent streams.
    pub slots: usize,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Interval at which the load report is refreshed, in milliseconds.
    ///
    /// A report is up to this old when it is read.
    pub report_lag_ms: u64,
    /// Drops one of every `event_loss_interval` cache events; 0 drops none.
    pub event_loss_interval: u64,
    /// KV cache tokens that the engine exports per second; 0 disables export.
    pub export_tokens_per_second: u64,
    /// Whether the engine rejects orders with an outdated fencing token.
    pub checks_fences: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            prefill_tokens_per_second: 8_000,
            token_interval_ms: 10,
            slots: 16,
            cache_blocks: 4_096,
            report_lag_ms: 200,
            event_loss_interval: 0,
            export_tokens_per_second: 50_000,
            checks_fences: true,
        }
    }
}
