//! The service document: what a team declares about its engines, services and workspaces.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::diagnostic::ConfigError;
use crate::diagnostic::Position;
use crate::name::Name;
use crate::pattern;
use crate::reader;
use crate::reader::Diagnostics;
use crate::reader::Node;

/// The largest document that is accepted, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// The longest wait at a warm upstream, in milliseconds: with the time for the answer it stays under the
/// time for which a new admission owner settles.
pub const MAX_WARM_WAIT_MS: u64 = 1_000;

/// The service document of one team.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// The team that owns the document.
    pub team: Name,
    /// The failure domains and whether they take work.
    pub failure_domains: Vec<FailureDomain>,
    /// The models and plain services.
    pub pools: Vec<Pool>,
    /// The upstreams of all pools.
    pub upstreams: Vec<Upstream>,
    /// The workspaces that may call.
    pub workspaces: Vec<Workspace>,
}

/// A failure domain.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FailureDomain {
    /// The name of the failure domain.
    pub name: Name,
    /// The region that the failure domain is part of.
    pub region: Name,
    /// Whether it takes new work.
    pub state: DomainState,
}

/// Whether a failure domain takes new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DomainState {
    /// New work is placed in the failure domain.
    #[default]
    In,
    /// No new work; work in progress ends whole.
    Leaving,
    /// No new work.
    Out,
}

/// A model or a plain service: a set of interchangeable upstreams.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Pool {
    /// The name of the model or service.
    pub name: Name,
    /// What kind of upstream serves it.
    pub kind: PoolKind,
    /// What identifies calls that share a cache.
    pub affinity: Affinity,
    /// Who decides about admission.
    pub admission: Admission,
    /// The load bound of an upstream as a multiple of the pool's mean load.
    pub bound: f64,
    /// How long a chat may wait at an upstream that is warm for it, in milliseconds.
    pub warm_wait_ms: u64,
    /// How long a call may wait when every upstream is at its bound, in milliseconds.
    pub queue_ms: u64,
    /// The calls that may run at most once.
    pub non_repeatable: Vec<NonRepeatable>,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            name: Name::default(),
            kind: PoolKind::Model,
            affinity: Affinity::Chat,
            admission: Admission::Owner,
            bound: 1.25,
            warm_wait_ms: 300,
            queue_ms: 2_000,
            non_repeatable: Vec::new(),
        }
    }
}

impl Pool {
    /// Finds the declaration that makes a call non-repeatable.
    pub fn non_repeatable_call(&self, method: &str, path: &str) -> Option<&NonRepeatable> {
        self.non_repeatable
            .iter()
            .find(|call| call.method.eq_ignore_ascii_case(method) && pattern::matches(&call.path, path))
    }
}

/// What kind of upstream serves a pool.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines that stream answers and cache prompt prefixes.
    #[default]
    Model,
    /// A plain HTTP service below the path `/NAME/`.
    Service,
}

/// What identifies calls that share a cache.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Affinity {
    /// The chat id.
    #[default]
    Chat,
    /// The first message, which many chats share.
    Prefix,
}

/// Who decides whether an upstream takes one more call.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// The upstream's admission owner, which sees every call in flight.
    #[default]
    Owner,
    /// Nobody: the first upstream of the order takes every call.
    Hash,
    /// Each entry, by a bound on its own counts.
    LocalBounded,
    /// Each entry, by the least reported load.
    Reports,
    /// Each entry, by the less loaded of two random upstreams.
    TwoChoices,
    /// Each entry, within its share of each upstream's slots.
    StaticShare,
}

/// The words that a document uses for [`Admission`].
pub const ADMISSIONS: [(&str, Admission); 6] = [
    ("owner", Admission::Owner),
    ("hash", Admission::Hash),
    ("local_bounded", Admission::LocalBounded),
    ("reports", Admission::Reports),
    ("two_choices", Admission::TwoChoices),
    ("static_share", Admission::StaticShare),
];

/// A call that may run at most once.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct NonRepeatable {
    /// The HTTP method.
    pub method: Name,
    /// The path pattern below the service's prefix.
    pub path: Name,
    /// What happens to a call that brings no ticket.
    pub without_ticket: WithoutTicket,
}

/// What happens to a non-repeatable call that brings no ticket.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WithoutTicket {
    /// It is refused with a fresh ticket.
    #[default]
    Refuse,
    /// It runs once, and a resend is the caller's risk.
    RunOnce,
}

