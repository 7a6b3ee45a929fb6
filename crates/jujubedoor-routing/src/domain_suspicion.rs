//! Failure domains that may be out of reach as a whole.
//!
//! Answers the load of a domain that is cut off or loses power: each kept connection there would cost one more
//! request, which may not be repeated once it was handed over. When several upstreams of a domain fail one after
//! the other, or all its VMs fall silent, nothing is sent there until a new connection has shown which of its
//! upstreams can be reached.

use std::collections::HashMap;
use std::collections::HashSet;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::event::Effect;
use crate::state::State;

/// How many upstreams of a domain fail without a success between them until all are tried.
const MAX_FAILED_UPSTREAMS: usize = 3;

/// The pause between two rounds of tries in one domain, in milliseconds.
const PROBE_ROUND_INTERVAL_MS: u64 = 2_000;

/// How long all VMs of a domain are silent until its upstreams are tried, in milliseconds.
const DOMAIN_SILENCE_MS: u64 = 700;

/// What speaks against each failure domain.
#[derive(Clone, Debug, Default)]
pub struct DomainSuspicions {
    domains: HashMap<Name, Suspicion>,
}

#[derive(Clone, Debug, Default)]
struct Suspicion {
    failed_upstreams: HashSet<Name>,
    probed_at: Option<Time>,
}

/// Notes that an upstream answered.
pub fn record_success(state: &mut State, id: &Name) {
    let Some(upstream) = state.upstreams.get(id) else { return };
    if let Some(suspicion) = state.domain_suspicions.domains.get_mut(&upstream.registration.domain) {
        suspicion.failed_upstreams.clear();
    }
}

/// Notes that an upstream broke a request off or could not be reached.
pub fn record_failure(state: &mut State, id: &Name) {
    let Some(upstream) = state.upstreams.get(id) else { return };
    let domain = upstream.registration.domain.clone();
    let suspicion = state.domain_suspicions.domains.entry(domain.clone()).or_default();
    suspicion.failed_upstreams.insert(id.clone());
    if suspicion.failed_upstreams.len() >= MAX_FAILED_UPSTREAMS {
        probe_domain(state, &domain, "failures");
    }
}

/// Looks for domains whose VMs are all silent.
pub fn tick(state: &mut State) {
    // Only where all VMs speak with each other does silence tell something of a domain.
    if !state.peers.is_mesh() {
        return;
    }
    for domain in state.peers.silent_domains(state.now, DOMAIN_SILENCE_MS) {
        probe_domain(state, &domain, "silence");
    }
}

/// Tries new connections to all upstreams of a domain that are thought to be in reach.
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
