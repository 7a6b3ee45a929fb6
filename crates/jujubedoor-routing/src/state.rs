//! The state of a VM.

use std::collections::HashMap;
use std::collections::HashSet;
use std::num::NonZeroUsize;

use jujubedoor::crash_suspects::CrashSuspects;
use jujubedoor::ids::Fingerprint;
use jujubedoor::ids::Incarnation;
use jujubedoor::ids::Time;
use jujubedoor::rendezvous;
use jujubedoor_config::Name;
use lru::LruCache;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::budget::Budget;
use crate::directory::Delta;
use crate::directory::Directory;
use crate::directory::Recent;
use crate::doubt::Doubts;
use crate::event::Effect;
use crate::event::Note;
use crate::event::RequestId;
use crate::exchange::DomainLoads;
use crate::flight::Flight;
use crate::news::News;
use crate::pace::Share;
use crate::peers::Crash;
use crate::peers::Load;
use crate::peers::Peers;
use crate::peers::Vm;
use crate::recall::Recall;
use crate::routes::Service;
use crate::tuning::Tuning;
use crate::upstream::Upstream;
use crate::waiting::Waiting;
use crate::warmth::Warmth;

/// The most requests that are remembered as suspects.
const SUSPECTS: usize = 4_096;

/// The fewest connections to one upstream that a VM may have, however large the fleet is.
const LEAST_CONNECTIONS: u32 = 3;

/// How long a suspected request is remembered, in milliseconds.
const SUSPECT_MS: u64 = 60_000;

/// The state of a VM.
pub struct State {
    /// The time of the newest event.
    pub now: Time,
    /// The failure domain that this VM runs in.
    pub domain: Name,
    /// The constants.
    pub tuning: Tuning,
    /// What is published.
    pub directory: Directory,
    /// When failure domains were taken out, as far as this VM saw it.
    pub evacuated_at: HashMap<Name, Time>,
    /// The upstreams, also those whose registration ended lately.
    pub upstreams: HashMap<Name, Upstream>,
    /// The other VMs.
    pub peers: Peers,
    /// Which upstream has read which prompt part.
    pub warmth: Warmth,
    /// The requests that wait.
    pub waiting: Waiting,
    /// The requests of callers that are not over.
    pub flights: HashMap<RequestId, Flight>,
    /// The budgets of retries by service.
    pub budgets: HashMap<Name, Budget>,
    /// The requests that crash their upstreams.
    pub suspects: CrashSuspects,
    /// Tells that this VM is about to leave.
    pub leaving: bool,
    /// Tells that the whole fleet starts for the first time.
    pub first_start: bool,
    /// When the registry was first missed, while it does not answer.
    pub registry_lost: Option<Time>,
    /// When the registry answered again after it was missed.
    pub registry_back: Option<Time>,
    pub(crate) rng: SmallRng,
    pub(crate) effects: Vec<Effect>,
    pub(crate) beat_number: u64,
    pub(crate) beat_due: Time,
    pub(crate) fetch_due: Time,
    pub(crate) recall: Recall,
    pub(crate) behind_since: Option<Time>,
    pub(crate) news: News,
    pub(crate) fresh_crashes: Vec<Crash>,
    pub(crate) heard_crashes: LruCache<u64, ()>,
    pub(crate) told_loads: HashMap<u32, Load>,
    pub(crate) domains: HashMap<Incarnation, DomainLoads>,
    pub(crate) told_to_read: bool,
    pub(crate) recent: Recent,
    pub(crate) doubts: Doubts,
    pub(crate) breaks: Vec<Break>,
}

/// A request whose upstream broke the connection.
#[derive(Clone, Debug)]
pub struct Break {
    /// When it broke.
    pub at: Time,
    /// The upstream.
    pub upstream: Name,
    /// The request.
    pub fingerprint: Fingerprint,
}

/// What a VM starts with.
#[derive(Clone, Debug)]
pub struct Start {
    /// This VM.
    pub me: Vm,
    /// The failure domain that it runs in.
    pub domain: Name,
    /// Where other VMs may be found.
    pub seeds: Vec<std::net::SocketAddr>,
    /// The constants.
    pub tuning: Tuning,
    /// Tells that the whole fleet starts for the first time.
    pub first_start: bool,
    /// The seed of random choices.
    pub seed: u64,
}

