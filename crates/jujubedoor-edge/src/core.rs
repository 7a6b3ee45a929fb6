//! State shared by all tasks of a VM: the state of the reducer and the open requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use jujubedoor::ids::StoreRevision;
use jujubedoor_config::Name;
use jujubedoor_config::edge::EdgeSettings;
use jujubedoor_http::Budget;
use jujubedoor_http::BudgetLimits;
use jujubedoor_node::clock::Clock;
use jujubedoor_routing::Effect;
use jujubedoor_routing::Event;
use jujubedoor_routing::State;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::cache_index::CacheRecord;
use jujubedoor_routing::directory::Delta;
use jujubedoor_routing::event::Decision;
use jujubedoor_routing::event::Dispatch;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::event::RequestId;
use jujubedoor_routing::message::Heartbeat;
use jujubedoor_routing::routes::Route;
use jujubedoor_routing::routes::RouteError;
use jujubedoor_routing::speed;
use jujubedoor_routing::stream_origins::StreamOrigin;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::dialect::Dialect;
use crate::metrics::Metrics;
use crate::peers;
use crate::pool::Pool;
use crate::upstream_watch::WatchedRun;

/// Minimum time between two log lines about bodies that were refused.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// State shared by all tasks of a VM.
pub struct Edge {
    /// Settings of this VM.
    pub settings: EdgeSettings,
    /// Translation of headers between the wire and this crate.
    pub dialect: Dialect,
    /// Source of the current time.
    pub clock: Clock,
    /// Idle connections to upstreams.
    pub pool: Pool,
    /// Permits to fetch the lists of upstreams' caches.
    pub cache_lists: Semaphore,
    /// Metrics of this VM.
    pub metrics: Metrics,
    /// Memory and connections that are held for callers.
    pub budget: Budget,
    state: Mutex<State>,
    open: Mutex<HashMap<RequestId, OpenEntry>>,
    next_request_id: AtomicU64,
    leaving: AtomicBool,
    attempts_ended: watch::Sender<bool>,
    registry_checks: Notify,
    outbox: mpsc::UnboundedSender<Outgoing>,
    /// Time of the last log line about a body that was refused.
    last_refusal: Mutex<Option<Instant>>,
}

/// Shared ownership of an [`Edge`].
pub type Handle = Arc<Edge>;

/// An instruction of the reducer to the task that serves a request.
#[derive(Debug)]
pub enum Instruction {
    /// Send the request to an upstream.
    Dispatch(Dispatch),
    /// End the request with this reply.
    Reply(Reply),
}

/// A message to another VM or to an upstream, other than a caller's request.
#[derive(Debug)]
pub enum Outgoing {
    /// Open a connection to an upstream to check that it is reachable.
    Probe(Name, SocketAddr),
    /// Send a heartbeat.
    Heartbeat(SocketAddr, Arc<Heartbeat>),
    /// Fetch the directory changes after a revision; the flag requests them even if they are large.
    FetchDirectory(SocketAddr, StoreRevision, bool),
    /// Fetch a peer's index of the prompt parts cached by upstreams.
    FetchCacheIndex(SocketAddr),
    /// Fetch the streams that a peer knows.
    FetchStreamOrigins(SocketAddr),
    /// Fetch the record of a stream from a peer.
    FetchStreamOrigin(SocketAddr, u64),
    /// Watch a run of an upstream.
    WatchUpstream(WatchedRun),
    /// Fetch the list of prompt parts in an upstream's cache.
    ListCache(Name, SocketAddr),
}

/// An open request, as the other tasks reach it.
struct OpenEntry {
    caller_request_id: String,
    instructions: mpsc::UnboundedSender<Instruction>,
}

/// A request that stays registered with the reducer until this value is dropped.
pub struct OpenRequest {
    /// Identifier of the request within this daemon process.
    pub id: RequestId,
    /// Instructions of the reducer, in order.
    pub instructions: mpsc::UnboundedReceiver<Instruction>,
    edge: Handle,
}

/// Route, workspace and priority of an admitted request.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Route of the request.
    pub route: Arc<Route>,
    /// Workspace of the caller, if the request has one.
    pub workspace: Option<Name>,
    /// Priority of the request; zero is the most urgent.
    pub priority: u8,
}

impl Edge {
    /// Creates the shared state and the receiver of outgoing messages.
    pub fn new(
        settings: EdgeSettings,
        dialect: Dialect,
        state: State,
    ) -> (Handle, mpsc::UnboundedReceiver<Outgoing>) {
        let (outbox, rx) = mpsc::unbounded_channel();
        let budget = Budget::new(budget_limits(&settings));
        let edge = Self {
            settings,
            dialect,
            clock: Clock::new(),
            pool: Pool::default(),
            cache_lists: Semaphore::new(peers::MAX_CACHE_LISTS),
            metrics: Metrics::new(),
            budget,
            state: Mutex::new(state),
            open: Mutex::default(),
            next_request_id: AtomicU64::new(1),
            leaving: AtomicBool::new(false),
            attempts_ended: watch::Sender::new(false),
            registry_checks: Notify::new(),
            outbox,
            last_refusal: Mutex::default(),
        };
        (Arc::new(edge), rx)
    }

