//! The other VMs of the fleet and what they tell each other.
//!
//! A VM finds the others through seeds and through what those tell of more. Each sends every other a
//! small datagram several times a second; one that is lost is made good by the next.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jujubedoor::ids::Incarnation;
use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

/// How long a VM that has been silent is still sent beats, in milliseconds.
const FORGET_MS: u64 = 60_000;

/// The period of beats to a VM that is silent, in milliseconds.
const SILENT_BEAT_MS: u64 = 1_000;

/// The most other VMs that one beat names.
const NAMED: usize = 6;

/// A run of the daemon on a VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// The name of the VM.
    pub name: Name,
    /// The run of the daemon.
    pub incarnation: Incarnation,
    /// Where it receives beats.
    pub address: SocketAddr,
}

/// What a VM tells the others several times a second.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Beat {
    /// The VM that tells.
    pub from: Vm,
    /// The number of the beat within the run; a lower one is older.
    pub number: u64,
    /// Tells that the VM is about to leave.
    pub leaving: bool,
    /// The revision of the directory that it knows.
    pub revision: u64,
    /// Its requests at each upstream where it has any.
    pub loads: Vec<Load>,
    /// Prompt parts that upstreams have read for it lately.
    pub parts: Vec<(u64, u32)>,
    /// Requests that crashed an upstream.
    pub crashes: Vec<u64>,
    /// Some other VMs that it knows.
    pub vms: Vec<Vm>,
}

/// The requests of one VM at one upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// The short key of the upstream.
    pub upstream: u32,
    /// The requests that are running there.
    pub running: u32,
    /// The prompt tokens of those that have not begun to answer.
    pub unread: u32,
}

/// The other VMs of the fleet.
#[derive(Clone, Debug)]
pub struct Peers {
    /// This VM.
    pub me: Vm,
    seeds: Vec<SocketAddr>,
    known: BTreeMap<Name, Peer>,
}

/// Another VM.
#[derive(Clone, Debug)]
struct Peer {
    vm: Vm,
    learned: Time,
    heard: Option<Time>,
    number: u64,
    revision: u64,
    told: Option<Time>,
    leaving: bool,
}

impl Peers {
    /// Creates the view of a VM that knows only its seeds.
    pub fn new(me: Vm, seeds: Vec<SocketAddr>) -> Self {
        let seeds = seeds.into_iter().filter(|s| *s != me.address).collect();
        Self { me, seeds, known: BTreeMap::new() }
    }

    /// Takes a beat; tells whether it is newer than all before from the same run.
    pub fn hear(&mut self, beat: &Beat, now: Time) -> bool {
        if beat.from.name == self.me.name {
            return false;
        }
        let newer = match self.known.get(&beat.from.name) {
            Some(p) if p.vm.incarnation == beat.from.incarnation => beat.number > p.number,
            _ => true,
        };
        if !newer {
            return false;
        }
        let told = self.known.get(&beat.from.name).and_then(|p| p.told);
        let peer = Peer {
            vm: beat.from.clone(),
            learned: now,
            heard: Some(now),
            number: beat.number,
            revision: beat.revision,
            told,
            leaving: beat.leaving,
        };
        self.known.insert(beat.from.name.clone(), peer);
        for vm in &beat.vms {
            self.learn(vm, now);
        }
        true
    }

    fn learn(&mut self, vm: &Vm, now: Time) {
        if vm.name == self.me.name || self.known.contains_key(&vm.name) {
            return;
        }
        let peer = Peer {
            vm: vm.clone(),
            learned: now,
            heard: None,
            number: 0,
            revision: 0,
            told: None,
            leaving: false,
        };
        self.known.insert(vm.name.clone(), peer);
    }

    /// Forgets VMs that have been silent for long.
    pub fn forget(&mut self, now: Time) {
        self.known.retain(|_, p| now.since(p.heard.unwrap_or(p.learned)) < FORGET_MS);
    }

    /// Returns how many VMs there may be, this one among them.
    pub fn count(&self) -> usize {
        self.known.len() + 1
    }

    /// Returns the names of all other VMs that are known, also of those that are silent.
    pub fn known(&self) -> impl Iterator<Item = &Name> {
        self.known.keys()
    }

    /// Returns where a beat goes now: to every VM that is heard, now and then to those that are silent
    /// and to the seeds.
    pub fn due(&mut self, now: Time, silent_ms: u64) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for peer in self.known.values_mut() {
            let alive = peer.heard.is_some_and(|h| now.since(h) < silent_ms);
            if alive || peer.told.is_none_or(|t| now.since(t) >= SILENT_BEAT_MS) {
                peer.told = Some(now);
                due.push(peer.vm.address);
            }
        }
        if due.is_empty() {
            due.extend(&self.seeds);
        }
        due
    }

    /// Names some other VMs that were heard lately, drawn at random.
    pub fn sample<R>(&self, now: Time, silent_ms: u64, rng: &mut R) -> Vec<Vm>
    where
        R: Rng,
    {
        let heard = |p: &&Peer| !p.leaving && p.heard.is_some_and(|h| now.since(h) < silent_ms);
        let mut vms: Vec<Vm> = self.known.values().filter(heard).map(|p| p.vm.clone()).collect();
        while vms.len() > NAMED {
            vms.swap_remove(rng.random_range(0..vms.len()));
        }
        vms
    }

    /// Returns the names of this VM and of those that were heard lately.
    pub fn names(&self, now: Time, silent_ms: u64) -> Vec<&Name> {
        let heard = self.known.values().filter(|p| p.heard.is_some_and(|h| now.since(h) < silent_ms));
        heard.map(|p| &p.vm.name).chain([&self.me.name]).collect()
    }

    /// Returns the VM with the highest revision, if that is above a revision.
    pub fn ahead_of(&self, revision: u64, now: Time, silent_ms: u64) -> Option<SocketAddr> {
        let heard = self.known.values().filter(|p| p.heard.is_some_and(|h| now.since(h) < silent_ms));
        let ahead = heard.filter(|p| p.revision > revision).max_by_key(|p| p.revision);
        ahead.map(|p| p.vm.address)
    }
}
