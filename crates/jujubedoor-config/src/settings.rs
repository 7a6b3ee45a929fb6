//! The settings of one VM, read from a YAML file.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::diagnostic::ConfigError;
use crate::name::Name;
use crate::reader;
use crate::reader::Diagnostics;
use crate::reader::Node;

/// The least length of the fleet's key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// The settings of one VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The name of the VM, as in the platform's list.
    pub vm: Name,
    /// The region that the VM runs in.
    pub region: Name,
    /// The failure domain that the VM runs in.
    pub domain: Name,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where other VMs connect.
    pub peer_listen: SocketAddr,
    /// Where operators connect.
    pub admin_listen: SocketAddr,
    /// Where the platform answers.
    pub platform: SocketAddr,
    /// The fleet's secret, which authenticates peers and tickets.
    #[serde(skip_serializing)]
    pub key: String,
    /// The least level of log lines that are written.
    pub log: LogLevel,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The longest time to receive a request's head and body, in milliseconds.
    pub receive_ms: u64,
    /// The longest time that a call may take, in milliseconds.
    pub call_ms: u64,
    /// The longest time that a graceful shutdown waits for streams, in milliseconds.
    pub drain_ms: u64,
    /// The most connections of callers at once.
    pub connections: usize,
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
        }
    }
}

/// The least level of log lines that are written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Conditions that may need an operator.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Every request.
    Debug,
}

/// The words for the levels.
pub const LOG_LEVELS: [(&str, LogLevel); 4] = [
    ("error", LogLevel::Error),
    ("warn", LogLevel::Warn),
    ("info", LogLevel::Info),
    ("debug", LogLevel::Debug),
];

/// Parses and checks the settings of a VM.
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
    };
    if settings.key.len() < MIN_KEY_BYTES {
        let hint = Some("write the same long random text on every VM".into());
        let message = format!("`key` must have at least {MIN_KEY_BYTES} bytes");
        diagnostics.add_at(section.position_of("key"), message, hint);
    }
    section.finish(diagnostics);
    settings
}
