//! Sends heartbeats and applies those of other VMs.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use jujubedoor::ids::Time;

use crate::cache_recovery;
use crate::crash_attribution;
use crate::directory::Change;
use crate::domain_suspicion;
use crate::event::Effect;
use crate::health;
use crate::load_view::Load;
use crate::message::Heartbeat;
use crate::message::PartSurvival;
use crate::message::PartUpdate;
use crate::message::Reachability;
use crate::message::RecentChanges;
use crate::peers::Peers;
use crate::peers::RELAYS_PER_DOMAIN;
use crate::pending_parts::CachedPart;
use crate::rate_limit;
use crate::route_moves;
use crate::run_evidence;
use crate::software;
use crate::speed;
use crate::state::State;
use crate::stream_origins;
use crate::stream_origins::Announcement;
use crate::upstream::short_key;
use crate::upstream_notices;

/// Maximum number of prompt parts in one heartbeat.
const MAX_PARTS: usize = 60;

/// Maximum number of upstreams whose loads are in one heartbeat, so that it fits into a datagram.
const MAX_LOADS: usize = 500;

/// Maximum number of moved upstreams in one heartbeat.
const MAX_MOVED: usize = 60;

/// Maximum number of crash reports in one heartbeat.
const MAX_CRASHES: usize = 20;

/// Maximum number of survivals of suspected parts in one heartbeat.
const MAX_SURVIVALS: usize = 60;

/// Maximum number of blocked parts in one heartbeat.
const MAX_BLOCKS: usize = 8;

/// Maximum number of rate limits in one heartbeat.
const MAX_RATE_LIMITS: usize = 100;

/// Maximum number of streams in one heartbeat, so that it fits into a datagram.
const MAX_STREAMS: usize = 512;

/// Maximum number of leaving upstreams in one heartbeat.
const MAX_LEAVING: usize = 60;

/// Maximum number of speeds of upstreams in one heartbeat.
const MAX_SPEEDS: usize = 60;

/// Maximum number of live runs of upstreams in one heartbeat, of up to 21 bytes each.
const MAX_LIVE_RUNS: usize = 28;

/// Maximum number of ended runs of upstreams in one heartbeat, and of those that are asked for, of up to 14 bytes each.
const MAX_RUNS: usize = 40;

/// Minimum interval at which a relay forwards the same part again, in milliseconds.
const FORWARD_INTERVAL_MS: u64 = 8_000;

/// Maximum number of changes of the directory in one heartbeat.
const MAX_CHANGES: usize = 30;

/// Number of consecutive heartbeats that contain a change, in case some are lost.
const CHANGE_REPEATS: usize = 3;

/// Sends heartbeats if they are due, or if enough prompt parts or streams are pending to fill one.
pub fn tick(state: &mut State) {
    let now = state.now;
    update_role(state);
    let is_full =
        state.pending_parts.len() >= MAX_PARTS || state.stream_origins.pending_count() >= MAX_STREAMS;
    if now >= state.heartbeat_due || is_full {
        state.heartbeat_due = now.after(interval_ms(state));
        let before = Time(now.0.saturating_sub(state.tuning.load_lifetime_ms));
        state.load_view.discard_before(before);
        state.speeds.expire(now, state.tuning.speed_decay_ms);
        state.peers.remove_expired(now, state.tuning.peer_timeout_ms);
        send(state);
    }
}

/// Returns the time until the next heartbeat, in milliseconds.
///
/// Through relays, the load of a VM reaches the others after up to three intervals. In a small fleet, each VM sends so
/// many requests that an engine could receive more than it may have in that time.
fn interval_ms(state: &State) -> u64 {
    let tuning = &state.tuning;
    if state.peers.is_mesh() {
        tuning.heartbeat_interval_ms
    } else if state.is_small_fleet() {
        u64::from(tuning.small_fleet_heartbeat_interval_ms)
    } else {
        tuning.relayed_heartbeat_interval_ms
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
    let streams = state.stream_origins.take_pending(MAX_STREAMS);
    let speeds = state.speeds.take_pending(MAX_SPEEDS, now, state.tuning.speed_decay_ms);
    let is_mesh = state.peers.is_mesh();
    let mut groups: BTreeMap<Audience, Vec<SocketAddr>> = BTreeMap::new();
    for target in targets {
        let audience = Audience {
            wants_reply: target.wants_reply,
            is_remote: target.is_remote && !is_mesh,
            is_new: target.is_new,
        };
        groups.entry(audience).or_default().push(target.address);
    }
    for (audience, addresses) in groups {
        let heartbeat = Arc::new(Heartbeat {
            speeds: speed::reports(&speeds, audience.is_remote),
            ..for_audience(state, &heartbeat, &streams, audience)
        });
        let to_effect = |address| Effect::Heartbeat(address, heartbeat.clone());
        state.effects.extend(addresses.into_iter().map(to_effect));
    }
}

/// Recipients that get the same heartbeat, which is encoded only once.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Audience {
    wants_reply: bool,
    is_remote: bool,
    is_new: bool,
}

