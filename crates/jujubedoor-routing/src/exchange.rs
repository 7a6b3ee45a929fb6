//! What this VM tells others in its beats, and what it takes from theirs.

use std::collections::HashMap;
use std::sync::Arc;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::event::Effect;
use crate::news::Read;
use crate::peers::Beat;
use crate::peers::Load;
use crate::peers::RELAYS;
use crate::peers::Reach;
use crate::peers::Target;
use crate::peers::ToldPart;
use crate::recall;
use crate::state::State;
use crate::upstream::Told;
use crate::upstream::short_key;

/// The most prompt parts that one beat tells.
const TOLD_PARTS: usize = 60;

/// The most crashed requests that one beat tells.
const TOLD_CRASHES: usize = 20;

/// How long ago a part was last passed on at least before a relay passes it on again, in milliseconds.
const PASS_ON_MS: u64 = 8_000;

/// The requests of a failure domain, as one of its relays told.
#[derive(Clone, Debug)]
pub struct DomainLoads {
    domain: Name,
    loads: HashMap<u32, Load>,
    at: Time,
}

/// Sends beats if it is time, or if there is much to tell.
pub fn tick(state: &mut State) {
    let now = state.now;
    if now >= state.beat_due || state.news.len() >= TOLD_PARTS {
        let tuning = &state.tuning;
        let period_ms = if state.peers.is_mesh() { tuning.beat_ms } else { tuning.relayed_beat_ms };
        state.beat_due = now.after(period_ms);
        let before = Time(now.0.saturating_sub(state.tuning.told_ms));
        state.upstreams.values_mut().for_each(|u| u.forget_told(before));
        state.peers.forget(now);
        send(state);
    }
}

/// Sends a beat to all that are due.
pub fn send(state: &mut State) {
    let now = state.now;
    let due = state.peers.due(now, state.tuning.silent_ms);
    if due.is_empty() {
        return;
    }
    state.beat_number += 1;
    let beat = build(state);
    let is_mesh = state.peers.is_mesh();
    // Targets of the same beat follow each other, so that it is encoded once.
    for (asks, is_far) in [(true, false), (false, false), (true, true), (false, true)] {
        let is_same = |t: &&Target| t.asks == asks && (t.is_far && !is_mesh) == is_far;
        let mut same = due.iter().filter(is_same).peekable();
        if same.peek().is_none() {
            continue;
        }
        let beat = if is_far { for_far(&beat) } else { beat.clone() };
        let beat = Arc::new(Beat { asks, ..beat });
        state.effects.extend(same.map(|target| Effect::Beat(target.address, beat.clone())));
    }
}

/// Leaves out what VMs of other failure domains do not use where relays tell.
fn for_far(beat: &Beat) -> Beat {
    Beat { loads: Vec::new(), elsewhere: Vec::new(), ..beat.clone() }
}

fn build(state: &mut State) -> Beat {
    let now = state.now;
    let silent_ms = state.tuning.silent_ms;
    let busy = state.upstreams.values().filter(|u| u.running > 0);
    let loads: Vec<Load> =
        busy.map(|u| Load { upstream: u.key, running: u.running, unread: u.unread }).collect();
    state.told_loads = loads.iter().map(|l| (l.upstream, *l)).collect();
    let relays = !state.peers.is_mesh() && state.peers.is_among_first(1, now, silent_ms);
    let (domain, elsewhere) =
        if relays { (sum_domain(state), sum_elsewhere(state)) } else { Default::default() };
    let told = |read: Read| ToldPart {
        part: read.part,
        upstream: short_key(&read.upstream),
        reading_ms: read.reading.map_or(0, |until| until.since(now)),
    };
    let parts = state.news.take(TOLD_PARTS).into_iter().map(told).collect();
    let most = state.fresh_crashes.len().min(TOLD_CRASHES);
    let crashes = state.fresh_crashes.drain(..most).collect();
    let vms = state.peers.sample(now, state.beat_number, &mut state.rng);
    Beat {
        from: state.peers.me.clone(),
        number: state.beat_number,
        asks: false,
        leaving: state.leaving,
        revision: state.directory.revision,
        reach: Reach {
            registry_lost: state.registry_lost.is_some(),
            hears_far: state.peers.hears_far(now, silent_ms),
        },
        loads,
        domain,
        elsewhere,
        parts,
        crashes,
        vms,
    }
}

/// Sums the requests of this VM and of those of its failure domain that tell this VM.
fn sum_domain(state: &State) -> Vec<Load> {
    let (now, told_ms) = (state.now, state.tuning.told_ms);
    let sums = state.upstreams.values().map(|u| {
        let near = u.told(now, told_ms).filter(|(vm, _)| state.peers.is_near(*vm));
        let (running, unread) = near.fold((u.running, u.unread), |(running, unread), (_, t)| {
            (running + t.running, unread + t.unread)
        });
        Load { upstream: u.key, running, unread }
    });
    sums.filter(|l| l.running > 0).collect()
}

