//! The periods and limits that the reducer works with.

/// The periods and limits that the reducer works with; times are in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tuning {
    /// How old the last confirmation of the fleet view may be when an owner grants.
    pub freshness_ms: u64,
    /// How long a new owner waits for silent VMs before its first grant; longer than `freshness_ms`.
    pub settle_ms: u64,
    /// The period of heartbeats.
    pub heartbeat_ms: u64,
    /// To how many VMs a heartbeat goes.
    pub heartbeat_peers: usize,
    /// How long a VM that did not answer stays out of use; doubled with each repetition.
    pub suspicion_ms: u64,
    /// The longest suspicion.
    pub suspicion_most_ms: u64,
    /// How long an entry waits for an owner beyond the wait that it asked for.
    pub acquire_ms: u64,
    /// The period of load reports.
    pub report_ms: u64,
    /// The age at which a load report no longer counts.
    pub report_stale_ms: u64,
    /// The period at which owners send their loads to the pool owner.
    pub mean_ms: u64,
    /// The least time between two messages of an owner about the same pool.
    pub mean_least_ms: u64,
    /// The age at which a mean no longer counts.
    pub mean_stale_ms: u64,
    /// How many upstreams are asked before a call waits.
    pub probes: usize,
    /// How many calls wait at one upstream.
    pub waiting: usize,
    /// How many chats an owner remembers as warm, and how many as placed elsewhere, for each upstream.
    pub chats: usize,
    /// The age at which an owner asks the holder whether it still has a permit.
    pub permit_check_ms: u64,
    /// How long an upstream that refused a connection stays out of use.
    pub unreachable_ms: u64,
    /// How long a ticket may be used after its issue.
    pub ticket_ms: u64,
    /// How long an executor keeps the record of a ticket, counted from its issue.
    pub record_ms: u64,
    /// How many records of tickets an executor keeps.
    pub records: usize,
    /// How many bytes of answers an executor keeps for resends.
    pub answer_bytes: usize,
    /// How long an entry waits for an executor.
    pub executor_ms: u64,
    /// How many suspected requests are remembered.
    pub suspects: usize,
    /// How long a suspected request is remembered.
    pub suspect_ms: u64,
    /// The shortest pause before a lost request is sent again; doubled by random jitter.
    pub backoff_ms: u64,
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
            freshness_ms: 1_500,
            settle_ms: 2_000,
            heartbeat_ms: 500,
            heartbeat_peers: 3,
            suspicion_ms: 3_000,
            suspicion_most_ms: 60_000,
            acquire_ms: 300,
            report_ms: 500,
            report_stale_ms: 3_000,
            mean_ms: 100,
            mean_least_ms: 20,
            mean_stale_ms: 2_000,
            probes: 3,
            waiting: 64,
            chats: 4_096,
            permit_check_ms: 10_000,
            unreachable_ms: 1_000,
            ticket_ms: 120_000,
            record_ms: 600_000,
            records: 20_000,
            answer_bytes: 32 << 20,
            executor_ms: 30_000,
            suspects: 1_024,
            suspect_ms: 600_000,
            backoff_ms: 20,
            retry_percent: 20,
            retry_burst: 10,
            retry_after_ms: 1_000,
        }
    }
}