/// Returns a heartbeat with what some of the recipients use.
fn for_audience(
    state: &State,
    heartbeat: &Heartbeat,
    streams: &[Announcement],
    audience: Audience,
) -> Heartbeat {
    let is_for_new = audience.is_new || Peers::is_new(heartbeat.sequence);
    Heartbeat {
        wants_reply: audience.wants_reply,
        loads: if audience.is_remote { Vec::new() } else { heartbeat.loads.clone() },
        domain_loads: heartbeat.domain_loads.clone().filter(|_| audience.is_remote),
        fleet_loads: heartbeat.fleet_loads.clone().filter(|_| !audience.is_remote),
        streams: stream_origins::group(streams, audience.is_remote, state.now),
        vms: state.peers.next_listed(state.now, heartbeat.sequence, is_for_new),
        ..heartbeat.clone()
    }
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
    let domain_loads = is_first_relay.then(|| state.load_view.domain_loads(&loads));
    let fleet_loads = domain_loads.as_deref().map(|loads| highest(state.load_view.fleet_loads(loads)));
    let domain_loads = domain_loads.map(highest);
    let to_update = |cached: CachedPart| PartUpdate {
        part: cached.part,
        upstream: short_key(&cached.upstream),
        prefill_remaining_ms: cached.prefill_until.map_or(0, |until| until.since(now)),
    };
    let parts = state.pending_parts.take(MAX_PARTS).into_iter().map(to_update).collect();
    let crashes = take_first(&mut state.pending_crashes, MAX_CRASHES);
    let limits = take_first(&mut state.pending_rate_limits, MAX_RATE_LIMITS);
    let survivals = take_first(&mut state.pending_survivals, MAX_SURVIVALS);
    Heartbeat {
        sender: state.peers.local_vm.clone(),
        sequence: state.heartbeat_sequence,
        wants_reply: false,
        leaving: state.shutdown.is_some(),
        revision: state.directory.revision,
        knows_lost_changes: state.restored_registry.knows_lost_changes(),
        directory_age_ms: state.directory_confirmed_at.map(|at| now.since(at)),
        reachability: Reachability {
            registry_lost: state.registry_outages.is_lost(),
            has_remote_contact: state.peers.has_remote_contact(now, peer_timeout_ms),
        },
        loads,
        domain_loads,
        fleet_loads,
        changes: recent_changes(state),
        parts,
        crashes: crashes.iter().map(|crash| crash.to_report(now)).collect(),
        survivals: survivals
            .into_iter()
            .map(|(part, at)| PartSurvival { part, age_ms: now.since(at) })
            .collect(),
        part_blocks: state.part_blocks.reports(state.heartbeat_sequence, MAX_BLOCKS, now),
        rate_limits: limits.into_iter().filter_map(|key| rate_limit::report(state, key)).collect(),
        leaving_upstreams: state.upstream_notices.reports(state.heartbeat_sequence, MAX_LEAVING, now),
        speeds: Vec::new(),
        streams: Vec::new(),
        software: software::report(state),
        live_runs: run_evidence::take_reports(state, MAX_LIVE_RUNS),
        sought_runs: run_evidence::take_searches(state, MAX_RUNS),
        ended_runs: run_evidence::take_end_reports(state, MAX_RUNS),
        route_moved_ms: route_moves::report(state),
        moved: take_first(&mut state.pending_moved, MAX_MOVED),
        silent_domains: domain_suspicion::silent_domains(state).into_iter().collect(),
        known_vms: u32::try_from(state.peers.count()).unwrap_or(u32::MAX),
        vms: Vec::new(),
    }
}

/// Removes and returns the first items, at most a number of them.
fn take_first<T>(items: &mut Vec<T>, max_items: usize) -> Vec<T> {
    let taken = items.len().min(max_items);
    items.drain(..taken).collect()
}

/// Returns the highest loads, as many as fit into a heartbeat.
fn highest(mut loads: Vec<Load>) -> Vec<Load> {
    if loads.len() > MAX_LOADS {
        loads.sort_unstable_by_key(|load| Reverse(load.running));
        loads.truncate(MAX_LOADS);
    }
    loads
}

