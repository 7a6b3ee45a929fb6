//! The view of the fleet: which VMs are listed, reachable, and may own something.
//!
//! The platform's list says which VMs exist. What a VM observes itself only removes others early:
//! a VM that did not answer is suspected for a while, a VM that announced its leaving stays out.
//! The view is fresh while the platform or another VM has confirmed it lately.

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
    /// The revision that the platform gave the list.
    pub revision: Revision,
    /// The VMs.
    pub vms: Vec<VmEntry>,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// The name of the VM.
    pub name: Name,
    /// Where other VMs connect.
    pub peer_address: SocketAddr,
    /// Where operators connect.
    pub admin_address: SocketAddr,
    /// The region.
    pub region: Name,
    /// The failure domain.
    pub domain: Name,
    /// Whether the VM is leaving.
    pub leaving: bool,
}

/// The view of the fleet of one VM.
#[derive(Clone, Debug)]
pub struct Fleet {
    me: VmRef,
    list: VmList,
    seen: BTreeMap<Name, Sighting>,
    confirmed_at: Option<Time>,
    leaving: bool,
}

/// What a VM observed of another.
#[derive(Clone, Debug, Default)]
struct Sighting {
    incarnation: Option<Incarnation>,
    suspected_at: Time,
    suspected_until: Time,
    suspicions: u32,
    left: Option<Incarnation>,
}

impl Fleet {
    /// Creates the view of a VM that knows nobody.
    pub fn new(me: VmRef) -> Self {
        Self { me, list: VmList::default(), seen: BTreeMap::new(), confirmed_at: None, leaving: false }
    }

    /// Returns this VM.
    pub fn me(&self) -> &VmRef {
        &self.me
    }

    /// Returns the platform's list.
    pub fn list(&self) -> &VmList {
        &self.list
    }

    /// Takes a list with a higher revision.
    pub fn update(&mut self, list: VmList) -> bool {
        if list.revision <= self.list.revision {
            return false;
        }
        self.list = list;
        let listed = |name: &Name| self.list.vms.iter().any(|vm| vm.name == *name);
        self.seen.retain(|name, _| listed(name));
        true
    }

    /// Notes that the view was confirmed by something sent after a time.
    pub fn confirm(&mut self, requested_at: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
    }

    /// Tells whether the view was confirmed lately, or nobody else is listed.
    pub fn is_view_confirmed(&self, now: Time, tuning: &Tuning) -> bool {
        let Some(confirmed_at) = self.confirmed_at else { return false };
        let alone = || self.list.vms.iter().all(|vm| vm.name == self.me.name);
        now.since(confirmed_at) <= tuning.freshness_ms || alone()
    }

    /// Tells whether the view will go stale soon unless somebody confirms it.
    pub fn needs_confirmation(&self, now: Time, tuning: &Tuning) -> bool {
        self.confirmed_at.is_none_or(|at| now.since(at) > tuning.freshness_ms / 2)
    }

    /// Notes a message of a VM and tells whether it ends a suspicion.
    pub fn record_contact(&mut self, from: &VmRef, now: Time) -> bool {
        let sighting = self.seen.entry(from.name.clone()).or_default();
        let ended = sighting.suspected_until > now;
        sighting.incarnation = Some(from.incarnation);
        sighting.suspected_until = Time(0);
        if sighting.left.is_some_and(|left| left != from.incarnation) {
            sighting.left = None;
        }
        ended
    }

    /// Suspects a VM that could not be reached, longer with each repetition.
    ///
    /// Returns whether it was not suspected before. A suspicion that is confirmed goes on.
    pub fn suspect(&mut self, name: &Name, now: Time, tuning: &Tuning) -> bool {
        if *name == self.me.name {
            return false;
        }
        let sighting = self.seen.entry(name.clone()).or_default();
        if sighting.suspected_until > now {
            sighting.suspected_until = sighting.suspected_until.max(now.after(tuning.suspicion_ms));
            return false;
        }
        let calm = now.since(sighting.suspected_at) > tuning.suspicion_most_ms * 2;
        sighting.suspicions = if calm { 0 } else { (sighting.suspicions + 1).min(16) };
        let period = (tuning.suspicion_ms << sighting.suspicions).min(tuning.suspicion_most_ms);
        sighting.suspected_at = now;
        sighting.suspected_until = now.after(period);
        true
    }

