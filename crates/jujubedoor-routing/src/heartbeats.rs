//! Sends heartbeats and applies those of other VMs.

use std::collections::HashMap;
use std::sync::Arc;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::cache_recovery;
use crate::event::Effect;
use crate::peers::Heartbeat;
use crate::peers::HeartbeatTarget;
use crate::peers::Load;
use crate::peers::PartUpdate;
use crate::peers::RELAYS_PER_DOMAIN;
use crate::peers::Reachability;
use crate::pending_parts::CachedPart;
use crate::state::State;
use crate::upstream::PeerLoad;
use crate::upstream::short_key;

/// Maximum number of prompt parts in one heartbeat.
const MAX_PARTS: usize = 60;

/// Maximum number of crash reports in one heartbeat.
const MAX_CRASHES: usize = 20;

/// Minimum interval at which a relay forwards the same part again, in milliseconds.
const FORWARD_INTERVAL_MS: u64 = 8_000;

/// Loads of a failure domain, as reported by one of its relays.
#[derive(Clone, Debug)]
pub struct DomainLoads {
    domain: Name,
    loads: HashMap<u32, Load>,
    received_at: Time,
}

/// Sends heartbeats if they are due, or if enough prompt parts are pending to fill one.
pub fn tick(state: &mut State) {
    let now = state.now;
    if now >= state.heartbeat_due || state.pending_parts.len() >= MAX_PARTS {
        let tuning = &state.tuning;
        let interval_ms = if state.peers.is_mesh() {
            tuning.heartbeat_interval_ms
        } else {
            tuning.relayed_heartbeat_interval_ms
        };
        state.heartbeat_due = now.after(interval_ms);
        let before = Time(now.0.saturating_sub(state.tuning.load_lifetime_ms));
        state.upstreams.values_mut().for_each(|u| u.discard_loads_before(before));
        state.peers.remove_expired(now);
        send(state);
    }
}

/// Sends a heartbeat to each VM for which one is due.
pub fn send(state: &mut State) {
    let now = state.now;
    let targets = state.peers.heartbeat_targets(now, state.tuning.peer_timeout_ms);
    if targets.is_empty() {
        return;
    }
    state.heartbeat_sequence += 1;
    let heartbeat = build(state);
    let is_mesh = state.peers.is_mesh();
    // Targets of the same heartbeat are consecutive, so that it is encoded only once.
    for (wants_reply, is_remote) in [(true, false), (false, false), (true, true), (false, true)] {
        let matches_kind =
            |t: &&HeartbeatTarget| t.wants_reply == wants_reply && (t.is_remote && !is_mesh) == is_remote;
        let mut matching = targets.iter().filter(matches_kind).peekable();
        if matching.peek().is_none() {
            continue;
        }
        let heartbeat = if is_remote { for_remote_domain(&heartbeat) } else { heartbeat.clone() };
        let heartbeat = Arc::new(Heartbeat { wants_reply, ..heartbeat });
        state.effects.extend(matching.map(|target| Effect::Heartbeat(target.address, heartbeat.clone())));
    }
}

/// Returns a copy without the loads that VMs of other failure domains do not use in a fleet with relays.
fn for_remote_domain(heartbeat: &Heartbeat) -> Heartbeat {
    Heartbeat { loads: Vec::new(), remote_loads: Vec::new(), ..heartbeat.clone() }
}

