//! Configuration of a fake engine.

/// Configuration of a fake engine. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct EngineConfig {
    /// Maximum number of calls that run at once. Further calls wait.
    pub slots: usize,
    /// Maximum number of chats in the prefix cache.
    pub max_cached_chats: usize,
    /// Prefill time of a chat that is not cached.
    pub prefill_ms: u64,
    /// Prefill time of a cached chat.
    pub cached_prefill_ms: u64,
    /// Generation time of each token after the first.
    pub token_ms: u64,
    /// Number of tokens of a response if the request does not set `max_tokens`.
    pub default_tokens: u64,
    /// Maximum number of simultaneous calls that an engine in cold start can handle.
    pub max_cold_calls: u32,
    /// Number of completed calls after which the cold start ends.
    pub warm_after_calls: u64,
    /// Age of load reports.
    pub report_lag_ms: u64,
    /// Time for which an engine refuses connections after a prompt crashed it.
    pub restart_delay_ms: u64,
    /// Time for which a stream can be resumed after its connection was lost, and for which a finished
    /// stream is retained.
    pub stream_retention_ms: u64,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            slots: 16,
            max_cached_chats: 64,
            prefill_ms: 60,
            cached_prefill_ms: 5,
            token_ms: 5,
            default_tokens: 8,
            max_cold_calls: 2,
            warm_after_calls: 16,
            report_lag_ms: 1_000,
            restart_delay_ms: 300,
            stream_retention_ms: 2_000,
        }
    }
}
