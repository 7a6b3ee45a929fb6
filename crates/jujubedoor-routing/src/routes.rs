//! The routes, services, workspaces and limits that the operators publish.

use std::collections::HashMap;
use std::sync::Arc;

use jujubedoor_config::Name;
use serde::Deserialize;
use serde::Serialize;

/// One version of everything that the operators configure.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Routes {
    /// The version; later versions have higher numbers, with gaps.
    pub version: u64,
    /// The routes, in no particular order.
    pub routes: Vec<Arc<Route>>,
    /// The services by name.
    pub services: HashMap<Name, Service>,
    /// What a caller may send.
    pub limits: CallerLimits,
    /// The workspaces; without any, no request needs a key.
    pub workspaces: Vec<Workspace>,
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Route {
    /// The name of the route.
    pub name: Name,
    /// The host that requests name.
    pub host: String,
    /// The beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time that a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// The latency target, in milliseconds; for streams up to the first event.
    pub target_ms: u64,
    /// The rank, zero first.
    pub priority: u8,
    /// The services with the weights by which requests are divided among them.
    pub services: Vec<(Name, u32)>,
    /// The most upstreams that one request may be sent to.
    pub attempts: u32,
    /// Tells whether requests need no key.
    pub public: bool,
    /// Tells whether a broken stream may go on at another upstream.
    pub resumable: bool,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    #[default]
    NonIdempotent,
    /// Answers with a stream of events; runs at most once unless the route is resumable.
    Streaming,
}

impl Route {
    /// Tells whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Streaming => self.resumable,
        }
    }
}

/// A pool of upstreams that run the same software.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Service {
    /// The most connections that an upstream accepts from all VMs together.
    pub connections: u32,
    /// How long an upstream stays cold after its start, in milliseconds.
    pub cold_start_ms: u64,
    /// The requests a second that a cold upstream bears.
    pub cold_per_s: f64,
    /// Tells whether the upstreams are model engines, which keep the prompts that they have read.
    pub engine: bool,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// The longest time for a request's head, in milliseconds.
    pub header_ms: u64,
    /// The longest time that a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { header_bytes: 16 << 10, body_bytes: 4 << 20, header_ms: 3_000, idle_ms: 15_000 }
    }
}

/// A team that shares the fleet with others.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Workspace {
    /// The name of the workspace.
    pub name: Name,
    /// The keys that its callers send.
    pub keys: Vec<String>,
    /// The rank of its requests in place of the route's.
    pub priority: Option<u8>,
}

/// Why a request is not allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteError {
    /// This VM knows no configuration yet.
    NotReady,
    /// No route matches.
    NoRoute,
    /// The key is missing or belongs to no workspace.
    UnknownKey,
}

impl Routes {
    /// Finds the route of a host and path: the one with the longest prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let matching =
            self.routes.iter().filter(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.prefix));
        matching.max_by_key(|r| r.prefix.len())
    }

    /// Finds the workspace that holds a key.
    pub fn workspace_of(&self, key: &str) -> Option<&Workspace> {
        self.workspaces.iter().find(|w| w.keys.iter().any(|known| known == key))
    }

    /// Finds the route and the workspace of a request, or tells why it is not allowed.
    pub fn admit(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(&Arc<Route>, Option<&Workspace>), RouteError> {
        let route = self.find(host, path).ok_or(RouteError::NoRoute)?;
        let workspace = key.and_then(|key| self.workspace_of(key));
        if workspace.is_none() && !route.public && !self.workspaces.is_empty() {
            return Err(RouteError::UnknownKey);
        }
        Ok((route, workspace))
    }
}
