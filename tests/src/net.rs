//! Several reducers between an oracle that knows what truly ran, driven in virtual time.
//!
//! Messages are delayed, lost, repeated and reordered by chance; VMs pause, restart and are cut off
//! from each other. Nothing here opens a socket.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::Arc;

use jujubedoor::Effect;
use jujubedoor::Event;
use jujubedoor::Message;
use jujubedoor::State;
use jujubedoor::Tuning;
use jujubedoor::call::Answer;
use jujubedoor::call::Arrival;
use jujubedoor::call::ServiceCall;
use jujubedoor::documents::PublishedDocument;
use jujubedoor::event::AttemptEnded;
use jujubedoor::event::Dispatch;
use jujubedoor::event::LoadReport;
use jujubedoor::event::PlatformResponse;
use jujubedoor::event::Reply;
use jujubedoor::fleet::VmEntry;
use jujubedoor::fleet::VmList;
use jujubedoor::ids::AffinityKey;
use jujubedoor::ids::Incarnation;
use jujubedoor::ids::RequestId;
use jujubedoor::ids::Revision;
use jujubedoor::ids::StartStamp;
use jujubedoor::ids::Time;
use jujubedoor::ids::UpstreamId;
use jujubedoor::ids::VmRef;
use jujubedoor::message::AttemptOutcome;
use jujubedoor::message::Completed;
use jujubedoor::state::StateOptions;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The period of ticks, in milliseconds.
const TICK_MS: u64 = 25;

/// How long a VM waits for another to take messages, in milliseconds.
const CALL_MS: u64 = 1_000;

/// How messages fare on their way.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// The longest delay, in milliseconds.
    pub delay_ms: u64,
    /// The share of messages that are lost.
    pub loss: f64,
    /// The share of messages that arrive twice.
    pub repeat: f64,
}

impl Default for Network {
    fn default() -> Self {
        Self { delay_ms: 5, loss: 0.0, repeat: 0.0 }
    }
}

/// Several VMs and what truly ran at their upstreams.
pub struct Net {
    /// The virtual time.
    pub now: Time,
    /// How messages fare.
    pub network: Network,
    /// The VMs; a VM that is down has no state.
    pub vms: Vec<Vm>,
    /// The calls in flight at each upstream.
    pub in_flight: BTreeMap<UpstreamId, BTreeSet<(RequestId, u32)>>,
    /// The most calls that were ever in flight at each upstream.
    pub peaks: BTreeMap<UpstreamId, usize>,
    /// The paths of the plain calls that ran, in order.
    pub ran: Vec<String>,
    /// What each request was answered, in order.
    pub replies: Vec<(RequestId, Reply)>,
    /// How long calls run, in milliseconds.
    pub run_ms: (u64, u64),
    /// Whether the platform answers.
    pub platform_up: bool,
    /// The age of load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// The share of calls whose connection breaks after they ran.
    pub broken: f64,
    document: Option<PublishedDocument>,
    list: VmList,
    cut: BTreeSet<(usize, usize)>,
    due: BTreeMap<(Time, u64), Due>,
    tuning: Tuning,
    rng: StdRng,
    next: u64,
}

/// One VM.
pub struct Vm {
    /// The state, unless the VM is down.
    pub state: Option<State>,
    /// Until when the VM is paused.
    pub paused_until: Time,
}

/// Something that happens at a later time.
enum Due {
    Message(VmRef, usize, Message),
    Lost(usize, usize),
    Event(usize, Incarnation, Event),
    Report(usize, Incarnation, UpstreamId, LoadReport),
    End(usize, Incarnation, Dispatch, AttemptOutcome, Option<Arc<Answer>>),
}

impl Net {
    /// Starts some VMs that know the same list and document.
    pub fn new(vms: usize, document: &str, seed: u64) -> Self {
        let mut net = Self {
            now: Time(1_000),
            network: Network::default(),
            vms: Vec::new(),
            in_flight: BTreeMap::new(),
            peaks: BTreeMap::new(),
            ran: Vec::new(),
            replies: Vec::new(),
            run_ms: (20, 200),
            platform_up: true,
            report_lag_ms: 500,
            broken: 0.0,
            document: None,
            list: VmList { revision: Revision(1), vms: (0..vms).map(entry_of).collect() },
            cut: BTreeSet::new(),
            due: BTreeMap::new(),
            tuning: Tuning::default(),
            rng: StdRng::seed_from_u64(seed),
            next: 0,
        };
        net.document = Some(published(document, 1));
        for number in 0..vms {
            net.vms.push(Vm { state: None, paused_until: Time(0) });
            net.start(number);
        }
        net.run(3_000);
        net
    }

