//! The state of one VM, on which all routing decisions are based.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::sync::Arc;

use jujubedoor::ids::StoreRevision;
use jujubedoor::ids::Time;
use jujubedoor::rendezvous;
use jujubedoor_config::Name;
use lru::LruCache;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::cache_index::CacheIndex;
use crate::cache_recovery::CacheRecovery;
use crate::call::Call;
use crate::cold_rate::ColdShare;
use crate::crash_attribution::AttributedCrash;
use crate::directory::ChangeLog;
use crate::directory::Delta;
use crate::directory::Directory;
use crate::domain_crossing::DomainCrossing;
use crate::domain_suspicion::DomainSuspicions;
use crate::event::Decision;
use crate::event::Effect;
use crate::event::RequestId;
use crate::lifecycle::ActiveRequest;
use crate::load_view::Load;
use crate::load_view::LoadView;
use crate::message::Vm;
use crate::part_blocks::PartBlocks;
use crate::part_suspects::PartSuspects;
use crate::peers::Peers;
use crate::pending_parts::PendingParts;
use crate::prefill_rate::PrefillRate;
use crate::queue::RequestQueue;
use crate::registry_outage::RegistryOutages;
use crate::restored_registry::RestoredRegistry;
use crate::resumed_streams::ResumedStreams;
use crate::retry_budget::RetryBudget;
use crate::route_moves::RouteMoves;
use crate::routes::Service;
use crate::run_evidence::RunChecks;
use crate::service_flow::ServiceFlow;
use crate::shutdown::Shutdown;
use crate::software::SoftwareHistory;
use crate::speed::Speeds;
use crate::stream_origins::StreamOrigins;
use crate::tuning::Tuning;
use crate::upstream::AddressHolder;
use crate::upstream::Upstream;
use crate::upstream_notices::UpstreamNotices;
use crate::upstream_watch::UpstreamWatch;
use crate::urgency::Urgency;

/// Maximum number of crash reports by which repetitions are recognized.
const MAX_SEEN_REPORTS: usize = 4_096;

/// Minimum number of connections that a VM may open to one upstream, regardless of the fleet's size.
const MIN_CONNECTIONS: u32 = 3;

