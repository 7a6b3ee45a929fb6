//! The state of one VM.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use jujubedoor_config::Name;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::admission::Admissions;
use crate::catalog::Catalog;
use crate::documents::Documents;
use crate::entry::Entry;
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
use crate::suspects::Suspects;
use crate::ticket::TicketKey;
use crate::tuning::Tuning;

/// Everything that one VM knows.
pub struct State {
    /// The periods and limits.
    pub tuning: Tuning,
    /// The region of this VM.
    pub region: Name,
    /// The view of the fleet.
    pub fleet: Fleet,
    /// The documents in force.
    pub documents: Documents,
    /// The catalogue of the documents in force.
    pub catalog: Catalog,
    /// The requests that this VM carries.
    pub entry: Entry,
    /// The upstreams that this VM owns, and the loads of the pools.
    pub admissions: Admissions,
    /// The tickets that this VM issued.
    pub executor: Executor,
    /// What was compared with other VMs.
    pub gossip: Gossip,
    /// The suspected requests.
    pub suspects: Suspects,
    /// The source of jitter.
    pub rng: SmallRng,
    /// The time of the event that is being reduced.
    pub now: Time,
    pub(crate) effects: Vec<Effect>,
    pub(crate) inbox: VecDeque<Message>,
}

/// How a VM starts.
#[derive(Clone, Debug, Default)]
pub struct StartOptions {
    /// This run of the daemon.
    pub me: VmRef,
    /// The region of this VM.
    pub region: Name,
    /// The fleet's secret.
    pub secret: String,
    /// The seed of the jitter.
    pub seed: u64,
    /// The periods and limits.
    pub tuning: Tuning,
}

impl State {
    /// Creates the state of a VM that just started.
    pub fn new(start: StartOptions) -> Self {
        let StartOptions { me, region, secret, seed, tuning } = start;
        Self {
            region,
            fleet: Fleet::new(me),
            documents: Documents::default(),
            catalog: Catalog::default(),
            entry: Entry::new(&tuning),
            admissions: Admissions::default(),
            executor: Executor::new(TicketKey::new(&secret)),
            gossip: Gossip::default(),
            suspects: Suspects::new(tuning.suspects, tuning.suspect_ms),
            rng: SmallRng::seed_from_u64(seed),
            now: Time(0),
            effects: Vec::new(),
            inbox: VecDeque::new(),
            tuning,
        }
    }

    /// Tells whether the balancer should send callers to this VM.
    pub fn is_ready(&self) -> bool {
        self.can_serve() && !self.fleet.is_leaving()
    }

    /// Tells whether the VM can serve callers: it has a document that others confirmed, and a fresh view.
    pub fn can_serve(&self) -> bool {
        let configured = self.documents.active().next().is_some();
        configured && self.is_view_confirmed() && self.gossip.has_synced_with_peers(&self.fleet, self.now)
    }

    /// Tells whether the view of the fleet was confirmed lately.
    pub fn is_view_confirmed(&self) -> bool {
        self.fleet.is_view_confirmed(self.now, &self.tuning)
    }

    /// Tells whether the view of the fleet will go stale soon unless the platform confirms it.
    pub fn needs_confirmation(&self) -> bool {
        self.fleet.needs_confirmation(self.now, &self.tuning)
    }

    /// Tells whether the VM carries no request and runs no ticket's call.
    pub fn is_idle(&self) -> bool {
        self.entry.is_empty() && self.executor.is_idle()
    }

    /// Returns the number of requests that this VM holds a permit for, for each upstream.
    pub fn requests_per_upstream(&self) -> BTreeMap<UpstreamId, u32> {
        self.entry.held()
    }

    /// Sends a message to a VM, which may be this one.
    pub(crate) fn send(&mut self, to: &Name, message: Message) {
        if *to == self.fleet.me().name {
            self.inbox.push_back(message);
            return;
        }
        self.effects.push(Effect::Send(to.clone(), message));
    }

    /// Sends a message to all other listed VMs.
    pub(crate) fn broadcast(&mut self, message: &Message) {
        let others: Vec<_> = self.fleet.peers().map(|vm| vm.name.clone()).collect();
        for name in others {
            self.effects.push(Effect::Send(name, message.clone()));
        }
    }

    /// Adds an entry to the time line.
    pub(crate) fn record(
        &mut self,
        request: Option<RequestId>,
        upstream: Option<&UpstreamId>,
        timeline_event: TimelineEvent,
    ) {
        let record = TimelineRecord { request, upstream: upstream.cloned(), timeline_event };
        self.effects.push(Effect::Record(record));
    }

    /// Counts something for the metrics.
    pub(crate) fn count(&mut self, count: CountedEvent) {
        self.effects.push(Effect::Count(count));
    }
}
