//! The service document, in which a team declares its models, services, upstreams, failure domains and
//! workspaces.

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

/// Maximum size of a document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// Maximum of [`Pool::warm_wait_ms`], in milliseconds.
///
/// Together with the time allowed for the owner's response, it stays below the time that a new admission
/// owner waits for unresponsive VMs before it grants its first permit.
pub const MAX_WARM_WAIT_MS: u64 = 1_000;

/// The service document of one team.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Team that owns the document.
    pub team: Name,
    /// Failure domains and whether they accept new calls.
    pub failure_domains: Vec<FailureDomain>,
    /// Models and plain services.
    pub pools: Vec<Pool>,
    /// Upstreams of all pools.
    pub upstreams: Vec<Upstream>,
    /// Workspaces that may send calls.
    pub workspaces: Vec<Workspace>,
}

/// A failure domain.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FailureDomain {
    /// Name of the failure domain.
    pub name: Name,
    /// Region that the failure domain belongs to.
    pub region: Name,
    /// Whether the failure domain accepts new calls.
    pub state: DomainState,
}

/// Whether a failure domain accepts new calls.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DomainState {
    /// New calls are sent to upstreams in the failure domain.
    #[default]
    In,
    /// No new calls are sent; calls in progress run to completion.
    Leaving,
    /// No new calls are sent.
    Out,
}

/// A model or a plain service, served by a set of interchangeable upstreams.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Pool {
    /// Name of the model or service.
    pub name: Name,
    /// Kind of upstream that serves the pool.
    pub kind: PoolKind,
    /// Property by which calls that can share an upstream's cache are recognized.
    pub affinity: Affinity,
    /// Policy that decides whether an upstream admits another call.
    pub admission: Admission,
    /// Load bound of an upstream, as a multiple of the pool's mean load.
    pub bound: f64,
    /// Maximum time for which a call may queue at an upstream that has the chat's prompt cached, in
    /// milliseconds.
    pub warm_wait_ms: u64,
    /// Maximum time for which a call may queue if every upstream is at its load limit, in milliseconds.
    pub queue_ms: u64,
    /// Calls that may run at most once.
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
    /// Returns the declaration that makes a call non-repeatable, if there is one.
    pub fn non_repeatable_call(&self, method: &str, path: &str) -> Option<&NonRepeatable> {
        self.non_repeatable
            .iter()
            .find(|call| call.method.eq_ignore_ascii_case(method) && pattern::matches(&call.path, path))
    }
}

/// The kind of upstream that serves a pool.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines, which stream responses and cache prompt prefixes.
    #[default]
    Model,
    /// A plain service, which is no model engine, served over HTTP with the path prefix `/NAME/`.
    Service,
}

/// The property by which calls that can share an upstream's cache are recognized.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Affinity {
    /// Chat id.
    #[default]
    Chat,
    /// First message, which many chats may have in common.
    Prefix,
}

/// The policy that decides whether an upstream admits another call.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// The upstream's admission owner decides, with knowledge of all calls in progress.
    #[default]
    Owner,
    /// Every call is sent to the first upstream in hash order, without a limit.
    Hash,
    /// Each VM limits the load of an upstream by its own calls only.
    LocalBounded,
    /// Each VM chooses the upstream with the lowest reported load.
    Reports,
    /// Each VM chooses the less loaded of two random upstreams.
    TwoChoices,
    /// Each VM uses an equal share of each upstream's slots.
    StaticShare,
}

/// The names of the policies in documents.
pub const ADMISSIONS: [(&str, Admission); 6] = [
    ("owner", Admission::Owner),
    ("hash", Admission::Hash),
    ("local_bounded", Admission::LocalBounded),
    ("reports", Admission::Reports),
    ("two_choices", Admission::TwoChoices),
    ("static_share", Admission::StaticShare),
];

/// A kind of call that may run at most once.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct NonRepeatable {
    /// HTTP method.
    pub method: Name,
    /// Path pattern, relative to the service's prefix.
    pub path: Name,
    /// Treatment of a call without a ticket.
    pub without_ticket: WithoutTicket,
}

/// The treatment of a non-repeatable call without a ticket.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WithoutTicket {
    /// The call is rejected, and the response contains a new ticket.
    #[default]
    Refuse,
    /// The call runs once. If the caller sends it again, it may run again.
    RunOnce,
}

/// A server that handles calls of one or more pools.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: Name,
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    /// Failure domain of the upstream.
    pub domain: Name,
    /// Pools that the upstream serves.
    pub serves: Vec<Name>,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Maximum number of concurrent calls during cold start.
    pub cold_slots: u32,
    /// Whether the upstream rejects calls with an outdated fencing token.
    pub fencing: Fencing,
    /// Whether the upstream publishes load reports.
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

/// Whether an upstream rejects calls with an outdated fencing token.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Calls with outdated tokens are rejected.
    Honoured,
    /// Tokens are ignored.
    #[default]
    Ignored,
}

/// A customer of the service, with a share of its capacity.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Name,
    /// Weight by which the capacity of upstreams at their load limit is shared.
    pub weight: u32,
}

impl Default for Workspace {
    fn default() -> Self {
        Self { name: Name::default(), weight: 1 }
    }
}

/// Parses and validates a document.
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
        failure_domains: into_values(domains),
        pools: into_values(pools),
        upstreams: into_values(upstreams),
        workspaces: into_values(workspaces),
    }
}

/// A value with its position in the text.
struct Positioned<T> {
    value: T,
    position: Position,
}

fn into_values<T>(values: Vec<Positioned<T>>) -> Vec<T> {
    values.into_iter().map(|positioned| positioned.value).collect()
}

fn parse_domain(node: Node<'_>, diagnostics: &mut Diagnostics) -> Positioned<FailureDomain> {
    let mut section = node.section(diagnostics);
    let states = [("in", DomainState::In), ("leaving", DomainState::Leaving), ("out", DomainState::Out)];
    let value = FailureDomain {
        name: section.name("name", diagnostics),
        region: section.name("region", diagnostics),
        state: section.choice("state", DomainState::In, &states, diagnostics),
    };
    section.finish(diagnostics);
    Positioned { value, position: node.position() }
}

fn parse_pool(node: Node<'_>, kind: PoolKind, diagnostics: &mut Diagnostics) -> Positioned<Pool> {
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
    Positioned { value, position: node.position() }
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

fn parse_upstream(node: Node<'_>, diagnostics: &mut Diagnostics) -> Positioned<Upstream> {
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
    Positioned { value, position: node.position() }
}

fn parse_workspace(node: Node<'_>, diagnostics: &mut Diagnostics) -> Positioned<Workspace> {
    let mut section = node.section(diagnostics);
    let value = Workspace {
        name: section.name("name", diagnostics),
        weight: section.number("weight", 1, 1, 10_000, diagnostics),
    };
    section.finish(diagnostics);
    Positioned { value, position: node.position() }
}

fn check_unique<'a, I>(item_kind: &str, names: I, diagnostics: &mut Diagnostics)
where
    I: Iterator<Item = (&'a Name, Position)>,
{
    let mut seen = BTreeSet::new();
    for (name, position) in names {
        if !seen.insert(name) {
            let hint = Some("give each its own name".into());
            diagnostics.add_at(position, format!("{item_kind} `{name}` is declared twice"), hint);
        }
    }
}

fn check_references(
    domains: &[Positioned<FailureDomain>],
    pools: &[Positioned<Pool>],
    upstreams: &[Positioned<Upstream>],
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
