//! Replays the load of several failure domains in virtual time, without sockets.
//!
//! In contrast to [`router`](crate::router), upstreams have slots, a queue and prompt caches, messages between
//! domains take longer than within one, and callers arrive at random at a rate for each domain.

// Counts of requests and virtual times are far below the limit up to which floating-point numbers are exact.
#![allow(clippy::cast_precision_loss)]

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use jujubedoor::ids::Fingerprint;
use jujubedoor::ids::Incarnation;
use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use jujubedoor_routing::Call;
use jujubedoor_routing::Directory;
use jujubedoor_routing::Effect;
use jujubedoor_routing::Event;
use jujubedoor_routing::State;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::call::Part;
use jujubedoor_routing::call::StreamRef;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::directory::Registration;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Dispatch;
use jujubedoor_routing::event::ProbeOutcome;
use jujubedoor_routing::event::ResponseSignals;
use jujubedoor_routing::message::Heartbeat;
use jujubedoor_routing::message::Vm;
use jujubedoor_routing::routes::Routes;
use jujubedoor_routing::routes::Service;
use jujubedoor_routing::state::StateOptions;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

mod loads;
mod upstreams;

pub use loads::Served;
pub use loads::Source;
pub use loads::Summary;

use upstreams::Job;
use upstreams::Upstream;

/// One-way delay within a failure domain, in microseconds.
const LOCAL_DELAY_US: u64 = 100;

/// Time after which a connection to an unreachable domain fails, in microseconds.
const CONNECT_TIMEOUT_US: u64 = 400_000;

/// Interval between ticks of a VM, in microseconds.
const TICK_US: u64 = 50_000;

/// Rate of requests, the rate at which engines prefill, and the times of all upstreams.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Number of VMs, spread over the domains.
    pub vms: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Number of engines, spread over the domains.
    pub engines: usize,
    /// Slots of an engine.
    pub engine_slots: u32,
    /// Prompt tokens that an engine prefills per millisecond.
    pub tokens_per_ms: u64,
    /// Slots of the plain upstreams, of which each domain has one.
    pub plain_slots: u32,
    /// Range of the working time of a plain upstream, in microseconds.
    pub plain_work_us: (u64, u64),
    /// One-way delay between failure domains, in microseconds.
    pub remote_delay_us: u64,
    /// Time that VMs measure in addition to each round trip because they are busy, in microseconds.
    pub busy_us: u64,
    /// Additional delay of heartbeats, in microseconds.
    pub heartbeat_delay_us: u64,
}

impl Default for Site {
    fn default() -> Self {
        Self {
            vms: 24,
            domains: 3,
            engines: 18,
            engine_slots: 24,
            tokens_per_ms: 92,
            plain_slots: 6,
            plain_work_us: (15_000, 30_000),
            remote_delay_us: 1_400,
            busy_us: 0,
            heartbeat_delay_us: 0,
        }
    }
}

/// A replay of a load on a fleet.
pub struct Replay {
    /// The virtual time, in microseconds.
    pub now_us: u64,
    /// The routing states of the VMs.
    pub vms: Vec<State>,
    /// The requests that were served.
    pub served: Vec<Served>,
    /// Requests that were not served: time of arrival in milliseconds and domain of the VM.
    pub unserved: Vec<(u64, usize)>,
    /// Hash of all dispatches: their requests and upstreams, in order.
    pub digest: u64,
    /// Number of dispatches to engines, and of those to engines that ran more than three requests above twice the mean.
    pub engine_dispatches: (usize, usize),
    /// Times at which requests were sent to each engine, in milliseconds.
    pub sent_at_ms: BTreeMap<Name, Vec<u64>>,
    /// Inputs of the latest decisions in the log.
    pub decisions: Vec<(&'static str, Vec<(&'static str, String)>)>,
    /// Returns whether two domains are connected.
    pub linked: LinkedFn,
    site: Site,
    upstreams: BTreeMap<Name, Upstream>,
    sources: Vec<Source>,
    directory: Directory,
    requests: HashMap<u64, Request>,
    scheduled: BinaryHeap<Reverse<(u64, u64)>>,
    actions: HashMap<u64, Action>,
    last_action: u64,
    last_request: u64,
    /// VMs and upstreams between which a connection was opened.
    connected: HashSet<(usize, Name)>,
    rng: SmallRng,
}

/// Returns whether two domains are connected.
pub type LinkedFn = Box<dyn Fn(usize, usize) -> bool>;

