//! A simulated fleet: the reducers of several VMs, driven in virtual time without sockets.
//!
//! Messages are delayed, lost, duplicated and reordered at random. Tests pause and restart VMs and
//! partition the network. The simulated upstreams record which calls they really ran, so that a test can
//! compare this with what the VMs reported.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
use jujubedoor::fleet::VmList;
use jujubedoor::ids::AffinityKey;
use jujubedoor::ids::Incarnation;
use jujubedoor::ids::RequestId;
use jujubedoor::ids::Revision;
use jujubedoor::ids::StartStamp;
use jujubedoor::ids::StoreRevision;
use jujubedoor::ids::Time;
use jujubedoor::ids::UpstreamId;
use jujubedoor::ids::VmRef;
use jujubedoor::message::AttemptOutcome;
use jujubedoor::message::Completed;
use jujubedoor::state::StateOptions;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

mod documents;

pub use documents::document;
use documents::published_document;
use documents::vm_entry;
use documents::vm_name;

/// Interval between ticks, in milliseconds.
const TICK_INTERVAL_MS: u64 = 25;

/// Time after which sending a message to a VM fails, in milliseconds.
const SEND_TIMEOUT_MS: u64 = 1_000;

/// The conditions of the simulated network.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// Maximum delay of a message, in milliseconds.
    pub max_delay_ms: u64,
    /// Fraction of messages that are lost.
    pub loss_rate: f64,
    /// Fraction of messages that arrive twice.
    pub duplication_rate: f64,
}

impl Default for Network {
    fn default() -> Self {
        Self { max_delay_ms: 5, loss_rate: 0.0, duplication_rate: 0.0 }
    }
}

/// Several VMs, and the calls that really ran on their upstreams.
pub struct Simulation {
    /// Virtual time.
    pub now: Time,
    /// Conditions of the network.
    pub network: Network,
    /// VMs; a VM that is down has no state.
    pub vms: Vec<Vm>,
    /// Calls in flight on each upstream.
    pub active_calls: BTreeMap<UpstreamId, BTreeSet<(RequestId, u32)>>,
    /// Maximum number of calls that were in flight on each upstream at the same time.
    pub peak_calls: BTreeMap<UpstreamId, usize>,
    /// Paths of the service calls that ran, in order.
    pub executed_paths: Vec<String>,
    /// Replies to requests, in order.
    pub replies: Vec<(RequestId, Reply)>,
    /// Minimum and maximum duration of a call, in milliseconds.
    pub call_duration_ms: (u64, u64),
    /// Whether the platform responds.
    pub platform_available: bool,
    /// Delay of load reports, and so their age on arrival, in milliseconds.
    pub report_delay_ms: u64,
    /// Fraction of calls whose connection is lost after they ran.
    pub connection_loss_rate: f64,
    document: Option<PublishedDocument>,
    vm_list: VmList,
    blocked_links: BTreeSet<(usize, usize)>,
    scheduled: BTreeMap<(Time, u64), Scheduled>,
    tuning: Tuning,
    rng: StdRng,
    last_id: u64,
}

/// A simulated VM.
pub struct Vm {
    /// State of the VM, unless it is down.
    pub state: Option<State>,
    /// Time until which the VM is paused.
    pub paused_until: Time,
}

/// An event that is scheduled for a later time.
enum Scheduled {
    Message(VmRef, usize, Message),
    Unreachable(usize, usize),
    Event(usize, Incarnation, Event),
    Report(usize, Incarnation, UpstreamId, LoadReport),
    CallEnded(usize, Incarnation, Dispatch, AttemptOutcome, Option<Arc<Answer>>),
}

impl Simulation {
    /// Starts some VMs with the same VM list and document, and runs them for 3 s.
    pub fn new(vms: usize, document: &str, seed: u64) -> Self {
        let mut sim = Self {
            now: Time(1_000),
            network: Network::default(),
            vms: Vec::new(),
            active_calls: BTreeMap::new(),
            peak_calls: BTreeMap::new(),
            executed_paths: Vec::new(),
            replies: Vec::new(),
            call_duration_ms: (20, 200),
            platform_available: true,
            report_delay_ms: 500,
            connection_loss_rate: 0.0,
            document: None,
            vm_list: VmList { revision: Revision(1), vms: (0..vms).map(vm_entry).collect() },
            blocked_links: BTreeSet::new(),
            scheduled: BTreeMap::new(),
            tuning: Tuning::default(),
            rng: StdRng::seed_from_u64(seed),
            last_id: 0,
        };
        sim.document = Some(published_document(document, 1));
        for number in 0..vms {
            sim.vms.push(Vm { state: None, paused_until: Time(0) });
            sim.start(number);
        }
        sim.advance(3_000);
        sim
    }