/// A server that answers calls of one or more pools.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Upstream {
    /// The name of the upstream.
    pub name: Name,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub domain: Name,
    /// The pools that it serves.
    pub serves: Vec<Name>,
    /// How many calls it bears at once.
    pub slots: u32,
    /// How many calls it bears at once in cold start.
    pub cold_slots: u32,
    /// Whether it refuses orders with an old fencing token.
    pub fencing: Fencing,
    /// Whether it publishes load reports.
    pub reports: bool,
}

impl Default for Upstream {
    fn default() -> Self {
        Self {
            name: Name::default(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            domain: Name::default(),
            serves: Vec::new(),
            slots: 16,
            cold_slots: 2,
            fencing: Fencing::Ignored,
            reports: true,
        }
    }
}

/// Whether an upstream refuses orders with an old fencing token.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Old tokens are refused.
    Honoured,
    /// Tokens are not looked at.
    #[default]
    Ignored,
}

/// A customer's share of the service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Workspace {
    /// The name of the workspace.
    pub name: Name,
    /// Its weight when upstreams are full.
    pub weight: u32,
}

impl Default for Workspace {
    fn default() -> Self {
        Self { name: Name::default(), weight: 1 }
    }
}

/// Parses and checks a document.
pub fn parse(text: &str) -> Result<Document, ConfigError> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let diagnostic = crate::Diagnostic {
            position: Position { line: 1, column: 1 },
            message: format!("the document has {} bytes, more than {MAX_DOCUMENT_BYTES}", text.len()),
            hint: Some("split it between teams".into()),
        };
        return Err(ConfigError(vec![diagnostic]));
    }
    reader::read(text, parse_document)
}

fn parse_document(node: Node<'_>, diagnostics: &mut Diagnostics) -> Document {
    let mut section = node.section(diagnostics);
    let team = section.name("team", diagnostics);
    let domains = section.list("failure_domains", diagnostics, parse_domain);
    let models = section.list("models", diagnostics, |n, d| parse_pool(n, PoolKind::Model, d));
    let services = section.list("services", diagnostics, |n, d| parse_pool(n, PoolKind::Service, d));
    let upstreams = section.list("upstreams", diagnostics, parse_upstream);
    let workspaces = section.list("workspaces", diagnostics, parse_workspace);
    section.finish(diagnostics);

    let pools: Vec<_> = models.into_iter().chain(services).collect();
    check_unique("failure domain", domains.iter().map(|d| (&d.value.name, d.position)), diagnostics);
    check_unique("model or service", pools.iter().map(|p| (&p.value.name, p.position)), diagnostics);
    check_unique("upstream", upstreams.iter().map(|u| (&u.value.name, u.position)), diagnostics);
    check_unique("workspace", workspaces.iter().map(|w| (&w.value.name, w.position)), diagnostics);
    check_references(&domains, &pools, &upstreams, diagnostics);
    Document {
        team,
        failure_domains: strip(domains),
        pools: strip(pools),
        upstreams: strip(upstreams),
        workspaces: strip(workspaces),
    }
}

/// A value with the place that it was read from.
struct Placed<T> {
    value: T,
    position: Position,
}

fn strip<T>(values: Vec<Placed<T>>) -> Vec<T> {
    values.into_iter().map(|placed| placed.value).collect()
}

fn parse_domain(node: Node<'_>, diagnostics: &mut Diagnostics) -> Placed<FailureDomain> {
    let mut section = node.section(diagnostics);
    let states = [("in", DomainState::In), ("leaving", DomainState::Leaving), ("out", DomainState::Out)];
    let value = FailureDomain {
        name: section.name("name", diagnostics),
        region: section.name("region", diagnostics),
        state: section.choice("state", DomainState::In, &states, diagnostics),
    };
    section.finish(diagnostics);
    Placed { value, position: node.position() }
}

fn parse_pool(node: Node<'_>, kind: PoolKind, diagnostics: &mut Diagnostics) -> Placed<Pool> {
    let default = Pool::default();
    let mut section = node.section(diagnostics);
    let affinities = [("chat", Affinity::Chat), ("prefix", Affinity::Prefix)];
    let mut value = Pool {
        name: section.name("name", diagnostics),
        kind,
        affinity: section.choice("affinity", default.affinity, &affinities, diagnostics),
        admission: section.choice("admission", default.admission, &ADMISSIONS, diagnostics),
        bound: section.number("bound", default.bound, 1.0, 100.0, diagnostics),
        warm_wait_ms: section.number("warm_wait_ms", default.warm_wait_ms, 0, MAX_WARM_WAIT_MS, diagnostics),
        queue_ms: section.number("queue_ms", default.queue_ms, 0, 600_000, diagnostics),
        ..default
    };
    if kind == PoolKind::Service {
        value.non_repeatable = section.list("non_repeatable", diagnostics, parse_non_repeatable);
    }
    section.finish(diagnostics);
    Placed { value, position: node.position() }
}

