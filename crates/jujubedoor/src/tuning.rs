//! Intervals, timeouts and limits of the reducer.

/// Intervals, timeouts and limits of the reducer; times are in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tuning {
    /// Maximum age of the last confirmation of the fleet view at which an owner still grants permits.
    pub max_view_age_ms: u64,
    /// Time that a new owner waits for unresponsive VMs before its first grant; longer than
    /// `max_view_age_ms`.
    pub takeover_wait_ms: u64,
    /// Interval between heartbeats.
    pub heartbeat_interval_ms: u64,
    /// Number of VMs that each heartbeat is sent to.
    pub heartbeat_fanout: usize,
    /// Time for which a VM that did not respond is out of use; doubled with each repetition.
    pub min_suspicion_ms: u64,
    /// Maximum time for which a suspected VM is out of use.
    pub max_suspicion_ms: u64,
    /// Time that an entry VM waits for an owner's response, in addition to the queueing time that it
    /// requested.
    pub acquire_timeout_ms: u64,
    /// Interval at which load reports are fetched from upstreams.
    pub load_report_interval_ms: u64,
    /// Age at which a load report is ignored.
    pub max_load_report_age_ms: u64,
    /// Interval at which admission owners send their loads to the pool owner.
    pub pool_load_interval_ms: u64,
    /// Minimum time between two load messages from one owner about the same pool.
    pub min_pool_load_interval_ms: u64,
    /// Age at which loads that an admission owner sent to the pool owner are discarded.
    pub max_pool_load_age_ms: u64,
    /// Maximum number of upstreams that are tried before a call is queued.
    pub max_probes: usize,
    /// Maximum number of calls queued at one upstream.
    pub queue_capacity: usize,
    /// Number of chats that an owner remembers for each upstream, separately for those whose prompt is
    /// cached there and those that were placed on another upstream.
    pub chats_per_upstream: usize,
    /// Age of a permit at which its owner asks the holder whether it is still in use.
    pub permit_check_age_ms: u64,
    /// Time for which an upstream is out of use after it refused a connection or did not respond.
    pub unreachable_ms: u64,
    /// Time after its issue for which a ticket may be used.
    pub ticket_lifetime_ms: u64,
    /// Time after the issue of a ticket for which its executor keeps the record.
    pub record_retention_ms: u64,
    /// Maximum number of ticket records of an executor.
    pub max_records: usize,
    /// Maximum total size of the responses that an executor keeps for resent requests.
    pub response_cache_bytes: usize,
    /// Time that an entry VM waits for an executor, and that the executor has to run the call.
    pub executor_timeout_ms: u64,
    /// Maximum number of remembered requests that are suspected of crashing upstreams.
    pub max_crash_suspects: usize,
    /// Time for which a request suspected of crashing upstreams is remembered.
    pub crash_suspect_retention_ms: u64,
    /// Minimum delay before a request is retried; random jitter adds up to the same time again.
    pub retry_backoff_ms: u64,
    /// Percentage of requests that may be retried.
    pub retry_percent: u64,
    /// Maximum number of retries that can be saved up.
    pub retry_burst: u64,
    /// `Retry-After` of a rejection because this VM is not ready or no upstream can take the request.
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
