//! The loads of replays, and what became of their requests.

use std::sync::Arc;

use jujubedoor_config::Name;
use jujubedoor_routing::routes::Kind;
use jujubedoor_routing::routes::Route;

use super::Replay;
use crate::samples;

/// Requests that arrive at random.
#[derive(Clone, Debug)]
pub struct Source {
    /// Route of the requests.
    pub route: Arc<Route>,
    /// Requests per second in each domain.
    pub per_s: Vec<f64>,
    /// Number of prompts that requests share, each of which is equally likely.
    pub subjects: u64,
    /// Tokens that the requests of a subject share, or zero for a plain service.
    pub shared_tokens: u32,
    /// Tokens of a request alone.
    pub own_tokens: u32,
    /// Number of tokens in a response.
    pub response_tokens: u64,
}

impl Source {
    /// Returns the load of a plain route, with a rate for each domain.
    pub fn desk(per_s: [f64; 3]) -> Self {
        Self {
            route: route("desk", "desk", Kind::Idempotent, 150),
            per_s: per_s.to_vec(),
            subjects: 0,
            shared_tokens: 0,
            own_tokens: 0,
            response_tokens: 0,
        }
    }

    /// Returns the load of a route with long prompts.
    pub fn lookup(per_s: [f64; 3]) -> Self {
        Self {
            route: route("lookup", "llm", Kind::Streaming, 800),
            per_s: per_s.to_vec(),
            subjects: 60,
            shared_tokens: 10_000,
            own_tokens: 1_800,
            response_tokens: 100,
        }
    }

    /// Returns the load of a route with prompts of medium length.
    pub fn tag(per_s: [f64; 3]) -> Self {
        Self {
            route: route("tag", "llm", Kind::Streaming, 500),
            per_s: per_s.to_vec(),
            subjects: 300,
            shared_tokens: 2_000,
            own_tokens: 400,
            response_tokens: 20,
        }
    }

    /// Returns the load of a route with short prompts.
    pub fn chat(per_s: [f64; 3]) -> Self {
        Self {
            route: route("chat", "llm", Kind::Streaming, 400),
            per_s: per_s.to_vec(),
            subjects: 500,
            shared_tokens: 600,
            own_tokens: 230,
            response_tokens: 150,
        }
    }
}

fn route(name: &str, service: &str, kind: Kind, target_ms: u64) -> Arc<Route> {
    let route = samples::route(service, kind, 2);
    Arc::new(Route { name: Name::from(name), target_ms, ..Route::clone(&route) })
}

/// A request that was served.
#[derive(Clone, Debug)]
pub struct Served {
    /// Name of the route.
    pub route: Name,
    /// Time of arrival, in milliseconds.
    pub arrived_ms: u64,
    /// Domain of the VM.
    pub vm_domain: usize,
    /// Domain of the upstream.
    pub upstream_domain: usize,
    /// Time from the arrival until the response began, in milliseconds.
    pub start_ms: f64,
    /// Tokens that the engine prefilled.
    pub prefilled: u32,
    /// Tokens that were transferred between engines.
    pub transferred: u32,
    /// Tokens of these that were transferred between failure domains.
    pub transferred_far: u32,
}

/// The requests of one route in a period.
#[derive(Clone, Copy, Debug)]
pub struct Summary {
    /// Number of served requests.
    pub served: usize,
    /// Share of them that left the domain of their VM.
    pub crossed: f64,
    /// Time until the response began that half of them did not exceed, in milliseconds.
    pub median_ms: f64,
    /// Time until the response began that 95% of them did not exceed, in milliseconds.
    pub p95_ms: f64,
    /// Tokens that were prefilled for them, on average.
    pub prefilled: f64,
    /// Tokens that were transferred between failure domains for them, on average.
    pub transferred_far: f64,
}

impl Summary {
    /// Returns the summary of some requests.
    pub fn of(requests: &[&Served]) -> Self {
        let count = requests.len().max(1) as f64;
        let mut starts_ms: Vec<f64> = requests.iter().map(|r| r.start_ms).collect();
        starts_ms.sort_unstable_by(f64::total_cmp);
        let quantile = |percent: usize| starts_ms.get(starts_ms.len() * percent / 100).copied();
        let mean_of =
            |tokens: fn(&Served) -> u32| requests.iter().map(|r| f64::from(tokens(r))).sum::<f64>() / count;
        Self {
            served: requests.len(),
            crossed: requests.iter().filter(|r| r.vm_domain != r.upstream_domain).count() as f64 / count,
            median_ms: quantile(50).unwrap_or_default(),
            p95_ms: quantile(95).unwrap_or_default(),
            prefilled: mean_of(|r| r.prefilled),
            transferred_far: mean_of(|r| r.transferred_far),
        }
    }
}

impl Replay {
    /// Returns the summary of a route's requests that arrived in a period, in milliseconds.
    pub fn summary(&self, route: &str, from_ms: u64, until_ms: u64) -> Summary {
        let in_period = |r: &&Served| (from_ms..until_ms).contains(&r.arrived_ms) && *r.route == *route;
        Summary::of(&self.served.iter().filter(in_period).collect::<Vec<_>>())
    }

    /// Returns the summary of the requests of a domain's callers on a route that arrived in a period.
    pub fn domain_summary(&self, domain: usize, route: &str, from_ms: u64, until_ms: u64) -> Summary {
        let in_period = |r: &&Served| (from_ms..until_ms).contains(&r.arrived_ms) && *r.route == *route;
        let of_domain = |r: &&Served| in_period(r) && r.vm_domain == domain;
        Summary::of(&self.served.iter().filter(of_domain).collect::<Vec<_>>())
    }
}
