//! What all tasks of a VM share: the state of the reducer and the requests that are open.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use jujubedoor_config::Name;
use jujubedoor_config::edge::EdgeSettings;
use jujubedoor_node::clock::Clock;
use jujubedoor_routing::Effect;
use jujubedoor_routing::Event;
use jujubedoor_routing::State;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::directory::Delta;
use jujubedoor_routing::event::Dial;
use jujubedoor_routing::event::Note;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::event::RequestId;
use jujubedoor_routing::peers::Beat;
use jujubedoor_routing::routes::Denied;
use jujubedoor_routing::routes::Route;
use jujubedoor_routing::warmth::Known;
use tokio::sync::mpsc;

use crate::dialect::Dialect;
use crate::metrics::Metrics;
use crate::pool::Pool;

/// What all tasks of a VM share.
pub struct Edge {
    /// The settings.
    pub settings: EdgeSettings,
    /// How things are named on the wire.
    pub dialect: Dialect,
    /// The clocks.
    pub clock: Clock,
    /// The connections to upstreams.
    pub pool: Pool,
    /// The metrics.
    pub metrics: Metrics,
    state: Mutex<State>,
    open: Mutex<HashMap<RequestId, OpenEntry>>,
    next_request_id: AtomicU64,
    leaving: AtomicBool,
    outbox: mpsc::UnboundedSender<Outgoing>,
}

/// A handle to what all tasks share.
pub type Handle = Arc<Edge>;

/// What the reducer tells the task that serves a request.
#[derive(Debug)]
pub enum Instruction {
    /// Sends the request to an upstream.
    Dial(Dial),
    /// Ends the request.
    Reply(Reply),
}

/// What goes to another VM or to an upstream apart from requests.
#[derive(Debug)]
pub enum Outgoing {
    /// A try to open a connection to an upstream.
    Probe(Name, SocketAddr),
    /// A beat.
    Heartbeat(SocketAddr, Arc<Beat>),
    /// A read of what was published after a revision, and whether all of it is needed from there.
    FetchDirectory(SocketAddr, u64, bool),
    /// A read of what it knows of the upstreams' caches.
    FetchCacheIndex(SocketAddr),
    /// A read of an upstream's cache.
    ListCache(Name, SocketAddr),
}

struct OpenEntry {
    caller_request_id: String,
    instructions: mpsc::UnboundedSender<Instruction>,
}

/// A request that the reducer knows until this is dropped.
pub struct OpenRequest {
    /// The request.
    pub id: RequestId,
    /// What the reducer decides.
    pub instructions: mpsc::UnboundedReceiver<Instruction>,
    edge: Handle,
}

/// The route of a request and who sent it.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// The route.
    pub route: Arc<Route>,
    /// The workspace.
    pub workspace: Option<Name>,
    /// The rank, zero first.
    pub priority: u8,
}

impl Edge {
    /// Creates what all tasks share, and what goes to other VMs.
    pub fn new(
        settings: EdgeSettings,
        dialect: Dialect,
        state: State,
    ) -> (Handle, mpsc::UnboundedReceiver<Outgoing>) {
        let (outbox, rx) = mpsc::unbounded_channel();
        let edge = Self {
            settings,
            dialect,
            clock: Clock::new(),
            pool: Pool::default(),
            metrics: Metrics::new(),
            state: Mutex::new(state),
            open: Mutex::default(),
            next_request_id: AtomicU64::new(1),
            leaving: AtomicBool::new(false),
            outbox,
        };
        (Arc::new(edge), rx)
    }

    /// Gives an event to the reducer and carries out what it decides.
    pub fn submit(&self, event: Event) {
        let now = self.clock.now();
        let effects = {
            let mut state = self.state();
            jujubedoor_routing::reduce(&mut state, now, event)
        };
        for effect in effects {
            self.apply(effect);
        }
    }