fn build(state: &mut State) -> Heartbeat {
    let now = state.now;
    let peer_timeout_ms = state.tuning.peer_timeout_ms;
    let in_use = state.upstreams.values().filter(|u| u.running > 0);
    let loads: Vec<Load> = in_use
        .map(|u| Load { upstream: u.key, running: u.running, prefill_tokens: u.prefill_tokens })
        .collect();
    state.sent_loads = loads.iter().map(|l| (l.upstream, *l)).collect();
    let is_first_relay = !state.peers.is_mesh() && state.peers.is_among_first(1, now, peer_timeout_ms);
    let (domain_loads, remote_loads) =
        if is_first_relay { (sum_domain(state), sum_remote_loads(state)) } else { Default::default() };
    let to_update = |cached: CachedPart| PartUpdate {
        part: cached.part,
        upstream: short_key(&cached.upstream),
        prefill_remaining_ms: cached.prefill_until.map_or(0, |until| until.since(now)),
    };
    let parts = state.pending_parts.take(MAX_PARTS).into_iter().map(to_update).collect();
    let crash_count = state.pending_crashes.len().min(MAX_CRASHES);
    let crashes = state.pending_crashes.drain(..crash_count).collect();
    let vms = state.peers.sample(now, state.heartbeat_sequence, &mut state.rng);
    Heartbeat {
        sender: state.peers.local_vm.clone(),
        sequence: state.heartbeat_sequence,
        wants_reply: false,
        leaving: state.leaving,
        revision: state.directory.revision,
        reachability: Reachability {
            registry_lost: state.registry_outages.is_lost(),
            has_remote_contact: state.peers.has_remote_contact(now, peer_timeout_ms),
        },
        loads,
        domain_loads,
        remote_loads,
        parts,
        crashes,
        vms,
    }
}

/// Sums the loads of this VM and of the VMs in its failure domain that report to it.
fn sum_domain(state: &State) -> Vec<Load> {
    let (now, load_lifetime_ms) = (state.now, state.tuning.load_lifetime_ms);
    let sums = state.upstreams.values().map(|u| {
        let local = u.peer_loads(now, load_lifetime_ms).filter(|(vm, _)| state.peers.is_local(*vm));
        let (running, prefill_tokens) =
            local.fold((u.running, u.prefill_tokens), |(running, prefill_tokens), (_, peer_load)| {
                (running + peer_load.running, prefill_tokens + peer_load.prefill_tokens)
            });
        Load { upstream: u.key, running, prefill_tokens }
    });
    sums.filter(|l| l.running > 0).collect()
}

/// Sums the loads of the other failure domains as reported by their relays.
///
/// Of several relays of one domain the highest load is used, because a VM that has just become a relay
/// knows only part of its domain.
fn sum_remote_loads(state: &State) -> Vec<Load> {
    let mut highest: HashMap<(&Name, u32), Load> = HashMap::new();
    for reported in
        state.relay_loads.values().filter(|d| state.now.since(d.received_at) < state.tuning.load_lifetime_ms)
    {
        for load in reported.loads.values() {
            let known = highest.entry((&reported.domain, load.upstream)).or_insert(*load);
            if load.running > known.running {
                *known = *load;
            }
        }
    }
    let mut sums: HashMap<u32, Load> = HashMap::new();
    for load in highest.into_values() {
        let sum = sums.entry(load.upstream).or_insert(Load { upstream: load.upstream, ..Load::default() });
        sum.running += load.running;
        sum.prefill_tokens += load.prefill_tokens;
    }
    sums.into_values().collect()
}

/// Applies a heartbeat of another VM.
pub fn receive(state: &mut State, heartbeat: &Heartbeat) {
    let vms = state.peers.count();
    if !state.peers.receive(heartbeat, state.now) {
        return;
    }
    if state.peers.count() != vms {
        let inputs =
            vec![("vm", heartbeat.sender.name.to_string()), ("vms", state.peers.count().to_string())];
        state.log(None, "vm_found", inputs);
        // Informs the other VMs without waiting for the next interval.
        state.heartbeat_due = state.now;
    }
    cache_recovery::request_from(state, heartbeat);
    apply_loads(state, heartbeat);
    apply_parts(state, heartbeat);
    apply_crashes(state, heartbeat);
}

/// Applies the crash reports that were not received before.
fn apply_crashes(state: &mut State, heartbeat: &Heartbeat) {
    let should_forward = is_forwarder(state);
    for crash in &heartbeat.crashes {
        if state.seen_crash_reports.put(crash.report_id, ()).is_some() {
            continue;
        }
        state.crash_suspects.record_crash(crash.fingerprint, state.now);
        if should_forward {
            state.pending_crashes.push(*crash);
        }
    }
}

