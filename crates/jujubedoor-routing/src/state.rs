//! The state of a VM.

use std::collections::HashMap;
use std::collections::HashSet;
use std::num::NonZeroUsize;

use jujubedoor::ids::Fingerprint;
use jujubedoor::ids::Incarnation;
use jujubedoor::ids::Time;
use jujubedoor::rendezvous;
use jujubedoor::suspects::Suspects;
use jujubedoor_config::Name;
use lru::LruCache;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::cache_index::CacheIndex;
use crate::cache_recovery::CacheRecovery;
use crate::cold_rate::ColdShare;
use crate::directory::ChangeLog;
use crate::directory::Delta;
use crate::directory::Directory;
use crate::domain_suspicion::DomainSuspicions;
use crate::event::Decision;
use crate::event::Effect;
use crate::event::RequestId;
use crate::heartbeats::DomainLoads;
use crate::lifecycle::ActiveRequest;
use crate::peers::CrashReport;
use crate::peers::Load;
use crate::peers::Peers;
use crate::peers::Vm;
use crate::pending_parts::PendingParts;
use crate::queue::RequestQueue;
use crate::retry_budget::RetryBudget;
use crate::routes::Service;
use crate::tuning::Tuning;
use crate::upstream::Upstream;

/// The most requests that are remembered as suspects.
const MAX_SUSPECTS: usize = 4_096;

/// The fewest connections to one upstream that a VM may have, however large the fleet is.
const MIN_CONNECTIONS: u32 = 3;

/// How long a suspected request is remembered, in milliseconds.
const SUSPECT_LIFETIME_MS: u64 = 60_000;

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
    pub cache_index: CacheIndex,
    /// The requests that wait.
    pub queue: RequestQueue,
    /// The requests of callers that are not over.
    pub requests: HashMap<RequestId, ActiveRequest>,
    /// The budgets of retries by service.
    pub retry_budgets: HashMap<Name, RetryBudget>,
    /// The requests that crash their upstreams.
    pub crash_suspects: Suspects,
    /// Tells that this VM is about to leave.
    pub leaving: bool,
    /// Tells that the whole fleet starts for the first time.
    pub first_start: bool,
    /// When the registry was first missed, while it does not answer.
    pub registry_lost_at: Option<Time>,
    /// When the registry answered again after it was missed.
    pub registry_restored_at: Option<Time>,
    pub(crate) rng: SmallRng,
    pub(crate) effects: Vec<Effect>,
    pub(crate) heartbeat_number: u64,
    pub(crate) heartbeat_due: Time,
    pub(crate) directory_fetch_due: Time,
    pub(crate) cache_recovery: CacheRecovery,
    pub(crate) behind_since: Option<Time>,
    pub(crate) pending_parts: PendingParts,
    pub(crate) pending_crashes: Vec<CrashReport>,
    pub(crate) seen_crash_reports: LruCache<u64, ()>,
    pub(crate) sent_loads: HashMap<u32, Load>,
    pub(crate) domain_loads: HashMap<Incarnation, DomainLoads>,
    pub(crate) must_watch_registry: bool,
    pub(crate) recent_changes: ChangeLog,
    pub(crate) domain_suspicions: DomainSuspicions,
    pub(crate) connection_losses: Vec<ConnectionLoss>,
}

/// A request whose upstream broke the connection.
#[derive(Clone, Debug)]
pub struct ConnectionLoss {
    /// When it broke.
    pub at: Time,
    /// The upstream.
    pub upstream: Name,
    /// The request.
    pub fingerprint: Fingerprint,
}

