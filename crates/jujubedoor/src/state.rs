//! The state of one VM.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use jujubedoor_config::Name;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::admission::Admissions;
use crate::catalog::Catalog;
use crate::crash_suspects::CrashSuspects;
use crate::documents::Documents;
use crate::entry::ActiveRequests;
use crate::event::Count;
use crate::event::Effect;
use crate::event::Record;
use crate::event::What;
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
    pub entry: ActiveRequests,
    /// The upstreams that this VM owns, and the loads of the pools.
    pub admissions: Admissions,
    /// The tickets that this VM issued.
    pub executor: Executor,
    /// What was compared with other VMs.
    pub gossip: Gossip,
    /// The suspected requests.
    pub suspects: CrashSuspects,
    /// The source of jitter.
    pub rng: SmallRng,
    /// The time of the event that is being reduced.
    pub now: Time,
    pub(crate) effects: Vec<Effect>,
    pub(crate) inbox: VecDeque<Message>,
}

/// How a VM starts.
#[derive(Clone, Debug, Default)]
pub struct Start {
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
    pub fn new(start: Start) -> Self {
        let Start { me, region, secret, seed, tuning } = start;
        Self {
            region,
            fleet: Fleet::new(me),
            documents: Documents::default(),
            catalog: Catalog::default(),
            entry: ActiveRequests::new(&tuning),
            admissions: Admissions::default(),
            executor: Executor::new(TicketKey::new(&secret)),
            gossip: Gossip::default(),
            suspects: CrashSuspects::new(tuning.max_crash_suspects, tuning.crash_suspect_retention_ms),
            rng: SmallRng::seed_from_u64(seed),
            now: Time(0),
            effects: Vec::new(),
            inbox: VecDeque::new(),
            tuning,
        }
    }

    /// Tells whether the balancer should send callers to this VM.
    pub fn is_ready(&self) -> bool {
        self.serves() && !self.fleet.is_leaving()
    }

    /// Tells whether the VM can serve callers: it has a document that others confirmed, and a fresh view.
    pub fn serves(&self) -> bool {
        let configured = self.documents.in_force().next().is_some();
        configured && self.is_fresh() && self.gossip.has_compared(&self.fleet, self.now)
    }

    /// Tells whether the view of the fleet was confirmed lately.
    pub fn is_fresh(&self) -> bool {
        self.fleet.is_fresh(self.now, &self.tuning)
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
    pub fn held(&self) -> BTreeMap<UpstreamId, u32> {
        self.entry.calls_by_upstream()
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
        let others: Vec<_> = self.fleet.others().map(|vm| vm.name.clone()).collect();
        for name in others {
            self.effects.push(Effect::Send(name, message.clone()));
        }
    }

    /// Adds an entry to the time line.
    pub(crate) fn record(&mut self, request: Option<RequestId>, upstream: Option<&UpstreamId>, what: What) {
        let record = Record { request, upstream: upstream.cloned(), what };
        self.effects.push(Effect::Record(record));
    }

    /// Counts something for the metrics.
    pub(crate) fn count(&mut self, count: Count) {
        self.effects.push(Effect::Count(count));
    }
}
