//! A fleet of routing states with upstreams, in virtual time and without sockets.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
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
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::directory::Registration;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Dispatch;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::event::ResponseSignals;
use jujubedoor_routing::peers::Vm;
use jujubedoor_routing::routes::Kind;
use jujubedoor_routing::routes::Route;
use jujubedoor_routing::routes::Routes;
use jujubedoor_routing::routes::Service;
use jujubedoor_routing::state::StateOptions;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// How long a message between two VMs is under way, in milliseconds.
const PEER_MS: u64 = 1;

/// How long a request is under way to an upstream, in milliseconds.
const HOP_MS: u64 = 2;

/// The period of ticks, in milliseconds.
const TICK_MS: u64 = 50;

/// A fleet in virtual time.
pub struct Fleet {
    /// The VMs; one that is down has no state.
    pub vms: Vec<Option<State>>,
    /// The time, in milliseconds.
    pub now: u64,
    /// What the registry holds.
    pub directory: Directory,
    /// What upstreams do with a request; the arguments are the upstream, the call and a random number.
    pub behave: Behave,
    /// How long an upstream reads a prompt before it begins to answer, in milliseconds.
    pub reads_ms: u64,
    /// Tells whether a connection from a VM to an upstream opens.
    pub reachable: Reachable,
    /// When requests reached each upstream, with the call.
    pub arrivals: BTreeMap<Name, Vec<(u64, u64)>>,
    /// How often each call ran.
    pub runs: HashMap<u64, u32>,
    /// How each call ended for its caller.
    pub replies: HashMap<u64, Option<Reply>>,
    /// The most requests that each upstream had at once.
    pub peaks: BTreeMap<Name, u32>,
    /// For each request that reached an upstream, whether that held over twice the mean of all and three.
    pub crowded: Vec<bool>,
    /// Tells whether a datagram from one VM to another arrives.
    pub linked: Linked,
    /// The events that the reducers noted.
    pub notes: Vec<(usize, &'static str)>,
    running: BTreeMap<Name, u32>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    actions: HashMap<u64, Action>,
    next: u64,
    rng: SmallRng,
    incarnation: u64,
    tuning: Tuning,
}

/// Decides what an upstream does with a request.
pub type Behave = Box<dyn Fn(&Name, u64, u64) -> Behaviour>;

/// Decides whether a connection from a VM to an upstream opens.
pub type Reachable = Box<dyn Fn(usize, &Name) -> bool>;

/// Decides whether a datagram arrives.
pub type Linked = Box<dyn Fn(usize, usize) -> bool>;

/// What an upstream does with a request.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Tells whether it runs the request.
    pub runs: bool,
    /// How the attempt ends.
    pub ended: AttemptOutcome,
    /// How long it works on it, in milliseconds.
    pub work_ms: u64,
}

enum Action {
    Tick(usize, Incarnation),
    Deliver(usize, Event),
    Arrive(usize, Incarnation, u64, u64, Dispatch),
    Finish(usize, Incarnation, u64, Name, AttemptOutcome),
}