/// Returns whether this VM forwards what it receives. Two VMs of each domain do, so that there is no gap
/// when one of them stops.
fn is_forwarder(state: &State) -> bool {
    !state.peers.is_mesh()
        && state.peers.is_among_first(RELAYS_PER_DOMAIN, state.now, state.tuning.peer_timeout_ms)
}

fn apply_loads(state: &mut State, heartbeat: &Heartbeat) {
    let now = state.now;
    let from_local_domain = heartbeat.sender.domain == state.domain;
    if state.peers.is_mesh() || from_local_domain {
        let loads: HashMap<u32, &Load> = heartbeat.loads.iter().map(|l| (l.upstream, l)).collect();
        for upstream in state.upstreams.values_mut() {
            let (running, prefill_tokens) =
                loads.get(&upstream.key).map_or((0, 0), |l| (l.running, l.prefill_tokens));
            upstream
                .set_peer_load(heartbeat.sender.incarnation, PeerLoad { running, prefill_tokens, at: now });
        }
    }
    if heartbeat.domain_loads.is_empty() {
        return;
    }
    if from_local_domain {
        apply_fleet_loads(state, heartbeat);
    } else {
        let loads = heartbeat.domain_loads.iter().map(|l| (l.upstream, *l)).collect();
        let received = DomainLoads { domain: heartbeat.sender.domain.clone(), loads, received_at: now };
        state.relay_loads.retain(|_, d| now.since(d.received_at) < state.tuning.load_lifetime_ms);
        state.relay_loads.insert(heartbeat.sender.incarnation, received);
        let remote: HashMap<u32, Load> =
            sum_remote_loads(state).into_iter().map(|l| (l.upstream, l)).collect();
        for upstream in state.upstreams.values_mut() {
            let load = remote.get(&upstream.key).copied().unwrap_or_default();
            upstream.set_remote_load(PeerLoad {
                running: load.running,
                prefill_tokens: load.prefill_tokens,
                at: now,
            });
        }
    }
}

/// Applies the load of the whole fleet as reported by a relay, less the load that this VM itself last
/// reported.
fn apply_fleet_loads(state: &mut State, heartbeat: &Heartbeat) {
    let mut totals: HashMap<u32, (u32, u32)> = HashMap::new();
    for load in heartbeat.domain_loads.iter().chain(&heartbeat.remote_loads) {
        let total = totals.entry(load.upstream).or_default();
        total.0 += load.running;
        total.1 += load.prefill_tokens;
    }
    let now = state.now;
    for upstream in state.upstreams.values_mut() {
        let key = upstream.key;
        let (running, prefill_tokens) = totals.get(&key).copied().unwrap_or_default();
        let own_load = state.sent_loads.get(&key).copied().unwrap_or_default();
        let (running, prefill_tokens) = (
            running.saturating_sub(own_load.running),
            prefill_tokens.saturating_sub(own_load.prefill_tokens),
        );
        upstream.set_fleet_load(heartbeat.sender.incarnation, PeerLoad { running, prefill_tokens, at: now });
    }
}

fn apply_parts(state: &mut State, heartbeat: &Heartbeat) {
    if heartbeat.parts.is_empty() {
        return;
    }
    let ids_by_key = state.short_keys();
    let should_forward = is_forwarder(state);
    let now = state.now;
    for PartUpdate { part, upstream, prefill_remaining_ms } in &heartbeat.parts {
        let Some(id) = ids_by_key.get(upstream) else { continue };
        let prefill_until = (*prefill_remaining_ms > 0).then(|| now.after(*prefill_remaining_ms));
        match prefill_until {
            Some(until) => state.cache_index.record_prefill(*part, id, now, until),
            None => state.cache_index.record(*part, id, now),
        }
        if should_forward && state.cache_index.try_announce(part.key, id, now, FORWARD_INTERVAL_MS) {
            state.pending_parts.push(CachedPart { part: *part, upstream: id.clone(), prefill_until });
        }
    }
}
