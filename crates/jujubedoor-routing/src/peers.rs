//! The other VMs of the fleet and what they tell each other.
//!
//! A VM finds the others through seeds and through what those tell of more. In a small fleet each sends
//! every other a datagram several times a second. In a larger one, the first two VMs of each failure domain by
//! rendezvous relay: the others speak with those of their domain only, and the relays with each other. A datagram that is lost is made good by the next.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use jujubedoor::ids::Fingerprint;
use jujubedoor::ids::Incarnation;
use jujubedoor::ids::Time;
use jujubedoor::rendezvous;
use jujubedoor_config::Name;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::call::Part;

/// How long a VM that has been silent is remembered, in milliseconds.
const PEER_LIFETIME_MS: u64 = 60_000;

/// The period of beats to a VM that is silent, in milliseconds.
const SILENT_PEER_INTERVAL_MS: u64 = 1_000;

/// The most VMs that all speak with each other.
const MAX_MESH_VMS: usize = 12;

/// How many VMs of each failure domain relay.
pub const RELAYS_PER_DOMAIN: usize = 2;

/// The most other VMs that one beat names while the fleet is new, and later.
const MAX_NEW_FLEET_SAMPLE: usize = 16;
const MAX_SAMPLE: usize = 2;

/// The number of beats after which the fleet is no longer new.
const NEW_FLEET_HEARTBEATS: u64 = 80;

/// A run of the daemon on a VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// The name of the VM.
    pub name: Name,
    /// The run of the daemon.
    pub incarnation: Incarnation,
    /// Where it receives beats.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub domain: Name,
}

/// What a VM tells others several times a second.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The VM that tells.
    pub sender: Vm,
    /// The number of the beat within the run; a lower one is older.
    pub sequence: u64,
    /// Tells that the VM wants beats in return.
    pub wants_reply: bool,
    /// Tells that the VM is about to leave.
    pub leaving: bool,
    /// The revision of the directory that it knows.
    pub revision: u64,
    /// What it reaches.
    pub reachability: Reachability,
    /// Its requests at each upstream where it has any.
    pub loads: Vec<Load>,
    /// The requests of its whole failure domain, if it relays.
    pub domain_loads: Vec<Load>,
    /// The requests of all other failure domains, if it relays.
    pub remote_loads: Vec<Load>,
    /// Prompt parts that upstreams have read lately.
    pub parts: Vec<PartUpdate>,
    /// Requests that crashed an upstream.
    pub crashes: Vec<CrashReport>,
    /// Some other VMs that it knows.
    pub vms: Vec<KnownVm>,
}

/// What a VM reaches.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reachability {
    /// Tells that the registry does not answer it.
    pub registry_lost: bool,
    /// Tells that it hears VMs of other failure domains.
    pub hears_remote: bool,
}

/// A VM that another one names.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KnownVm {
    /// The VM.
    pub vm: Vm,
    /// How long ago anyone heard it, in milliseconds.
    pub age_ms: u64,
}

/// The requests at one upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// The short key of the upstream.
    pub upstream: u32,
    /// The requests that are running there.
    pub running: u32,
    /// The prompt tokens of those that have not begun to answer.
    pub prefill_tokens: u32,
}

/// A prompt part that an upstream has read.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartUpdate {
    /// The part.
    pub part: Part,
    /// The short key of the upstream.
    pub upstream: u32,
    /// How much longer the upstream reads it for the first time, in milliseconds.
    pub prefill_remaining_ms: u64,
}

/// A request that crashed an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// What identifies the request when it comes again.
    pub fingerprint: Fingerprint,
    /// What identifies this report, so that it counts once.
    pub report_id: u64,
}

/// The other VMs of the fleet.
#[derive(Clone, Debug)]
pub struct Peers {
    /// This VM.
    pub local_vm: Vm,
    /// The seeds other than this VM.
    seeds: Vec<SocketAddr>,
    is_seed: bool,
    known: BTreeMap<Name, Peer>,
}