    /// Passes an event to the reducer and applies the resulting effects.
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

    /// Reports the rate limit that a response of an upstream names, or that it names none any more.
    pub fn report_rate_limit(&self, upstream: &Name, per_s: Option<f64>) {
        let is_news = per_s.is_some() || self.state().has_rate_limit(upstream);
        if is_news {
            self.submit(Event::RateLimitNamed(upstream.clone(), per_s));
        }
    }

    fn apply(&self, effect: Effect) {
        match effect {
            Effect::Dispatch(request, dispatch) => {
                if let Some(urgency) = dispatch.urgency {
                    self.metrics.record_urgency(urgency);
                }
                if let Some(crossing) = dispatch.crossing {
                    self.metrics.record_crossing(crossing.left, crossing.reason.as_str());
                }
                self.send_instruction(request, Instruction::Dispatch(dispatch));
            }
            Effect::Reply(request, reply) => self.send_instruction(request, Instruction::Reply(reply)),
            Effect::Probe(id, address) => self.send(Outgoing::Probe(id, address)),
            Effect::Heartbeat(to, heartbeat) => self.send(Outgoing::Heartbeat(to, heartbeat)),
            Effect::FetchDirectory { from, after, needs_all } => {
                self.send(Outgoing::FetchDirectory(from, after, needs_all));
            }
            Effect::FetchCacheIndex(from) => self.send(Outgoing::FetchCacheIndex(from)),
            Effect::FetchStreamOrigins(from) => self.send(Outgoing::FetchStreamOrigins(from)),
            Effect::FetchStreamOrigin(from, stream) => self.send(Outgoing::FetchStreamOrigin(from, stream)),
            Effect::CheckRegistry => self.registry_checks.notify_one(),
            Effect::WatchUpstream { upstream, address, started, open_ms, report_ms, trust_ms } => {
                let run = WatchedRun { upstream, address, started, open_ms, report_ms, trust_ms };
                self.send(Outgoing::WatchUpstream(run));
            }
            Effect::ListCache(id, address) => self.send(Outgoing::ListCache(id, address)),
            Effect::Decision(record) => self.log_decision(&record),
        }
    }

    fn send(&self, outgoing: Outgoing) {
        if self.outbox.send(outgoing).is_err() {
            log::error!("cannot send to VMs and upstreams: the sender task has ended");
        }
    }

    fn send_instruction(&self, request: RequestId, instruction: Instruction) {
        if let Some(open) = self.requests().get(&request) {
            // If the task has ended, its request is already closed and the instruction is not needed.
            let _ = open.instructions.send(instruction);
        }
    }

    fn log_decision(&self, record: &Decision) {
        self.metrics.record_decision(record.event);
        let requests = self.requests();
        let caller_request_id =
            record.request.and_then(|r| requests.get(&r)).map(|o| o.caller_request_id.as_str());
        crate::logs::decision(record.event, caller_request_id, &record.inputs);
    }

    /// Locks the state of the reducer.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a request. Decisions on it are logged with the caller's identifier.
    pub fn open(self: &Arc<Self>, caller_request_id: &str) -> OpenRequest {
        let id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let (tx, instructions) = mpsc::unbounded_channel();
        self.requests()
            .insert(id, OpenEntry { caller_request_id: caller_request_id.to_owned(), instructions: tx });
        OpenRequest { id, instructions, edge: self.clone() }
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.requests().len()
    }

