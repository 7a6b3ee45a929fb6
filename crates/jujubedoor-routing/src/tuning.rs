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
    pub read_tokens_per_ms: f64,
    /// What a running request adds to the estimate of another one's start, in milliseconds.
    pub load_ms: f64,
    /// How much a token that has to be read weighs against one that waits to be read.
    pub reread_weight: f64,
    /// What a share of failures adds to the estimate, in milliseconds for a share of one.
    pub failure_ms: f64,
    /// What another failure domain adds to the estimate, in milliseconds.
    pub distance_ms: f64,
    /// How long a prompt part counts as cached after its last use, in milliseconds.
    pub warm_ms: u64,
    /// How long an upstream is left alone after a connection to it failed, in milliseconds.
    pub retry_upstream_ms: u64,
    /// The longest time that an upstream is left alone, in milliseconds.
    pub most_upstream_ms: u64,
    /// The period of beats to other VMs, in milliseconds, while all VMs tell each other.
    pub beat_ms: u64,
    /// The same while relays tell.
    pub relayed_beat_ms: u64,
    /// How long a silent VM counts as alive, in milliseconds.
    pub silent_ms: u64,
    /// How long the load that a VM told counts, in milliseconds.
    pub told_ms: u64,
    /// The fleet's size while too few VMs are known, in VMs.
    pub least_vms: usize,
    /// How long registrations that ended are kept after the registry was away, in milliseconds.
    pub lapse_ms: u64,
    /// The share of the latency target that a request may wait for room.
    pub wait_share: f64,
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
            read_tokens_per_ms: 68.0,
            load_ms: 1.0,
            reread_weight: 3.0,
            failure_ms: 400.0,
            distance_ms: 2.0,
            warm_ms: 60_000,
            retry_upstream_ms: 250,
            most_upstream_ms: 1_000,
            beat_ms: 250,
            relayed_beat_ms: 125,
            silent_ms: 1_500,
            told_ms: 1_000,
            least_vms: 9,
            lapse_ms: 2_200,
            wait_share: 1.0,
        }
    }
}