    /// Notes that a VM announced its leaving.
    pub fn record_leaving(&mut self, vm: &VmRef) {
        self.seen.entry(vm.name.clone()).or_default().left = Some(vm.incarnation);
    }

    /// Tells whether a run of the daemon announced its leaving.
    pub fn has_announced_leaving(&self, vm: &VmRef) -> bool {
        self.seen.get(&vm.name).is_some_and(|s| s.left == Some(vm.incarnation))
    }

    /// Marks this VM as leaving.
    pub fn mark_leaving(&mut self) {
        self.leaving = true;
    }

    /// Tells whether this VM is leaving, by its own mark or by the list.
    pub fn is_leaving(&self) -> bool {
        let listed = self.list.vms.iter().find(|vm| vm.name == self.me.name);
        self.leaving || listed.is_some_and(|vm| vm.leaving)
    }

    /// Tells whether a VM is listed.
    pub fn is_listed(&self, name: &str) -> bool {
        self.list.vms.iter().any(|vm| &*vm.name == name)
    }

    /// Tells whether a VM is suspected now.
    pub fn is_suspected(&self, name: &str, now: Time) -> bool {
        self.seen.get(name).is_some_and(|s| s.suspected_until > now)
    }

    /// Returns the last known incarnation of a VM.
    pub fn incarnation(&self, name: &str) -> Option<Incarnation> {
        if name == &*self.me.name {
            return Some(self.me.incarnation);
        }
        self.seen.get(name).and_then(|s| s.incarnation)
    }

    /// Returns the names of the suspected VMs.
    pub fn suspects(&self, now: Time) -> Vec<Name> {
        let suspected = |(_, s): &(&Name, &Sighting)| s.suspected_until > now;
        self.seen.iter().filter(suspected).map(|(name, _)| name.clone()).collect()
    }

    /// Returns the VMs that own nothing now by what was observed of them, whatever the list says.
    pub fn unavailable_vms(&self, now: Time) -> Vec<Name> {
        let unusable = self.seen.iter().filter(|(_, sighting)| !sighting.is_usable(now));
        let me = self.leaving.then(|| self.me.name.clone());
        unusable.map(|(name, _)| name.clone()).chain(me).collect()
    }

    /// Iterates over the listed VMs other than this one.
    pub fn peers(&self) -> impl Iterator<Item = &VmEntry> {
        self.list.vms.iter().filter(|vm| vm.name != self.me.name)
    }

    /// Returns the VM that owns something in a region; VMs elsewhere stand in when it has none.
    pub fn owner(&self, what: &str, region: &str, now: Time) -> Option<&Name> {
        let key = rendezvous::key_of(what);
        let best = |local: bool| {
            let candidates = self.list.vms.iter().filter(|vm| !local || &*vm.region == region);
            let usable = candidates.filter(|vm| self.is_usable(vm, now));
            usable.max_by_key(|vm| rendezvous::score(key, &vm.name)).map(|vm| &vm.name)
        };
        best(true).or_else(|| best(false))
    }

    /// Returns the VMs that a heartbeat goes to, a few others in turn.
    pub fn heartbeat_targets(&self, round: u64, count: usize) -> Vec<Name> {
        let mut others: Vec<_> = self.peers().map(|vm| vm.name.clone()).collect();
        let own = rendezvous::key_of(&self.me.name);
        others.sort_by_key(|name| rendezvous::score(own, name));
        let len = others.len();
        if len <= count {
            return others;
        }
        let start = usize::try_from(round).unwrap_or(0).wrapping_mul(count) % len;
        others.into_iter().cycle().skip(start).take(count).collect()
    }

    fn is_usable(&self, vm: &VmEntry, now: Time) -> bool {
        if vm.leaving {
            return false;
        }
        if vm.name == self.me.name {
            return !self.leaving;
        }
        let Some(sighting) = self.seen.get(&vm.name) else { return true };
        sighting.is_usable(now)
    }
}

impl Sighting {
    /// Tells whether the VM is neither suspected nor has announced its leaving.
    fn is_usable(&self, now: Time) -> bool {
        let left = self.left.is_some() && self.left == self.incarnation;
        !left && self.suspected_until <= now
    }
}