    /// Starts a VM that is down, as a daemon process with a new incarnation.
    pub fn start(&mut self, number: usize) {
        let incarnation = Incarnation(self.rng.random());
        let vm_ref = VmRef { name: vm_name(number), incarnation };
        let options = StateOptions {
            local_vm: vm_ref,
            region: "home".into(),
            secret: "a key of these tests only".into(),
            seed: self.rng.random(),
            tuning: self.tuning,
        };
        self.vms[number].state = Some(State::new(options));
        self.send_platform_response(number);
    }

    /// Stops a VM immediately, which ends its calls on their upstreams.
    pub fn kill(&mut self, number: usize) {
        let Some(state) = self.vms[number].state.take() else { return };
        self.vms[number].paused_until = Time(0);
        let incarnation = state.fleet.local_vm().incarnation;
        for calls in self.active_calls.values_mut() {
            calls.retain(|(request, _)| request.incarnation != incarnation);
        }
    }

    /// Pauses a VM for some milliseconds.
    pub fn pause(&mut self, number: usize, ms: u64) {
        self.vms[number].paused_until = self.now.after(ms);
    }

    /// Partitions the network between the VMs below a number and the others.
    pub fn partition(&mut self, below: usize) {
        self.partition_into(&[below]);
    }

    /// Partitions the network into groups of consecutive VMs; each number is the first VM of a group.
    pub fn partition_into(&mut self, starts: &[usize]) {
        let count = self.vms.len();
        let group = |vm: usize| starts.iter().filter(|start| vm >= **start).count();
        let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
        self.blocked_links = pairs.filter(|(a, b)| group(*a) != group(*b)).collect();
    }

    /// Makes the platform stale: it serves an old document from now on.
    pub fn revert_platform(&mut self, document: &str, revision: u64) {
        self.document = Some(published_document(document, revision));
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
    }

    /// Publishes a document, which the platform sends to some VMs only.
    pub fn publish(&mut self, document: &str, revision: u64, to: &[usize]) {
        let published = published_document(document, revision);
        if self.document.as_ref().is_none_or(|current| current.revision < published.revision) {
            self.document = Some(published.clone());
        }
        for number in to {
            let documents = vec![published.clone()];
            let response =
                PlatformResponse { requested_at: self.now, documents, ..PlatformResponse::default() };
            self.handle_event(*number, Event::PlatformResponded(response));
        }
    }

    /// Lets a VM read documents, as revisions and texts, from a store that may have been restored. `is_complete` tells
    /// whether all items are read.
    pub fn read_store(
        &mut self,
        number: usize,
        at: StoreRevision,
        is_complete: bool,
        documents: &[(u64, &str)],
    ) {
        let published = |(revision, text): &(u64, &str)| published_document(text, *revision);
        let documents = documents.iter().map(published).collect();
        let response = PlatformResponse { requested_at: self.now, at, is_complete, documents, vms: None };
        self.handle_event(number, Event::PlatformResponded(response));
    }

    /// Sends a service call to a VM.
    pub fn send_service_call(&mut self, number: usize, path: &str, ticket: Option<String>) -> RequestId {
        self.last_id += 1;
        let incarnation = self.incarnation(number);
        let request = RequestId { incarnation, seq: self.last_id };
        let service_request =
            ServiceCall { method: "POST".into(), path: path.into(), ..ServiceCall::default() };
        let arrival = Arrival {
            request,
            workspace: "w".into(),
            pool: "s".into(),
            key: AffinityKey(self.last_id),
            ticket,
            service_call: Some(service_request),
            deadline: self.now.after(20_000),
            ..Arrival::default()
        };
        self.handle_event(number, Event::Arrive(arrival));
        request
    }

    /// Sends a model call of a chat to a VM.
    pub fn send_chat_call(&mut self, number: usize, chat: u64) -> RequestId {
        self.last_id += 1;
        let request = RequestId { incarnation: self.incarnation(number), seq: self.last_id };
        let arrival = Arrival {
            request,
            workspace: "w".into(),
            pool: "m".into(),
            key: AffinityKey(chat),
            deadline: self.now.after(20_000),
            ..Arrival::default()
        };
        self.handle_event(number, Event::Arrive(arrival));
        request
    }

