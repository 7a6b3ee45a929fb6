//! The other VMs of the fleet, and which of them exchange heartbeats.
//!
//! A VM discovers the others through the seeds and through the VMs that are listed in heartbeats. In a
//! small fleet, a full mesh, each VM sends every other one a datagram several times a second. In a
//! larger fleet, the first two VMs of each failure domain by rendezvous hashing are relays: relays
//! exchange heartbeats with each other, and the other VMs only within their domain. A lost datagram
//! needs no retransmission, since the next heartbeat replaces it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use jujubedoor::ids::StoreRevision;
use jujubedoor::ids::Time;
use jujubedoor::rendezvous;
use jujubedoor_config::Name;

use crate::message::Heartbeat;
use crate::message::KnownVm;
use crate::message::Reachability;
use crate::message::Vm;

/// Time after which a VM is removed if no VM has received a heartbeat from it, in milliseconds.
const PEER_LIFETIME_MS: u64 = 60_000;

/// Heartbeat interval to a VM that does not respond, in milliseconds.
const SILENT_PEER_INTERVAL_MS: u64 = 1_000;

/// Maximum number of VMs that another VM may claim to know.
const MAX_FLEET_SIZE: u32 = 10_000;

/// Maximum number of VMs in a full mesh.
const MAX_MESH_VMS: usize = 12;

/// Number of relays in each failure domain.
pub const RELAYS_PER_DOMAIN: usize = 2;

/// Minimum number of other VMs that are listed in a heartbeat between VMs of which one is new.
const MIN_NEW_LISTED: usize = 16;

/// Number of consecutive heartbeats between such VMs that list the whole fleet, if it is large.
const NEW_LIST_CYCLE: usize = 16;

/// Minimum number of other VMs that are listed in a heartbeat between VMs that are no longer new.
const MIN_LISTED: usize = 2;

/// Number of consecutive heartbeats between such VMs that list the whole fleet, if it is large.
const LIST_CYCLE: usize = 128;

/// Number of heartbeats after which a VM is no longer new.
const NEW_VM_HEARTBEATS: u64 = 80;

/// The other VMs of the fleet.
#[derive(Clone, Debug)]
pub struct Peers {
    /// This VM.
    pub local_vm: Vm,
    local_rank: Rank,
    /// Addresses of the seeds other than this VM.
    seeds: Vec<SocketAddr>,
    is_seed: bool,
    known: BTreeMap<Name, Peer>,
    /// Incremented when a VM is added or removed.
    membership: u64,
    /// Largest number of VMs that another VM knows.
    reported_vms: usize,
}

/// The recipient of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeartbeatTarget {
    /// Address at which the VM receives heartbeats.
    pub address: SocketAddr,
    /// Whether heartbeats are wanted in return.
    pub wants_reply: bool,
    /// Whether the VM is known to be in another failure domain.
    pub is_remote: bool,
    /// Whether the VM has just started, so that it may not know the fleet yet.
    pub is_new: bool,
}

/// Position of a VM among those of its failure domain: VMs with more capacity come first, and VMs with equal
/// capacity in the order of rendezvous hashing.
type Rank = Reverse<(u16, u64)>;

fn rank_of(vm: &Vm) -> Rank {
    Reverse((vm.cpu_percent, rendezvous::score(rendezvous::key_of(&vm.domain), &vm.name)))
}

/// Another VM.
#[derive(Clone, Debug)]
struct Peer {
    vm: Vm,
    rank: Rank,
    /// The latest time at which any VM is known to have received a heartbeat from it.
    last_known_alive: Time,
    last_received: Option<Time>,
    reply_wanted_at: Option<Time>,
    last_sent: Option<Time>,
    unanswered_since: Option<Time>,
    sequence: u64,
    known_vms: usize,
    revision: StoreRevision,
    knows_lost_changes: bool,
    reachability: Reachability,
    leaving: bool,
}

impl Peer {
    fn new(vm: Vm, now: Time) -> Self {
        Self {
            rank: rank_of(&vm),
            vm,
            last_known_alive: now,
            last_received: None,
            reply_wanted_at: None,
            last_sent: None,
            unanswered_since: None,
            sequence: 0,
            known_vms: 0,
            revision: StoreRevision::default(),
            knows_lost_changes: false,
            reachability: Reachability::default(),
            leaving: false,
        }
    }

