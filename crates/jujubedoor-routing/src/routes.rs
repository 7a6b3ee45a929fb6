//! Routes, services, workspaces and limits, as published by the operators.

use std::collections::HashMap;
use std::sync::Arc;

use jujubedoor_config::Name;
use serde::Deserialize;
use serde::Serialize;

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Routes {
    /// Version number. It increases with each version, with gaps.
    pub version: u64,
    /// The routes, in no particular order.
    pub routes: Vec<Arc<Route>>,
    /// The services by name.
    pub services: HashMap<Name, Service>,
    /// Limits for requests of callers.
    pub limits: CallerLimits,
    /// The workspaces. If there are none, no request needs a key.
    pub workspaces: Vec<Workspace>,
}

/// A route for requests to one host and path prefix.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host to which the requests are addressed.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Kind of the requests, which determines whether they may be retried.
    pub kind: Kind,
    /// Maximum time that a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// Latency target in milliseconds; for streams, up to the first event.
    pub target_ms: u64,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// The services among which requests are divided, with their weights.
    pub services: Vec<(Name, u32)>,
    /// Maximum number of upstreams to which one request is sent.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether an interrupted stream may be resumed at another upstream.
    pub resumable: bool,
}

/// Kind of requests, which determines whether they may be retried.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    #[default]
    NonIdempotent,
    /// The response is a stream of events. Runs at most once, unless the route is resumable.
    Streaming,
}

impl Route {
    /// Returns whether a request may run more than once.
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
    /// Maximum number of connections that an upstream accepts, over all VMs.
    pub connections: u32,
    /// Time for which an upstream is cold after its start, in milliseconds.
    pub cold_start_ms: u64,
    /// Requests per second that a cold upstream can handle.
    pub cold_per_s: f64,
    /// Whether the upstreams are model engines, which cache the prompts that they have prefilled.
    pub engine: bool,
}

/// Limits for requests of callers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for receiving a request's head, in milliseconds.
    pub header_ms: u64,
    /// Maximum idle time of a connection, in milliseconds.
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
    /// Name of the workspace.
    pub name: Name,
    /// Keys with which its callers authenticate.
    pub keys: Vec<String>,
    /// Priority of its requests, which overrides that of the route.
    pub priority: Option<u8>,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteError {
    /// This VM has no routes yet.
    NotReady,
    /// No route matches.
    NoRoute,
    /// The key is missing or belongs to no workspace.
    UnknownKey,
}

impl Routes {
    /// Returns the route for a host and path; of several, the one with the longest prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let matching =
            self.routes.iter().filter(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.prefix));
        matching.max_by_key(|r| r.prefix.len())
    }

    /// Returns the routes that send requests to a service.
    pub fn sharing(&self, service: &Name) -> impl Iterator<Item = &Route> {
        let sends =
            move |route: &&Route| route.services.iter().any(|(name, weight)| name == service && *weight > 0);
        self.routes.iter().map(Arc::as_ref).filter(sends)
    }

    /// Returns the workspace to which a key belongs.
    pub fn workspace_of(&self, key: &str) -> Option<&Workspace> {
        self.workspaces.iter().find(|w| w.keys.iter().any(|known| known == key))
    }

    /// Returns the route and the workspace of a request, or why it is not admitted.
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
