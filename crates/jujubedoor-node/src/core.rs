//! The task that owns the state: events go in, effects are carried out.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jujubedoor::Event;
use jujubedoor::State;
use jujubedoor::event::Dial;
use jujubedoor::event::Reply;
use jujubedoor::ids::RequestId;
use jujubedoor::ids::VmRef;
use jujubedoor_config::Settings;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::effects;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::timeline::Timeline;

/// The period of ticks.
const TICK: Duration = Duration::from_millis(25);

/// What all tasks of a daemon share.
pub struct Shared {
    /// The settings of the VM.
    pub settings: Settings,
    /// This run of the daemon.
    pub me: VmRef,
    /// The clocks.
    pub clock: Clock,
    /// The metrics.
    pub metrics: Metrics,
    /// The events for the time line.
    pub timeline: Timeline,
    /// The links to other VMs.
    pub peers: Peers,
    /// Turns true when an operator asks the VM to leave.
    pub drain_signal: watch::Sender<bool>,
    inputs: mpsc::UnboundedSender<Input>,
    open: Mutex<HashMap<RequestId, mpsc::UnboundedSender<Instruction>>>,
    next_request: AtomicU64,
}

/// A handle to what all tasks of a daemon share.
pub type Handle = Arc<Shared>;

/// What the core tells the task that serves a request.
#[derive(Debug)]
pub enum Instruction {
    /// Sends the request to an upstream and streams the answer.
    Dial(Dial),
    /// Ends the request.
    Reply(Reply),
}

/// What the core task receives.
pub enum Input {
    /// An event for the reducer.
    Event(Box<Event>),
    /// A look at the state.
    Query(Box<dyn FnOnce(&State) + Send>),
}

/// A request that the core may send instructions for until it is dropped.
pub struct OpenRequest {
    /// The request.
    pub id: RequestId,
    /// The instructions.
    pub instructions: mpsc::UnboundedReceiver<Instruction>,
    handle: Handle,
}

impl Shared {
    /// Creates what all tasks share, and the input of the core task.
    pub fn new(settings: Settings, me: VmRef) -> (Handle, mpsc::UnboundedReceiver<Input>) {
        let (inputs, rx) = mpsc::unbounded_channel();
        let shared = Self {
            peers: Peers::new(&settings.key),
            drain_signal: watch::channel(false).0,
            settings,
            me,
            clock: Clock::new(),
            metrics: Metrics::new(),
            timeline: Timeline::default(),
            inputs,
            open: Mutex::default(),
            next_request: AtomicU64::new(1),
        };
        (Arc::new(shared), rx)
    }

    /// Gives an event to the reducer.
    pub fn submit(&self, event: Event) {
        // The core task ends only with the process.
        let _ = self.inputs.send(Input::Event(Box::new(event)));
    }

    /// Looks at the state between two events.
    pub async fn query<T, F>(&self, look: F) -> Option<T>
    where
        T: Send + 'static,
        F: FnOnce(&State) -> T + Send + 'static,
    {
        let (tx, rx) = oneshot::channel();
        let look = Box::new(move |state: &State| {
            let _ = tx.send(look(state));
        });
        self.inputs.send(Input::Query(look)).ok()?;
        rx.await.ok()
    }

    /// Opens a request.
    pub fn open_request(self: &Arc<Self>) -> OpenRequest {
        let seq = self.next_request.fetch_add(1, Ordering::Relaxed);
        let id = RequestId { incarnation: self.me.incarnation, seq };
        let (tx, instructions) = mpsc::unbounded_channel();
        self.requests().insert(id, tx);
        OpenRequest { id, instructions, handle: self.clone() }
    }

    /// Sends an instruction to the task that serves a request and tells whether there is one.
    pub fn send_instruction(&self, request: RequestId, instruction: Instruction) -> bool {
        self.requests().get(&request).is_some_and(|tx| tx.send(instruction).is_ok())
    }

    /// Returns how many requests are open.
    pub fn open_requests(&self) -> usize {
        self.requests().len()
    }

    fn requests(&self) -> std::sync::MutexGuard<'_, HashMap<RequestId, mpsc::UnboundedSender<Instruction>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.handle.requests().remove(&self.id);
        self.handle.submit(Event::CallerGone(self.id));
    }
}

/// Runs the core task until nobody can send to it.
pub async fn run(handle: Handle, mut state: State, mut inputs: mpsc::UnboundedReceiver<Input>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let input = tokio::select! {
            biased;
            input = inputs.recv() => input,
            _ = ticks.tick() => Some(Input::Event(Box::new(Event::Tick))),
        };
        match input {
            Some(Input::Event(event)) => {
                let started = std::time::Instant::now();
                let kind = event.kind();
                let effects = jujubedoor::reduce(&mut state, handle.clock.now(), *event);
                handle.metrics.record_event(kind, started.elapsed());
                effects::apply(&handle, &state, effects);
            }
            Some(Input::Query(look)) => look(&state),
            None => return,
        }
    }
}
