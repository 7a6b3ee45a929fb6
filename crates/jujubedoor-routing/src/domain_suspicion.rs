//! Detection of failure domains that cannot be reached as a whole.
//!
//! When a domain is cut off or loses power, each pooled connection into it would cost one more request,
//! which may not be retried once it was sent. When several upstreams of a domain fail in a row, or none
//! of its VMs responds, its upstreams are therefore suspected, and receive no requests until a probe
//! over a new connection has shown which of them can be reached. In a fleet with relays only these receive
//! heartbeats from other domains, and report to their own domain which ones are silent.
//!
//! If a domain has many upstreams, some of them are probed for all.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use rand::seq::SliceRandom;

use crate::event::Effect;
use crate::heartbeats;
use crate::state::State;

/// Number of upstreams of a domain that have to fail without a success in between for the domain to be
/// probed.
const FAILURE_THRESHOLD: usize = 3;

/// Minimum interval between two rounds of probes in one domain, in milliseconds.
const PROBE_ROUND_INTERVAL_MS: u64 = 2_000;

/// Time for which the silence of a domain's VMs is ignored after one of its upstreams could be reached, in
/// milliseconds.
const IGNORED_SILENCE_MS: u64 = 10_000;

/// Maximum number of upstreams of a domain that are probed at once.
const MAX_PROBES: usize = 16;

/// Time without heartbeats from any VM of a domain after which its upstreams are probed, in
/// milliseconds.
const DOMAIN_SILENCE_MS: u64 = 700;

/// Recent failures and probes of each failure domain.
#[derive(Clone, Debug, Default)]
pub struct DomainSuspicions {
    domains: HashMap<Name, Suspicion>,
}

#[derive(Clone, Debug, Default)]
struct Suspicion {
    failed_upstreams: HashSet<Name>,
    probed_at: Option<Time>,
    /// Time of the last probe that opened.
    reached_at: Option<Time>,
    /// Whether there are suspected upstreams that the last probes did not include.
    has_unprobed: bool,
}

/// Records that an upstream responded.
pub fn record_success(state: &mut State, id: &Name) {
    let Some(upstream) = state.upstreams.get(id) else { return };
    if let Some(suspicion) = state.domain_suspicions.domains.get_mut(&upstream.registration.domain) {
        suspicion.failed_upstreams.clear();
    }
}

/// Records that an upstream lost a connection, did not respond or could not be reached.
pub fn record_failure(state: &mut State, id: &Name) {
    let Some(upstream) = state.upstreams.get(id) else { return };
    let domain = upstream.registration.domain.clone();
    let suspicion = state.domain_suspicions.domains.entry(domain.clone()).or_default();
    suspicion.failed_upstreams.insert(id.clone());
    if suspicion.failed_upstreams.len() >= FAILURE_THRESHOLD {
        probe_domain(state, &domain, "failures");
    }
}

/// Returns the domains whose VMs have all stopped sending heartbeats, if this VM receives heartbeats from
/// other domains.
pub fn silent_domains(state: &State) -> BTreeSet<Name> {
    if state.peers.is_mesh() || heartbeats::is_forwarder(state) {
        return state.peers.silent_domains(state.now, DOMAIN_SILENCE_MS);
    }
    BTreeSet::new()
}

/// Probes silent domains, and domains of which no upstream could be reached by the last probes.
pub fn tick(state: &mut State) {
    for domain in silent_domains(state) {
        probe_silent_domain(state, &domain, "silence");
    }
    let now = state.now;
    let is_due = |s: &Suspicion| {
        s.has_unprobed && s.probed_at.is_none_or(|at| now.since(at) >= PROBE_ROUND_INTERVAL_MS)
    };
    let domains = &state.domain_suspicions.domains;
    let due: Vec<Name> =
        domains.iter().filter(|(_, s)| is_due(s)).map(|(domain, _)| domain.clone()).collect();
    for domain in due {
        probe_domain(state, &domain, "unreachable");
    }
}

/// Probes the domains that a relay of this VM's failure domain reports as silent.
pub fn record_report(state: &mut State, silent_domains: &[Name]) {
    for domain in silent_domains {
        if *domain != state.domain {
            probe_silent_domain(state, domain, "reported");
        }
    }
}

/// Probes a domain whose VMs are silent, unless its upstreams could be reached all the same.
fn probe_silent_domain(state: &mut State, domain: &Name, reason: &'static str) {
    let reached_at = state.domain_suspicions.domains.get(domain).and_then(|s| s.reached_at);
    if reached_at.is_none_or(|at| state.now.since(at) >= IGNORED_SILENCE_MS) {
        probe_domain(state, domain, reason);
    }
}

/// Suspects all upstreams of a domain that are assumed to be reachable, and probes them or, if they are many,
/// some of them.
fn probe_domain(state: &mut State, domain: &Name, reason: &'static str) {
    let now = state.now;
    let suspicion = state.domain_suspicions.domains.entry(domain.clone()).or_default();
    suspicion.failed_upstreams.clear();
    if suspicion.probed_at.is_some_and(|at| now.since(at) < PROBE_ROUND_INTERVAL_MS) {
        return;
    }
    let in_domain = state.upstreams.iter_mut().filter(|(_, u)| u.registration.domain == *domain);
    let mut suspected: Vec<(Name, SocketAddr)> = Vec::new();
    for (id, upstream) in in_domain {
        if upstream.is_suspected || upstream.is_reachable(now) {
            upstream.is_suspected = true;
            suspected.push((id.clone(), upstream.registration.address));
        }
    }
    let (probed, _) = suspected.partial_shuffle(&mut state.rng, MAX_PROBES);
    let inputs = vec![
        ("domain", domain.to_string()),
        ("why", reason.to_owned()),
        ("upstreams", probed.len().to_string()),
    ];
    state.effects.extend(probed.iter().map(|(id, address)| Effect::Probe(id.clone(), *address)));
    suspicion.probed_at = Some(now);
    suspicion.has_unprobed = suspected.len() > MAX_PROBES;
    state.log(None, "domain_doubted", inputs);
}

/// Records that a probed upstream of a domain can be reached, which ends the suspicion of those that were not
/// probed.
pub fn record_probe_success(state: &mut State, domain: &Name) {
    let Some(suspicion) = state.domain_suspicions.domains.get_mut(domain) else { return };
    suspicion.reached_at = Some(state.now);
    if std::mem::take(&mut suspicion.has_unprobed) {
        let in_domain = state.upstreams.values_mut().filter(|u| u.registration.domain == *domain);
        in_domain.for_each(|upstream| upstream.is_suspected = false);
    }
}