    fn is_responding(&self, now: Time, peer_timeout_ms: u64) -> bool {
        self.last_received.is_some_and(|at| now.since(at) < peer_timeout_ms)
    }

    /// Returns whether the VM may be alive: it has sent a heartbeat within the timeout, or this VM has not
    /// waited for one as long as that.
    fn may_be_alive(&self, now: Time, peer_timeout_ms: u64) -> bool {
        self.is_responding(now, peer_timeout_ms)
            || self.unanswered_since.is_none_or(|t| now.since(t) < peer_timeout_ms)
    }
}

impl Peers {
    /// Creates the view of a VM that knows only its seeds.
    pub fn new(local_vm: Vm, seeds: Vec<SocketAddr>) -> Self {
        let is_seed = seeds.contains(&local_vm.address);
        let seeds = seeds.into_iter().filter(|s| *s != local_vm.address).collect();
        let local_rank = rank_of(&local_vm);
        Self { local_vm, local_rank, seeds, is_seed, known: BTreeMap::new(), membership: 0, reported_vms: 0 }
    }

    /// Returns whether this VM is a seed.
    pub fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// Returns the addresses of the seeds other than this VM.
    pub fn other_seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Returns the addresses of all seeds, including this VM if it is one.
    pub fn all_seeds(&self) -> Vec<SocketAddr> {
        self.seeds.iter().copied().chain(self.is_seed.then_some(self.local_vm.address)).collect()
    }

    /// Returns whether a VM with an address is known.
    pub fn is_known_at(&self, address: SocketAddr) -> bool {
        self.known.values().any(|p| p.vm.address == address)
    }

    /// Applies a heartbeat. Returns whether it is newer than all earlier ones of the same daemon process.
    pub fn receive(&mut self, heartbeat: &Heartbeat, now: Time) -> bool {
        if heartbeat.sender.name == self.local_vm.name {
            return false;
        }
        let name = heartbeat.sender.name.clone();
        let count = self.known.len();
        let known = self.known.entry(name).or_insert_with(|| Peer::new(heartbeat.sender.clone(), now));
        if known.vm.incarnation != heartbeat.sender.incarnation {
            *known = Peer::new(heartbeat.sender.clone(), now);
        }
        if heartbeat.sequence <= known.sequence {
            return false;
        }
        known.sequence = heartbeat.sequence;
        known.known_vms = heartbeat.known_vms.min(MAX_FLEET_SIZE) as usize;
        self.reported_vms = self.reported_vms.max(known.known_vms);
        known.last_known_alive = now;
        known.last_received = Some(now);
        known.unanswered_since = None;
        known.revision = heartbeat.revision;
        known.knows_lost_changes = heartbeat.knows_lost_changes;
        known.leaving = heartbeat.leaving;
        known.reachability = heartbeat.reachability;
        if heartbeat.wants_reply {
            known.reply_wanted_at = Some(now);
        }
        for known_vm in &heartbeat.vms {
            self.add_known(known_vm, now);
        }
        self.membership += u64::from(self.known.len() != count);
        true
    }

    fn add_known(&mut self, known_vm: &KnownVm, now: Time) {
        if known_vm.vm.name == self.local_vm.name || known_vm.age_ms >= PEER_LIFETIME_MS {
            return;
        }
        let alive_at = Time(now.0.saturating_sub(known_vm.age_ms));
        let name = known_vm.vm.name.clone();
        let known = self.known.entry(name).or_insert_with(|| Peer::new(known_vm.vm.clone(), alive_at));
        if known.vm.incarnation != known_vm.vm.incarnation && alive_at > known.last_known_alive {
            // The VM has restarted, so what is known about its earlier daemon process (leaving, no
            // heartbeats) no longer holds.
            *known = Peer::new(known_vm.vm.clone(), alive_at);
        }
        known.last_known_alive = known.last_known_alive.max(alive_at);
    }