/// Where a beat goes, and whether an answer is wanted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeartbeatTarget {
    /// Where the VM receives beats.
    pub address: SocketAddr,
    /// Tells that beats are wanted in return.
    pub wants_reply: bool,
    /// Tells that it is known to be in another failure domain.
    pub is_remote: bool,
}

/// Another VM.
#[derive(Clone, Debug)]
struct Peer {
    vm: Vm,
    /// When anyone heard it last, as far as this VM knows.
    last_known_alive: Time,
    last_heard: Option<Time>,
    reply_wanted_at: Option<Time>,
    last_sent: Option<Time>,
    unanswered_since: Option<Time>,
    sequence: u64,
    revision: u64,
    reachability: Reachability,
    leaving: bool,
}

impl Peer {
    fn new(vm: Vm, now: Time) -> Self {
        Self {
            vm,
            last_known_alive: now,
            last_heard: None,
            reply_wanted_at: None,
            last_sent: None,
            unanswered_since: None,
            sequence: 0,
            revision: 0,
            reachability: Reachability::default(),
            leaving: false,
        }
    }

    fn is_responding(&self, now: Time, peer_timeout_ms: u64) -> bool {
        self.last_heard.is_some_and(|h| now.since(h) < peer_timeout_ms)
    }

    /// Tells whether it may answer: it was heard lately or has not been asked for long.
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
        Self { local_vm, seeds, is_seed, known: BTreeMap::new() }
    }

    /// Tells whether this VM is a seed.
    pub fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// Returns where the seeds other than this VM receive beats.
    pub fn other_seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Returns where all seeds receive beats, this VM among them if it is one.
    pub fn all_seeds(&self) -> Vec<SocketAddr> {
        self.seeds.iter().copied().chain(self.is_seed.then_some(self.local_vm.address)).collect()
    }

    /// Tells whether a VM that receives beats at an address is known.
    pub fn is_known_at(&self, address: SocketAddr) -> bool {
        self.known.values().any(|p| p.vm.address == address)
    }

    /// Takes a beat; tells whether it is newer than all before from the same run.
    pub fn receive(&mut self, heartbeat: &Heartbeat, now: Time) -> bool {
        if heartbeat.sender.name == self.local_vm.name {
            return false;
        }
        let name = heartbeat.sender.name.clone();
        let known = self.known.entry(name).or_insert_with(|| Peer::new(heartbeat.sender.clone(), now));
        if known.vm.incarnation != heartbeat.sender.incarnation {
            *known = Peer::new(heartbeat.sender.clone(), now);
        }
        if heartbeat.sequence <= known.sequence {
            return false;
        }
        known.sequence = heartbeat.sequence;
        known.last_known_alive = now;
        known.last_heard = Some(now);
        known.unanswered_since = None;
        known.revision = heartbeat.revision;
        known.leaving = heartbeat.leaving;
        known.reachability = heartbeat.reachability;
        if heartbeat.wants_reply {
            known.reply_wanted_at = Some(now);
        }
        for known_vm in &heartbeat.vms {
            self.add_known(known_vm, now);
        }
        true
    }

    fn add_known(&mut self, known_vm: &KnownVm, now: Time) {
        if known_vm.vm.name == self.local_vm.name || known_vm.age_ms >= PEER_LIFETIME_MS {
            return;
        }
        let last_heard = Time(now.0.saturating_sub(known_vm.age_ms));
        let name = known_vm.vm.name.clone();
        let known = self.known.entry(name).or_insert_with(|| Peer::new(known_vm.vm.clone(), last_heard));
        if known.vm.incarnation != known_vm.vm.incarnation && last_heard > known.last_known_alive {
            // It started anew; that it left or fell silent was said of its former run.
            *known = Peer::new(known_vm.vm.clone(), last_heard);
        }
        known.last_known_alive = known.last_known_alive.max(last_heard);
    }

    /// Forgets VMs that nobody has named for long.
    pub fn forget(&mut self, now: Time) {
        self.known.retain(|_, p| now.since(p.last_known_alive) < PEER_LIFETIME_MS);
    }

    /// Returns how many VMs there may be, this one among them.
    pub fn count(&self) -> usize {
        self.known.len() + 1
    }

    /// Tells whether all VMs speak with each other.
    pub fn is_mesh(&self) -> bool {
        self.count() <= MAX_MESH_VMS
    }

    /// Tells whether there are VMs of other failure domains, or seeds at which no VM is known, and neither this VM
    /// nor one of its domain hears any.
    pub fn is_domain_isolated(&self, now: Time, peer_timeout_ms: u64) -> bool {
        let expects_others = self.remote_peers().next().is_some() || self.has_unknown_seed();
        let mut last_heard = self.known.values().filter(|p| p.is_responding(now, peer_timeout_ms));
        expects_others
            && !self.hears_remote(now, peer_timeout_ms)
            && !last_heard.any(|p| p.reachability.hears_remote)
    }

    /// Tells whether no VM is known at one of the seeds.
    pub fn has_unknown_seed(&self) -> bool {
        self.seeds.iter().any(|seed| !self.is_known_at(*seed))
    }

    /// Tells whether this VM hears any of another failure domain.
    pub fn hears_remote(&self, now: Time, peer_timeout_ms: u64) -> bool {
        self.remote_peers().any(|p| p.is_responding(now, peer_timeout_ms))
    }

    /// Returns the VMs of other failure domains that are known.
    fn remote_peers(&self) -> impl Iterator<Item = &Peer> {
        self.known.values().filter(|p| p.vm.domain != self.local_vm.domain)
    }

    /// Returns the names of all other VMs that are known, also of those that are silent.
    pub fn known(&self) -> impl Iterator<Item = &Name> {
        self.known.keys()
    }

    /// Tells whether this VM is among the first of its failure domain, of those that may answer.
    pub fn is_among_first(&self, max_vms: usize, now: Time, peer_timeout_ms: u64) -> bool {
        self.is_among(max_vms, now, peer_timeout_ms, |_| true)
    }

    /// Tells whether this VM is among the first of its failure domain that the registry answers.
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

    /// Returns the other failure domains that were heard once and whose VMs have all been silent for a time.
    pub fn silent_domains(&self, now: Time, peer_timeout_ms: u64) -> BTreeSet<Name> {
        let last_heard: BTreeSet<&Name> = self
            .remote_peers()
            .filter(|p| p.is_responding(now, peer_timeout_ms))
            .map(|p| &p.vm.domain)
            .collect();
        let ever_heard = self.remote_peers().filter(|p| p.last_heard.is_some()).map(|p| &p.vm.domain);
        ever_heard.filter(|domain| !last_heard.contains(domain)).cloned().collect()
    }

    /// Returns how many failure domains have VMs.
    pub fn domains(&self) -> usize {
        let mut domains: Vec<&Name> =
            self.known.values().map(|p| &p.vm.domain).chain([&self.local_vm.domain]).collect();
        domains.sort_unstable();
        domains.dedup();
        domains.len()
    }

    /// Ranks the VMs of a failure domain that may answer; all VMs that know the same agree.
    fn rank(&self, domain: &Name, now: Time, peer_timeout_ms: u64) -> Vec<&Vm> {
        let others =
            self.known.values().filter(|p| !p.leaving && p.may_be_alive(now, peer_timeout_ms)).map(|p| &p.vm);
        let mut vms: Vec<&Vm> = others.chain([&self.local_vm]).filter(|vm| vm.domain == *domain).collect();
        let key = rendezvous::key_of(domain);
        vms.sort_by_cached_key(|vm| std::cmp::Reverse(rendezvous::score(key, &vm.name)));
        vms
    }

    /// Returns where a beat goes now: to those that this VM wants to hear, to those that asked, and now and
    /// then to those that are silent and to the seeds.
    pub fn heartbeat_targets(&mut self, now: Time, peer_timeout_ms: u64) -> Vec<HeartbeatTarget> {
        let wanted_peers = self.wanted_peers(now, peer_timeout_ms);
        let mut heartbeat_targets = Vec::new();
        for peer in self.known.values_mut() {
            let wants_reply = wanted_peers.contains(&peer.vm.name);
            let reply_wanted_at = peer.reply_wanted_at.is_some_and(|a| now.since(a) < peer_timeout_ms);
            let is_overdue = peer.last_sent.is_none_or(|t| now.since(t) >= SILENT_PEER_INTERVAL_MS);
            if (wants_reply && peer.is_responding(now, peer_timeout_ms))
                || reply_wanted_at
                || (wants_reply && is_overdue)
            {
                peer.last_sent = Some(now);
                if wants_reply && !peer.is_responding(now, peer_timeout_ms) {
                    peer.unanswered_since.get_or_insert(now);
                }
                let is_remote = peer.vm.domain != self.local_vm.domain;
                heartbeat_targets.push(HeartbeatTarget { address: peer.vm.address, wants_reply, is_remote });
            }
        }
        if !heartbeat_targets.iter().any(|t| t.wants_reply) {
            heartbeat_targets.extend(self.seeds.iter().map(|address| HeartbeatTarget {
                address: *address,
                wants_reply: true,
                is_remote: false,
            }));
        }
        heartbeat_targets
    }

    /// Returns the VMs that this VM wants to hear.
    fn wanted_peers(&self, now: Time, peer_timeout_ms: u64) -> Vec<Name> {
        if self.is_mesh() {
            return self.known.keys().cloned().collect();
        }
        let mut wanted_peers: Vec<Name> = self
            .rank(&self.local_vm.domain, now, peer_timeout_ms)
            .iter()
            .take(RELAYS_PER_DOMAIN)
            .map(|vm| vm.name.clone())
            .collect();
        if wanted_peers.contains(&self.local_vm.name) {
            let mut domains: Vec<&Name> = self.known.values().map(|p| &p.vm.domain).collect();
            domains.sort_unstable();
            domains.dedup();
            for domain in domains.into_iter().filter(|d| **d != self.local_vm.domain) {
                let relays = self.rank(domain, now, peer_timeout_ms);
                wanted_peers.extend(relays.iter().take(RELAYS_PER_DOMAIN).map(|vm| vm.name.clone()));
            }
        }
        wanted_peers
    }

    /// Names some other VMs, drawn at random.
    pub fn sample<R>(&self, now: Time, sequence: u64, rng: &mut R) -> Vec<KnownVm>
    where
        R: Rng,
    {
        let staying = self.known.values().filter(|p| !p.leaving);
        let mut vms: Vec<KnownVm> =
            staying.map(|p| KnownVm { vm: p.vm.clone(), age_ms: now.since(p.last_known_alive) }).collect();
        let max_vms = if sequence < NEW_FLEET_HEARTBEATS { MAX_NEW_FLEET_SAMPLE } else { MAX_SAMPLE };
        while vms.len() > max_vms {
            vms.swap_remove(rng.random_range(0..vms.len()));
        }
        vms
    }

    /// Tells whether a run of the daemon is in the failure domain of this VM.
    pub fn is_local(&self, incarnation: Incarnation) -> bool {
        self.known.values().any(|p| p.vm.incarnation == incarnation && p.vm.domain == self.local_vm.domain)
    }

    /// Returns a VM with a higher revision than a given one, in this failure domain if there is one.
    pub fn ahead_of(&self, revision: u64, now: Time, peer_timeout_ms: u64) -> Option<SocketAddr> {
        let ahead =
            self.known.values().filter(|p| p.revision > revision && p.is_responding(now, peer_timeout_ms));
        let best = ahead.max_by_key(|p| (p.vm.domain == self.local_vm.domain, p.revision));
        best.map(|p| p.vm.address)
    }
}
