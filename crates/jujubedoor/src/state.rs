//! The state of one VM.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use jujubedoor_config::Name;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::admission::Admissions;
use crate::catalog::Catalog;
use crate::crash_suspects::CrashSuspects;
use crate::document_history::DocumentHistory;
use crate::documents::Documents;
use crate::entry::ActiveRequests;
use crate::event::CountedEvent;
use crate::event::Effect;
use crate::event::TimelineEvent;
use crate::event::TimelineRecord;
use crate::executor::Executor;
use crate::fleet::Fleet;
use crate::gossip::Gossip;
use crate::ids::RequestId;
use crate::ids::Time;
use crate::ids::UpstreamId;
use crate::ids::VmRef;
use crate::message::Message;
use crate::ticket::TicketKey;
use crate::tuning::Tuning;

/// The complete state of one VM.
pub struct State {
    /// Intervals and limits.
    pub tuning: Tuning,
    /// Region of this VM.
    pub region: Name,
    /// View of the fleet.
    pub fleet: Fleet,
    /// Active documents, and revisions that were rejected.
    pub documents: Documents,
    /// Documents that were read from the store.
    pub document_history: DocumentHistory,
    /// Catalog built from the active documents.
    pub catalog: Catalog,
    /// Requests that this VM serves.
    pub entry: ActiveRequests,
    /// Upstreams that this VM owns, and the loads of the pools.
    pub admissions: Admissions,
    /// Tickets that this VM issued, and calls that it forwarded to executors.
    pub executor: Executor,
    /// Progress of heartbeats and of the comparison of revisions with peers.
    pub gossip: Gossip,
    /// Requests suspected of crashing upstreams.
    pub crash_suspects: CrashSuspects,
    /// Random number generator, for jitter.
    pub rng: SmallRng,
    /// Time of the event that is being processed.
    pub now: Time,
    pub(crate) effects: Vec<Effect>,
    pub(crate) inbox: VecDeque<Message>,
}

/// Options with which the state of a VM is created.
#[derive(Clone, Debug, Default)]
pub struct StateOptions {
    /// Identity of this daemon process.
    pub local_vm: VmRef,
    /// Region of this VM.
    pub region: Name,
    /// Secret shared by the fleet, from which the key of tickets is derived.
    pub secret: String,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Intervals and limits.
    pub tuning: Tuning,
}

impl State {
    /// Creates the state of a VM that has just started.
    pub fn new(options: StateOptions) -> Self {
        let StateOptions { local_vm, region, secret, seed, tuning } = options;
        Self {
            region,
            fleet: Fleet::new(local_vm),
            documents: Documents::default(),
            document_history: DocumentHistory::default(),
            catalog: Catalog::default(),
            entry: ActiveRequests::new(&tuning),
            admissions: Admissions::default(),
            executor: Executor::new(TicketKey::new(&secret)),
            gossip: Gossip::default(),
            crash_suspects: CrashSuspects::new(tuning.max_crash_suspects, tuning.crash_suspect_retention_ms),
            rng: SmallRng::seed_from_u64(seed),
            now: Time(0),
            effects: Vec::new(),
            inbox: VecDeque::new(),
            tuning,
        }
    }

    /// Returns whether the load balancer should send callers to this VM.
    pub fn is_ready(&self) -> bool {
        self.can_serve() && !self.fleet.is_leaving()
    }

    /// Returns whether the VM can serve callers.
    ///
    /// It can if it has an active document, its view of the fleet is confirmed, and it has compared revisions
    /// with all peers or has waited for them long enough.
    pub fn can_serve(&self) -> bool {
        let has_document = self.documents.active().next().is_some();
        has_document && self.is_view_confirmed() && self.gossip.has_synced_with_peers(&self.fleet, self.now)
    }

    /// Returns whether the view of the fleet was confirmed recently.
    pub fn is_view_confirmed(&self) -> bool {
        self.fleet.is_view_confirmed(self.now, &self.tuning)
    }

    /// Returns whether the view of the fleet will soon become stale unless the platform confirms it.
    pub fn needs_confirmation(&self) -> bool {
        self.fleet.needs_confirmation(self.now, &self.tuning)
    }

    /// Returns whether the VM serves no request and runs no ticket's call.
    pub fn is_idle(&self) -> bool {
        self.entry.is_empty() && self.executor.is_idle()
    }

    /// Returns the number of this VM's requests in flight at each upstream.
    pub fn requests_per_upstream(&self) -> BTreeMap<UpstreamId, u32> {
        self.entry.calls_by_upstream()
    }

    /// Sends a message to a VM. A message to this VM goes to its own inbox.
    pub(crate) fn send(&mut self, to: &Name, message: Message) {
        if *to == self.fleet.local_vm().name {
            self.inbox.push_back(message);
            return;
        }
        self.effects.push(Effect::Send(to.clone(), message));
    }

    /// Sends a message to all other listed VMs.
    pub(crate) fn broadcast(&mut self, message: &Message) {
        let peer_names: Vec<_> = self.fleet.peers().map(|vm| vm.name.clone()).collect();
        for name in peer_names {
            self.effects.push(Effect::Send(name, message.clone()));
        }
    }

    /// Adds an entry to the timeline.
    pub(crate) fn record(
        &mut self,
        request: Option<RequestId>,
        upstream: Option<&UpstreamId>,
        timeline_event: TimelineEvent,
    ) {
        let record = TimelineRecord { request, upstream: upstream.cloned(), timeline_event };
        self.effects.push(Effect::Record(record));
    }

    /// Increments a counter of the metrics.
    pub(crate) fn count(&mut self, event: CountedEvent) {
        self.effects.push(Effect::Count(event));
    }
}