    fn apply(&self, effect: Effect) {
        match effect {
            Effect::Dial(request, dial) => self.send_instruction(request, Instruction::Dial(dial)),
            Effect::Reply(request, reply) => self.send_instruction(request, Instruction::Reply(reply)),
            Effect::Probe(id, address) => self.send(Outgoing::Probe(id, address)),
            Effect::Beat(to, beat) => self.send(Outgoing::Heartbeat(to, beat)),
            Effect::FetchDirectory { from, after, needs_all } => {
                self.send(Outgoing::FetchDirectory(from, after, needs_all));
            }
            Effect::FetchWarmth(from) => self.send(Outgoing::FetchCacheIndex(from)),
            Effect::ListCache(id, address) => self.send(Outgoing::ListCache(id, address)),
            Effect::Note(note) => self.log_decision(&note),
        }
    }

    fn send(&self, outgoing: Outgoing) {
        if self.outbox.send(outgoing).is_err() {
            log::error!("the task that speaks with other VMs has ended");
        }
    }

    fn send_instruction(&self, request: RequestId, instruction: Instruction) {
        if let Some(open) = self.requests().get(&request) {
            // A task that has ended dropped its request and needs no instruction.
            let _ = open.instructions.send(instruction);
        }
    }

    fn log_decision(&self, note: &Note) {
        self.metrics.record_decision(note.what);
        let requests = self.requests();
        let caller_request_id =
            note.request.and_then(|r| requests.get(&r)).map(|o| o.caller_request_id.as_str());
        crate::logs::decision(note.what, caller_request_id, &note.inputs);
    }

    /// Looks at the state.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a request under the caller's identifier.
    pub fn open(self: &Arc<Self>, caller_request_id: &str) -> OpenRequest {
        let id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let (tx, instructions) = mpsc::unbounded_channel();
        self.requests()
            .insert(id, OpenEntry { caller_request_id: caller_request_id.to_owned(), instructions: tx });
        OpenRequest { id, instructions, edge: self.clone() }
    }

    /// Returns how many requests are open.
    pub fn open_requests(&self) -> usize {
        self.requests().len()
    }

    fn requests(&self) -> MutexGuard<'_, HashMap<RequestId, OpenEntry>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Finds the route and the workspace of a request.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Result<Admitted, Denied> {
        let routes = self.state().directory.routes.clone().ok_or(Denied::NotReady)?;
        let (route, workspace) = routes.admit(host, path, key)?;
        Ok(Admitted {
            route: route.clone(),
            workspace: workspace.map(|w| w.name.clone()),
            priority: workspace.and_then(|w| w.priority).unwrap_or(route.priority),
        })
    }

    /// Returns what is published since a revision, for another VM.
    pub fn delta(&self, after: u64, needs_all: bool) -> Delta {
        self.state().delta(after, needs_all)
    }

    /// Tells whether this VM watches the registry itself.
    pub fn watches_registry(&self) -> bool {
        self.state().is_reader()
    }

    /// Lists what is known of the upstreams' caches.
    pub fn cache_index(&self) -> Vec<Known> {
        let state = self.state();
        state.warmth.list(state.now, state.tuning.warm_ms)
    }

    /// Puts those settings in force that can change while the VM runs.
    pub fn apply_settings(&self, settings: &EdgeSettings) {
        let mut state = self.state();
        state.tuning = tuning_from_settings(settings, state.tuning);
        crate::logs::decision("settings_reloaded", None, &[]);
    }

    /// Tells whether the balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.state().is_ready()
    }

    /// Tells whether this VM is about to leave.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Notes that this VM is about to leave.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.submit(Event::Leaving);
    }
}

/// Returns the constants of the decisions with what the settings say of them.
pub fn tuning_from_settings(settings: &EdgeSettings, tuning: Tuning) -> Tuning {
    Tuning {
        retry_ratio: settings.retry_ratio,
        retry_slack: settings.retry_slack,
        retry_window_ms: settings.retry_window_ms,
        cold_factor: settings.cold_factor,
        cold_slack: settings.cold_slack,
        ..tuning
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.edge.submit(Event::Closed(self.id));
        self.edge.requests().remove(&self.id);
    }
}
