//! The settings of one VM, read from a YAML file.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::diagnostic::ConfigError;
use crate::name::Name;
use crate::reader;
use crate::reader::Diagnostics;
use crate::reader::Node;

/// Minimum length of the fleet's key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// The settings of one VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM, as in the platform's VM list.
    pub vm: Name,
    /// Region of the VM.
    pub region: Name,
    /// Failure domain of the VM.
    pub domain: Name,
    /// Address on which callers are served.
    pub listen: SocketAddr,
    /// Address for connections from other VMs.
    pub peer_listen: SocketAddr,
    /// Address of the administration API.
    pub admin_listen: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Secret shared by the fleet, which authenticates peers and tickets.
    #[serde(skip_serializing)]
    pub key: String,
    /// Lowest level of log lines that are written.
    pub log: LogLevel,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request's head and body, in milliseconds.
    pub receive_ms: u64,
    /// Timeout of a call, in milliseconds.
    pub call_ms: u64,
    /// Maximum time that a graceful shutdown waits for streams to finish, in milliseconds.
    pub drain_ms: u64,
    /// Maximum number of concurrent connections from callers.
    pub connections: usize,
    /// Memory of the VM, in megabytes. Half of it may be held for callers.
    pub memory_mb: usize,
}

impl Default for Settings {
    fn default() -> Self {
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        Self {
            vm: Name::default(),
            region: Name::default(),
            domain: Name::default(),
            listen: unset,
            peer_listen: unset,
            admin_listen: unset,
            platform: unset,
            key: String::new(),
            log: LogLevel::Info,
            body_bytes: 8 << 20,
            receive_ms: 10_000,
            call_ms: 120_000,
            drain_ms: 600_000,
            connections: 4_096,
            memory_mb: 1_024,
        }
    }
}

/// Lowest level of log lines that are written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that require action by an operator.
    Error,
    /// Conditions that may require action by an operator.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Every request.
    Debug,
}

/// The names of the levels in settings.
pub const LOG_LEVELS: [(&str, LogLevel); 4] = [
    ("error", LogLevel::Error),
    ("warn", LogLevel::Warn),
    ("info", LogLevel::Info),
    ("debug", LogLevel::Debug),
];

/// Parses and validates the settings of a VM.
pub fn parse(text: &str) -> Result<Settings, ConfigError> {
    reader::read(text, parse_settings)
}

fn parse_settings(node: Node<'_>, diagnostics: &mut Diagnostics) -> Settings {
    let default = Settings::default();
    let mut section = node.section(diagnostics);
    let settings = Settings {
        vm: section.name("vm", diagnostics),
        region: section.name("region", diagnostics),
        domain: section.name("domain", diagnostics),
        listen: section.required_address("listen", diagnostics),
        peer_listen: section.required_address("peer_listen", diagnostics),
        admin_listen: section.required_address("admin_listen", diagnostics),
        platform: section.required_address("platform", diagnostics),
        key: section.text("key", diagnostics).unwrap_or_default(),
        log: section.choice("log", default.log, &LOG_LEVELS, diagnostics),
        body_bytes: section.number("body_bytes", default.body_bytes, 1_024, 1 << 30, diagnostics),
        receive_ms: section.number("receive_ms", default.receive_ms, 10, 600_000, diagnostics),
        call_ms: section.number("call_ms", default.call_ms, 100, 3_600_000, diagnostics),
        drain_ms: section.number("drain_ms", default.drain_ms, 0, 3_600_000, diagnostics),
        connections: section.number("connections", default.connections, 1, 1 << 20, diagnostics),
        memory_mb: section.number("memory_mb", default.memory_mb, 32, 1 << 20, diagnostics),
    };
    if settings.key.len() < MIN_KEY_BYTES {
        let hint = Some("write the same long random text on every VM".into());
        let message = format!("`key` must have at least {MIN_KEY_BYTES} bytes");
        diagnostics.add_at(section.position_of("key"), message, hint);
    }
    section.finish(diagnostics);
    settings
}