    fn requests(&self) -> MutexGuard<'_, HashMap<RequestId, OpenEntry>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the route, workspace and priority of a request, or why it is not admitted.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Result<Admitted, RouteError> {
        let routes = self.state().directory.routes.clone().ok_or(RouteError::NotReady)?;
        let (route, workspace) = routes.admit(host, path, key)?;
        Ok(Admitted {
            route: route.clone(),
            workspace: workspace.map(|w| w.name.clone()),
            priority: workspace.and_then(|w| w.priority).unwrap_or(route.priority),
        })
    }

    /// Returns the workspace to which a key belongs.
    pub fn workspace_of(&self, key: &str) -> Option<Name> {
        let state = self.state();
        state.directory.routes.as_ref()?.workspace_of(key).map(|workspace| workspace.name.clone())
    }

    /// Records that the body of a request was not received, or not to its end.
    pub fn record_refused_body(&self, caller_request_id: &str, why: &'static str) {
        self.metrics.record_refused_body(why);
        let mut last = self.last_refusal.lock().unwrap_or_else(PoisonError::into_inner);
        // Many callers may be refused at once.
        if last.is_none_or(|at| at.elapsed() >= REFUSAL_LOG_INTERVAL) {
            *last = Some(Instant::now());
            let held = self.budget.used();
            let inputs = [
                ("why", why.to_owned()),
                ("held_bytes", held.to_string()),
                ("connections", self.budget.connections().to_string()),
            ];
            crate::logs::decision("body_refused", Some(caller_request_id), &inputs);
        }
    }

    /// Returns the directory changes after a revision, for another VM.
    pub fn delta(&self, after: StoreRevision, needs_all: bool) -> Delta {
        self.state().delta(after, needs_all)
    }

    /// Returns whether this VM watches the registry itself.
    pub fn watches_registry(&self) -> bool {
        self.state().watches_registry()
    }

    /// Returns whether this VM has to check now whether the registry contains changes that it lacks.
    pub fn must_check_registry(&self) -> bool {
        self.state().must_check_registry()
    }

    /// Returns the number of upstreams that are slow now.
    pub fn slow_upstreams(&self) -> usize {
        speed::slow_count(&self.state())
    }

    /// Lists the prompt parts cached by upstreams, for another VM.
    pub fn cache_index(&self) -> Vec<CacheRecord> {
        let state = self.state();
        state.cache_index.list(state.now, state.tuning.cache_lifetime_ms)
    }

    /// Lists the streams that began lately, for another VM.
    pub fn stream_origins(&self) -> Vec<StreamOrigin> {
        let state = self.state();
        state.stream_origins.list(state.now)
    }

    /// Returns what is known of a stream, for another VM.
    pub fn stream_origin(&self, stream: u64) -> Option<StreamOrigin> {
        let state = self.state();
        state.stream_origins.record_of(stream, state.now)
    }

    /// Waits until the registry has to be asked for changes. [`Event::RegistryChecked`] ends each of these calls.
    pub async fn registry_check_requested(&self) {
        self.registry_checks.notified().await;
    }

    /// Applies the settings that can change while the VM runs.
    pub fn apply_settings(&self, settings: &EdgeSettings) {
        let mut state = self.state();
        state.tuning = tuning_from_settings(settings, state.tuning);
        crate::logs::decision("settings_reloaded", None, &[]);
    }

    /// Returns whether the load balancer should send callers to this VM.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.state().is_ready()
    }

    /// Returns whether this VM is leaving the fleet.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Starts to leave the fleet: the VM reports unready and informs its peers. The process exits after the given time.
    pub fn leave(&self, exits_in: Duration) {
        self.leaving.store(true, Ordering::Relaxed);
        let exits_in_ms = u64::try_from(exits_in.as_millis()).unwrap_or(u64::MAX);
        self.submit(Event::Leaving { exits_in_ms });
    }

    /// Ends all attempts whose response has not begun, because the process exits soon.
    pub fn end_attempts(&self) {
        self.attempts_ended.send_replace(true);
    }

    /// Waits until all attempts whose response has not begun have to end.
    pub async fn attempts_ended(&self) {
        // The sender lives as long as this value.
        let _ = self.attempts_ended.subscribe().wait_for(|ended| *ended).await;
    }
}

/// Returns the limits on what is held for callers.
fn budget_limits(settings: &EdgeSettings) -> BudgetLimits {
    // The settings limit the number to a range that the type covers.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let memory_bytes = (settings.memory_mb * f64::from(1 << 20)) as usize;
    BudgetLimits {
        min_bytes_per_s: settings.min_caller_bytes_per_s,
        stall_ms: settings.caller_stall_ms,
        room_wait_ms: settings.room_wait_ms,
        ..BudgetLimits::for_memory(memory_bytes)
    }
}

/// Returns `tuning` with the values that the settings specify.
pub fn tuning_from_settings(settings: &EdgeSettings, tuning: Tuning) -> Tuning {
    Tuning {
        drain_ms: settings.drain_ms,
        change_ms: settings.change_ms,
        retry_ratio: settings.retry_ratio,
        retry_slack: settings.retry_slack,
        retry_window_ms: settings.retry_window_ms,
        cold_factor: settings.cold_factor,
        cold_slack: settings.cold_slack,
        load_factor: tuning.load_factor.min(settings.max_load_factor),
        max_load_factor: settings.max_load_factor,
        registration_delay_ms: u32::try_from(settings.registration_delay_ms()).unwrap_or(u32::MAX),
        speed_decay_ms: settings.speed_decay_ms,
        domain_crossing_cost_ms: settings.domain_crossing_cost_ms,
        domain_crossing_min_rtt_us: settings.domain_crossing_min_rtt_us,
        ..tuning
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.edge.submit(Event::RequestClosed(self.id));
        self.edge.requests().remove(&self.id);
    }
}
