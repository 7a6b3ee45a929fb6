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
const FORGET_MS: u64 = 60_000;

/// The period of beats to a VM that is silent, in milliseconds.
const SILENT_BEAT_MS: u64 = 1_000;

/// The most VMs that all speak with each other.
const MESH: usize = 12;

/// How many VMs of each failure domain relay.
pub const RELAYS: usize = 2;

/// The most other VMs that one beat names while the fleet is new, and later.
const NAMED: usize = 16;
const NAMED_LATER: usize = 2;

/// The number of beats after which the fleet is no longer new.
const NEW_BEATS: u64 = 80;

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
pub struct Beat {
    /// The VM that tells.
    pub from: Vm,
    /// The number of the beat within the run; a lower one is older.
    pub number: u64,
    /// Tells that the VM wants beats in return.
    pub asks: bool,
    /// Tells that the VM is about to leave.
    pub leaving: bool,
    /// The revision of the directory that it knows.
    pub revision: u64,
    /// What it reaches.
    pub reach: Reach,
    /// Its requests at each upstream where it has any.
    pub loads: Vec<Load>,
    /// The requests of its whole failure domain, if it relays.
    pub domain: Vec<Load>,
    /// The requests of all other failure domains, if it relays.
    pub elsewhere: Vec<Load>,
    /// Prompt parts that upstreams have read lately.
    pub parts: Vec<ToldPart>,
    /// Requests that crashed an upstream.
    pub crashes: Vec<Crash>,
    /// Some other VMs that it knows.
    pub vms: Vec<Named>,
}

/// What a VM reaches.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reach {
    /// Tells that the registry does not answer it.
    pub registry_lost: bool,
    /// Tells that it hears VMs of other failure domains.
    pub hears_far: bool,
}

/// A VM that another one names.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Named {
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
    pub unread: u32,
}

/// A prompt part that an upstream has read.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ToldPart {
    /// The part.
    pub part: Part,
    /// The short key of the upstream.
    pub upstream: u32,
    /// How much longer the upstream reads it for the first time, in milliseconds.
    pub reading_ms: u64,
}

/// A request that crashed an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// What identifies the request when it comes again.
    pub fingerprint: Fingerprint,
    /// What identifies this report, so that it counts once.
    pub report: u64,
}

/// The other VMs of the fleet.
#[derive(Clone, Debug)]
pub struct Peers {
    /// This VM.
    pub me: Vm,
    /// The seeds other than this VM.
    seeds: Vec<SocketAddr>,
    is_seed: bool,
    known: BTreeMap<Name, Peer>,
}

/// Where a beat goes, and whether an answer is wanted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// Where the VM receives beats.
    pub address: SocketAddr,
    /// Tells that beats are wanted in return.
    pub asks: bool,
    /// Tells that it is known to be in another failure domain.
    pub is_far: bool,
}

/// Another VM.
#[derive(Clone, Debug)]
struct Peer {
    vm: Vm,
    /// When anyone heard it last, as far as this VM knows.
    learned: Time,
    heard: Option<Time>,
    asked: Option<Time>,
    told: Option<Time>,
    told_first: Option<Time>,
    number: u64,
    revision: u64,
    reach: Reach,
    leaving: bool,
}

impl Peer {
    fn new(vm: Vm, now: Time) -> Self {
        Self {
            vm,
            learned: now,
            heard: None,
            asked: None,
            told: None,
            told_first: None,
            number: 0,
            revision: 0,
            reach: Reach::default(),
            leaving: false,
        }
    }

    fn is_heard(&self, now: Time, silent_ms: u64) -> bool {
        self.heard.is_some_and(|h| now.since(h) < silent_ms)
    }

    /// Tells whether it may answer: it was heard lately or has not been asked for long.
    fn may_answer(&self, now: Time, silent_ms: u64) -> bool {
        self.is_heard(now, silent_ms) || self.told_first.is_none_or(|t| now.since(t) < silent_ms)
    }
}

impl Peers {
    /// Creates the view of a VM that knows only its seeds.
    pub fn new(me: Vm, seeds: Vec<SocketAddr>) -> Self {
        let is_seed = seeds.contains(&me.address);
        let seeds = seeds.into_iter().filter(|s| *s != me.address).collect();
        Self { me, seeds, is_seed, known: BTreeMap::new() }
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
        self.seeds.iter().copied().chain(self.is_seed.then_some(self.me.address)).collect()
    }

    /// Tells whether a VM that receives beats at an address is known.
    pub fn is_known_at(&self, address: SocketAddr) -> bool {
        self.known.values().any(|p| p.vm.address == address)
    }

