//! The periods and limits that the reducer works with.

/// The periods and limits that the reducer works with; times are in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tuning {
    /// How old the last confirmation of the fleet view may be when an owner grants.
    pub max_view_age_ms: u64,
    /// How long a new owner waits for silent VMs before its first grant; longer than `max_view_age_ms`.
    pub takeover_wait_ms: u64,
    /// The period of heartbeats.
    pub heartbeat_interval_ms: u64,
    /// To how many VMs a heartbeat goes.
    pub heartbeat_fanout: usize,
    /// How long a VM that did not answer stays out of use; doubled with each repetition.
    pub min_suspicion_ms: u64,
    /// The longest suspicion.
    pub max_suspicion_ms: u64,
    /// How long an entry waits for an owner beyond the wait that it asked for.
    pub acquire_timeout_ms: u64,
    /// The period of load reports.
    pub load_report_interval_ms: u64,
    /// The age at which a load report no longer counts.
    pub max_load_report_age_ms: u64,
    /// The period at which owners send their loads to the pool owner.
    pub pool_load_interval_ms: u64,
    /// The least time between two messages of an owner about the same pool.
    pub min_pool_load_interval_ms: u64,
    /// The age at which a mean no longer counts.
    pub max_pool_load_age_ms: u64,
    /// How many upstreams are asked before a call waits.
    pub max_probes: usize,
    /// How many calls wait at one upstream.
    pub queue_capacity: usize,
    /// How many chats an owner remembers as warm, and how many as placed elsewhere, for each upstream.
    pub chats_per_upstream: usize,
    /// The age at which an owner asks the holder whether it still has a permit.
    pub permit_check_age_ms: u64,
    /// How long an upstream that refused a connection stays out of use.
    pub unreachable_ms: u64,
    /// How long a ticket may be used after its issue.
    pub ticket_lifetime_ms: u64,
    /// How long an executor keeps the record of a ticket, counted from its issue.
    pub record_retention_ms: u64,
    /// How many records of tickets an executor keeps.
    pub max_records: usize,
    /// How many bytes of answers an executor keeps for resends.
    pub response_cache_bytes: usize,
    /// How long an entry waits for an executor.
    pub executor_timeout_ms: u64,
    /// How many suspected requests are remembered.
    pub max_crash_suspects: usize,
    /// How long a suspected request is remembered.
    pub crash_suspect_retention_ms: u64,
    /// The shortest pause before a lost request is sent again; doubled by random jitter.
    pub retry_backoff_ms: u64,
    /// The share of requests that may be sent again, in percent.
    pub retry_percent: u64,
    /// How many retries may be saved up.
    pub retry_burst: u64,
    /// The Retry-After of a refusal for lack of room.
    pub retry_after_ms: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            max_view_age_ms: 1_500,
            takeover_wait_ms: 2_000,
            heartbeat_interval_ms: 500,
            heartbeat_fanout: 3,
            min_suspicion_ms: 3_000,
            max_suspicion_ms: 60_000,
            acquire_timeout_ms: 300,
            load_report_interval_ms: 500,
            max_load_report_age_ms: 3_000,
            pool_load_interval_ms: 100,
            min_pool_load_interval_ms: 20,
            max_pool_load_age_ms: 2_000,
            max_probes: 3,
            queue_capacity: 64,
            chats_per_upstream: 4_096,
            permit_check_age_ms: 10_000,
            unreachable_ms: 1_000,
            ticket_lifetime_ms: 120_000,
            record_retention_ms: 600_000,
            max_records: 20_000,
            response_cache_bytes: 32 << 20,
            executor_timeout_ms: 30_000,
            max_crash_suspects: 1_024,
            crash_suspect_retention_ms: 600_000,
            retry_backoff_ms: 20,
            retry_percent: 20,
            retry_burst: 10,
            retry_after_ms: 1_000,
        }
    }
}