    /// Starts a VM that is down, as a new run of the daemon.
    pub fn start(&mut self, number: usize) {
        let incarnation = Incarnation(self.rng.random());
        let me = VmRef { name: name_of(number), incarnation };
        let start = StateOptions {
            local_vm: me,
            region: "home".into(),
            secret: "a key of these tests only".into(),
            seed: self.rng.random(),
            tuning: self.tuning,
        };
        self.vms[number].state = Some(State::new(start));
        self.tell(number);
    }

    /// Stops a VM at once; its calls break at their upstreams.
    pub fn kill(&mut self, number: usize) {
        let Some(state) = self.vms[number].state.take() else { return };
        self.vms[number].paused_until = Time(0);
        let incarnation = state.fleet.local_vm().incarnation;
        for calls in self.in_flight.values_mut() {
            calls.retain(|(request, _)| request.incarnation != incarnation);
        }
    }

    /// Pauses a VM for a time.
    pub fn pause(&mut self, number: usize, ms: u64) {
        self.vms[number].paused_until = self.now.after(ms);
    }

    /// Cuts the VMs below a number off from the others.
    pub fn split(&mut self, below: usize) {
        self.split_into(&[below]);
    }

    /// Splits the VMs into groups that start at some numbers.
    pub fn split_into(&mut self, starts: &[usize]) {
        let count = self.vms.len();
        let group = |vm: usize| starts.iter().filter(|start| vm >= **start).count();
        let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
        self.cut = pairs.filter(|(a, b)| group(*a) != group(*b)).collect();
    }

    /// Lets the platform turn stale: it serves an old document from now on.
    pub fn platform_goes_back(&mut self, document: &str, revision: u64) {
        self.document = Some(published(document, revision));
    }

    /// Joins all VMs again.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Publishes a document; only some VMs hear of it from the platform.
    pub fn publish(&mut self, document: &str, revision: u64, to: &[usize]) {
        let published = published(document, revision);
        if self.document.as_ref().is_none_or(|known| known.revision < published.revision) {
            self.document = Some(published.clone());
        }
        for number in to {
            let answer =
                PlatformResponse { requested_at: self.now, documents: vec![published.clone()], vms: None };
            self.give(*number, Event::PlatformResponded(answer));
        }
    }

    /// Sends a plain call to a VM.
    pub fn call(&mut self, number: usize, path: &str, ticket: Option<String>) -> RequestId {
        self.next += 1;
        let incarnation = self.incarnation(number);
        let request = RequestId { incarnation, seq: self.next };
        let plain = ServiceCall { method: "POST".into(), path: path.into(), ..ServiceCall::default() };
        let arrival = Arrival {
            request,
            workspace: "w".into(),
            pool: "s".into(),
            key: AffinityKey(self.next),
            ticket,
            service_call: Some(plain),
            deadline: self.now.after(20_000),
            ..Arrival::default()
        };
        self.give(number, Event::Arrive(arrival));
        request
    }

    /// Sends a model call of a chat to a VM.
    pub fn chat(&mut self, number: usize, chat: u64) -> RequestId {
        self.next += 1;
        let request = RequestId { incarnation: self.incarnation(number), seq: self.next };
        let arrival = Arrival {
            request,
            workspace: "w".into(),
            pool: "m".into(),
            key: AffinityKey(chat),
            deadline: self.now.after(20_000),
            ..Arrival::default()
        };
        self.give(number, Event::Arrive(arrival));
        request
    }