    /// Removes VMs from which no VM is known to have received a heartbeat for a long time.
    pub fn remove_expired(&mut self, now: Time, peer_timeout_ms: u64) {
        self.update_reported_vms(now, peer_timeout_ms);
        let count = self.known.len();
        self.known.retain(|_, p| now.since(p.last_known_alive) < PEER_LIFETIME_MS);
        self.membership += u64::from(self.known.len() != count);
    }

    /// Returns the number of known VMs, including this one.
    pub fn count(&self) -> usize {
        self.known.len() + 1
    }

    /// Returns the number of VMs in the fleet: those that this VM knows or, while it does not know all yet,
    /// the number that another one knows.
    pub fn fleet_size(&self) -> usize {
        self.count().max(self.reported_vms)
    }

    /// Updates the largest number of VMs that another VM which responds knows.
    fn update_reported_vms(&mut self, now: Time, peer_timeout_ms: u64) {
        let responding = self.known.values().filter(|p| p.is_responding(now, peer_timeout_ms));
        self.reported_vms = responding.map(|p| p.known_vms).max().unwrap_or_default();
    }

    /// Returns a number that changes when a VM is added or removed.
    pub fn membership(&self) -> u64 {
        self.membership
    }

    /// Returns whether the fleet is a full mesh, in which all VMs exchange heartbeats directly.
    pub fn is_mesh(&self) -> bool {
        self.count() <= MAX_MESH_VMS
    }

    /// Returns whether this VM's failure domain is isolated: there are VMs in other domains, or seeds at
    /// which no VM is known, but no VM of this domain receives heartbeats from another one.
    pub fn is_domain_isolated(&self, now: Time, peer_timeout_ms: u64) -> bool {
        let expects_others = self.remote_peers().next().is_some() || self.has_unknown_seed();
        let mut responding = self.known.values().filter(|p| p.is_responding(now, peer_timeout_ms));
        expects_others
            && !self.has_remote_contact(now, peer_timeout_ms)
            && !responding.any(|p| p.reachability.has_remote_contact)
    }

    /// Returns whether there is a seed at which no VM is known.
    pub fn has_unknown_seed(&self) -> bool {
        self.seeds.iter().any(|seed| !self.is_known_at(*seed))
    }

    /// Returns whether this VM receives heartbeats from other failure domains.
    pub fn has_remote_contact(&self, now: Time, peer_timeout_ms: u64) -> bool {
        self.remote_peers().any(|p| p.is_responding(now, peer_timeout_ms))
    }

    /// Returns the known VMs of other failure domains.
    fn remote_peers(&self) -> impl Iterator<Item = &Peer> {
        self.known.values().filter(|p| p.vm.domain != self.local_vm.domain)
    }

    /// Returns the names of all other known VMs, including those that do not respond.
    pub fn known(&self) -> impl Iterator<Item = &Name> {
        self.known.keys()
    }

    /// Returns the names of those VMs of this VM's failure domain that may be alive, including this VM.
    pub fn live_in_domain(&self, now: Time, peer_timeout_ms: u64) -> Vec<&Name> {
        let ranked = self.rank(&self.local_vm.domain, now, peer_timeout_ms);
        ranked.into_iter().map(|vm| &vm.name).collect()
    }

    /// Returns the failure domains with VMs that may be alive, including that of this VM.
    pub fn live_domains(&self, now: Time, peer_timeout_ms: u64) -> BTreeSet<&Name> {
        let live = self.known.values().filter(|p| !p.leaving && p.may_be_alive(now, peer_timeout_ms));
        live.map(|p| &p.vm.domain).chain([&self.local_vm.domain]).collect()
    }

    /// Returns whether this VM is among the first `max_vms` of its failure domain. Only VMs that may be
    /// alive are ranked.
    pub fn is_among_first(&self, max_vms: usize, now: Time, peer_timeout_ms: u64) -> bool {
        self.is_among(max_vms, now, peer_timeout_ms, |_| true)
    }

    /// Returns whether this VM is among the first `max_vms` of its failure domain to which the registry
    /// responds. Only VMs that may be alive are ranked.
    pub fn is_among_watchers(&self, max_vms: usize, now: Time, peer_timeout_ms: u64) -> bool {
        let lost = |vm: &Vm| self.known.get(&vm.name).is_some_and(|p| p.reachability.registry_lost);
        self.is_among(max_vms, now, peer_timeout_ms, |vm| !lost(vm))
    }