/// The state of one VM. [`reduce`](crate::reduce()) applies events to it.
pub struct State {
    /// Time of the latest event.
    pub now: Time,
    /// Failure domain of this VM.
    pub domain: Name,
    /// Tuning parameters of the decisions.
    pub tuning: Tuning,
    /// The published upstreams, routes and evacuated failure domains.
    pub directory: Directory,
    /// The latest time at which the directory is known to have been current.
    pub(crate) directory_confirmed_at: Option<Time>,
    /// Times at which failure domains were evacuated, as observed by this VM.
    pub evacuated_at: HashMap<Name, Time>,
    /// The upstreams by identifier, including those whose registration ended recently.
    pub upstreams: HashMap<Name, Upstream>,
    /// The other VMs of the fleet.
    pub peers: Peers,
    /// Index of the prompt parts that upstreams have cached.
    pub cache_index: CacheIndex,
    /// Requests that wait for an upstream.
    pub queue: RequestQueue,
    /// The active requests.
    pub requests: HashMap<RequestId, ActiveRequest>,
    /// Retry budgets by service.
    pub retry_budgets: HashMap<Name, RetryBudget>,
    /// Prefill rates of the engines by service.
    pub prefill_rates: HashMap<Name, PrefillRate>,
    /// Services at which requests have an urgency.
    pub urgency: Urgency,
    /// Flows of requests to these services.
    pub(crate) service_flows: HashMap<Name, ServiceFlow>,
    /// Requests suspected of crashing upstreams, by their fingerprints.
    pub(crate) request_suspects: PartSuspects,
    /// Prompt parts suspected of crashing engines.
    pub part_suspects: PartSuspects,
    /// Prompt parts that are blocked because they crash engines.
    pub part_blocks: PartBlocks,
    /// Notices of upstreams in their responses.
    pub upstream_notices: UpstreamNotices,
    /// Speeds that upstreams name in their responses.
    pub speeds: Speeds,
    /// The planned stop of this VM, if it is shutting down.
    pub(crate) shutdown: Option<Shutdown>,
    /// Whether this is the first start of the whole fleet.
    pub first_start: bool,
    /// Time of the first tick of this VM.
    pub(crate) started: Option<Time>,
    /// Time after its beginning for which a stream can go on, in milliseconds, once the routes are known.
    pub(crate) stream_lifetime_ms: Option<u64>,
    /// Versions of software that were in service lately.
    pub(crate) software_history: SoftwareHistory,
    /// Versions that began streams.
    pub stream_origins: StreamOrigins,
    /// Requests that resume a stream and wait until its version is known.
    pub(crate) resumed_streams: ResumedStreams,
    /// Routes that were moved to other services lately.
    pub(crate) route_moves: RouteMoves,
    /// The search for evidence of which runs began streams.
    pub(crate) run_checks: RunChecks,
    /// Short keys of upstreams whose run has ended, which has not been reported yet.
    pub(crate) pending_ends: Vec<u32>,
    /// The upstreams that this VM watches.
    pub(crate) upstream_watch: UpstreamWatch,
    /// Outages of the registry.
    pub registry_outages: RegistryOutages,
    pub(crate) rng: SmallRng,
    pub(crate) effects: Vec<Effect>,
    pub(crate) heartbeat_sequence: u64,
    pub(crate) heartbeat_due: Time,
    pub(crate) is_forwarder: bool,
    pub(crate) directory_fetch_due: Time,
    pub(crate) cache_recovery: CacheRecovery,
    /// Time since which another VM is known to have a higher revision of the directory.
    pub(crate) behind_since: Option<Time>,
    pub(crate) pending_parts: PendingParts,
    pub(crate) pending_crashes: Vec<AttributedCrash>,
    /// Survivals of suspected parts that have not been announced yet, with the times at which the responses
    /// began.
    pub(crate) pending_survivals: Vec<(u64, Time)>,
    pub(crate) part_evaluation_due: Time,
    /// Short keys of the upstreams whose rate limits are to be reported to other VMs.
    pub(crate) pending_rate_limits: Vec<u32>,
    pub(crate) seen_crash_reports: LruCache<u64, ()>,
    /// Loads in the last heartbeat of this VM, by the short key of the upstream.
    pub(crate) sent_loads: HashMap<u32, Load>,
    /// Loads that other VMs reported.
    pub(crate) load_view: LoadView,
    /// Revisions of the directory at the last heartbeats of this VM, the oldest first.
    pub(crate) sent_revisions: VecDeque<StoreRevision>,
    /// Identifiers of the upstreams that registered last at each address.
    pub(crate) ids_by_address: HashMap<SocketAddr, Name>,
    /// Upstreams whose addresses were found to belong to others, by their short keys, not reported yet.
    pub(crate) pending_moved: Vec<u32>,
    /// Identifiers of the upstreams by their short keys.
    pub(crate) ids_by_key: HashMap<u32, Name>,
    /// Whether this VM has to read the registry itself, because the changes that it lacks are too large to
    /// be sent by another VM.
    pub(crate) must_watch_registry: bool,
    pub(crate) recent_changes: ChangeLog,
    pub(crate) restored_registry: RestoredRegistry,
    pub(crate) domain_suspicions: DomainSuspicions,
    /// Measurements on which requests leave their failure domain.
    pub(crate) domain_crossing: DomainCrossing,
    /// Recently lost connections, whose requests are suspected if the upstream turns out to have crashed.
    pub(crate) connection_losses: Vec<ConnectionLoss>,
}

/// A connection to an upstream that was lost while it served a request.
#[derive(Clone, Debug)]
pub struct ConnectionLoss {
    /// Time of the loss.
    pub at: Time,
    /// Identifier of the request within this daemon process.
    pub request: RequestId,
    /// Identifier of the upstream.
    pub upstream: Name,
    /// Start time of the upstream's process, as registered.
    pub upstream_started: u64,
    /// Time at which the request was sent.
    pub sent_at: Time,
    /// The request as received.
    pub call: Arc<Call>,
}