struct Request {
    call: Call,
    arrived_us: u64,
    vm: usize,
    response_tokens: u64,
    upstream_domain: usize,
    prefilled: u32,
    transferred: u32,
    transferred_far: u32,
    started_us: Option<u64>,
}

enum Action {
    Tick(usize),
    Deliver(usize, Event),
    Heartbeat(usize, Arc<Heartbeat>),
    Next(usize, usize),
    Arrive(Name, Job),
    Finish(Name, u64, Job),
    Started(usize, u64),
    Ended(usize, u64, AttemptOutcome),
}

impl Replay {
    /// Starts the VMs and upstreams of a site.
    pub fn new(site: Site, tuning: Tuning, seed: u64) -> Self {
        let mut replay = Self {
            now_us: 1_000_000,
            vms: Vec::new(),
            served: Vec::new(),
            unserved: Vec::new(),
            digest: 0xcbf2_9ce4_8422_2325,
            engine_dispatches: (0, 0),
            sent_at_ms: BTreeMap::new(),
            decisions: Vec::new(),
            linked: Box::new(|_, _| true),
            site,
            upstreams: BTreeMap::new(),
            sources: Vec::new(),
            directory: Directory::default(),
            requests: HashMap::new(),
            scheduled: BinaryHeap::new(),
            actions: HashMap::new(),
            last_action: 0,
            last_request: 0,
            connected: HashSet::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        for vm in 0..site.vms {
            let state = replay.new_state(vm, &tuning);
            replay.vms.push(state);
            let first_us = replay.rng.random_range(0..TICK_US);
            replay.schedule(first_us, Action::Tick(vm));
        }
        replay.register_all();
        replay
    }

    fn new_state(&mut self, vm: usize, tuning: &Tuning) -> State {
        let domain = domain_name(vm % self.site.domains);
        let local_vm = Vm {
            name: Name::from(format!("vm-{vm}")),
            incarnation: Incarnation(vm as u64 + 1),
            address: address(vm),
            domain: domain.clone(),
            cpu_percent: 50,
        };
        let seeds = vec![address(0), address(1), address(2)];
        let seed = self.rng.random();
        State::new(StateOptions { local_vm, domain, seeds, tuning: *tuning, first_start: true, seed })
    }

    fn register_all(&mut self) {
        let llm = Service { cold_start_ms: 3_000, cold_per_s: 12.0, connections: 4_000, engine: true };
        let desk = Service { connections: 4_000, ..Service::default() };
        let services = [(Name::from("llm"), llm), (Name::from("desk"), desk)];
        let routes = Routes { version: 1, services: services.into_iter().collect(), ..Routes::default() };
        self.publish(&Change::Routes(Arc::new(routes)));
        for number in 0..self.site.engines {
            self.register("llm", number, self.site.engine_slots);
        }
        for number in 0..self.site.domains {
            self.register("desk", number, self.site.plain_slots);
        }
    }

    fn register(&mut self, service: &str, number: usize, slots: u32) {
        let domain = number % self.site.domains;
        let id = Name::from(format!("{service}-{number}"));
        let port = if service == "llm" { 8_000 } else { 9_000 } + u16::try_from(number).expect("few");
        let registration = Registration {
            address: SocketAddr::from(([11, 0, 0, 1], port)),
            slots,
            ..crate::samples::registration(service, domain)
        };
        let upstream = Upstream {
            domain,
            registration: registration.clone(),
            is_engine: service == "llm",
            is_up: true,
            failing: 0.0,
            run: 0,
            running: 0,
            waiting: VecDeque::new(),
            prefilled_until_us: 0,
            cached: HashSet::new(),
        };
        self.upstreams.insert(id.clone(), upstream);
        self.publish(&Change::Registered(id, registration));
    }

    /// Publishes a change to all VMs.
    pub fn publish(&mut self, change: &Change) {
        let revision = self.directory.revision.with_number(self.directory.revision.number + 1);
        self.directory.apply(revision, change.clone());
        for vm in 0..self.vms.len() {
            self.submit(vm, Event::ChangesPublished(revision, vec![(revision, change.clone())]));
        }
    }

    /// Replaces the load.
    pub fn set_load(&mut self, sources: &[Source]) {
        // Arrivals of the earlier load that are scheduled find that their numbers do not exist any more.
        let earlier = self.sources.len();
        for source in &mut self.sources {
            source.per_s.fill(0.0);
        }
        self.sources.extend(sources.iter().cloned());
        for number in earlier..self.sources.len() {
            for domain in 0..self.site.domains {
                self.schedule_next(number, domain);
            }
        }
    }

    fn schedule_next(&mut self, number: usize, domain: usize) {
        let per_s = self.sources[number].per_s[domain];
        if per_s <= 0.0 {
            return;
        }
        let uniform: f64 = self.rng.random();
        let seconds = -(1.0 - uniform).ln() / per_s;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let delay_us = (seconds * 1e6) as u64;
        self.schedule(delay_us, Action::Next(number, domain));
    }

    /// Advances the virtual time by a number of milliseconds.
    pub fn run(&mut self, duration_ms: u64) {
        let until = self.now_us + duration_ms * 1_000;
        while let Some(Reverse((at, id))) = self.scheduled.peek().copied() {
            if at > until {
                break;
            }
            self.scheduled.pop();
            self.now_us = at;
            if let Some(action) = self.actions.remove(&id) {
                self.perform(action);
            }
        }
        self.now_us = until;
    }

    fn schedule(&mut self, delay_us: u64, action: Action) {
        self.last_action += 1;
        self.scheduled.push(Reverse((self.now_us + delay_us, self.last_action)));
        self.actions.insert(self.last_action, action);
    }

    fn submit(&mut self, vm: usize, event: Event) {
        let now = Time(self.now_us / 1_000);
        let effects = jujubedoor_routing::reduce(&mut self.vms[vm], now, event);
        for effect in effects {
            self.apply(vm, effect);
        }
    }

    fn apply(&mut self, vm: usize, effect: Effect) {
        match effect {
            Effect::Dispatch(request, dispatch) => self.dispatch(vm, request, &dispatch),
            Effect::Reply(request, _) => {
                if let Some(request) = self.requests.remove(&request) {
                    self.unserved.push((request.arrived_us / 1_000, vm % self.site.domains));
                }
                self.submit(vm, Event::RequestClosed(request));
            }
            Effect::Probe(id, _) => {
                let Some(domain) = self.upstreams.get(&id).map(|u| u.domain) else { return };
                let is_up = self.upstreams.get(&id).is_some_and(|u| u.is_up);
                let is_linked = (self.linked)(vm % self.site.domains, domain);
                let (delay_us, outcome) = match (is_linked, is_up) {
                    (true, true) => (2 * self.delay_us(vm, domain), ProbeOutcome::Opened),
                    (true, false) => (2 * self.delay_us(vm, domain), ProbeOutcome::Refused),
                    (false, _) => (CONNECT_TIMEOUT_US, ProbeOutcome::Unreachable),
                };
                self.schedule(delay_us, Action::Deliver(vm, Event::ProbeCompleted(id, outcome)));
            }
            Effect::Heartbeat(to, heartbeat) => {
                let to = usize::from(to.port() - 7_000);
                if (self.linked)(vm % self.site.domains, to % self.site.domains) {
                    let delay_us = self.delay_us(vm, to % self.site.domains) + self.site.heartbeat_delay_us;
                    self.schedule(delay_us, Action::Heartbeat(to, heartbeat));
                }
            }
            Effect::Decision(decision) if !decision.inputs.is_empty() => {
                self.decisions.push((decision.event, decision.inputs));
            }
            _ => {}
        }
    }

    fn dispatch(&mut self, vm: usize, request: u64, dispatch: &Dispatch) {
        for byte in request.to_le_bytes().iter().chain(dispatch.upstream.as_bytes()) {
            self.digest = (self.digest ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
        }
        let Some(upstream) = self.upstreams.get(&dispatch.upstream) else { return };
        let (domain, is_up) = (upstream.domain, upstream.is_up);
        if upstream.is_engine {
            let running = f64::from(upstream.running);
            let engines = self.upstreams.values().filter(|u| u.is_engine);
            let total: u32 = engines.map(|u| u.running).sum();
            let mean = f64::from(total) / self.site.engines as f64;
            self.sent_at_ms.entry(dispatch.upstream.clone()).or_default().push(self.now_us / 1_000);
            self.engine_dispatches.0 += 1;
            self.engine_dispatches.1 += usize::from(running > 2.0 * mean + 3.0);
        }
        if let Some(request) = self.requests.get_mut(&request) {
            request.upstream_domain = domain;
        }
        let delay_us = self.delay_us(vm, domain);
        if !(self.linked)(vm % self.site.domains, domain) {
            self.schedule(CONNECT_TIMEOUT_US, Action::Ended(vm, request, AttemptOutcome::Unreachable));
        } else if is_up {
            // Idle connections close, so that new ones are opened from time to time.
            if self.connected.insert((vm, dispatch.upstream.clone())) || request.is_multiple_of(8) {
                // A VM measures at least the round trip, and more while it is busy.
                let jitter_us = request % 7 * 40;
                let measured_us = 2 * delay_us + jitter_us + self.site.busy_us;
                let opened = Event::ConnectionOpened(dispatch.upstream.clone(), measured_us);
                self.schedule(2 * delay_us, Action::Deliver(vm, opened));
            }
            let job = Job { vm, request, cache_from: dispatch.cache_from };
            self.schedule(delay_us, Action::Arrive(dispatch.upstream.clone(), job));
        } else {
            self.schedule(2 * delay_us, Action::Ended(vm, request, AttemptOutcome::Refused));
        }
    }

    fn delay_us(&self, vm: usize, domain: usize) -> u64 {
        if vm % self.site.domains == domain { LOCAL_DELAY_US } else { self.site.remote_delay_us }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Tick(vm) => {
                self.submit(vm, Event::Tick);
                self.schedule(TICK_US, Action::Tick(vm));
            }
            Action::Deliver(vm, event) => self.submit(vm, event),
            Action::Heartbeat(vm, heartbeat) => {
                self.submit(vm, Event::HeartbeatReceived(Box::new((*heartbeat).clone())));
            }
            Action::Next(number, domain) => {
                self.arrive_from(number, domain);
                self.schedule_next(number, domain);
            }
            Action::Arrive(id, job) => {
                let Some(upstream) = self.upstreams.get_mut(&id) else { return };
                if !upstream.is_up {
                    self.schedule(0, Action::Ended(job.vm, job.request, AttemptOutcome::ConnectionLost));
                } else if upstream.running < upstream.registration.slots {
                    self.begin(&id, job);
                } else {
                    upstream.waiting.push_back(job);
                }
            }
            Action::Finish(id, run, job) => self.finish(&id, run, &job),
            Action::Started(vm, request) => {
                let now_us = self.now_us;
                let Some(active) = self.requests.get_mut(&request) else { return };
                active.started_us.get_or_insert(now_us);
                self.submit(vm, Event::ResponseStarted(request, ResponseSignals::default()));
            }
            Action::Ended(vm, request, outcome) => self.end(vm, request, outcome),
        }
    }

    fn arrive_from(&mut self, number: usize, domain: usize) {
        let Source { route, subjects, shared_tokens, own_tokens, response_tokens, .. } =
            self.sources[number].clone();
        let of_domain = self.site.vms / self.site.domains;
        let vm = self.rng.random_range(0..of_domain) * self.site.domains + domain;
        self.last_request += 1;
        let request = self.last_request;
        let subject = self.rng.random_range(0..subjects.max(1));
        let shared = Part { key: (number as u64 + 1) << 32 | subject, tokens: shared_tokens };
        let own = Part { key: 1 << 60 | request, tokens: own_tokens };
        let call = Call {
            route: route.clone(),
            workspace: None,
            priority: route.priority,
            parts: if shared_tokens > 0 { vec![shared, own] } else { Vec::new() },
            stream: StreamRef::default(),
            deadline: Time(self.now_us / 1_000 + route.timeout_ms),
            fingerprint: Fingerprint(request),
        };
        let active = Request {
            call: call.clone(),
            arrived_us: self.now_us,
            vm,
            response_tokens,
            upstream_domain: domain,
            prefilled: 0,
            transferred: 0,
            transferred_far: 0,
            started_us: None,
        };
        self.requests.insert(request, active);
        self.submit(vm, Event::RequestArrived(request, Box::new(call)));
    }

    fn end(&mut self, vm: usize, request: u64, outcome: AttemptOutcome) {
        if outcome == AttemptOutcome::Complete
            && let Some(done) = self.requests.remove(&request)
        {
            let started_us = done.started_us.unwrap_or(self.now_us);
            self.served.push(Served {
                route: done.call.route.name.clone(),
                arrived_ms: done.arrived_us / 1_000,
                vm_domain: done.vm % self.site.domains,
                upstream_domain: done.upstream_domain,
                start_ms: (started_us - done.arrived_us) as f64 / 1e3,
                prefilled: done.prefilled,
                transferred: done.transferred,
                transferred_far: done.transferred_far,
            });
        }
        self.submit(vm, Event::AttemptEnded(request, outcome));
        if outcome == AttemptOutcome::Complete {
            self.submit(vm, Event::RequestClosed(request));
        }
    }
}

fn domain_name(domain: usize) -> Name {
    Name::from(format!("domain-{domain}"))
}

fn address(vm: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + u16::try_from(vm).expect("few VMs")))
}
