//! Simulates a fleet of VMs and upstreams in virtual time, without sockets.
//!
//! Each VM is a routing [`State`]. Its effects are simulated with the delays of a network, and result in
//! further events for the same VM or others.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use jujubedoor::ids::Incarnation;
use jujubedoor::ids::StoreRevision;
use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use jujubedoor_routing::Call;
use jujubedoor_routing::Directory;
use jujubedoor_routing::Event;
use jujubedoor_routing::State;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Dispatch;
use jujubedoor_routing::event::ProbeOutcome;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::event::UpstreamLoad;
use jujubedoor_routing::message::Vm;
use jujubedoor_routing::routes::Kind;
use jujubedoor_routing::state::StateOptions;
use jujubedoor_routing::upstream_notices::Notice;
use jujubedoor_routing::upstream_watch::WatchReport;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

mod effects;
mod registry;

pub use crate::samples::call;
pub use crate::samples::registration;
pub use crate::samples::route;
pub use crate::samples::routes;
pub use crate::samples::set_up;

/// Usual one-way delay of messages between VMs, in milliseconds.
const PEER_DELAY_MS: u64 = 1;

/// Delay of requests from a VM to an upstream, in milliseconds.
const UPSTREAM_DELAY_MS: u64 = 2;

/// Age of a connection that shows the run of the upstream behind it, in milliseconds.
const OLD_CONNECTION_MS: u64 = 10_000;

/// Number of failure domains over which the VMs are spread.
const DOMAINS: usize = 3;

/// Interval between ticks of a VM, in milliseconds.
const TICK_INTERVAL_MS: u64 = 50;