impl Fleet {
    /// Starts VMs that know the first of them as their seed.
    pub fn new(vms: usize, tuning: Tuning, seed: u64) -> Self {
        let mut fleet = Self {
            vms: Vec::new(),
            now: 1_000,
            directory: Directory::default(),
            behave: Box::new(|_, _, _| Behaviour {
                runs: true,
                ended: AttemptOutcome::Complete,
                work_ms: 30,
            }),
            reads_ms: 0,
            reachable: Box::new(|_, _| true),
            arrivals: BTreeMap::new(),
            runs: HashMap::new(),
            replies: HashMap::new(),
            peaks: BTreeMap::new(),
            crowded: Vec::new(),
            linked: Box::new(|_, _| true),
            notes: Vec::new(),
            running: BTreeMap::new(),
            queue: BinaryHeap::new(),
            actions: HashMap::new(),
            next: 0,
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

    /// Starts a VM that knows nothing; one that ran is lost with all that it knew.
    pub fn start(&mut self, vm: usize) {
        self.incarnation += 1;
        let incarnation = Incarnation(self.incarnation);
        let domain = Name::from(format!("domain-{}", vm % 3));
        let name = Name::from(format!("vm-{vm}"));
        let local_vm = Vm { name, incarnation, address: address(vm), domain: domain.clone() };
        let seed = self.rng.random();
        let start = StateOptions {
            local_vm,
            domain,
            seeds: vec![address(0), address(1)],
            tuning: self.tuning,
            first_start: false,
            seed,
        };
        self.vms[vm] = Some(State::new(start));
        let first = self.rng.random_range(0..TICK_MS);
        self.at(first, Action::Tick(vm, incarnation));
    }

    /// Ends a VM without notice.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm] = None;
    }

    /// Puts an entry into the registry and tells it to some VMs.
    pub fn publish(&mut self, change: &Change, to: &[usize]) {
        let revision = self.directory.revision + 1;
        self.directory.apply(revision, change.clone());
        for vm in to {
            self.event(*vm, Event::ChangesPublished(revision, vec![(revision, change.clone())]));
        }
    }

    /// Gives all that the registry holds to some VMs.
    pub fn read_registry(&mut self, to: &[usize]) {
        for vm in to {
            let directory = Box::new(self.directory.clone());
            self.event(*vm, Event::DirectoryLoaded(directory));
        }
    }

    /// Sends a call to a VM.
    pub fn call(&mut self, vm: usize, id: u64, call: Call) {
        if self.vms[vm].is_some() {
            self.replies.insert(id, None);
            self.event(vm, Event::RequestArrived(id, Box::new(call)));
        }
    }

    /// Gives an event to a VM.
    pub fn event(&mut self, vm: usize, event: Event) {
        let now = Time(self.now);
        let Some(state) = &mut self.vms[vm] else { return };
        let effects = jujubedoor_routing::reduce(state, now, event);
        for effect in effects {
            self.carry_out(vm, effect);
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(action) = self.actions.remove(&id) {
                self.act(action);
            }
        }
        self.now = until;
    }

    /// Returns the most requests that reached an upstream within a second.
    pub fn most_in_a_second(&self, upstream: &str) -> usize {
        let Some(arrivals) = self.arrivals.get(upstream) else { return 0 };
        let mut times: Vec<u64> = arrivals.iter().map(|(at, _)| *at).collect();
        times.sort_unstable();
        let in_second = |first: &u64| times.iter().filter(|t| **t >= *first && **t < first + 1_000).count();
        times.iter().map(in_second).max().unwrap_or_default()
    }

    /// Returns the upstreams that a call reached, in order.
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

    fn at(&mut self, after: u64, action: Action) {
        self.next += 1;
        self.queue.push(Reverse((self.now + after, self.next)));
        self.actions.insert(self.next, action);
    }

    fn carry_out(&mut self, vm: usize, effect: Effect) {
        match effect {
            Effect::Dispatch(id, dial) => {
                let incarnation = self.incarnation_of(vm);
                let call = id;
                self.at(HOP_MS, Action::Arrive(vm, incarnation, id, call, dial));
            }
            Effect::Reply(id, reply) => {
                self.replies.insert(id, Some(reply));
                self.event(vm, Event::RequestClosed(id));
            }
            Effect::Probe(id, _) => {
                let opened = (self.reachable)(vm, &id);
                self.at(HOP_MS, Action::Deliver(vm, Event::ProbeCompleted(id, opened)));
            }
            Effect::Heartbeat(to, beat) => {
                let Some(to) = self.vm_at(to) else { return };
                if (self.linked)(vm, to) {
                    self.at(
                        PEER_MS,
                        Action::Deliver(to, Event::HeartbeatReceived(Box::new((*beat).clone()))),
                    );
                }
            }
            Effect::FetchDirectory { from, after, needs_all } => {
                let Some(from) = self.vm_at(from).filter(|from| (self.linked)(vm, *from)) else { return };
                if let Some(state) = &self.vms[from] {
                    let delta = Box::new(state.delta(after, needs_all));
                    self.at(2 * PEER_MS, Action::Deliver(vm, Event::DeltaReceived(delta)));
                }
            }
            Effect::FetchCacheIndex(from) => {
                let Some(from) = self.vm_at(from).filter(|from| (self.linked)(vm, *from)) else { return };
                if let Some(state) = &self.vms[from] {
                    let known = state.cache_index.list(state.now, state.tuning.cache_lifetime_ms);
                    self.at(2 * PEER_MS, Action::Deliver(vm, Event::CacheIndexReceived(known)));
                }
            }
            Effect::ListCache(id, _) => self.notes.push((vm, if id.is_empty() { "" } else { "list_cache" })),
            Effect::Decision(note) => self.notes.push((vm, note.event)),
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Tick(vm, incarnation) => {
                if self.incarnation_of(vm) == incarnation && self.vms[vm].is_some() {
                    self.event(vm, Event::Tick);
                    self.at(TICK_MS, Action::Tick(vm, incarnation));
                }
            }
            Action::Deliver(vm, event) => self.event(vm, event),
            Action::Arrive(vm, incarnation, id, call, dial) => self.arrive(vm, incarnation, id, call, dial),
            Action::Finish(vm, incarnation, id, upstream, ended) => {
                *self.running.entry(upstream).or_default() -= 1;
                if self.incarnation_of(vm) != incarnation {
                    return;
                }
                self.event(vm, Event::AttemptEnded(id, ended));
                if ended == AttemptOutcome::Complete && self.replies.get(&id) == Some(&None) {
                    self.replies.insert(id, Some(Reply::ForwardResponse));
                    self.event(vm, Event::RequestClosed(id));
                }
            }
        }
    }

    fn arrive(&mut self, vm: usize, incarnation: Incarnation, id: u64, call: u64, dial: Dispatch) {
        let behaviour = (self.behave)(&dial.upstream, call, self.rng.random());
        let reached = !matches!(behaviour.ended, AttemptOutcome::Unreachable | AttemptOutcome::Unsent);
        if reached {
            self.arrivals.entry(dial.upstream.clone()).or_default().push((self.now, call));
        }
        if behaviour.runs {
            *self.runs.entry(call).or_default() += 1;
        }
        let upstreams = u32::try_from(self.directory.upstreams.len()).expect("few");
        let mean = f64::from(self.running.values().sum::<u32>()) / f64::from(upstreams.max(1));
        let running = self.running.entry(dial.upstream.clone()).or_default();
        self.crowded.push(f64::from(*running) > 2.0 * mean + 3.0);
        *running += 1;
        let peak = self.peaks.entry(dial.upstream.clone()).or_default();
        *peak = (*peak).max(*running);
        let begins = behaviour.runs && self.incarnation_of(vm) == incarnation;
        if begins && self.reads_ms == 0 {
            self.event(vm, Event::ResponseStarted(id, ResponseSignals::default()));
        } else if begins {
            self.at(
                self.reads_ms,
                Action::Deliver(vm, Event::ResponseStarted(id, ResponseSignals::default())),
            );
        }
        let work_ms = self.reads_ms + behaviour.work_ms;
        self.at(work_ms, Action::Finish(vm, incarnation, id, dial.upstream, behaviour.ended));
    }

    fn incarnation_of(&self, vm: usize) -> Incarnation {
        self.vms[vm].as_ref().map(|s| s.peers.local_vm.incarnation).unwrap_or_default()
    }

    fn vm_at(&self, to: SocketAddr) -> Option<usize> {
        (0..self.vms.len()).find(|vm| address(*vm) == to && self.vms[*vm].is_some())
    }
}

fn address(vm: usize) -> SocketAddr {
    let vm = u8::try_from(vm).expect("a small fleet");
    SocketAddr::from(([10, 0, 0, vm], 7_000))
}

/// Returns an upstream's registration in a failure domain.
pub fn registration(service: &str, domain: usize) -> Registration {
    Registration {
        service: service.into(),
        address: SocketAddr::from(([10, 1, 0, 1], 8_000)),
        domain: Name::from(format!("domain-{domain}")),
        slots: 64,
        draining: false,
        cold_ms: 0,
        started: 1,
    }
}

/// Returns routes with one engine service `llm` and one plain service `desk`.
pub fn routes(version: u64) -> Arc<Routes> {
    let llm = Service { cold_start_ms: 3_000, cold_per_s: 12.0, connections: 400, engine: true };
    let services =
        [(Name::from("llm"), llm), (Name::from("desk"), Service { connections: 400, ..Service::default() })];
    Arc::new(Routes { version, services: services.into_iter().collect(), ..Routes::default() })
}

/// Returns a route of a kind to a service.
pub fn route(service: &str, kind: Kind, attempts: u32) -> Arc<Route> {
    Arc::new(Route {
        name: "r".into(),
        host: "host".into(),
        prefix: "/".into(),
        kind,
        timeout_ms: 10_000,
        target_ms: 500,
        services: vec![(service.into(), 1)],
        attempts,
        ..Route::default()
    })
}

/// Returns a call on a route with a time left and a subject of a number of tokens.
pub fn call(route: &Arc<Route>, now: u64, left_ms: u64, subject: u64, tokens: u32) -> Call {
    Call {
        route: route.clone(),
        workspace: None,
        priority: route.priority,
        parts: vec![
            Part { key: subject % 3 + 1, tokens: 500 },
            Part { key: subject + 1_000, tokens },
            Part { key: subject * 7_919 + now, tokens: 100 },
        ],
        deadline: Time(now + left_ms),
        fingerprint: Fingerprint(subject * 31 + now),
    }
}

/// Publishes routes and upstreams of a service, spread over three failure domains.
pub fn set_up(fleet: &mut Fleet, service: &str, upstreams: usize) {
    let all: Vec<usize> = (0..fleet.vms.len()).collect();
    fleet.publish(&Change::Routes(routes(1)), &[]);
    for upstream in 0..upstreams {
        let id = Name::from(format!("{service}-{upstream}"));
        fleet.publish(&Change::Registered(id, registration(service, upstream % 3)), &[]);
    }
    fleet.read_registry(&all);
    fleet.run(1_000);
}