/// Returns the changes of the directory since some heartbeats ago, if there are any and they are few.
fn recent_changes(state: &mut State) -> Option<RecentChanges> {
    let revision = state.directory.revision;
    state.sent_revisions.push_back(revision);
    while state.sent_revisions.len() > CHANGE_REPEATS + 1 {
        state.sent_revisions.pop_front();
    }
    let after = state.sent_revisions.front().copied().filter(|after| *after < revision)?;
    let changes = state.recent_changes.since(after).filter(|changes| changes.len() <= MAX_CHANGES)?;
    let has_routes = changes.iter().any(|(_, change)| matches!(change, Change::Routes(_)));
    let last_outage = state.registry_outages.last_ended(state.now, state.tuning.registration_grace_ms);
    (!has_routes).then_some(RecentChanges { after, changes, last_outage })
}

/// Applies a heartbeat of another VM, except the changes of the directory. Returns whether it is newer than
/// all earlier ones of its sender.
pub fn receive(state: &mut State, heartbeat: &Heartbeat) -> bool {
    let vms = state.peers.count();
    if !state.peers.receive(heartbeat, state.now) {
        return false;
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
    crash_attribution::receive_crashes(state, &heartbeat.crashes);
    crash_attribution::receive_survivals(state, &heartbeat.survivals);
    crash_attribution::receive_blocks(state, &heartbeat.part_blocks);
    rate_limit::receive(state, &heartbeat.rate_limits);
    upstream_notices::receive(state, &heartbeat.leaving_upstreams);
    speed::receive(state, heartbeat);
    stream_origins::request_from(state, heartbeat);
    stream_origins::receive(state, heartbeat);
    software::receive(state, heartbeat);
    run_evidence::receive(state, &heartbeat.live_runs);
    run_evidence::receive_searches(state, &heartbeat.sought_runs);
    run_evidence::receive_ends(state, &heartbeat.ended_runs);
    route_moves::receive(state, heartbeat.route_moved_ms);
    apply_moved(state, heartbeat);
    if heartbeat.sender.domain == state.domain && !state.peers.is_mesh() {
        domain_suspicion::record_report(state, &heartbeat.silent_domains);
    }
    true
}

/// Takes the upstreams out of use whose addresses another VM found to belong to others.
fn apply_moved(state: &mut State, heartbeat: &Heartbeat) {
    if heartbeat.moved.is_empty() {
        return;
    }
    for key in &heartbeat.moved {
        let Some(id) = state.ids_by_key.get(key).cloned() else { continue };
        if state.upstreams.get(&id).is_some_and(|upstream| upstream.is_reachable(state.now)) {
            health::record_moved(state, &id);
        }
    }
    if !is_forwarder(state) {
        // Only relays forward what they receive.
        state.pending_moved.retain(|key| !heartbeat.moved.contains(key));
    }
}

/// Returns whether this VM forwards what it receives, as determined at the last tick.
pub fn is_forwarder(state: &State) -> bool {
    state.is_forwarder
}

/// Determines whether this VM forwards what it receives. Two VMs of each domain do, so that there is no gap when one of
/// them stops. The domain is ranked here rather than for each heartbeat.
fn update_role(state: &mut State) {
    state.is_forwarder = !state.peers.is_mesh()
        && state.peers.is_among_first(RELAYS_PER_DOMAIN, state.now, state.tuning.peer_timeout_ms);
}

fn apply_loads(state: &mut State, heartbeat: &Heartbeat) {
    let now = state.now;
    let sender = &heartbeat.sender;
    let is_local = sender.domain == state.domain;
    if state.peers.is_mesh() || is_local {
        state.load_view.record_vm(sender.incarnation, &heartbeat.loads, now);
    }
    if let Some(loads) = heartbeat.fleet_loads.as_ref().filter(|_| is_local) {
        state.load_view.record_fleet(sender.incarnation, loads, &state.sent_loads, now);
    }
    if let Some(loads) = heartbeat.domain_loads.as_ref().filter(|_| !is_local) {
        state.load_view.record_domain(sender.incarnation, &sender.domain, loads, now);
    }
}

fn apply_parts(state: &mut State, heartbeat: &Heartbeat) {
    if heartbeat.parts.is_empty() {
        return;
    }
    let should_forward = is_forwarder(state);
    let now = state.now;
    for PartUpdate { part, upstream, prefill_remaining_ms } in &heartbeat.parts {
        let Some(id) = state.ids_by_key.get(upstream).cloned() else { continue };
        let prefill_until = (*prefill_remaining_ms > 0).then(|| now.after(*prefill_remaining_ms));
        match prefill_until {
            Some(until) => state.cache_index.record_prefill(*part, &id, now, until),
            None => state.cache_index.record(*part, &id, now),
        }
        if should_forward && state.cache_index.try_announce(part.key, &id, now, FORWARD_INTERVAL_MS) {
            state.pending_parts.push(CachedPart { part: *part, upstream: id, prefill_until });
        }
    }
}