/// Address of a registration that gets one when it is published.
pub(crate) const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// A simulated fleet.
pub struct Fleet {
    /// The routing state of each VM, or `None` if the VM is down.
    pub vms: Vec<Option<State>>,
    /// The virtual time, in milliseconds.
    pub now: u64,
    /// The contents of the registry.
    pub directory: Directory,
    /// Determines what an upstream does with a request.
    pub upstream_behavior: BehaviorFn,
    /// Returns the requests a second that an upstream takes at a time, if it names a limit in its responses.
    pub rate_limit: RateLimitFn,
    /// Returns what an upstream says about itself in the responses that it sends at a time.
    pub notice: NoticeFn,
    /// Returns what an upstream reports about its load in the responses that it begins at a time.
    pub load: LoadFn,
    /// Time that upstreams spend on prefill before they begin to respond, in milliseconds.
    pub prefill_ms: u64,
    /// Returns that time for each request, if it differs.
    pub prefill_time: Option<PrefillTimeFn>,
    /// Determines which VMs can connect to which upstreams, in probes.
    pub reachable: ReachableFn,
    /// The requests that reached each upstream: time and call.
    pub arrivals: BTreeMap<Name, Vec<(u64, u64)>>,
    /// Urgency with which each call was sent last, if it was sent with one.
    pub urgencies: HashMap<u64, u8>,
    /// Number of times that each call ran at an upstream.
    pub runs: HashMap<u64, u32>,
    /// How each call finished for its caller, or `None` if it has not finished yet.
    pub replies: HashMap<u64, Option<Reply>>,
    /// Maximum number of concurrent requests that each upstream has had.
    pub peaks: BTreeMap<Name, u32>,
    /// For each dispatched request, whether its upstream was already running more than three requests above
    /// twice the mean of all upstreams.
    pub overloaded_at_arrival: Vec<bool>,
    /// How probes fail to connect to unreachable upstreams.
    pub probe_failure: ProbeOutcome,
    /// Determines between which VMs messages are delivered.
    pub linked: LinkedFn,
    /// One-way delay of heartbeats, in milliseconds.
    pub heartbeat_delay_ms: u64,
    /// Events in the decision log of each VM, and `list_cache` for each engine whose cache it listed.
    pub events: Vec<(usize, &'static str)>,
    /// Number of heartbeats that each VM has sent.
    pub heartbeats: BTreeMap<usize, u32>,
    /// Number of times that a stream was announced to a VM of another failure domain.
    pub remote_announcements: usize,
    /// Number of reports of upstreams' speeds that VMs have sent to each other.
    pub speed_reports: usize,
    /// Number of probe connections that each VM has opened.
    pub probes: BTreeMap<usize, u32>,
    /// Returns whether a VM reaches the registry when it asks for changes.
    pub registry_reachable: RegistryReachableFn,
    /// Number of times that a VM asked the registry for changes.
    pub registry_checks: usize,
    /// Number of times that a VM fetched changes of the directory from another one.
    pub fetches: usize,
    /// Time for which the connections over which streams begin have been open, in milliseconds.
    pub connection_age_ms: u64,
    /// Number of times that VMs began to look for evidence of the run of an upstream.
    pub searches: usize,
    /// Number of connections that were opened to watch upstreams.
    pub watches: usize,
    /// Time after which upstreams close idle connections, if they do, in milliseconds.
    pub idle_timeout_ms: Option<u64>,
    /// Times at which the connections of calls were opened.
    opened_at: HashMap<u64, u64>,
    published: Vec<(StoreRevision, Change)>,
    streams: HashSet<u64>,
    running: BTreeMap<Name, u32>,
    scheduled: BinaryHeap<Reverse<(u64, u64)>>,
    actions: HashMap<u64, Action>,
    last_action: u64,
    rng: SmallRng,
    incarnation: u64,
    tuning: Tuning,
}

/// Determines what an upstream does with a request. The arguments are the upstream, the call and a random
/// number.
pub type BehaviorFn = Box<dyn Fn(&Name, u64, u64) -> Behavior>;

/// Returns the requests a second that an upstream takes at a time, if it names a limit.
pub type RateLimitFn = Box<dyn Fn(&Name, u64) -> Option<f64>>;

/// Returns what an upstream says about itself in the responses that it sends at a time.
pub type NoticeFn = Box<dyn Fn(&Name, u64) -> Notice>;

/// Returns what an upstream reports about its load at a time.
pub type LoadFn = Box<dyn Fn(&Name, u64) -> Option<UpstreamLoad>>;

/// Returns the time that an upstream spends on the prefill for a call that reaches it at a time, in milliseconds.
pub type PrefillTimeFn = Box<dyn Fn(&Name, u64, u64) -> u64>;

/// Returns whether a VM can connect to an upstream.
pub type ReachableFn = Box<dyn Fn(usize, &Name) -> bool>;

/// Returns whether a VM reaches the registry.
pub type RegistryReachableFn = Box<dyn Fn(usize) -> bool>;

/// Returns whether messages from one VM, the first argument, reach another one.
pub type LinkedFn = Box<dyn Fn(usize, usize) -> bool>;

/// What an upstream does with a request.
#[derive(Clone, Copy, Debug)]
pub struct Behavior {
    /// Whether the upstream runs the request.
    pub runs: bool,
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Time from the end of the prefill to the end of the attempt, in milliseconds.
    pub work_ms: u64,
}

enum Action {
    Tick(usize, Incarnation),
    Deliver(usize, Event),
    Arrive(usize, Incarnation, u64, u64, Dispatch),
    Finish(usize, Incarnation, u64, Name, AttemptOutcome),
    /// A stream goes on at an upstream, over a connection that has been open for long enough to show its run.
    Continue(usize, Incarnation, u64, Name),
    /// A connection that watches an upstream is still open.
    ReportWatch(usize, Incarnation, Watch),
}

/// A connection that watches an upstream.
#[derive(Clone, Debug)]
struct Watch {
    upstream: Name,
    /// Start time of the upstream's process, as registered.
    started: u64,
    opened_at: u64,
    /// Time at which the upstream closes it, if it does.
    closes_at: Option<u64>,
    /// Time at which the VM closes it.
    ends_at: u64,
    report_ms: u64,
    /// Time until which the VM counts it as open.
    trusted_until: u64,
}

impl Watch {
    fn event(&self, report: WatchReport) -> Event {
        Event::UpstreamWatched { upstream: self.upstream.clone(), started: self.started, report }
    }
}

impl Fleet {
    /// Starts a number of VMs, the first two of which are the seeds.
    pub fn new(vms: usize, tuning: Tuning, seed: u64) -> Self {
        let mut fleet = Self {
            vms: Vec::new(),
            now: 1_000,
            directory: Directory::default(),
            upstream_behavior: Box::new(|_, _, _| Behavior {
                runs: true,
                outcome: AttemptOutcome::Complete,
                work_ms: 30,
            }),
            rate_limit: Box::new(|_, _| None),
            notice: Box::new(|_, _| Notice::default()),
            load: Box::new(|_, _| None),
            prefill_ms: 0,
            prefill_time: None,
            reachable: Box::new(|_, _| true),
            arrivals: BTreeMap::new(),
            urgencies: HashMap::new(),
            runs: HashMap::new(),
            replies: HashMap::new(),
            peaks: BTreeMap::new(),
            overloaded_at_arrival: Vec::new(),
            probe_failure: ProbeOutcome::Unreachable,
            linked: Box::new(|_, _| true),
            heartbeat_delay_ms: PEER_DELAY_MS,
            events: Vec::new(),
            heartbeats: BTreeMap::new(),
            remote_announcements: 0,
            speed_reports: 0,
            probes: BTreeMap::new(),
            registry_reachable: Box::new(|_| true),
            registry_checks: 0,
            fetches: 0,
            connection_age_ms: OLD_CONNECTION_MS,
            searches: 0,
            watches: 0,
            idle_timeout_ms: None,
            opened_at: HashMap::new(),
            published: Vec::new(),
            streams: HashSet::new(),
            running: BTreeMap::new(),
            scheduled: BinaryHeap::new(),
            actions: HashMap::new(),
            last_action: 0,
            rng: SmallRng::seed_from_u64(seed),
            incarnation: 0,
            tuning,
        };
        for vm in 0..vms {
            fleet.vms.push(None);
            fleet.start(vm);
        }
        fleet
    }