/// Parameters of a new [`State`].
#[derive(Clone, Debug)]
pub struct StateOptions {
    /// This VM.
    pub local_vm: Vm,
    /// Failure domain of this VM.
    pub domain: Name,
    /// Addresses of the VMs through which this one discovers the fleet.
    pub seeds: Vec<std::net::SocketAddr>,
    /// Tuning parameters of the decisions.
    pub tuning: Tuning,
    /// Whether this is the first start of the whole fleet.
    pub first_start: bool,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl State {
    /// Creates the state of a VM that has just started.
    pub fn new(options: StateOptions) -> Self {
        Self {
            now: Time::default(),
            domain: options.domain,
            tuning: options.tuning,
            directory: Directory::default(),
            directory_confirmed_at: None,
            evacuated_at: HashMap::new(),
            upstreams: HashMap::new(),
            peers: Peers::new(options.local_vm, options.seeds),
            cache_index: CacheIndex::default(),
            queue: RequestQueue::default(),
            requests: HashMap::new(),
            retry_budgets: HashMap::new(),
            prefill_rates: HashMap::new(),
            urgency: Urgency::default(),
            service_flows: HashMap::new(),
            request_suspects: PartSuspects::default(),
            part_suspects: PartSuspects::default(),
            part_blocks: PartBlocks::default(),
            upstream_notices: UpstreamNotices::default(),
            speeds: Speeds::default(),
            shutdown: None,
            first_start: options.first_start,
            started: None,
            stream_lifetime_ms: None,
            software_history: SoftwareHistory::default(),
            stream_origins: StreamOrigins::default(),
            resumed_streams: ResumedStreams::default(),
            route_moves: RouteMoves::default(),
            run_checks: RunChecks::default(),
            pending_ends: Vec::new(),
            upstream_watch: UpstreamWatch::default(),
            registry_outages: RegistryOutages::default(),
            rng: SmallRng::seed_from_u64(options.seed),
            effects: Vec::new(),
            heartbeat_sequence: 0,
            heartbeat_due: Time::default(),
            is_forwarder: false,
            directory_fetch_due: Time::default(),
            cache_recovery: CacheRecovery::default(),
            behind_since: None,
            pending_parts: PendingParts::default(),
            pending_crashes: Vec::new(),
            pending_survivals: Vec::new(),
            part_evaluation_due: Time::default(),
            pending_rate_limits: Vec::new(),
            seen_crash_reports: LruCache::new(
                NonZeroUsize::new(MAX_SEEN_REPORTS).unwrap_or(NonZeroUsize::MIN),
            ),
            sent_loads: HashMap::new(),
            load_view: LoadView::default(),
            sent_revisions: VecDeque::new(),
            ids_by_address: HashMap::new(),
            pending_moved: Vec::new(),
            ids_by_key: HashMap::new(),
            must_watch_registry: false,
            recent_changes: ChangeLog::default(),
            restored_registry: RestoredRegistry::default(),
            domain_suspicions: DomainSuspicions::default(),
            domain_crossing: DomainCrossing::default(),
            connection_losses: Vec::new(),
        }
    }

    /// Returns the assumed number of VMs in the fleet: the known ones, but at least the configured
    /// minimum.
    pub fn fleet_size(&self) -> usize {
        self.peers.fleet_size().max(usize::try_from(self.tuning.min_vms).unwrap_or(usize::MAX))
    }

    /// Returns what is known of the process at an upstream's address.
    pub(crate) fn address_holder(&self, upstream: &Upstream) -> AddressHolder {
        let delay_ms = u64::from(self.tuning.registration_delay_ms);
        upstream.address_holder(self.directory_confirmed_at, delay_ms)
    }

    /// Returns whether the process at an upstream's address is certainly the registered run.
    pub(crate) fn is_registered_run(&self, upstream: &Upstream) -> bool {
        self.address_holder(upstream) == AddressHolder::RegisteredRun
    }

    /// Returns whether the fleet is so small that its VMs exchange loads often although they do so through relays.
    pub fn is_small_fleet(&self) -> bool {
        u32::try_from(self.peers.count()).is_ok_and(|vms| vms <= self.tuning.small_fleet_vms)
    }

    /// Returns the configuration of a service.
    pub fn service(&self, name: &Name) -> Option<&Service> {
        self.directory.routes.as_ref()?.services.get(name)
    }

    /// Returns the number of prompt tokens that the engines of a service prefill per millisecond.
    pub fn prefill_tokens_per_ms(&self, service: &Name) -> f64 {
        let learned = self.prefill_rates.get(service).and_then(PrefillRate::tokens_per_ms);
        learned.unwrap_or(self.tuning.prefill_tokens_per_ms)
    }

    /// Returns the time from sending a request to the start of its response at an engine of a service, apart from the
    /// prefill, in milliseconds. It is zero until it is learned.
    pub fn base_response_ms(&self, service: &Name) -> f64 {
        self.prefill_rates.get(service).and_then(PrefillRate::base_ms).unwrap_or_default()
    }

    /// Returns the number of connections that this VM may open to one upstream of a service.
    pub fn connection_share(&self, service: &Name) -> u32 {
        let connections = self.service(service).map_or(0, |s| s.connections);
        let vms = u32::try_from(self.fleet_size()).unwrap_or(u32::MAX);
        (connections / vms).max(MIN_CONNECTIONS)
    }

    /// Returns whether this VM may send another request to a cold upstream now.
    ///
    /// If the rate limit is too low for every VM to have a share, the VMs are ranked by rendezvous
    /// hashing and only the first may send. VMs with the same view of the fleet agree on the ranking.
    pub fn may_send_cold(&self, id: &Name, upstream: &Upstream) -> bool {
        let per_s = self.service(&upstream.registration.service).map_or(0.0, |s| s.cold_per_s);
        let limit_per_s = per_s * self.tuning.cold_factor + self.tuning.cold_slack;
        let share = ColdShare::new(limit_per_s, self.fleet_size());
        if !upstream.cold_rate.allows(self.now, share) {
            return false;
        }
        self.send_rank(id, upstream) < share.senders
    }

    /// Returns the time from which this VM may send a request to an upstream under the rate limit that the
    /// upstream names, which is the present time if there is none.
    pub fn allowed_at(&self, id: &Name, upstream: &Upstream) -> Time {
        if upstream.rate_limiter.limit().is_none() {
            return self.now;
        }
        let rank = self.send_rank(id, upstream);
        let share = upstream.rate_limiter.share(self.fleet_size(), rank, self.now);
        share.map_or(self.now, |share| upstream.rate_limiter.allowed_at(share, self.now))
    }

    /// Returns the number of VMs that come before this one for requests to an upstream whose rate is limited.
    fn send_rank(&self, id: &Name, upstream: &Upstream) -> usize {
        let membership = self.peers.membership();
        if let Some((_, rank)) = upstream.send_rank.get().filter(|(known, _)| *known == membership) {
            return rank;
        }
        let key = rendezvous::key_of(id);
        let own_score = rendezvous::score(key, &self.peers.local_vm.name);
        let rank = self.peers.known().filter(|vm| rendezvous::score(key, vm) > own_score).count();
        // While some VMs are not known yet, they are assumed to rank like the known ones.
        let rank = rank * self.fleet_size() / self.peers.count();
        upstream.send_rank.set(Some((membership, rank)));
        rank
    }

    /// Returns whether an upstream is known to limit the rate of requests.
    pub fn has_rate_limit(&self, id: &Name) -> bool {
        self.upstreams.get(id).is_some_and(|upstream| upstream.rate_limiter.limit().is_some())
    }

    /// Returns the number of requests at an upstream, as far as this VM knows.
    pub fn load(&self, upstream: &Upstream) -> u32 {
        upstream.load(self.load_view.others(upstream.key), self.now)
    }

    /// Returns the number of prompt tokens that an upstream has to prefill, for requests of all VMs.
    pub fn prefill_backlog(&self, upstream: &Upstream) -> u32 {
        upstream.prefill_tokens.saturating_add(self.load_view.others(upstream.key).prefill_tokens)
    }

    /// Returns the changes after a revision, for another VM.
    ///
    /// A large delta is returned only if `needs_all` is set, because the other VM cannot read the
    /// registry itself.
    pub fn delta(&self, after: StoreRevision, needs_all: bool) -> Delta {
        let delta = self.changes_since(after);
        if delta.is_large() && !needs_all { Delta::TooLarge } else { delta }
    }

    fn changes_since(&self, after: StoreRevision) -> Delta {
        let last_outage = self.registry_outages.last_ended(self.now, self.tuning.registration_grace_ms);
        match self.recent_changes.since(after) {
            Some(changes) => Delta::Changes { revision: self.directory.revision, changes, last_outage },
            None => Delta::Full { directory: self.directory.clone(), last_outage },
        }
    }

    /// Returns the number of running requests by workspace.
    pub fn running_by_workspace(&self) -> HashMap<Option<Name>, u32> {
        let mut running = HashMap::new();
        for active in self.requests.values().filter(|r| r.attempt.is_some()) {
            *running.entry(active.call.workspace.clone()).or_default() += 1;
        }
        running
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