    /// Asks a VM for a ticket.
    pub fn ticket(&mut self, number: usize) -> Option<String> {
        let request = self.call(number, "/seal/probe", None);
        let reply = self.replies.iter().rev().find(|(id, _)| *id == request)?;
        match &reply.1 {
            Reply::Error(refusal) => refusal.ticket.clone(),
            _ => None,
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        let end = self.now.after(ms);
        while self.now < end {
            let tick = self.now.after(TICK_MS);
            while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= tick) {
                let ((at, _), due) = entry.remove_entry();
                self.now = self.now.max(at);
                self.happen(due);
            }
            self.now = tick;
            for number in 0..self.vms.len() {
                if self.vms[number].paused_until <= self.now {
                    self.give(number, Event::Tick);
                    self.confirm(number);
                }
            }
        }
    }

    /// Gives an event to a VM that is up and carries out its effects; a paused VM gets it when it wakes.
    pub fn give(&mut self, number: usize, event: Event) {
        let now = self.now;
        let paused_until = self.vms[number].paused_until;
        if paused_until > now {
            self.later(paused_until, Due::Event(number, self.incarnation(number), event));
            return;
        }
        let Some(state) = &mut self.vms[number].state else { return };
        let effects = jujubedoor::reduce(state, now, event);
        for effect in effects {
            self.carry_out(number, effect);
        }
    }

    /// Returns the run of the daemon on a VM, or zero when it is down.
    pub fn incarnation(&self, number: usize) -> Incarnation {
        self.vms[number].state.as_ref().map(|state| state.fleet.local_vm().incarnation).unwrap_or_default()
    }

    /// Returns the replies to a request.
    pub fn replies_to(&self, request: RequestId) -> Vec<&Reply> {
        self.replies.iter().filter(|(id, _)| *id == request).map(|(_, reply)| reply).collect()
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Message(from, to, message) => {
                let paused_until = self.vms[to].paused_until;
                if paused_until > self.now {
                    self.later(paused_until, Due::Message(from, to, message));
                    return;
                }
                self.give(to, Event::Received(from, message));
            }
            Due::Event(number, incarnation, event) => {
                if self.incarnation(number) == incarnation {
                    self.give(number, event);
                }
            }
            Due::Report(number, incarnation, upstream, report) => {
                let awake = self.vms[number].paused_until <= self.now;
                if awake && self.incarnation(number) == incarnation {
                    self.give(number, Event::LoadReported(upstream, report));
                }
            }
            Due::Lost(from, to) => self.give(from, Event::PeerUnreachable(name_of(to))),
            Due::End(number, incarnation, dial, ended, answer) => {
                if self.incarnation(number) != incarnation {
                    return;
                }
                self.leave(&dial);
                let paused_until = self.vms[number].paused_until;
                if paused_until > self.now {
                    self.later(paused_until, Due::End(number, incarnation, dial, ended, answer));
                    return;
                }
                let ended = AttemptEnded {
                    request: dial.request,
                    attempt: dial.attempt,
                    outcome: ended,
                    delivered: false,
                    answer,
                };
                self.give(number, Event::AttemptEnded(ended));
            }
        }
    }

    fn carry_out(&mut self, number: usize, effect: Effect) {
        match effect {
            Effect::Send(to, message) => self.send(number, &to, &message),
            Effect::Dispatch(dial) => self.dial(number, dial, None),
            Effect::Run(dial, call) => {
                self.ran.push(call.path.clone());
                self.dial(number, dial, Some(&call));
            }
            Effect::Reply(request, reply) => self.replies.push((request, reply)),
            Effect::Poll(upstream, _) => self.report(number, upstream),
            Effect::Record(_) | Effect::Count(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: &str, message: &Message) {
        let Some(to) = (0..self.vms.len()).find(|number| &*name_of(*number) == to) else { return };
        let down = self.vms[to].state.is_none();
        if down || self.cut.contains(&(from, to)) {
            let wait = if down { 1 } else { CALL_MS };
            self.later(self.now.after(wait), Due::Lost(from, to));
            return;
        }
        if self.vms[to].paused_until > self.now.after(CALL_MS) {
            // The call times out, but the message waits in the paused VM's socket.
            self.later(self.now.after(CALL_MS), Due::Lost(from, to));
        }
        if self.rng.random_bool(self.network.loss) {
            return;
        }
        let me = VmRef { name: name_of(from), incarnation: self.incarnation(from) };
        let copies = if self.rng.random_bool(self.network.repeat) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.rng.random_range(0..=self.network.delay_ms);
            self.later(self.now.after(delay), Due::Message(me.clone(), to, message.clone()));
        }
    }

    /// Starts a call at its upstream.
    fn dial(&mut self, number: usize, dial: Dispatch, call: Option<&ServiceCall>) {
        let calls = self.in_flight.entry(dial.upstream.clone()).or_default();
        calls.insert((dial.request, dial.attempt));
        let count = calls.len();
        let peak = self.peaks.entry(dial.upstream.clone()).or_default();
        *peak = (*peak).max(count);
        let run_ms = self.rng.random_range(self.run_ms.0..=self.run_ms.1);
        let broken = self.rng.random_bool(self.broken);
        let ended = if broken {
            AttemptOutcome::ConnectionLost
        } else {
            AttemptOutcome::Completed(Completed::default())
        };
        let body = call.map(|call| call.path.clone().into_bytes()).unwrap_or_default();
        let answer = (!broken).then(|| Arc::new(Answer { status: 200, body, ..Answer::default() }));
        let end = Due::End(number, self.incarnation(number), dial, ended, answer);
        self.later(self.now.after(run_ms), end);
    }

    /// Reports the load of an upstream as it is now, a while later.
    fn report(&mut self, number: usize, upstream: UpstreamId) {
        let running = self.in_flight.get(&upstream).map_or(0, BTreeSet::len);
        let report = LoadReport {
            running: u32::try_from(running).unwrap_or(u32::MAX),
            age_ms: self.report_lag_ms,
            start: StartStamp(1),
            ..LoadReport::default()
        };
        let incarnation = self.incarnation(number);
        let due = Due::Report(number, incarnation, upstream, report);
        self.later(self.now.after(self.report_lag_ms), due);
    }

    fn leave(&mut self, dial: &Dispatch) {
        if let Some(calls) = self.in_flight.get_mut(&dial.upstream) {
            calls.remove(&(dial.request, dial.attempt));
        }
    }

    fn later(&mut self, at: Time, due: Due) {
        self.next += 1;
        self.due.insert((at, self.next), due);
    }

    /// Lets the platform confirm a view that no other VM confirms, as the daemon's watch does.
    fn confirm(&mut self, number: usize) {
        let alone = self.vms[number].state.as_ref().is_some_and(State::needs_confirmation);
        if alone && self.platform_up {
            self.tell(number);
        }
    }

    /// Tells a VM what the platform knows.
    fn tell(&mut self, number: usize) {
        let documents = self.document.iter().cloned().collect();
        let answer = PlatformResponse { requested_at: self.now, documents, vms: Some(self.list.clone()) };
        self.give(number, Event::PlatformResponded(answer));
    }
}