    /// Requests a ticket from a VM.
    pub fn request_ticket(&mut self, number: usize) -> Option<String> {
        let request = self.send_service_call(number, "/seal/probe", None);
        let reply = self.replies.iter().rev().find(|(id, _)| *id == request)?;
        match &reply.1 {
            Reply::Error(error) => error.ticket.clone(),
            _ => None,
        }
    }

    /// Advances the virtual time by some milliseconds.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now.after(ms);
        while self.now < end {
            let tick = self.now.after(TICK_INTERVAL_MS);
            while let Some(entry) = self.scheduled.first_entry().filter(|entry| entry.key().0 <= tick) {
                let ((at, _), scheduled_event) = entry.remove_entry();
                self.now = self.now.max(at);
                self.process(scheduled_event);
            }
            self.now = tick;
            for number in 0..self.vms.len() {
                if self.vms[number].paused_until <= self.now {
                    self.handle_event(number, Event::Tick);
                    self.confirm_view(number);
                }
            }
        }
    }

    /// Passes an event to a VM that is up and applies its effects. A paused VM receives the event when it
    /// resumes.
    pub fn handle_event(&mut self, number: usize, event: Event) {
        let now = self.now;
        let paused_until = self.vms[number].paused_until;
        if paused_until > now {
            self.schedule(paused_until, Scheduled::Event(number, self.incarnation(number), event));
            return;
        }
        let Some(state) = &mut self.vms[number].state else { return };
        let effects = jujubedoor::reduce(state, now, event);
        for effect in effects {
            self.apply_effect(number, effect);
        }
    }

    /// Returns the incarnation of the daemon process on a VM, or zero if the VM is down.
    pub fn incarnation(&self, number: usize) -> Incarnation {
        self.vms[number].state.as_ref().map(|state| state.fleet.local_vm().incarnation).unwrap_or_default()
    }

    /// Returns the replies to a request.
    pub fn replies_to(&self, request: RequestId) -> Vec<&Reply> {
        self.replies.iter().filter(|(id, _)| *id == request).map(|(_, reply)| reply).collect()
    }

    fn process(&mut self, scheduled_event: Scheduled) {
        match scheduled_event {
            Scheduled::Message(from, to, message) => {
                let paused_until = self.vms[to].paused_until;
                if paused_until > self.now {
                    self.schedule(paused_until, Scheduled::Message(from, to, message));
                    return;
                }
                self.handle_event(to, Event::Received(from, message));
            }
            Scheduled::Event(number, incarnation, event) => {
                if self.incarnation(number) == incarnation {
                    self.handle_event(number, event);
                }
            }
            Scheduled::Report(number, incarnation, upstream, report) => {
                let is_awake = self.vms[number].paused_until <= self.now;
                if is_awake && self.incarnation(number) == incarnation {
                    self.handle_event(number, Event::LoadReported(upstream, report));
                }
            }
            Scheduled::Unreachable(from, to) => self.handle_event(from, Event::PeerUnreachable(vm_name(to))),
            Scheduled::CallEnded(number, incarnation, dispatch, attempt_outcome, answer) => {
                if self.incarnation(number) != incarnation {
                    return;
                }
                self.end_call(&dispatch);
                let paused_until = self.vms[number].paused_until;
                if paused_until > self.now {
                    self.schedule(
                        paused_until,
                        Scheduled::CallEnded(number, incarnation, dispatch, attempt_outcome, answer),
                    );
                    return;
                }
                let ended = AttemptEnded {
                    request: dispatch.request,
                    attempt: dispatch.attempt,
                    outcome: attempt_outcome,
                    delivered: false,
                    answer,
                };
                self.handle_event(number, Event::AttemptEnded(ended));
            }
        }
    }

    fn apply_effect(&mut self, number: usize, effect: Effect) {
        match effect {
            Effect::Send(to, message) => self.send(number, &to, &message),
            Effect::Dispatch(dispatch) => self.start_call(number, dispatch, None),
            Effect::Run(dispatch, call) => {
                self.executed_paths.push(call.path.clone());
                self.start_call(number, dispatch, Some(&call));
            }
            Effect::Reply(request, reply) => self.replies.push((request, reply)),
            Effect::Poll(upstream, _) => self.schedule_report(number, upstream),
            Effect::Record(_) | Effect::Count(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: &str, message: &Message) {
        let Some(to) = (0..self.vms.len()).find(|number| &*vm_name(*number) == to) else { return };
        let is_down = self.vms[to].state.is_none();
        if is_down || self.blocked_links.contains(&(from, to)) {
            let failure_delay = if is_down { 1 } else { SEND_TIMEOUT_MS };
            self.schedule(self.now.after(failure_delay), Scheduled::Unreachable(from, to));
            return;
        }
        if self.vms[to].paused_until > self.now.after(SEND_TIMEOUT_MS) {
            // Sending times out, but the message stays in the socket buffer of the paused VM.
            self.schedule(self.now.after(SEND_TIMEOUT_MS), Scheduled::Unreachable(from, to));
        }
        if self.rng.random_bool(self.network.loss_rate) {
            return;
        }
        let vm_ref = VmRef { name: vm_name(from), incarnation: self.incarnation(from) };
        let copies = if self.rng.random_bool(self.network.duplication_rate) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.rng.random_range(0..=self.network.max_delay_ms);
            self.schedule(self.now.after(delay), Scheduled::Message(vm_ref.clone(), to, message.clone()));
        }
    }

    /// Starts a call on its upstream and schedules its end.
    fn start_call(&mut self, number: usize, dispatch: Dispatch, call: Option<&ServiceCall>) {
        let calls = self.active_calls.entry(dispatch.upstream.clone()).or_default();
        calls.insert((dispatch.request, dispatch.attempt));
        let count = calls.len();
        let peak = self.peak_calls.entry(dispatch.upstream.clone()).or_default();
        *peak = (*peak).max(count);
        let call_duration_ms = self.rng.random_range(self.call_duration_ms.0..=self.call_duration_ms.1);
        let is_connection_lost = self.rng.random_bool(self.connection_loss_rate);
        let attempt_outcome = if is_connection_lost {
            AttemptOutcome::ConnectionLost
        } else {
            AttemptOutcome::Completed(Completed::default())
        };
        let body = call.map(|call| call.path.clone().into_bytes()).unwrap_or_default();
        let answer =
            (!is_connection_lost).then(|| Arc::new(Answer { status: 200, body, ..Answer::default() }));
        let end = Scheduled::CallEnded(number, self.incarnation(number), dispatch, attempt_outcome, answer);
        self.schedule(self.now.after(call_duration_ms), end);
    }

    /// Schedules a load report with the current load of an upstream.
    fn schedule_report(&mut self, number: usize, upstream: UpstreamId) {
        let running = self.active_calls.get(&upstream).map_or(0, BTreeSet::len);
        let report = LoadReport {
            running: u32::try_from(running).unwrap_or(u32::MAX),
            age_ms: self.report_delay_ms,
            start: StartStamp(1),
            ..LoadReport::default()
        };
        let incarnation = self.incarnation(number);
        let scheduled_event = Scheduled::Report(number, incarnation, upstream, report);
        self.schedule(self.now.after(self.report_delay_ms), scheduled_event);
    }

    fn end_call(&mut self, dispatch: &Dispatch) {
        if let Some(calls) = self.active_calls.get_mut(&dispatch.upstream) {
            calls.remove(&(dispatch.request, dispatch.attempt));
        }
    }

    fn schedule(&mut self, at: Time, scheduled_event: Scheduled) {
        self.last_id += 1;
        self.scheduled.insert((at, self.last_id), scheduled_event);
    }

    /// Lets the platform confirm a VM's view that no peer has confirmed, as the daemon's watch does.
    fn confirm_view(&mut self, number: usize) {
        let is_unconfirmed = self.vms[number].state.as_ref().is_some_and(State::needs_confirmation);
        if is_unconfirmed && self.platform_available {
            self.send_platform_response(number);
        }
    }

    /// Sends the platform's document and VM list to a VM.
    fn send_platform_response(&mut self, number: usize) {
        let documents = self.document.iter().cloned().collect();
        let vms = Some(self.vm_list.clone());
        let response =
            PlatformResponse { requested_at: self.now, documents, vms, ..PlatformResponse::default() };
        self.handle_event(number, Event::PlatformResponded(response));
    }
}