/// What a VM starts with.
#[derive(Clone, Debug)]
pub struct StateOptions {
    /// This VM.
    pub local_vm: Vm,
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
    pub fn new(options: StateOptions) -> Self {
        Self {
            now: Time::default(),
            domain: options.domain,
            tuning: options.tuning,
            directory: Directory::default(),
            evacuated_at: HashMap::new(),
            upstreams: HashMap::new(),
            peers: Peers::new(options.local_vm, options.seeds),
            cache_index: CacheIndex::default(),
            queue: RequestQueue::default(),
            requests: HashMap::new(),
            retry_budgets: HashMap::new(),
            crash_suspects: Suspects::new(MAX_SUSPECTS, SUSPECT_LIFETIME_MS),
            leaving: false,
            first_start: options.first_start,
            registry_lost_at: None,
            registry_restored_at: None,
            rng: SmallRng::seed_from_u64(options.seed),
            effects: Vec::new(),
            heartbeat_number: 0,
            heartbeat_due: Time::default(),
            directory_fetch_due: Time::default(),
            cache_recovery: CacheRecovery::default(),
            behind_since: None,
            pending_parts: PendingParts::default(),
            pending_crashes: Vec::new(),
            seen_crash_reports: LruCache::new(NonZeroUsize::new(MAX_SUSPECTS).unwrap_or(NonZeroUsize::MIN)),
            sent_loads: HashMap::new(),
            domain_loads: HashMap::new(),
            must_watch_registry: false,
            recent_changes: ChangeLog::default(),
            domain_suspicions: DomainSuspicions::default(),
            connection_losses: Vec::new(),
        }
    }

    /// Returns how many VMs there may be.
    pub fn fleet_size(&self) -> usize {
        self.peers.count().max(self.tuning.min_vms)
    }

    /// Returns what is configured of a service.
    pub fn service(&self, name: &Name) -> Option<&Service> {
        self.directory.routes.as_ref()?.services.get(name)
    }

    /// Returns how many connections this VM may have to one upstream of a service.
    pub fn connection_share(&self, service: &Name) -> u32 {
        let connections = self.service(service).map_or(0, |s| s.connections);
        let vms = u32::try_from(self.fleet_size()).unwrap_or(u32::MAX);
        (connections / vms).max(MIN_CONNECTIONS)
    }

    /// Tells whether this VM may send one more request to a cold upstream now.
    ///
    /// All VMs that know the same VMs agree on which of them send to an upstream that bears too little for
    /// all.
    pub fn may_send_cold(&self, id: &Name, upstream: &Upstream) -> bool {
        let per_s = self.service(&upstream.registration.service).map_or(0.0, |s| s.cold_per_s);
        let limit_per_s = per_s * self.tuning.cold_factor + self.tuning.cold_slack;
        let share = ColdShare::new(limit_per_s, self.fleet_size());
        if !upstream.cold_rate.allows(self.now, share) {
            return false;
        }
        let key = rendezvous::key_of(id);
        let own_score = rendezvous::score(key, &self.peers.local_vm.name);
        let higher_ranked = self.peers.known().filter(|vm| rendezvous::score(key, vm) > own_score).count();
        higher_ranked < share.senders
    }

    /// Returns what is published since a revision, for another VM; much of it only if that VM needs it from
    /// here.
    pub fn delta(&self, after: u64, needs_all: bool) -> Delta {
        let delta = self.changes_since(after);
        if delta.is_large() && !needs_all { Delta::TooLarge } else { delta }
    }

    fn changes_since(&self, after: u64) -> Delta {
        let restored_at = self
            .registry_restored_at
            .filter(|restored_at| self.now.since(*restored_at) < self.tuning.registration_grace_ms);
        let restored_age_ms = restored_at.map(|restored_at| self.now.since(restored_at));
        match self.recent_changes.since(after) {
            Some(changes) => Delta::Changes { revision: self.directory.revision, changes, restored_age_ms },
            None => Delta::Full { directory: self.directory.clone(), restored_age_ms },
        }
    }

    /// Returns how many requests of each workspace run.
    pub fn running_by_workspace(&self) -> HashMap<Option<Name>, u32> {
        let mut running = HashMap::new();
        for active in self.requests.values().filter(|r| r.attempt.is_some()) {
            *running.entry(active.call.workspace.clone()).or_default() += 1;
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

    pub(crate) fn log(
        &mut self,
        request: Option<RequestId>,
        event: &'static str,
        inputs: Vec<(&'static str, String)>,
    ) {
        self.effects.push(Effect::Decision(Decision { request, event, inputs }));
    }
}
