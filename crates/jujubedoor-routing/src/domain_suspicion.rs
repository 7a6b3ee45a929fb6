//! Detection of failure domains that cannot be reached as a whole.
//!
//! When a domain is cut off or loses power, each pooled connection into it would cost one more request,
//! which may not be retried once it was sent. When several upstreams of a domain fail in a row, or none
//! of its VMs responds, its upstreams are therefore suspected, and receive no requests until a probe
//! over a new connection has shown which of them can be reached.

use std::collections::HashMap;
use std::collections::HashSet;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::event::Effect;
use crate::state::State;

/// Number of upstreams of a domain that have to fail without a success in between for the domain to be
/// probed.
const FAILURE_THRESHOLD: usize = 3;

/// Minimum interval between two rounds of probes in one domain, in milliseconds.
const PROBE_ROUND_INTERVAL_MS: u64 = 2_000;

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

/// Probes domains whose VMs have all stopped sending heartbeats.
pub fn tick(state: &mut State) {
    // Only in a full mesh does the absence of heartbeats say anything about a domain.
    if !state.peers.is_mesh() {
        return;
    }
    for domain in state.peers.silent_domains(state.now, DOMAIN_SILENCE_MS) {
        probe_domain(state, &domain, "silence");
    }
}

/// Probes all upstreams of a domain that are assumed to be reachable.
fn probe_domain(state: &mut State, domain: &Name, reason: &'static str) {
    let now = state.now;
    let suspicion = state.domain_suspicions.domains.entry(domain.clone()).or_default();
    suspicion.failed_upstreams.clear();
    if suspicion.probed_at.is_some_and(|at| now.since(at) < PROBE_ROUND_INTERVAL_MS) {
        return;
    }
    suspicion.probed_at = Some(now);
    let mut probed = 0_u32;
    for (id, upstream) in &mut state.upstreams {
        if upstream.registration.domain == *domain && upstream.is_reachable(now) {
            upstream.is_suspected = true;
            probed += 1;
            state.effects.push(Effect::Probe(id.clone(), upstream.registration.address));
        }
    }
    let inputs =
        vec![("domain", domain.to_string()), ("why", reason.to_owned()), ("upstreams", probed.to_string())];
    state.log(None, "domain_doubted", inputs);
}
