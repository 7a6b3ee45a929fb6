//! Tuning parameters of the routing decisions.

use serde::Deserialize;
use serde::Serialize;

/// Tuning parameters of the routing decisions.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Tuning {
    /// Multiple of the pool's mean load up to which an upstream may be loaded.
    pub load_factor: f64,
    /// Multiple of the mean load that no engine exceeds, even if no other one has capacity.
    pub max_load_factor: f64,
    /// Number of requests by which an upstream may exceed `load_factor` times the mean in a full mesh.
    pub load_slack: f64,
    /// The same if loads are reported through relays, which takes longer.
    pub relayed_load_slack: f64,
    /// Share of the requests that may be retried.
    pub retry_ratio: f64,
    /// Number of retries that the whole fleet may make beyond that share within the window.
    pub retry_slack: f64,
    /// Window of the retry budget, in milliseconds.
    pub retry_window_ms: u64,
    /// Multiple of its rate limit that a cold upstream may receive.
    pub cold_factor: f64,
    /// Requests per second that a cold upstream may receive beyond that.
    pub cold_slack: f64,
    /// Prompt tokens that an engine prefills per millisecond, until the rate is learned.
    pub prefill_tokens_per_ms: f64,
    /// Time that each running request adds to the estimated start of another one, in milliseconds.
    pub running_request_ms: f64,
    /// Weight of a token that is not cached for the request, relative to a token that already waits for
    /// prefill.
    pub uncached_weight: f64,
    /// Time that a failure rate of one adds to the estimate, in milliseconds; lower rates add
    /// proportionally less.
    pub failure_penalty_ms: f64,
    /// Time that is added to the estimate for upstreams in another failure domain, in milliseconds.
    pub remote_domain_penalty_ms: f64,
    /// Time after which the speed that an upstream named does not count any more, in milliseconds. Zero means that
    /// speeds are ignored.
    pub speed_decay_ms: u64,
    /// Cost of sending a request to another failure domain besides the round trip, in milliseconds, if it is to be
    /// weighed. It replaces `remote_domain_penalty_ms` for domains that are far.
    pub domain_crossing_cost_ms: Option<f64>,
    /// Round trip above which a failure domain is far, in microseconds.
    pub domain_crossing_min_rtt_us: u64,
    /// Time after its last use for which a prompt part counts as cached, in milliseconds.
    pub cache_lifetime_ms: u64,
    /// Pause after a failed connection to an upstream, in milliseconds.
    pub upstream_retry_initial_ms: u64,
    /// Maximum of that pause after repeated failures, in milliseconds.
    pub upstream_retry_max_ms: u64,
    /// Heartbeat interval in a full mesh, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Heartbeat interval if loads are reported through relays, in milliseconds.
    pub relayed_heartbeat_interval_ms: u64,
    /// The same in a fleet of at most `small_fleet_vms`, whose relays can serve all VMs more often, in milliseconds.
    pub small_fleet_heartbeat_interval_ms: u32,
    /// Maximum number of VMs of such a fleet.
    pub small_fleet_vms: u32,
    /// Time after its last heartbeat for which a VM counts as alive, in milliseconds.
    pub peer_timeout_ms: u64,
    /// Time for which a load report of another VM is valid, in milliseconds.
    pub load_lifetime_ms: u64,
    /// Assumed number of VMs in the fleet while fewer are known.
    pub min_vms: u32,
    /// Time within which a new run of an upstream has registered and its registration reaches the VMs, in milliseconds.
    pub registration_delay_ms: u32,
    /// Time after an outage of the registry in which upstreams whose registrations expired register again,
    /// in milliseconds.
    pub registration_grace_ms: u64,
    /// Time after the end of an upstream's registration within which all VMs have to stop sending requests
    /// to it, in milliseconds.
    pub drain_ms: u64,
    /// Time after its publication within which a change of the routes has to be in force, in milliseconds.
    pub change_ms: u64,
    /// Share of the latency target for which a request may wait for capacity.
    pub queue_time_share: f64,
    /// Share of the time that its caller waits for which a request that more urgent ones overtake may wait for
    /// capacity, if that is longer.
    pub less_urgent_time_share: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            load_factor: 1.5,
            max_load_factor: 2.0,
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
            speed_decay_ms: 1_000,
            domain_crossing_cost_ms: None,
            domain_crossing_min_rtt_us: 1_000,
            cache_lifetime_ms: 60_000,
            upstream_retry_initial_ms: 250,
            upstream_retry_max_ms: 1_000,
            heartbeat_interval_ms: 250,
            relayed_heartbeat_interval_ms: 125,
            small_fleet_heartbeat_interval_ms: 50,
            small_fleet_vms: 40,
            peer_timeout_ms: 1_500,
            load_lifetime_ms: 1_000,
            min_vms: 9,
            registration_delay_ms: 2_000,
            registration_grace_ms: 2_200,
            drain_ms: 2_000,
            change_ms: 2_000,
            queue_time_share: 1.0,
            less_urgent_time_share: 0.5,
        }
    }
}
