//! Entries of a registry that was restored from an older copy.
//!
//! The copy lacks the latest changes, until operators and upstreams write their entries again. VMs keep what they
//! know of these changes meanwhile: upstreams that leave or have left, new upstreams, evacuations and routes. Within
//! an epoch, the registry's order decides which entry is newer. Across epochs, the order of the upstream itself does:
//! the start time of its run, then the number of its registration.

use jujubedoor::ids::StoreRevision;
use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::directory::Departure;
use crate::directory::Directory;
use crate::directory::Registration;
use crate::run_evidence;
use crate::state::State;

/// Time after a restore for which an evacuation is kept that the operators have not ordered again, in milliseconds.
const EVACUATION_LIFETIME_MS: u64 = 10_000;

/// Time after a restore for which departures before it are kept, in milliseconds. By then, the registry has removed
/// the entries of upstreams that do not write them any more.
const DEPARTURE_LIFETIME_MS: u64 = 60_000;

/// What this VM knows about the latest restore of the registry.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestoredRegistry {
    /// Time until which evacuations from before the restore are kept, while there may be some.
    evacuations_kept_until: Option<Time>,
    /// Time until which departures from before the restore are kept, while there may be some.
    departures_kept_until: Option<Time>,
    /// Epoch for which this VM has combined its directory with that of another VM.
    combined_epoch: u64,
    /// Whether the directory contains changes that the registry has lost.
    knows_lost_changes: bool,
}

impl RestoredRegistry {
    /// Returns whether the directory contains changes that the registry has lost.
    pub fn knows_lost_changes(&self) -> bool {
        self.knows_lost_changes
    }
}

impl Directory {
    /// Returns whether a registration is older than what is known of the upstream.
    pub fn is_outdated(&self, id: &Name, registration: &Registration) -> bool {
        let is_older = |known: &Registration| registration.is_older_than(known);
        let has_ended = |departure: &Departure| registration.has_ended_with(departure);
        self.upstreams.get(id).is_some_and(is_older) || self.departures.get(id).is_some_and(has_ended)
    }

    /// Returns whether the directory contains changes that the registry has lost, as far as known.
    pub fn contains_lost_changes(&self) -> bool {
        let is_lost = |revision: StoreRevision| revision.epoch < self.revision.epoch;
        is_lost(self.routes_revision)
            || self.evacuated.values().any(|revision| is_lost(*revision))
            || self.departures.values().any(|departure| is_lost(departure.revision))
            || self.upstreams.values().any(|registration| is_lost(registration.revision))
    }

    /// Combines this directory with a complete one that was read later.
    #[must_use]
    pub fn combined_with(&self, mut read: Directory) -> Directory {
        if let Some(routes) = self.routes.clone()
            && read.routes.as_ref().is_none_or(|new| new.version < routes.version)
        {
            read.update_routes(routes, self.routes_revision);
        }
        self.restore_registrations(&mut read);
        self.restore_departures(&mut read);
        for (domain, revision) in &self.evacuated {
            if revision.epoch < read.revision.epoch {
                read.evacuated.entry(domain.clone()).or_insert(*revision);
            }
        }
        read
    }

    /// Replaces outdated registrations in a directory by those in this one, if there are any.
    fn restore_registrations(&self, read: &mut Directory) {
        let outdated = |(id, registration): &(&Name, &Registration)| self.is_outdated(id, registration);
        let outdated: Vec<Name> = read.upstreams.iter().filter(outdated).map(|(id, _)| id.clone()).collect();
        for id in outdated {
            match self.upstreams.get(&id) {
                Some(known) => read.upstreams.insert(id, known.clone()),
                None => read.upstreams.remove(&id),
            };
        }
    }

    /// Adds the departures in this directory to another one, and those of the upstreams that the other one lacks.
    fn restore_departures(&self, read: &mut Directory) {
        let known = self.departures.iter().map(|(id, departure)| (id, *departure));
        let read_at = read.revision;
        let missing = self.upstreams.iter().map(|(id, known)| (id, known.departure_at(read_at)));
        let departures: Vec<(&Name, Departure)> = known.chain(missing).collect();
        for (id, departure) in departures {
            if !read.upstreams.contains_key(id) && !read.departures.contains_key(id) {
                read.record_departure(id.clone(), departure);
            }
        }
    }
}

