//! How a stand-in engine behaves.

/// How a stand-in engine behaves; times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct EngineConfig {
    /// How many calls run at once; more wait.
    pub slots: usize,
    /// How many chats the prefix cache holds.
    pub max_cached_chats: usize,
    /// The prefill time of a chat that is not cached.
    pub prefill_ms: u64,
    /// The prefill time of a cached chat.
    pub cached_prefill_ms: u64,
    /// The time for each token.
    pub token_ms: u64,
    /// How many tokens an answer has unless the request says otherwise.
    pub default_tokens: u64,
    /// How many calls an engine in cold start bears at once.
    pub max_cold_calls: u32,
    /// How many completed calls end the cold start.
    pub warm_after_calls: u64,
    /// The age of load reports.
    pub report_lag_ms: u64,
    /// How long a crashed engine refuses connections.
    pub restart_delay_ms: u64,
    /// How long a stream goes on after its connection broke.
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