    /// Takes a beat; tells whether it is newer than all before from the same run.
    pub fn hear(&mut self, beat: &Beat, now: Time) -> bool {
        if beat.from.name == self.me.name {
            return false;
        }
        let name = beat.from.name.clone();
        let known = self.known.entry(name).or_insert_with(|| Peer::new(beat.from.clone(), now));
        if known.vm.incarnation != beat.from.incarnation {
            *known = Peer::new(beat.from.clone(), now);
        }
        if beat.number <= known.number {
            return false;
        }
        known.number = beat.number;
        known.learned = now;
        known.heard = Some(now);
        known.told_first = None;
        known.revision = beat.revision;
        known.leaving = beat.leaving;
        known.reach = beat.reach;
        if beat.asks {
            known.asked = Some(now);
        }
        for named in &beat.vms {
            self.learn(named, now);
        }
        true
    }

    fn learn(&mut self, named: &Named, now: Time) {
        if named.vm.name == self.me.name || named.age_ms >= FORGET_MS {
            return;
        }
        let heard = Time(now.0.saturating_sub(named.age_ms));
        let name = named.vm.name.clone();
        let known = self.known.entry(name).or_insert_with(|| Peer::new(named.vm.clone(), heard));
        if known.vm.incarnation != named.vm.incarnation && heard > known.learned {
            // It started anew; that it left or fell silent was said of its former run.
            *known = Peer::new(named.vm.clone(), heard);
        }
        known.learned = known.learned.max(heard);
    }

    /// Forgets VMs that nobody has named for long.
    pub fn forget(&mut self, now: Time) {
        self.known.retain(|_, p| now.since(p.learned) < FORGET_MS);
    }

    /// Returns how many VMs there may be, this one among them.
    pub fn count(&self) -> usize {
        self.known.len() + 1
    }

    /// Tells whether all VMs speak with each other.
    pub fn is_mesh(&self) -> bool {
        self.count() <= MESH
    }

    /// Tells whether there are VMs of other failure domains, or seeds at which no VM is known, and neither this VM
    /// nor one of its domain hears any.
    pub fn is_domain_alone(&self, now: Time, silent_ms: u64) -> bool {
        let missed = self.far().next().is_some() || self.misses_seed();
        let mut heard = self.known.values().filter(|p| p.is_heard(now, silent_ms));
        missed && !self.hears_far(now, silent_ms) && !heard.any(|p| p.reach.hears_far)
    }

    /// Tells whether no VM is known at one of the seeds.
    pub fn misses_seed(&self) -> bool {
        self.seeds.iter().any(|seed| !self.is_known_at(*seed))
    }

    /// Tells whether this VM hears any of another failure domain.
    pub fn hears_far(&self, now: Time, silent_ms: u64) -> bool {
        self.far().any(|p| p.is_heard(now, silent_ms))
    }

    /// Returns the VMs of other failure domains that are known.
    fn far(&self) -> impl Iterator<Item = &Peer> {
        self.known.values().filter(|p| p.vm.domain != self.me.domain)
    }

    /// Returns the names of all other VMs that are known, also of those that are silent.
    pub fn known(&self) -> impl Iterator<Item = &Name> {
        self.known.keys()
    }

    /// Tells whether this VM is among the first of its failure domain, of those that may answer.
    pub fn is_among_first(&self, most: usize, now: Time, silent_ms: u64) -> bool {
        self.is_among(most, now, silent_ms, |_| true)
    }

    /// Tells whether this VM is among the first of its failure domain that the registry answers.
    pub fn is_among_readers(&self, most: usize, now: Time, silent_ms: u64) -> bool {
        let lost = |vm: &Vm| self.known.get(&vm.name).is_some_and(|p| p.reach.registry_lost);
        self.is_among(most, now, silent_ms, |vm| !lost(vm))
    }

    fn is_among<F>(&self, most: usize, now: Time, silent_ms: u64, counts: F) -> bool
    where
        F: Fn(&Vm) -> bool,
    {
        let rank = self.rank(&self.me.domain, now, silent_ms);
        rank.into_iter().filter(|vm| counts(vm)).take(most).any(|vm| vm.name == self.me.name)
    }

    /// Returns the other failure domains that were heard once and whose VMs have all been silent for a time.
    pub fn silent_domains(&self, now: Time, silent_ms: u64) -> BTreeSet<Name> {
        let heard: BTreeSet<&Name> =
            self.far().filter(|p| p.is_heard(now, silent_ms)).map(|p| &p.vm.domain).collect();
        let once = self.far().filter(|p| p.heard.is_some()).map(|p| &p.vm.domain);
        once.filter(|domain| !heard.contains(domain)).cloned().collect()
    }