    /// Starts a VM with an empty state. If it was running, it is restarted and loses its state.
    pub fn start(&mut self, vm: usize) {
        self.incarnation += 1;
        let incarnation = Incarnation(self.incarnation);
        let domain = Name::from(format!("domain-{}", vm % DOMAINS));
        let name = Name::from(format!("vm-{vm}"));
        let local_vm =
            Vm { name, incarnation, address: address(vm), domain: domain.clone(), cpu_percent: 100 };
        let seed = self.rng.random();
        let options = StateOptions {
            local_vm,
            domain,
            seeds: vec![address(0), address(1)],
            tuning: self.tuning,
            first_start: false,
            seed,
        };
        self.vms[vm] = Some(State::new(options));
        let first_tick_ms = self.rng.random_range(0..TICK_INTERVAL_MS);
        self.schedule(first_tick_ms, Action::Tick(vm, incarnation));
    }

    /// Stops a VM without a shutdown.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm] = None;
    }

    /// Sends a call to a VM, unless the VM is down.
    pub fn call(&mut self, vm: usize, id: u64, call: Call) {
        if self.vms[vm].is_some() {
            if call.route.kind == Kind::Streaming {
                self.streams.insert(id);
            }
            self.replies.insert(id, None);
            self.send_event(vm, Event::RequestArrived(id, Box::new(call)));
        }
    }

    /// Passes an event to a VM and carries out the resulting effects. Does nothing if the VM is down.
    pub fn send_event(&mut self, vm: usize, event: Event) {
        let now = Time(self.now);
        let Some(state) = &mut self.vms[vm] else { return };
        let effects = jujubedoor_routing::reduce(state, now, event);
        for effect in effects {
            self.apply_effect(vm, effect);
        }
    }

