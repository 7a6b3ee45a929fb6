//! The constants of the decisions.

use serde::Deserialize;
use serde::Serialize;

/// The constants of the decisions.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Tuning {
    /// The multiple of the pool's mean load that an upstream may hold.
    pub load_factor: f64,
    /// What an upstream may hold beyond the multiple, in requests, while all VMs tell each other.
    pub load_slack: f64,
    /// The same while relays tell, which takes longer.
    pub relayed_load_slack: f64,
    /// The share of the requests that may be sent again.
    pub retry_ratio: f64,
    /// The retries that the whole fleet may make beyond the share, in the window.
    pub retry_slack: f64,
    /// The window of the retry budget, in milliseconds.
    pub retry_window_ms: u64,
    /// How far the rate of a cold upstream may be exceeded.
    pub cold_factor: f64,
    /// What a cold upstream may get beyond that, in requests a second.
    pub cold_slack: f64,
    /// The prompt tokens that an engine reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// What a running request adds to the estimate of another one's start, in milliseconds.
    pub running_request_ms: f64,
    /// How much a token that has to be read weighs against one that waits to be read.
    pub uncached_weight: f64,
    /// What a share of failures adds to the estimate, in milliseconds for a share of one.
    pub failure_penalty_ms: f64,
    /// What another failure domain adds to the estimate, in milliseconds.
    pub remote_domain_penalty_ms: f64,
    /// How long a prompt part counts as cached after its last use, in milliseconds.
    pub cache_lifetime_ms: u64,
    /// How long an upstream is left alone after a connection to it failed, in milliseconds.
    pub upstream_retry_initial_ms: u64,
    /// The longest time that an upstream is left alone, in milliseconds.
    pub upstream_retry_max_ms: u64,
    /// The period of beats to other VMs, in milliseconds, while all VMs tell each other.
    pub heartbeat_interval_ms: u64,
    /// The same while relays tell.
    pub relayed_heartbeat_interval_ms: u64,
    /// How long a silent VM counts as alive, in milliseconds.
    pub peer_timeout_ms: u64,
    /// How long the load that a VM told counts, in milliseconds.
    pub load_lifetime_ms: u64,
    /// The fleet's size while too few VMs are known, in VMs.
    pub min_vms: usize,
    /// How long registrations that ended are kept after the registry was away, in milliseconds.
    pub registration_grace_ms: u64,
    /// The share of the latency target that a request may wait for room.
    pub queue_time_share: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            load_factor: 1.5,
            load_slack: 3.0,
            relayed_load_slack: 3.0,
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window_ms: 10_000,
            cold_factor: 1.5,
            cold_slack: 5.0,
            prefill_tokens_per_ms: 68.0,
            running_request_ms: 1.0,
            uncached_weight: 3.0,
            failure_penalty_ms: 400.0,
            remote_domain_penalty_ms: 2.0,
            cache_lifetime_ms: 60_000,
            upstream_retry_initial_ms: 250,
            upstream_retry_max_ms: 1_000,
            heartbeat_interval_ms: 250,
            relayed_heartbeat_interval_ms: 125,
            peer_timeout_ms: 1_500,
            load_lifetime_ms: 1_000,
            min_vms: 9,
            registration_grace_ms: 2_200,
            queue_time_share: 1.0,
        }
    }
}
