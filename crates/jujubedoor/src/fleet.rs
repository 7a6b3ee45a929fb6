//! The view of the fleet: which VMs are listed and reachable, and which of them may own upstreams and pools.
//!
//! The platform's list defines which VMs exist. Observations of a VM only exclude peers earlier than the list
//! does: a peer that did not respond is suspected for a while, and a peer that announced that it is leaving
//! stays excluded.
//!
//! The view counts as confirmed for a limited time after the platform or a peer has confirmed it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jujubedoor_config::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::Revision;
use crate::ids::Time;
use crate::ids::VmRef;
use crate::rendezvous;
use crate::tuning::Tuning;

/// The platform's list of VMs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmList {
    /// Revision of the list, assigned by the platform.
    pub revision: Revision,
    /// Listed VMs.
    pub vms: Vec<VmEntry>,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// Name of the VM.
    pub name: Name,
    /// Address for other VMs.
    pub peer_address: SocketAddr,
    /// Address for operators.
    pub admin_address: SocketAddr,
    /// Region of the VM.
    pub region: Name,
    /// Failure domain of the VM.
    pub domain: Name,
    /// Whether the VM is leaving.
    pub leaving: bool,
}

/// One VM's view of the fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    local_vm: VmRef,
    list: VmList,
    observations: BTreeMap<Name, PeerObservation>,
    confirmed_at: Option<Time>,
    leaving: bool,
}

/// Observations of a peer.
#[derive(Clone, Debug, Default)]
struct PeerObservation {
    incarnation: Option<Incarnation>,
    suspected_at: Time,
    suspected_until: Time,
    repetitions: u32,
    leaving_incarnation: Option<Incarnation>,
}

impl Fleet {
    /// Creates a view with an empty VM list.
    pub fn new(local_vm: VmRef) -> Self {
        Self {
            local_vm,
            list: VmList::default(),
            observations: BTreeMap::new(),
            confirmed_at: None,
            leaving: false,
        }
    }

    /// Returns the identity of this daemon process.
    pub fn local_vm(&self) -> &VmRef {
        &self.local_vm
    }

    /// Returns the VM list.
    pub fn list(&self) -> &VmList {
        &self.list
    }

    /// Replaces the VM list if the new one has a higher revision, and returns whether it was replaced.
    pub fn update(&mut self, list: VmList) -> bool {
        if list.revision <= self.list.revision {
            return false;
        }
        self.list = list;
        let still_listed = |name: &Name| self.list.vms.iter().any(|vm| vm.name == *name);
        self.observations.retain(|name, _| still_listed(name));
        true
    }

    /// Records that a response confirmed the view as of the time at which the request was sent.
    ///
    /// The time of the request counts, since the response may have been delayed.
    pub fn confirm(&mut self, requested_at: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
    }

    /// Returns whether the view was confirmed recently, or was confirmed once and lists no other VM.
    pub fn is_view_confirmed(&self, now: Time, tuning: &Tuning) -> bool {
        let Some(confirmed_at) = self.confirmed_at else { return false };
        let is_alone = || self.list.vms.iter().all(|vm| vm.name == self.local_vm.name);
        now.since(confirmed_at) <= tuning.max_view_age_ms || is_alone()
    }

    /// Returns whether the view will soon become stale unless it is confirmed.
    pub fn needs_confirmation(&self, now: Time, tuning: &Tuning) -> bool {
        self.confirmed_at.is_none_or(|at| now.since(at) > tuning.max_view_age_ms / 2)
    }

    /// Records that a message of a VM arrived, and returns whether this ends a suspicion.
    pub fn record_contact(&mut self, from: &VmRef, now: Time) -> bool {
        let observation = self.observations.entry(from.name.clone()).or_default();
        let was_suspected = observation.suspected_until > now;
        observation.incarnation = Some(from.incarnation);
        observation.suspected_until = Time(0);
        if observation.leaving_incarnation.is_some_and(|announced| announced != from.incarnation) {
            observation.leaving_incarnation = None;
        }
        was_suspected
    }

    /// Suspects a VM that could not be reached. Repeated suspicions last longer each time.
    ///
    /// Returns whether the suspicion is new. If the VM is already suspected, the suspicion is extended.
    pub fn suspect(&mut self, name: &Name, now: Time, tuning: &Tuning) -> bool {
        if *name == self.local_vm.name {
            return false;
        }
        let observation = self.observations.entry(name.clone()).or_default();
        if observation.suspected_until > now {
            observation.suspected_until = observation.suspected_until.max(now.after(tuning.min_suspicion_ms));
            return false;
        }
        let was_long_ago = now.since(observation.suspected_at) > tuning.max_suspicion_ms * 2;
        observation.repetitions = if was_long_ago { 0 } else { (observation.repetitions + 1).min(16) };
        let period = (tuning.min_suspicion_ms << observation.repetitions).min(tuning.max_suspicion_ms);
        observation.suspected_at = now;
        observation.suspected_until = now.after(period);
        true
    }