/// Sums what the relays of other failure domains told; of the relays of one domain the highest counts, as one
/// that has just become a relay knows of some VMs only.
fn sum_elsewhere(state: &State) -> Vec<Load> {
    let mut highest: HashMap<(&Name, u32), Load> = HashMap::new();
    for told in state.domains.values().filter(|d| state.now.since(d.at) < state.tuning.told_ms) {
        for load in told.loads.values() {
            let known = highest.entry((&told.domain, load.upstream)).or_insert(*load);
            if load.running > known.running {
                *known = *load;
            }
        }
    }
    let mut sums: HashMap<u32, Load> = HashMap::new();
    for load in highest.into_values() {
        let sum = sums.entry(load.upstream).or_insert(Load { upstream: load.upstream, ..Load::default() });
        sum.running += load.running;
        sum.unread += load.unread;
    }
    sums.into_values().collect()
}

/// Takes a beat.
pub fn hear(state: &mut State, beat: &Beat) {
    let vms = state.peers.count();
    if !state.peers.hear(beat, state.now) {
        return;
    }
    if state.peers.count() != vms {
        let inputs = vec![("vm", beat.from.name.to_string()), ("vms", state.peers.count().to_string())];
        state.note(None, "vm_found", inputs);
        // The others learn of it without waiting for the next period.
        state.beat_due = state.now;
    }
    recall::ask(state, beat);
    take_loads(state, beat);
    take_parts(state, beat);
    take_crashes(state, beat);
}

/// Takes the crashes that were not heard before.
fn take_crashes(state: &mut State, beat: &Beat) {
    let pass_on = passes_on(state);
    for crash in &beat.crashes {
        if state.heard_crashes.put(crash.report, ()).is_some() {
            continue;
        }
        state.suspects.record_crash(crash.fingerprint, state.now);
        if pass_on {
            state.fresh_crashes.push(*crash);
        }
    }
}

/// Tells whether this VM passes on what it hears: two of each domain do, so that no gap follows when one ends.
fn passes_on(state: &State) -> bool {
    !state.peers.is_mesh() && state.peers.is_among_first(RELAYS, state.now, state.tuning.silent_ms)
}

fn take_loads(state: &mut State, beat: &Beat) {
    let now = state.now;
    let near = beat.from.domain == state.domain;
    if state.peers.is_mesh() || near {
        let loads: HashMap<u32, &Load> = beat.loads.iter().map(|l| (l.upstream, l)).collect();
        for upstream in state.upstreams.values_mut() {
            let (running, unread) = loads.get(&upstream.key).map_or((0, 0), |l| (l.running, l.unread));
            upstream.hear(beat.from.incarnation, Told { running, unread, at: now });
        }
    }
    if beat.domain.is_empty() {
        return;
    }
    if near {
        take_totals(state, beat);
    } else {
        let loads = beat.domain.iter().map(|l| (l.upstream, *l)).collect();
        let told = DomainLoads { domain: beat.from.domain.clone(), loads, at: now };
        state.domains.retain(|_, d| now.since(d.at) < state.tuning.told_ms);
        state.domains.insert(beat.from.incarnation, told);
        let far: HashMap<u32, Load> = sum_elsewhere(state).into_iter().map(|l| (l.upstream, l)).collect();
        for upstream in state.upstreams.values_mut() {
            let load = far.get(&upstream.key).copied().unwrap_or_default();
            upstream.hear_far(Told { running: load.running, unread: load.unread, at: now });
        }
    }
}

/// Takes the requests of the whole fleet from a relay, less those that this VM told itself.
fn take_totals(state: &mut State, beat: &Beat) {
    let mut totals: HashMap<u32, (u32, u32)> = HashMap::new();
    for load in beat.domain.iter().chain(&beat.elsewhere) {
        let total = totals.entry(load.upstream).or_default();
        total.0 += load.running;
        total.1 += load.unread;
    }
    let now = state.now;
    for upstream in state.upstreams.values_mut() {
        let key = upstream.key;
        let (running, unread) = totals.get(&key).copied().unwrap_or_default();
        let mine = state.told_loads.get(&key).copied().unwrap_or_default();
        let (running, unread) = (running.saturating_sub(mine.running), unread.saturating_sub(mine.unread));
        upstream.hear_all(beat.from.incarnation, Told { running, unread, at: now });
    }
}

fn take_parts(state: &mut State, beat: &Beat) {
    if beat.parts.is_empty() {
        return;
    }
    let keys = state.short_keys();
    let pass_on = passes_on(state);
    let now = state.now;
    for ToldPart { part, upstream, reading_ms } in &beat.parts {
        let Some(id) = keys.get(upstream) else { continue };
        let reading = (*reading_ms > 0).then(|| now.after(*reading_ms));
        match reading {
            Some(until) => state.warmth.note_reading(*part, id, now, until),
            None => state.warmth.note(*part, id, now),
        }
        if pass_on && state.warmth.tell(part.key, id, now, PASS_ON_MS) {
            state.news.push(Read { part: *part, upstream: id.clone(), reading });
        }
    }
}