/// Returns a document with a model `m` on some engines and a service `s`, for the workspace `w`.
pub fn document(engines: usize, slots: u32, cold_slots: u32) -> String {
    let mut text = String::from(
        "team: t\nfailure_domains:\n  - name: a\n    region: home\nmodels:\n  - name: m\n    bound: 2\n\
         services:\n  - name: s\n    bound: 50\n    non_repeatable:\n      - path: /seal/*\nupstreams:\n  \
         - name: store\n    address: 127.0.0.1:1\n    domain: a\n    serves: [s]\n    reports: false\n",
    );
    for number in 0..engines {
        let _ = write!(
            text,
            "  - name: e{number}\n    address: 127.0.0.1:1\n    domain: a\n    serves: [m]\n    slots: {slots}\n    \
             cold_slots: {cold_slots}\n"
        );
    }
    text.push_str("workspaces:\n  - name: w\n");
    text
}

fn published(document: &str, revision: u64) -> PublishedDocument {
    PublishedDocument { team: "t".into(), revision: Revision(revision), text: Arc::from(document) }
}

fn name_of(number: usize) -> jujubedoor_config::Name {
    format!("vm-{number}").into()
}

fn entry_of(number: usize) -> VmEntry {
    VmEntry {
        name: name_of(number),
        peer_address: ([127, 0, 0, 1], 1).into(),
        admin_address: ([127, 0, 0, 1], 1).into(),
        region: "home".into(),
        domain: "a".into(),
        leaving: false,
    }
}