    /// Crashes an upstream: the connections of all requests that it is serving are lost.
    pub fn crash_upstream(&mut self, upstream: &Name) {
        let is_lost = |action: &Action| matches!(action, Action::Finish(_, _, _, at, _) if at == upstream);
        let lost: Vec<u64> = self.actions.iter().filter(|(_, a)| is_lost(a)).map(|(id, _)| *id).collect();
        for id in lost {
            if let Some(Action::Finish(vm, incarnation, request, upstream, _)) = self.actions.remove(&id) {
                let open_ms = self.opened_at.get(&request).map_or(0, |at| self.now.saturating_sub(*at));
                if open_ms >= self.registration_delay_ms() && self.incarnation_of(vm) == incarnation {
                    self.send_event(vm, Event::StreamContinued { request, open_ms, quiet_ms: 0 });
                }
                let outcome = AttemptOutcome::ConnectionLost;
                self.schedule(1, Action::Finish(vm, incarnation, request, upstream, outcome));
            }
        }
        self.close_idle_connections(upstream);
    }

    /// Closes the connections to an upstream that serve no requests, as an upstream does that ends while it serves none.
    pub fn close_idle_connections(&mut self, upstream: &Name) {
        let is_watch =
            |action: &Action| matches!(action, Action::ReportWatch(_, _, w) if w.upstream == *upstream);
        let closed: Vec<u64> = self.actions.iter().filter(|(_, a)| is_watch(a)).map(|(id, _)| *id).collect();
        for id in closed {
            if let Some(Action::ReportWatch(vm, incarnation, watch)) = self.actions.remove(&id)
                && self.incarnation_of(vm) == incarnation
            {
                let (opened_at, open_at) = (Time(watch.opened_at), Time(self.now));
                let event = watch.event(WatchReport::Closed { opened_at, open_at });
                self.schedule(1, Action::Deliver(vm, event));
            }
        }
    }

    /// Advances the virtual time by a number of milliseconds and runs everything scheduled until then.
    pub fn run(&mut self, duration_ms: u64) {
        let until = self.now + duration_ms;
        while let Some(Reverse((at, id))) = self.scheduled.peek().copied() {
            if at > until {
                break;
            }
            self.scheduled.pop();
            self.now = at;
            if let Some(action) = self.actions.remove(&id) {
                self.perform(action);
            }
        }
        self.now = until;
    }

    /// Returns the maximum number of requests that reached an upstream within any period of one second.
    pub fn max_arrivals_per_second(&self, upstream: &str) -> usize {
        let Some(arrivals) = self.arrivals.get(upstream) else { return 0 };
        let mut times: Vec<u64> = arrivals.iter().map(|(at, _)| *at).collect();
        times.sort_unstable();
        let in_second = |first: &u64| times.iter().filter(|t| **t >= *first && **t < first + 1_000).count();
        times.iter().map(in_second).max().unwrap_or_default()
    }

    /// Returns the time for which a connection has to be open to show the run behind it, in milliseconds.
    fn registration_delay_ms(&self) -> u64 {
        u64::from(self.tuning.registration_delay_ms)
    }

    /// Returns the upstreams that a call reached, in order of time.
    pub fn path_of(&self, id: u64) -> Vec<Name> {
        let mut path: Vec<(u64, Name)> = Vec::new();
        for (upstream, arrivals) in &self.arrivals {
            path.extend(
                arrivals.iter().filter(|(_, call)| *call == id).map(|(at, _)| (*at, upstream.clone())),
            );
        }
        path.sort();
        path.into_iter().map(|(_, upstream)| upstream).collect()
    }

    fn schedule(&mut self, delay_ms: u64, action: Action) {
        self.last_action += 1;
        self.scheduled.push(Reverse((self.now + delay_ms, self.last_action)));
        self.actions.insert(self.last_action, action);
    }

    fn incarnation_of(&self, vm: usize) -> Incarnation {
        self.vms[vm].as_ref().map(|s| s.peers.local_vm.incarnation).unwrap_or_default()
    }

    fn vm_at(&self, to: SocketAddr) -> Option<usize> {
        let SocketAddr::V4(to) = to else { return None };
        let [10, 0, high, low] = to.ip().octets() else { return None };
        let vm = usize::from(u16::from_be_bytes([high, low]));
        self.vms.get(vm)?.is_some().then_some(vm)
    }
}

fn address(vm: usize) -> SocketAddr {
    let [high, low] = u16::try_from(vm).expect("at most 65,536 VMs").to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}