impl Registration {
    fn is_older_than(&self, known: &Registration) -> bool {
        if self.revision.epoch == known.revision.epoch {
            return false;
        }
        let is_same_run = self.started == known.started;
        let revokes_leave = is_same_run && known.draining && !self.draining;
        revokes_leave || (self.started, self.sequence) < (known.started, known.sequence)
    }

    fn has_ended_with(&self, departure: &Departure) -> bool {
        self.revision.epoch != departure.revision.epoch
            && (self.started, self.sequence) <= (departure.started, departure.sequence)
    }
}

/// Records that a directory of another epoch than the known one is applied.
pub fn record_epoch(state: &mut State, revision: StoreRevision) {
    let known = state.directory.revision;
    if revision.epoch <= known.epoch {
        return;
    }
    let now = state.now;
    state.restored_registry.evacuations_kept_until = Some(now.after(EVACUATION_LIFETIME_MS));
    state.restored_registry.departures_kept_until = Some(now.after(DEPARTURE_LIFETIME_MS));
    if known == StoreRevision::default() {
        return;
    }
    state.registry_outages.record_restore(state.now);
    run_evidence::record_restore(state);
    let inputs = vec![
        ("epoch", revision.epoch.to_string()),
        ("revision", revision.number.to_string()),
        ("known_epoch", known.epoch.to_string()),
        ("known_revision", known.number.to_string()),
    ];
    state.log(None, "registry_restored", inputs);
}

/// Records that this VM has combined its directory with that of another VM.
pub fn record_combination(state: &mut State) {
    state.restored_registry.combined_epoch = state.directory.revision.epoch;
}

/// Returns whether this VM should combine its directory with that of a VM that knows changes which the registry has
/// lost. A VM that has just started would know only the copy otherwise.
pub fn needs_combination(state: &State) -> bool {
    state.restored_registry.combined_epoch < state.directory.revision.epoch
}

/// Returns whether a departure is known for certain: before the registry was restored, rather than because the copy
/// lacks the upstream.
pub fn has_left(directory: &Directory, id: &Name) -> bool {
    directory.departures.get(id).is_some_and(|departure| departure.revision.epoch < directory.revision.epoch)
}

/// Drops what is kept from the time before a restore and was not confirmed since, once its time has passed. Returns
/// the failure domains that are in use again.
pub fn drop_unconfirmed(state: &mut State) -> Vec<Name> {
    let now = state.now;
    let is_over = |until: Option<Time>| until.is_some_and(|until| now >= until);
    if is_over(state.restored_registry.departures_kept_until) {
        state.restored_registry.departures_kept_until = None;
        drop_departures(&mut state.directory);
        update(state);
    }
    if !is_over(state.restored_registry.evacuations_kept_until) {
        return Vec::new();
    }
    state.restored_registry.evacuations_kept_until = None;
    let domains = drop_evacuations(&mut state.directory);
    update(state);
    domains
}

/// Drops from a directory of another VM what this VM keeps no longer.
pub fn drop_unconfirmed_from(directory: &mut Directory, state: &State) {
    let known = &state.restored_registry;
    if directory.revision.epoch > state.directory.revision.epoch {
        return;
    }
    if known.evacuations_kept_until.is_none() {
        drop_evacuations(directory);
    }
    if known.departures_kept_until.is_none() {
        drop_departures(directory);
    }
}

fn drop_evacuations(directory: &mut Directory) -> Vec<Name> {
    let epoch = directory.revision.epoch;
    let unconfirmed = directory.evacuated.iter().filter(|(_, revision)| revision.epoch < epoch);
    let domains: Vec<Name> = unconfirmed.map(|(domain, _)| domain.clone()).collect();
    for domain in &domains {
        directory.evacuated.remove(domain);
    }
    domains
}

fn drop_departures(directory: &mut Directory) {
    let epoch = directory.revision.epoch;
    directory.departures.retain(|_, departure| departure.revision.epoch >= epoch);
}

/// Records whether the directory contains lost changes, after it has changed.
pub fn update(state: &mut State) {
    state.restored_registry.knows_lost_changes = state.directory.contains_lost_changes();
}