impl State {
    /// Creates the state of a VM that knows nothing yet.
    pub fn new(start: Start) -> Self {
        Self {
            now: Time::default(),
            domain: start.domain,
            tuning: start.tuning,
            directory: Directory::default(),
            evacuated_at: HashMap::new(),
            upstreams: HashMap::new(),
            peers: Peers::new(start.me, start.seeds),
            warmth: Warmth::default(),
            waiting: Waiting::default(),
            flights: HashMap::new(),
            budgets: HashMap::new(),
            suspects: CrashSuspects::new(SUSPECTS, SUSPECT_MS),
            leaving: false,
            first_start: start.first_start,
            registry_lost: None,
            registry_back: None,
            rng: SmallRng::seed_from_u64(start.seed),
            effects: Vec::new(),
            beat_number: 0,
            beat_due: Time::default(),
            fetch_due: Time::default(),
            recall: Recall::default(),
            behind_since: None,
            news: News::default(),
            fresh_crashes: Vec::new(),
            heard_crashes: LruCache::new(NonZeroUsize::new(SUSPECTS).unwrap_or(NonZeroUsize::MIN)),
            told_loads: HashMap::new(),
            domains: HashMap::new(),
            told_to_read: false,
            recent: Recent::default(),
            doubts: Doubts::default(),
            breaks: Vec::new(),
        }
    }

    /// Returns how many VMs there may be.
    pub fn fleet_size(&self) -> usize {
        self.peers.count().max(self.tuning.least_vms)
    }

    /// Returns what is configured of a service.
    pub fn service(&self, name: &Name) -> Option<&Service> {
        self.directory.routes.as_ref()?.services.get(name)
    }

    /// Returns how many connections this VM may have to one upstream of a service.
    pub fn connection_share(&self, service: &Name) -> u32 {
        let connections = self.service(service).map_or(0, |s| s.connections);
        let vms = u32::try_from(self.fleet_size()).unwrap_or(u32::MAX);
        (connections / vms).max(LEAST_CONNECTIONS)
    }

    /// Tells whether this VM may send one more request to a cold upstream now.
    ///
    /// All VMs that know the same VMs agree on which of them send to an upstream that bears too little for
    /// all.
    pub fn may_send_cold(&self, id: &Name, upstream: &Upstream) -> bool {
        let per_s = self.service(&upstream.registration.service).map_or(0.0, |s| s.cold_per_s);
        let bears = per_s * self.tuning.cold_factor + self.tuning.cold_slack;
        let share = Share::new(bears, self.fleet_size());
        if !upstream.pace.allows(self.now, share) {
            return false;
        }
        let key = rendezvous::key_of(id);
        let mine = rendezvous::score(key, &self.peers.me.name);
        let ahead = self.peers.known().filter(|vm| rendezvous::score(key, vm) > mine).count();
        ahead < share.senders
    }

    /// Returns what is published since a revision, for another VM; much of it only if that VM needs it from
    /// here.
    pub fn delta(&self, after: u64, needs_all: bool) -> Delta {
        let delta = self.changes_since(after);
        if delta.is_large() && !needs_all { Delta::Large } else { delta }
    }

    fn changes_since(&self, after: u64) -> Delta {
        let back = self.registry_back.filter(|back| self.now.since(*back) < self.tuning.lapse_ms);
        let back_age_ms = back.map(|back| self.now.since(back));
        match self.recent.since(after) {
            Some(changes) => Delta::Changes { revision: self.directory.revision, changes, back_age_ms },
            None => Delta::Whole { directory: self.directory.clone(), back_age_ms },
        }
    }

    /// Returns how many requests of each workspace run.
    pub fn running_by_workspace(&self) -> HashMap<Option<Name>, u32> {
        let mut running = HashMap::new();
        for flight in self.flights.values().filter(|f| f.attempt.is_some()) {
            *running.entry(flight.call.workspace.clone()).or_default() += 1;
        }
        running
    }

    /// Returns the upstreams that are registered, by their short key.
    pub fn short_keys(&self) -> HashMap<u32, Name> {
        self.upstreams.iter().map(|(id, u)| (u.key, id.clone())).collect()
    }

    /// Returns the services that have upstreams.
    pub fn services(&self) -> HashSet<Name> {
        self.upstreams.values().map(|u| u.registration.service.clone()).collect()
    }

    pub(crate) fn note(
        &mut self,
        request: Option<RequestId>,
        what: &'static str,
        inputs: Vec<(&'static str, String)>,
    ) {
        self.effects.push(Effect::Note(Note { request, what, inputs }));
    }
}
