//! The settings of a VM that finds its routes and upstreams in a registry, read from a YAML file.

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

/// The settings of a VM that finds its routes and upstreams in a registry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EdgeSettings {
    /// The name of the VM.
    pub vm: Name,
    /// The failure domain that the VM runs in.
    pub domain: Name,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the VM is ready.
    pub ready_listen: SocketAddr,
    /// Where other VMs send beats (UDP) and read the directory (TCP).
    pub peer_listen: SocketAddr,
    /// Where metrics are read.
    pub metrics_listen: SocketAddr,
    /// Addresses of some VMs, of which the IP number counts; some may be down.
    pub seeds: Vec<SocketAddr>,
    /// Where the registry answers.
    pub registry: SocketAddr,
    /// Tells that the whole fleet starts for the first time, so that no upstream holds anything yet.
    pub first_start: bool,
    /// The least level of log lines that are written.
    pub log: LogLevel,
    /// The most log lines in a second; more are counted and dropped.
    pub log_lines_per_s: u32,
    /// The longest time from the order to stop until the process ends, in milliseconds.
    pub stop_ms: u64,
    /// The share of the requests to a service that may be sent again.
    pub retry_ratio: f64,
    /// The retries that the fleet may make beyond the share, in a window.
    pub retry_slack: f64,
    /// The window of the retry budget, in milliseconds.
    pub retry_window_ms: u64,
    /// How far the rate of a cold upstream may be exceeded, as a multiple.
    pub cold_factor: f64,
    /// What a cold upstream may get beyond that, in requests a second.
    pub cold_slack: f64,
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
            first_start: false,
            log: LogLevel::Info,
            log_lines_per_s: 500,
            stop_ms: 8_000,
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window_ms: 10_000,
            cold_factor: 1.5,
            cold_slack: 5.0,
        }
    }
}

/// Parses and checks the settings.
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
        first_start: section.flag("first_start", default.first_start, diagnostics),
        log: section.choice("log", default.log, &LOG_LEVELS, diagnostics),
        log_lines_per_s: section.number("log_lines_per_s", default.log_lines_per_s, 1, 1 << 20, diagnostics),
        stop_ms: section.number("stop_ms", default.stop_ms, 500, 3_600_000, diagnostics),
        retry_ratio: section.number("retry_ratio", default.retry_ratio, 0.0, 10.0, diagnostics),
        retry_slack: section.number("retry_slack", default.retry_slack, 0.0, 1e6, diagnostics),
        retry_window_ms: section.number(
            "retry_window_ms",
            default.retry_window_ms,
            100,
            3_600_000,
            diagnostics,
        ),
        cold_factor: section.number("cold_factor", default.cold_factor, 0.0, 100.0, diagnostics),
        cold_slack: section.number("cold_slack", default.cold_slack, 0.0, 1e6, diagnostics),
    };
    section.finish(diagnostics);
    settings
}