    /// Records that a VM announced that it is leaving.
    pub fn record_leaving(&mut self, vm: &VmRef) {
        self.observations.entry(vm.name.clone()).or_default().leaving_incarnation = Some(vm.incarnation);
    }

    /// Returns whether a daemon process announced that it is leaving.
    pub fn has_announced_leaving(&self, vm: &VmRef) -> bool {
        self.observations.get(&vm.name).is_some_and(|o| o.leaving_incarnation == Some(vm.incarnation))
    }

    /// Marks this VM as leaving.
    pub fn mark_leaving(&mut self) {
        self.leaving = true;
    }

    /// Returns whether this VM is leaving, by its own mark or according to the list.
    pub fn is_leaving(&self) -> bool {
        let own_entry = self.list.vms.iter().find(|vm| vm.name == self.local_vm.name);
        self.leaving || own_entry.is_some_and(|vm| vm.leaving)
    }

    /// Returns whether a VM is listed.
    pub fn is_listed(&self, name: &str) -> bool {
        self.list.vms.iter().any(|vm| &*vm.name == name)
    }

    /// Returns whether a VM is suspected at present.
    pub fn is_suspected(&self, name: &str, now: Time) -> bool {
        self.observations.get(name).is_some_and(|o| o.suspected_until > now)
    }

    /// Returns the last known incarnation of a VM.
    pub fn incarnation(&self, name: &str) -> Option<Incarnation> {
        if name == &*self.local_vm.name {
            return Some(self.local_vm.incarnation);
        }
        self.observations.get(name).and_then(|o| o.incarnation)
    }

    /// Returns the names of the suspected VMs.
    pub fn suspects(&self, now: Time) -> Vec<Name> {
        let currently_suspected = |(_, o): &(&Name, &PeerObservation)| o.suspected_until > now;
        self.observations.iter().filter(currently_suspected).map(|(name, _)| name.clone()).collect()
    }

    /// Returns the VMs that are excluded from ownership by observation, regardless of the list: suspected
    /// VMs, VMs that announced that they are leaving, and this VM if it is leaving.
    pub fn unavailable_vms(&self, now: Time) -> Vec<Name> {
        let excluded = self.observations.iter().filter(|(_, observation)| !observation.is_usable(now));
        let own_name = self.leaving.then(|| self.local_vm.name.clone());
        excluded.map(|(name, _)| name.clone()).chain(own_name).collect()
    }

    /// Iterates over the listed VMs other than this one.
    pub fn peers(&self) -> impl Iterator<Item = &VmEntry> {
        self.list.vms.iter().filter(|vm| vm.name != self.local_vm.name)
    }

    /// Returns the VM that owns a resource in a region, or a VM of another region if no VM of this region is
    /// usable.
    pub fn owner(&self, resource: &str, region: &str, now: Time) -> Option<&Name> {
        let key = rendezvous::key_of(resource);
        let best_candidate = |same_region: bool| {
            let candidates = self.list.vms.iter().filter(|vm| !same_region || &*vm.region == region);
            let usable = candidates.filter(|vm| self.is_usable(vm, now));
            usable.max_by_key(|vm| rendezvous::score(key, &vm.name)).map(|vm| &vm.name)
        };
        best_candidate(true).or_else(|| best_candidate(false))
    }

    /// Returns the peers to which the heartbeat of a round is sent: a few at a time, in rotation.
    pub fn heartbeat_targets(&self, round: u64, count: usize) -> Vec<Name> {
        let mut peer_names: Vec<_> = self.peers().map(|vm| vm.name.clone()).collect();
        let own_key = rendezvous::key_of(&self.local_vm.name);
        peer_names.sort_by_key(|name| rendezvous::score(own_key, name));
        let peer_count = peer_names.len();
        if peer_count <= count {
            return peer_names;
        }
        let start = usize::try_from(round).unwrap_or(0).wrapping_mul(count) % peer_count;
        peer_names.into_iter().cycle().skip(start).take(count).collect()
    }

    fn is_usable(&self, vm: &VmEntry, now: Time) -> bool {
        if vm.leaving {
            return false;
        }
        if vm.name == self.local_vm.name {
            return !self.leaving;
        }
        let Some(observation) = self.observations.get(&vm.name) else { return true };
        observation.is_usable(now)
    }
}

impl PeerObservation {
    /// Returns whether the VM is neither suspected nor has announced that it is leaving.
    fn is_usable(&self, now: Time) -> bool {
        let announced_leaving =
            self.leaving_incarnation.is_some() && self.leaving_incarnation == self.incarnation;
        !announced_leaving && self.suspected_until <= now
    }
}