    fn is_among<F>(&self, max_vms: usize, now: Time, peer_timeout_ms: u64, is_eligible: F) -> bool
    where
        F: Fn(&Vm) -> bool,
    {
        let rank = self.rank(&self.local_vm.domain, now, peer_timeout_ms);
        rank.into_iter().filter(|vm| is_eligible(vm)).take(max_vms).any(|vm| vm.name == self.local_vm.name)
    }

    /// Returns the other failure domains from which heartbeats were received before, but none within the
    /// given time.
    pub fn silent_domains(&self, now: Time, silence_ms: u64) -> BTreeSet<Name> {
        let responding_domains: BTreeSet<&Name> =
            self.remote_peers().filter(|p| p.is_responding(now, silence_ms)).map(|p| &p.vm.domain).collect();
        let seen_domains = self.remote_peers().filter(|p| p.last_received.is_some()).map(|p| &p.vm.domain);
        seen_domains.filter(|domain| !responding_domains.contains(domain)).cloned().collect()
    }

    /// Returns the number of failure domains that have VMs.
    pub fn domain_count(&self) -> usize {
        let mut domains: Vec<&Name> =
            self.known.values().map(|p| &p.vm.domain).chain([&self.local_vm.domain]).collect();
        domains.sort_unstable();
        domains.dedup();
        domains.len()
    }

