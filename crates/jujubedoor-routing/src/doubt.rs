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
const FAILED: usize = 3;

/// The pause between two rounds of tries in one domain, in milliseconds.
const PAUSE_MS: u64 = 2_000;

/// How long all VMs of a domain are silent until its upstreams are tried, in milliseconds.
const SILENT_MS: u64 = 700;

/// What speaks against each failure domain.
#[derive(Clone, Debug, Default)]
pub struct Doubts {
    domains: HashMap<Name, Doubt>,
}

#[derive(Clone, Debug, Default)]
struct Doubt {
    failed: HashSet<Name>,
    tried: Option<Time>,
}

/// Notes that an upstream answered.
pub fn answered(state: &mut State, id: &Name) {
    let Some(upstream) = state.upstreams.get(id) else { return };
    if let Some(doubt) = state.doubts.domains.get_mut(&upstream.registration.domain) {
        doubt.failed.clear();
    }
}

/// Notes that an upstream broke a request off or could not be reached.
pub fn failed(state: &mut State, id: &Name) {
    let Some(upstream) = state.upstreams.get(id) else { return };
    let domain = upstream.registration.domain.clone();
    let doubt = state.doubts.domains.entry(domain.clone()).or_default();
    doubt.failed.insert(id.clone());
    if doubt.failed.len() >= FAILED {
        try_all(state, &domain, "failures");
    }
}

/// Looks for domains whose VMs are all silent.
pub fn tick(state: &mut State) {
    // Only where all VMs speak with each other does silence tell something of a domain.
    if !state.peers.is_mesh() {
        return;
    }
    for domain in state.peers.silent_domains(state.now, SILENT_MS) {
        try_all(state, &domain, "silence");
    }
}

/// Tries new connections to all upstreams of a domain that are thought to be in reach.
fn try_all(state: &mut State, domain: &Name, why: &'static str) {
    let now = state.now;
    let doubt = state.doubts.domains.entry(domain.clone()).or_default();
    doubt.failed.clear();
    if doubt.tried.is_some_and(|tried| now.since(tried) < PAUSE_MS) {
        return;
    }
    doubt.tried = Some(now);
    let mut tried = 0_u32;
    for (id, upstream) in &mut state.upstreams {
        if upstream.registration.domain == *domain && upstream.is_reachable(now) {
            upstream.doubted = true;
            tried += 1;
            state.effects.push(Effect::Probe(id.clone(), upstream.registration.address));
        }
    }
    let inputs =
        vec![("domain", domain.to_string()), ("why", why.to_owned()), ("upstreams", tried.to_string())];
    state.note(None, "domain_doubted", inputs);
}
