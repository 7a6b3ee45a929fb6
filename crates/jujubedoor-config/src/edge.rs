//! The settings of an edge VM, which finds its routes and upstreams in a registry. They are read from a YAML
//! file.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::diagnostic::ConfigError;
use crate::name::Name;
use crate::reader;
use crate::reader::Diagnostics;
use crate::reader::Node;
use crate::settings::LOG_LEVELS;
use crate::settings::LogLevel;

/// Maximum cost of sending a request to another failure domain, in milliseconds.
const MAX_CROSSING_COST_MS: f64 = 10_000.0;

/// The settings of an edge VM, which finds its routes and upstreams in a registry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EdgeSettings {
    /// Name of the VM.
    pub vm: Name,
    /// Failure domain of the VM.
    pub domain: Name,
    /// Address on which callers are served.
    pub listen: SocketAddr,
    /// Address on which the load balancer checks whether the VM is ready.
    pub ready_listen: SocketAddr,
    /// Address to which other VMs send heartbeats (UDP) and from which they fetch the directory (TCP).
    pub peer_listen: SocketAddr,
    /// Address on which metrics are served.
    pub metrics_listen: SocketAddr,
    /// Addresses of some VMs of the fleet, for discovery. Only the IP addresses are used, not the ports. Some
    /// of the VMs may be down.
    pub seeds: Vec<SocketAddr>,
    /// Address of the registry.
    pub registry: SocketAddr,
    /// Maximum time for which the registry keeps the history of its contents, in milliseconds.
    pub registry_history_ms: u64,
    /// Interval at which an upstream writes its registration, in milliseconds.
    pub registration_interval_ms: u64,
    /// Maximum difference between the times of day of two VMs or upstreams, in milliseconds.
    pub max_clock_skew_ms: u64,
    /// Whether the whole fleet starts for the first time, so that no upstream has any prompt parts cached.
    pub first_start: bool,
    /// Share of a processor core that the VM has. VMs with more of it relay for the others.
    pub cpu_share: f64,
    /// Lowest level of log lines that are written.
    pub log: LogLevel,
    /// Maximum number of log lines per second; further ones are counted and discarded.
    pub log_lines_per_s: u32,
    /// Maximum time from the request to stop until the process exits, in milliseconds.
    pub stop_ms: u64,
    /// Time after the end of an upstream's registration within which all VMs stop sending requests to it, in
    /// milliseconds.
    pub drain_ms: u64,
    /// Time after its publication within which a change of the routes is in force on all VMs, in milliseconds.
    pub change_ms: u64,
    /// Maximum number of retries as a share of the requests to a service.
    pub retry_ratio: f64,
    /// Number of retries that the fleet may make in a window in addition to the share.
    pub retry_slack: f64,
    /// Window of the retry budget, in milliseconds.
    pub retry_window_ms: u64,
    /// Factor by which the request rate of a cold upstream may exceed the rate that it can serve.
    pub cold_factor: f64,
    /// Request rate that a cold upstream may receive in addition, in requests per second.
    pub cold_slack: f64,
    /// Multiple of the mean load of a service's engines that no engine may exceed.
    pub max_load_factor: f64,
    /// Time after which the speed that an upstream named in a response does not count any more, in milliseconds. Zero
    /// means that speeds are ignored.
    pub speed_decay_ms: u64,
    /// Memory of the VM, in megabytes. Half of it may be held for callers.
    pub memory_mb: f64,
    /// Number of files and sockets that the process may open.
    pub max_files: f64,
    /// Maximum time to receive the body of a request, in milliseconds.
    pub body_timeout_ms: u64,
    /// Rate below which a body, a head or the reading of a response makes no progress, in bytes per second.
    pub min_caller_bytes_per_s: usize,
    /// Time without progress after which a caller loses its memory or connection to others that need it, in
    /// milliseconds.
    pub caller_stall_ms: u64,
    /// Time that a body waits for memory before the latest of the waiting bodies is rejected, in milliseconds.
    pub room_wait_ms: u64,
    /// Size up to which a plain response is buffered before it is passed on, in bytes.
    pub buffered_response_bytes: usize,
    /// Cost of sending a request to another failure domain besides the round trip, in milliseconds. Without it,
    /// the cost is not weighed, and a small constant prefers the VM's own domain.
    pub domain_crossing_cost_ms: Option<f64>,
    /// Measured round trip above which the cost of sending a request to a failure domain counts, in microseconds.
    pub domain_crossing_min_rtt_us: u64,
}

impl Default for EdgeSettings {
    fn default() -> Self {
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        Self {
            vm: Name::default(),
            domain: Name::default(),
            listen: unset,
            ready_listen: unset,
            peer_listen: unset,
            metrics_listen: unset,
            seeds: Vec::new(),
            registry: unset,
            registry_history_ms: 20_000,
            registration_interval_ms: 1_200,
            max_clock_skew_ms: 5_000,
            first_start: false,
            cpu_share: 1.0,
            log: LogLevel::Info,
            log_lines_per_s: 500,
            stop_ms: 8_000,
            drain_ms: 2_000,
            change_ms: 2_000,
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window_ms: 10_000,
            cold_factor: 1.5,
            cold_slack: 5.0,
            max_load_factor: 2.0,
            speed_decay_ms: 1_000,
            memory_mb: 512.0,
            max_files: 10_000.0,
            body_timeout_ms: 10_000,
            min_caller_bytes_per_s: 16 << 10,
            caller_stall_ms: 1_000,
            room_wait_ms: 1_000,
            buffered_response_bytes: 8 << 20,
            domain_crossing_cost_ms: None,
            domain_crossing_min_rtt_us: 1_000,
        }
    }
}