    /// Returns how many failure domains have VMs.
    pub fn domains(&self) -> usize {
        let mut domains: Vec<&Name> =
            self.known.values().map(|p| &p.vm.domain).chain([&self.me.domain]).collect();
        domains.sort_unstable();
        domains.dedup();
        domains.len()
    }

    /// Ranks the VMs of a failure domain that may answer; all VMs that know the same agree.
    fn rank(&self, domain: &Name, now: Time, silent_ms: u64) -> Vec<&Vm> {
        let others =
            self.known.values().filter(|p| !p.leaving && p.may_answer(now, silent_ms)).map(|p| &p.vm);
        let mut vms: Vec<&Vm> = others.chain([&self.me]).filter(|vm| vm.domain == *domain).collect();
        let key = rendezvous::key_of(domain);
        vms.sort_by_cached_key(|vm| std::cmp::Reverse(rendezvous::score(key, &vm.name)));
        vms
    }

    /// Returns where a beat goes now: to those that this VM wants to hear, to those that asked, and now and
    /// then to those that are silent and to the seeds.
    pub fn due(&mut self, now: Time, silent_ms: u64) -> Vec<Target> {
        let wanted = self.wanted(now, silent_ms);
        let mut due = Vec::new();
        for peer in self.known.values_mut() {
            let asks = wanted.contains(&peer.vm.name);
            let asked = peer.asked.is_some_and(|a| now.since(a) < silent_ms);
            let late = peer.told.is_none_or(|t| now.since(t) >= SILENT_BEAT_MS);
            if (asks && peer.is_heard(now, silent_ms)) || asked || (asks && late) {
                peer.told = Some(now);
                if asks && !peer.is_heard(now, silent_ms) {
                    peer.told_first.get_or_insert(now);
                }
                let is_far = peer.vm.domain != self.me.domain;
                due.push(Target { address: peer.vm.address, asks, is_far });
            }
        }
        if !due.iter().any(|t| t.asks) {
            due.extend(self.seeds.iter().map(|address| Target {
                address: *address,
                asks: true,
                is_far: false,
            }));
        }
        due
    }

    /// Returns the VMs that this VM wants to hear.
    fn wanted(&self, now: Time, silent_ms: u64) -> Vec<Name> {
        if self.is_mesh() {
            return self.known.keys().cloned().collect();
        }
        let mut wanted: Vec<Name> = self
            .rank(&self.me.domain, now, silent_ms)
            .iter()
            .take(RELAYS)
            .map(|vm| vm.name.clone())
            .collect();
        if wanted.contains(&self.me.name) {
            let mut domains: Vec<&Name> = self.known.values().map(|p| &p.vm.domain).collect();
            domains.sort_unstable();
            domains.dedup();
            for domain in domains.into_iter().filter(|d| **d != self.me.domain) {
                let relays = self.rank(domain, now, silent_ms);
                wanted.extend(relays.iter().take(RELAYS).map(|vm| vm.name.clone()));
            }
        }
        wanted
    }

    /// Names some other VMs, drawn at random.
    pub fn sample<R>(&self, now: Time, number: u64, rng: &mut R) -> Vec<Named>
    where
        R: Rng,
    {
        let staying = self.known.values().filter(|p| !p.leaving);
        let mut vms: Vec<Named> =
            staying.map(|p| Named { vm: p.vm.clone(), age_ms: now.since(p.learned) }).collect();
        let most = if number < NEW_BEATS { NAMED } else { NAMED_LATER };
        while vms.len() > most {
            vms.swap_remove(rng.random_range(0..vms.len()));
        }
        vms
    }

    /// Tells whether a run of the daemon is in the failure domain of this VM.
    pub fn is_near(&self, incarnation: Incarnation) -> bool {
        self.known.values().any(|p| p.vm.incarnation == incarnation && p.vm.domain == self.me.domain)
    }

    /// Returns a VM with a higher revision than a given one, in this failure domain if there is one.
    pub fn ahead_of(&self, revision: u64, now: Time, silent_ms: u64) -> Option<SocketAddr> {
        let ahead = self.known.values().filter(|p| p.revision > revision && p.is_heard(now, silent_ms));
        let best = ahead.max_by_key(|p| (p.vm.domain == self.me.domain, p.revision));
        best.map(|p| p.vm.address)
    }
}