fn parse_non_repeatable(node: Node<'_>, diagnostics: &mut Diagnostics) -> NonRepeatable {
    let mut section = node.section(diagnostics);
    let choices = [("refuse", WithoutTicket::Refuse), ("run_once", WithoutTicket::RunOnce)];
    let method = section.text("method", diagnostics).unwrap_or_else(|| "POST".into());
    let path = section.text("path", diagnostics);
    if path.is_none() {
        let hint = Some("add `path: /seal/*`, or `/**` for every path".into());
        diagnostics.add_at(section.position(), "`path` is missing", hint);
    }
    let without_ticket = section.choice("without_ticket", WithoutTicket::Refuse, &choices, diagnostics);
    section.finish(diagnostics);
    NonRepeatable { method: method.into(), path: path.unwrap_or_default().into(), without_ticket }
}

fn parse_upstream(node: Node<'_>, diagnostics: &mut Diagnostics) -> Placed<Upstream> {
    let default = Upstream::default();
    let mut section = node.section(diagnostics);
    let fencing = [("honoured", Fencing::Honoured), ("ignored", Fencing::Ignored)];
    let value = Upstream {
        name: section.name("name", diagnostics),
        address: section.required_address("address", diagnostics),
        domain: section.name("domain", diagnostics),
        serves: section.list("serves", diagnostics, |n, d| n.text(d).unwrap_or_default().into()),
        slots: section.number("slots", default.slots, 1, 100_000, diagnostics),
        cold_slots: section.number("cold_slots", default.cold_slots, 1, 100_000, diagnostics),
        fencing: section.choice("fencing", default.fencing, &fencing, diagnostics),
        reports: section.flag("reports", default.reports, diagnostics),
    };
    if value.cold_slots > value.slots {
        let hint = Some("a cold upstream bears no more than a warm one".into());
        let position = section.position_of("cold_slots");
        diagnostics.add_at(position, "`cold_slots` is above `slots`", hint);
    }
    section.finish(diagnostics);
    Placed { value, position: node.position() }
}

fn parse_workspace(node: Node<'_>, diagnostics: &mut Diagnostics) -> Placed<Workspace> {
    let mut section = node.section(diagnostics);
    let value = Workspace {
        name: section.name("name", diagnostics),
        weight: section.number("weight", 1, 1, 10_000, diagnostics),
    };
    section.finish(diagnostics);
    Placed { value, position: node.position() }
}

fn check_unique<'a, I>(what: &str, names: I, diagnostics: &mut Diagnostics)
where
    I: Iterator<Item = (&'a Name, Position)>,
{
    let mut seen = BTreeSet::new();
    for (name, position) in names {
        if !seen.insert(name) {
            let hint = Some("give each its own name".into());
            diagnostics.add_at(position, format!("{what} `{name}` is declared twice"), hint);
        }
    }
}

fn check_references(
    domains: &[Placed<FailureDomain>],
    pools: &[Placed<Pool>],
    upstreams: &[Placed<Upstream>],
    diagnostics: &mut Diagnostics,
) {
    let domains: Vec<_> = domains.iter().map(|d| d.value.name.as_str()).collect();
    let pools: Vec<_> = pools.iter().map(|p| p.value.name.as_str()).collect();
    for upstream in upstreams {
        let Upstream { name, domain, serves, .. } = &upstream.value;
        if !domain.as_str().is_empty() && !domains.contains(&domain.as_str()) {
            let message = format!("upstream `{name}` is in undeclared failure domain `{domain}`");
            diagnostics.add_at(upstream.position, message, suggest(domain, &domains));
        }
        if serves.is_empty() {
            let hint = Some("add `serves: [NAME]`".into());
            diagnostics.add_at(upstream.position, format!("upstream `{name}` serves nothing"), hint);
        }
        for pool in serves.iter().filter(|pool| !pools.contains(&pool.as_str())) {
            let message = format!("upstream `{name}` serves undeclared model or service `{pool}`");
            diagnostics.add_at(upstream.position, message, suggest(pool, &pools));
        }
    }
}

fn suggest(name: &Name, known: &[&str]) -> Option<String> {
    let nearest = known.iter().min_by_key(|k| strsim::levenshtein(k, name.as_str()))?;
    Some(format!("did you mean `{nearest}`?"))
}