    /// Ranks those VMs of a failure domain that may be alive. VMs with the same view of the fleet agree
    /// on the ranking.
    fn rank(&self, domain: &Name, now: Time, peer_timeout_ms: u64) -> Vec<&Vm> {
        let others = self
            .known
            .values()
            .filter(|p| p.vm.domain == *domain && !p.leaving && p.may_be_alive(now, peer_timeout_ms));
        let mut ranked: Vec<(Rank, &Vm)> = others.map(|p| (p.rank, &p.vm)).collect();
        if self.local_vm.domain == *domain {
            ranked.push((self.local_rank, &self.local_vm));
        }
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, vm)| vm).collect()
    }

    /// Returns the recipients of a heartbeat that is sent now.
    ///
    /// These are the VMs from which this one wants heartbeats and those that want heartbeats from it.
    /// VMs that do not respond are included at a longer interval, and the seeds if there is no other VM
    /// to ask.
    pub fn heartbeat_targets(&mut self, now: Time, peer_timeout_ms: u64) -> Vec<HeartbeatTarget> {
        let wanted = self.wanted_peers(now, peer_timeout_ms);
        let mut targets = Vec::new();
        for peer in self.known.values_mut() {
            let wants_reply = wanted.contains(&peer.vm.name);
            let is_reply_wanted = peer.reply_wanted_at.is_some_and(|a| now.since(a) < peer_timeout_ms);
            let is_overdue = peer.last_sent.is_none_or(|t| now.since(t) >= SILENT_PEER_INTERVAL_MS);
            if (wants_reply && peer.is_responding(now, peer_timeout_ms))
                || is_reply_wanted
                || (wants_reply && is_overdue)
            {
                peer.last_sent = Some(now);
                if wants_reply && !peer.is_responding(now, peer_timeout_ms) {
                    peer.unanswered_since.get_or_insert(now);
                }
                let is_remote = peer.vm.domain != self.local_vm.domain;
                let is_new = Self::is_new(peer.sequence);
                targets.push(HeartbeatTarget { address: peer.vm.address, wants_reply, is_remote, is_new });
            }
        }
        if !targets.iter().any(|t| t.wants_reply) {
            targets.extend(self.seeds.iter().map(|address| HeartbeatTarget {
                address: *address,
                wants_reply: true,
                is_remote: false,
                is_new: true,
            }));
        }
        targets
    }

    /// Returns the VMs from which this one wants heartbeats: all in a full mesh, otherwise the relays of
    /// its domain and, if it is a relay itself, those of the other domains.
    fn wanted_peers(&self, now: Time, peer_timeout_ms: u64) -> Vec<Name> {
        if self.is_mesh() {
            return self.known.keys().cloned().collect();
        }
        let mut wanted: Vec<Name> = self
            .rank(&self.local_vm.domain, now, peer_timeout_ms)
            .iter()
            .take(RELAYS_PER_DOMAIN)
            .map(|vm| vm.name.clone())
            .collect();
        if wanted.contains(&self.local_vm.name) {
            let mut domains: Vec<&Name> = self.known.values().map(|p| &p.vm.domain).collect();
            domains.sort_unstable();
            domains.dedup();
            for domain in domains.into_iter().filter(|d| **d != self.local_vm.domain) {
                let relays = self.rank(domain, now, peer_timeout_ms);
                wanted.extend(relays.iter().take(RELAYS_PER_DOMAIN).map(|vm| vm.name.clone()));
            }
        }
        wanted
    }

    /// Returns whether a VM that has sent a number of heartbeats is new.
    pub fn is_new(sequence: u64) -> bool {
        sequence < NEW_VM_HEARTBEATS
    }

    /// Returns the next VMs to list in a heartbeat, so that consecutive heartbeats list the whole fleet.
    pub fn next_listed(&self, now: Time, sequence: u64, is_for_new: bool) -> Vec<KnownVm> {
        let staying: Vec<&Peer> = self.known.values().filter(|p| !p.leaving).collect();
        let (min_listed, cycle) =
            if is_for_new { (MIN_NEW_LISTED, NEW_LIST_CYCLE) } else { (MIN_LISTED, LIST_CYCLE) };
        let listed = staying.len().div_ceil(cycle).max(min_listed).min(staying.len());
        // VMs begin at different positions, so that their lists complement each other.
        let first = sequence.wrapping_mul(listed as u64).wrapping_add(self.local_vm.incarnation.0);
        let first = usize::try_from(first % staying.len().max(1) as u64).unwrap_or_default();
        let from_first = staying.iter().cycle().skip(first).take(listed);
        from_first.map(|p| KnownVm { vm: p.vm.clone(), age_ms: now.since(p.last_known_alive) }).collect()
    }

    /// Returns the addresses of the VMs from which heartbeats were received last, first one of another failure domain.
    pub fn latest_responding(&self, max_vms: usize, now: Time, peer_timeout_ms: u64) -> Vec<SocketAddr> {
        let mut chosen: Vec<&Peer> = Vec::new();
        while chosen.len() < max_vms {
            let is_new = |p: &&Peer| chosen.iter().all(|other| other.vm.name != p.vm.name);
            let responding = self.known.values().filter(|p| p.is_responding(now, peer_timeout_ms));
            let rank =
                |p: &&Peer| (chosen.is_empty() && p.vm.domain != self.local_vm.domain, p.last_received);
            let Some(next) = responding.filter(is_new).max_by_key(rank) else { break };
            chosen.push(next);
        }
        chosen.iter().map(|p| p.vm.address).collect()
    }

    /// Returns whether any other VM responds.
    pub fn any_responding(&self, now: Time, peer_timeout_ms: u64) -> bool {
        self.known.values().any(|p| p.is_responding(now, peer_timeout_ms))
    }

    /// Returns the address of a VM with a higher revision, preferably in this failure domain.
    pub fn ahead_of(&self, revision: StoreRevision, now: Time, peer_timeout_ms: u64) -> Option<SocketAddr> {
        let ahead =
            self.known.values().filter(|p| p.revision > revision && p.is_responding(now, peer_timeout_ms));
        let best = ahead.max_by_key(|p| (p.vm.domain == self.local_vm.domain, p.revision));
        best.map(|p| p.vm.address)
    }

    /// Returns the address of a VM with the same revision that knows changes which the registry has lost, preferably
    /// in this failure domain.
    pub fn with_lost_changes(
        &self,
        revision: StoreRevision,
        now: Time,
        peer_timeout_ms: u64,
    ) -> Option<SocketAddr> {
        let knowing = self.known.values().filter(|p| {
            p.knows_lost_changes && p.revision == revision && p.is_responding(now, peer_timeout_ms)
        });
        knowing.max_by_key(|p| p.vm.domain == self.local_vm.domain).map(|p| p.vm.address)
    }
}
