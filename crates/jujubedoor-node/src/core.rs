//! The task that owns the state: it passes events to the reducer and applies the resulting effects.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jujubedoor::Event;
use jujubedoor::State;
use jujubedoor::event::Dispatch;
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

/// Interval between tick events.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// The state that all tasks of a daemon share.
pub struct Shared {
    /// The settings of the VM.
    pub settings: Settings,
    /// The name of this VM and the incarnation of this daemon process.
    pub local_vm: VmRef,
    /// The monotonic and the hybrid logical clock.
    pub clock: Clock,
    /// The metrics.
    pub metrics: Metrics,
    /// The timeline of recent events.
    pub timeline: Timeline,
    /// The connections to other VMs.
    pub peers: Peers,
    /// Becomes true when an operator requests a drain.
    pub drain_signal: watch::Sender<bool>,
    inputs: mpsc::UnboundedSender<Input>,
    instruction_senders: Mutex<HashMap<RequestId, mpsc::UnboundedSender<Instruction>>>,
    next_request_seq: AtomicU64,
}

/// A handle to the shared state of a daemon's tasks.
pub type Handle = Arc<Shared>;

/// An instruction of the core task to the task that serves a request.
#[derive(Debug)]
pub enum Instruction {
    /// Send the request to an upstream and relay its response.
    Dispatch(Dispatch),
    /// End the request with a reply.
    Reply(Reply),
}

/// An input of the core task.
pub enum Input {
    /// An event for the reducer.
    Event(Box<Event>),
    /// A closure that reads the state.
    Query(Box<dyn FnOnce(&State) + Send>),
}

/// A request for which the core task can send instructions until this value is dropped.
///
/// Dropping it sends [`Event::CallerGone`] to the reducer.
pub struct OpenRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The instructions of the core task.
    pub instructions: mpsc::UnboundedReceiver<Instruction>,
    handle: Handle,
}

impl Shared {
    /// Creates the shared state and the receiver of the core task's inputs.
    pub fn new(settings: Settings, local_vm: VmRef) -> (Handle, mpsc::UnboundedReceiver<Input>) {
        let (inputs, rx) = mpsc::unbounded_channel();
        let shared = Self {
            peers: Peers::new(&settings.key),
            drain_signal: watch::channel(false).0,
            settings,
            local_vm,
            clock: Clock::new(),
            metrics: Metrics::new(),
            timeline: Timeline::default(),
            inputs,
            instruction_senders: Mutex::default(),
            next_request_seq: AtomicU64::new(1),
        };
        (Arc::new(shared), rx)
    }

    /// Sends an event to the reducer.
    pub fn submit(&self, event: Event) {
        // Fails only if the core task has stopped, which happens when the daemon stops.
        let _ = self.inputs.send(Input::Event(Box::new(event)));
    }

    /// Runs a closure on the state between two events and returns its result.
    ///
    /// Returns `None` if the core task has stopped.
    pub async fn query<T, F>(&self, read: F) -> Option<T>
    where
        T: Send + 'static,
        F: FnOnce(&State) -> T + Send + 'static,
    {
        let (tx, rx) = oneshot::channel();
        let read = Box::new(move |state: &State| {
            let _ = tx.send(read(state));
        });
        self.inputs.send(Input::Query(read)).ok()?;
        rx.await.ok()
    }

    /// Creates a request with a new id, for which the core task can send instructions.
    pub fn open_request(self: &Arc<Self>) -> OpenRequest {
        let seq = self.next_request_seq.fetch_add(1, Ordering::Relaxed);
        let id = RequestId { incarnation: self.local_vm.incarnation, seq };
        let (tx, instructions) = mpsc::unbounded_channel();
        self.lock_senders().insert(id, tx);
        OpenRequest { id, instructions, handle: self.clone() }
    }

    /// Sends an instruction to the task that serves a request and returns whether that task still exists.
    pub fn send_instruction(&self, request: RequestId, instruction: Instruction) -> bool {
        self.lock_senders().get(&request).is_some_and(|tx| tx.send(instruction).is_ok())
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.lock_senders().len()
    }

    fn lock_senders(
        &self,
    ) -> std::sync::MutexGuard<'_, HashMap<RequestId, mpsc::UnboundedSender<Instruction>>> {
        self.instruction_senders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.handle.lock_senders().remove(&self.id);
        self.handle.submit(Event::CallerGone(self.id));
    }
}

/// Runs the core task for as long as the daemon runs.
pub async fn run(handle: Handle, mut state: State, mut inputs: mpsc::UnboundedReceiver<Input>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
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
            Some(Input::Query(read)) => read(&state),
            None => return,
        }
    }
}