/// Time from the start of an upstream until its first registration reaches all VMs, beyond one registration interval, in
/// milliseconds.
const REGISTRATION_LAG_MS: u64 = 800;

impl EdgeSettings {
    /// Returns the time within which a new run of an upstream has registered and its registration reaches the VMs, in
    /// milliseconds.
    pub fn registration_delay_ms(&self) -> u64 {
        self.registration_interval_ms.saturating_add(REGISTRATION_LAG_MS)
    }
}

/// Parses and validates the settings of an edge VM.
pub fn parse(text: &str) -> Result<EdgeSettings, ConfigError> {
    reader::read(text, parse_settings)
}

fn parse_settings(node: Node<'_>, diagnostics: &mut Diagnostics) -> EdgeSettings {
    let default = EdgeSettings::default();
    let mut section = node.section(diagnostics);
    let settings = EdgeSettings {
        vm: section.name("vm", diagnostics),
        domain: section.name("domain", diagnostics),
        listen: section.required_address("listen", diagnostics),
        ready_listen: section.required_address("ready_listen", diagnostics),
        peer_listen: section.required_address("peer_listen", diagnostics),
        metrics_listen: section.required_address("metrics_listen", diagnostics),
        seeds: section.list("seeds", diagnostics, Node::address).into_iter().flatten().collect(),
        registry: section.required_address("registry", diagnostics),
        registry_history_ms: section.milliseconds(
            "registry_history_ms",
            default.registry_history_ms,
            0,
            diagnostics,
        ),
        registration_interval_ms: section.milliseconds(
            "registration_interval_ms",
            default.registration_interval_ms,
            1,
            diagnostics,
        ),
        max_clock_skew_ms: section.milliseconds(
            "max_clock_skew_ms",
            default.max_clock_skew_ms,
            0,
            diagnostics,
        ),
        first_start: section.flag("first_start", default.first_start, diagnostics),
        cpu_share: section.number("cpu_share", default.cpu_share, 0.01, 1_000.0, diagnostics),
        log: section.choice("log", default.log, &LOG_LEVELS, diagnostics),
        log_lines_per_s: section.number("log_lines_per_s", default.log_lines_per_s, 1, 1 << 20, diagnostics),
        stop_ms: section.milliseconds("stop_ms", default.stop_ms, 500, diagnostics),
        drain_ms: section.milliseconds("drain_ms", default.drain_ms, 100, diagnostics),
        change_ms: section.milliseconds("change_ms", default.change_ms, 100, diagnostics),
        retry_ratio: section.number("retry_ratio", default.retry_ratio, 0.0, 10.0, diagnostics),
        retry_slack: section.number("retry_slack", default.retry_slack, 0.0, 1e6, diagnostics),
        retry_window_ms: section.milliseconds("retry_window_ms", default.retry_window_ms, 100, diagnostics),
        cold_factor: section.number("cold_factor", default.cold_factor, 0.0, 100.0, diagnostics),
        cold_slack: section.number("cold_slack", default.cold_slack, 0.0, 1e6, diagnostics),
        max_load_factor: section.number("max_load_factor", default.max_load_factor, 1.0, 100.0, diagnostics),
        speed_decay_ms: section.milliseconds("speed_decay_ms", default.speed_decay_ms, 0, diagnostics),
        memory_mb: section.number("memory_mb", default.memory_mb, 32.0, 1e6, diagnostics),
        max_files: section.number("max_files", default.max_files, 1_024.0, 1e7, diagnostics),
        body_timeout_ms: section.milliseconds("body_timeout_ms", default.body_timeout_ms, 100, diagnostics),
        min_caller_bytes_per_s: section.number(
            "min_caller_bytes_per_s",
            default.min_caller_bytes_per_s,
            1,
            1 << 30,
            diagnostics,
        ),
        caller_stall_ms: section.milliseconds("caller_stall_ms", default.caller_stall_ms, 10, diagnostics),
        room_wait_ms: section.milliseconds("room_wait_ms", default.room_wait_ms, 10, diagnostics),
        buffered_response_bytes: section.number(
            "buffered_response_bytes",
            default.buffered_response_bytes,
            0,
            1 << 30,
            diagnostics,
        ),
        domain_crossing_cost_ms: section.optional_number(
            "domain_crossing_cost_ms",
            0.0,
            MAX_CROSSING_COST_MS,
            diagnostics,
        ),
        domain_crossing_min_rtt_us: section.number(
            "domain_crossing_min_rtt_us",
            default.domain_crossing_min_rtt_us,
            0,
            1_000_000,
            diagnostics,
        ),
    };
    section.finish(diagnostics);
    settings
}
