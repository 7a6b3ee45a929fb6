//! The executor: runs the call of a ticket at most once and keeps the answer for resends.
//!
//! Any VM passes a call with a ticket to the run of the daemon that issued it. Only that run may send
//! it to an upstream. It notes the ticket before it starts, so that a resend finds the record: it
//! waits for the running call, or gets the kept answer. When that run is gone, the ticket is void and
//! the outcome unknown, unless it left gracefully and passed its records on.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::hash::Hash;
use std::hash::Hasher;
use std::num::NonZeroUsize;
use std::sync::Arc;

use jujubedoor_config::Name;
use lru::LruCache;
use xxhash_rust::xxh3::Xxh3;

use crate::call::Answer;
use crate::call::Arrival;
use crate::call::ServiceCall;
use crate::entry;
use crate::event::CountedEvent;
use crate::event::Effect;
use crate::event::IssueTickets;
use crate::event::Reply;
use crate::event::TimelineEvent;
use crate::ids::AffinityKey;
use crate::ids::Fingerprint;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::Time;
use crate::ids::VmRef;
use crate::message::Execute;
use crate::message::Executed;
use crate::message::Handover;
use crate::message::Message;
use crate::outcome::Outcome;
use crate::outcome::Reason;
use crate::outcome::RequestError;
use crate::state::State;
use crate::ticket::Ticket;
use crate::ticket::TicketKey;

/// The bit that marks the requests that an executor makes itself.
const RUN_BIT: u64 = 1 << 63;

/// The most tickets that are issued at once.
pub const MAX_TICKETS_PER_REQUEST: u32 = 64;

/// How many records of executors that left are kept.
const INHERITED: usize = 20_000;

/// The largest message of records that is passed on, in bytes of answers.
const HANDOVER_BYTES: usize = 256 << 10;

/// The result of a ticket's call: the answer, or why there is none.
pub type CallResult = Result<Arc<Answer>, RequestError>;

/// The tickets that this VM issued, and the calls that it passed to other executors.
pub struct Executor {
    key: TicketKey,
    next_seq: u64,
    issued: VecDeque<Time>,
    records: BTreeMap<u64, Record>,
    runs: BTreeMap<RequestId, u64>,
    pending: BTreeMap<RequestId, Pending>,
    inherited: LruCache<(VmRef, u64), (u64, CallResult)>,
    inherited_from: LruCache<VmRef, BTreeSet<u32>>,
    next_run: u64,
    kept_bytes: usize,
    closing: bool,
}

/// What the executor knows of a used ticket.
struct Record {
    issued_at: Time,
    call: u64,
    state: RecordState,
}

enum RecordState {
    Running(Vec<Waiter>),
    Finished(CallResult),
}

/// Who waits for a ticket's call: a request, at this VM or at another.
struct Waiter {
    vm: Name,
    request: RequestId,
}

/// A call that was passed to another executor.
struct Pending {
    vm: Name,
    executor: VmRef,
    execute: Execute,
    until: Time,
    workspace: Name,
    pool: PoolId,
}

impl Executor {
    /// Creates an executor without tickets.
    pub fn new(key: TicketKey) -> Self {
        let inherited = NonZeroUsize::new(INHERITED).unwrap_or(NonZeroUsize::MIN);
        Self {
            key,
            next_seq: 0,
            issued: VecDeque::new(),
            records: BTreeMap::new(),
            runs: BTreeMap::new(),
            pending: BTreeMap::new(),
            inherited: LruCache::new(inherited),
            inherited_from: LruCache::new(inherited),
            next_run: 0,
            kept_bytes: 0,
            closing: false,
        }
    }

    /// Tells whether no call runs or waits for another executor.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.pending.is_empty()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// Issues a ticket, unless too many are in use.
pub fn issue(state: &mut State, workspace: &Name, pool: &PoolId) -> Option<String> {
    let now = state.now;
    let executor = &mut state.executor;
    // Every ticket that may still be used needs room for its record.
    if executor.closing || executor.issued.len() + executor.records.len() >= state.tuning.max_records {
        return None;
    }
    executor.next_seq += 1;
    executor.issued.push_back(now);
    let ticket = Ticket {
        executor: state.fleet.local_vm().clone(),
        seq: executor.next_seq,
        issued_at: now,
        workspace: workspace.clone(),
        pool: pool.clone(),
    };
    Some(executor.key.sign(&ticket))
}

/// Answers a caller's request for tickets.
pub fn issue_tickets(state: &mut State, request: &IssueTickets) {
    let arrival = Arrival {
        workspace: request.workspace.clone(),
        pool: request.pool.clone(),
        service_call: Some(ServiceCall::default()),
        ..Arrival::default()
    };
    let reply = match entry::find_pool(state, &arrival) {
        Err(refusal) => Reply::Error(refusal),
        Ok(_) if !state.can_serve() => Reply::Error(RequestError::not_run(Reason::NotReady)),
        Ok(pool) => {
            let count = request.count.clamp(1, MAX_TICKETS_PER_REQUEST);
            let tickets = (0..count).filter_map(|_| issue(state, &request.workspace, &pool)).collect();
            Reply::Tickets(tickets)
        }
    };
    state.effects.push(Effect::Reply(request.request, reply));
}

/// Passes a call to the executor of its ticket, which may be this VM.
pub fn forward(state: &mut State, arrival: &Arrival, text: &str) -> Result<(), RequestError> {
    let Ok(ticket) = state.executor.key.verify(text) else {
        return Err(RequestError::not_run(Reason::BadTicket));
    };
    let Some(plain) = &arrival.service_call else { return Err(RequestError::not_run(Reason::BadTicket)) };
    let call =
        ServiceCall { workspace: arrival.workspace.clone(), pool: ticket.pool.clone(), ..plain.clone() };
    let named = state.catalog.pool_of(&arrival.workspace, &arrival.pool);
    if ticket.workspace != arrival.workspace || named.is_some_and(|pool| pool != ticket.pool) {
        return Err(RequestError::not_run(Reason::BadTicket));
    }
    let vm = executor_of(state, &ticket.executor).ok_or(RequestError::unknown(Reason::TicketVoid))?;
    let execute = Execute { request: arrival.request, ticket: Arc::from(text), call: Arc::new(call) };
    let pending = Pending {
        vm: vm.clone(),
        executor: ticket.executor,
        execute: execute.clone(),
        until: state.now.after(state.tuning.executor_timeout_ms).min(arrival.deadline),
        workspace: ticket.workspace,
        pool: ticket.pool,
    };
    state.executor.pending.insert(arrival.request, pending);
    state.send(&vm, Message::Execute(execute));
    Ok(())
}

/// Runs a ticket's call, or answers from its record.
pub fn handle_execute(state: &mut State, from: &VmRef, execute: &Execute) {
    let waiter = Waiter { vm: from.name.clone(), request: execute.request };
    let Ok(ticket) = state.executor.key.verify(&execute.ticket) else {
        answer(state, &waiter, Err(RequestError::not_run(Reason::BadTicket)));
        return;
    };
    let call = hash_of(&execute.call);
    if ticket.executor != *state.fleet.local_vm() {
        let result = recall(state, &ticket, call);
        answer(state, &waiter, result);
        return;
    }
    if let Some(record) = state.executor.records.get_mut(&ticket.seq) {
        if record.call != call {
            answer(state, &waiter, Err(RequestError::not_run(Reason::TicketReused)));
            return;
        }
        match &mut record.state {
            RecordState::Running(waiters) => waiters.push(waiter),
            RecordState::Finished(result) => {
                let result = result.clone();
                answer(state, &waiter, result);
            }
        }
        return;
    }
    match check_unused(state, &ticket, &execute.call) {
        Ok(()) => run(state, &ticket, call, execute, waiter),
        Err(refusal) => {
            if refusal.outcome == Outcome::NotRun {
                let finished = RecordState::Finished(Err(refusal.clone()));
                let record = Record { issued_at: ticket.issued_at, call, state: finished };
                state.executor.records.insert(ticket.seq, record);
            }
            answer(state, &waiter, Err(refusal));
        }
    }
}

/// Takes the answer of an executor; one that comes late, twice or for nobody is dropped.
pub fn handle_executed(state: &mut State, executed: Executed) {
    let Some(pending) = state.executor.pending.remove(&executed.request) else {
        state.count(CountedEvent::MessageDropped);
        return;
    };
    let reply = match executed.result {
        Ok(answer) => Reply::Answer(answer),
        Err(refusal) => Reply::Error(with_fresh_ticket(state, refusal, &pending)),
    };
    if let Reply::Error(refusal) = &reply {
        state.record(Some(executed.request), None, TimelineEvent::RequestFailed(refusal.clone()));
    }
    state.effects.push(Effect::Reply(executed.request, reply));
}

/// Gives up on the calls that wait for an executor that cannot be reached.
///
/// An executor that announced its leaving may have passed on its records: its successor is asked.
pub fn handle_executor_unreachable(state: &mut State, name: &Name) {
    let lost: Vec<_> =
        state.executor.pending.iter().filter(|(_, p)| p.vm == *name).map(|(request, _)| *request).collect();
    for request in lost {
        let Some(pending) = state.executor.pending.get(&request) else { continue };
        let (executor, execute) = (pending.executor.clone(), pending.execute.clone());
        let successor = successor_of(state, &executor).filter(|vm| vm != name);
        match successor.filter(|_| executor.name == *name && state.fleet.has_announced_leaving(&executor)) {
            Some(successor) => pass_on(state, request, &successor, execute),
            None => give_up(state, request),
        }
    }
}

/// Passes a call on to another VM and waits for that one's answer.
fn pass_on(state: &mut State, request: RequestId, to: &Name, execute: Execute) {
    if let Some(pending) = state.executor.pending.get_mut(&request) {
        pending.vm = to.clone();
    }
    state.send(to, Message::Execute(execute));
}

/// Notes the result of a ticket's call and answers all who wait for it.
pub fn finish_run(state: &mut State, run: RequestId, result: &CallResult) {
    let Some(seq) = state.executor.runs.remove(&run) else { return };
    let Some(record) = state.executor.records.get_mut(&seq) else { return };
    let finished = RecordState::Finished(result.clone());
    let RecordState::Running(waiters) = std::mem::replace(&mut record.state, finished) else { return };
    state.executor.kept_bytes += length_of(result);
    forget_answers(state);
    for waiter in waiters {
        answer(state, &waiter, result.clone());
    }
}

/// Replaces the oldest kept answers by an unknown outcome until the others fit.
fn forget_answers(state: &mut State) {
    let most = state.tuning.response_cache_bytes;
    let executor = &mut state.executor;
    for record in executor.records.values_mut() {
        if executor.kept_bytes <= most {
            return;
        }
        let RecordState::Finished(result) = &mut record.state else { continue };
        executor.kept_bytes -= length_of(result);
        if result.is_ok() {
            *result = Err(RequestError::unknown(Reason::AnswerForgotten));
        }
    }
}

/// Returns how many bytes an answer keeps.
fn length_of(result: &CallResult) -> usize {
    result.as_ref().map_or(0, |answer| answer.body.len())
}

/// Forgets old records and gives up on silent executors.
pub fn tick(state: &mut State) {
    let now = state.now;
    let tuning = state.tuning;
    let executor = &mut state.executor;
    while executor.issued.front().is_some_and(|at| now.since(*at) > tuning.ticket_lifetime_ms) {
        executor.issued.pop_front();
    }
    while let Some(oldest) = executor.records.first_entry() {
        let running = matches!(oldest.get().state, RecordState::Running(_));
        if running || now.since(oldest.get().issued_at) <= tuning.record_retention_ms {
            break;
        }
        if let RecordState::Finished(result) = &oldest.get().state {
            executor.kept_bytes -= length_of(result);
        }
        oldest.remove();
    }
    let silent: Vec<_> =
        executor.pending.iter().filter(|(_, p)| now >= p.until).map(|(request, _)| *request).collect();
    for request in silent {
        give_up(state, request);
    }
}

/// Closes all unused tickets and passes the records to the VM that stands in for this one.
pub fn hand_over(state: &mut State) {
    state.executor.closing = true;
    let me = state.fleet.local_vm().clone();
    let Some(successor) = successor_of(state, &me) else { return };
    let mut batches = vec![Vec::new()];
    let mut bytes = 0;
    for (seq, record) in &state.executor.records {
        let result = match &record.state {
            RecordState::Finished(result) => result.clone(),
            RecordState::Running(_) => Err(RequestError::unknown(Reason::TicketVoid)),
        };
        bytes += length_of(&result);
        if bytes > HANDOVER_BYTES {
            bytes = 0;
            batches.push(Vec::new());
        }
        if let Some(batch) = batches.last_mut() {
            batch.push((*seq, record.call, result));
        }
    }
    let parts = u32::try_from(batches.len()).unwrap_or(u32::MAX);
    for (part, records) in (0..parts).zip(batches) {
        let handover = Handover { executor: me.clone(), part, parts, records };
        state.send(&successor, Message::Handover(handover));
    }
}

/// Takes the records of an executor that leaves.
pub fn handle_handover(state: &mut State, handover: Handover) {
    let Handover { executor, part, parts, records } = handover;
    let missing = state.executor.inherited_from.get_or_insert_mut(executor.clone(), || (0..parts).collect());
    missing.remove(&part);
    for (seq, call, result) in records {
        state.executor.inherited.put((executor.clone(), seq), (call, result));
    }
}

/// Checks that an unused ticket may be used now.
fn check_unused(state: &State, ticket: &Ticket, call: &ServiceCall) -> Result<(), RequestError> {
    let age = state.now.since(ticket.issued_at);
    if age > state.tuning.record_retention_ms {
        return Err(RequestError::unknown(Reason::AnswerForgotten));
    }
    if age > state.tuning.ticket_lifetime_ms {
        return Err(RequestError::not_run(Reason::TicketExpired));
    }
    if state.executor.closing {
        return Err(RequestError::not_run(Reason::TicketClosed));
    }
    if ticket.workspace != call.workspace || ticket.pool != call.pool {
        return Err(RequestError::not_run(Reason::BadTicket));
    }
    if !state.catalog.pools.contains_key(&ticket.pool) {
        return Err(RequestError::not_run(Reason::UnknownPool));
    }
    Ok(())
}

/// Notes the ticket as used, then starts its call.
fn run(state: &mut State, ticket: &Ticket, call: u64, execute: &Execute, waiter: Waiter) {
    let executor = &mut state.executor;
    executor.next_run += 1;
    let request =
        RequestId { incarnation: state.fleet.local_vm().incarnation, seq: executor.next_run | RUN_BIT };
    let record = Record { issued_at: ticket.issued_at, call, state: RecordState::Running(vec![waiter]) };
    executor.records.insert(ticket.seq, record);
    executor.runs.insert(request, ticket.seq);
    let arrival = Arrival {
        request,
        workspace: ticket.workspace.clone(),
        key: AffinityKey(call),
        fingerprint: Fingerprint(call),
        service_call: Some(ServiceCall::default()),
        deadline: state.now.after(state.tuning.executor_timeout_ms),
        ..Arrival::default()
    };
    state.record(Some(execute.request), None, TimelineEvent::TicketCallStarted);
    let flight = entry::run_flight(state, &arrival, &ticket.pool, execute.call.clone());
    entry::launch(state, flight);
}

/// Answers for an executor that is not this run of the daemon, from its records if they were passed on.
fn recall(state: &mut State, ticket: &Ticket, call: u64) -> CallResult {
    let key = (ticket.executor.clone(), ticket.seq);
    match state.executor.inherited.peek(&key) {
        Some((known, result)) if *known == call => result.clone(),
        Some(_) => Err(RequestError::not_run(Reason::TicketReused)),
        // The executor passed on all its records, so that a ticket without one was closed unused.
        None if has_inherited_all(state, &ticket.executor) => {
            Err(RequestError::not_run(Reason::TicketClosed))
        }
        None => Err(RequestError::unknown(Reason::TicketVoid)),
    }
}

/// Tells whether an executor that left passed on all its records, and none was dropped since.
fn has_inherited_all(state: &State, executor: &VmRef) -> bool {
    let complete = state.executor.inherited_from.peek(executor).is_some_and(BTreeSet::is_empty);
    complete && state.executor.inherited.len() < INHERITED
}

fn answer(state: &mut State, waiter: &Waiter, result: CallResult) {
    let executed = Executed { request: waiter.request, result };
    state.send(&waiter.vm, Message::Executed(executed));
}

fn give_up(state: &mut State, request: RequestId) {
    state.executor.pending.remove(&request);
    let refusal = RequestError::unknown(Reason::ExecutorSilent);
    state.record(Some(request), None, TimelineEvent::RequestFailed(refusal.clone()));
    state.effects.push(Effect::Reply(request, Reply::Error(refusal)));
}

/// Adds a fresh ticket of this VM when the old one can no longer be used.
fn with_fresh_ticket(state: &mut State, refusal: RequestError, pending: &Pending) -> RequestError {
    let reusable = matches!(refusal.reason, Reason::TicketReused | Reason::BadTicket);
    if refusal.outcome != Outcome::NotRun || reusable {
        return refusal;
    }
    let ticket = issue(state, &pending.workspace, &pending.pool);
    RequestError { ticket, ..refusal }
}

/// Returns the VM to ask about a ticket: its executor, or the one that stands in for it.
fn executor_of(state: &State, executor: &VmRef) -> Option<Name> {
    let known = state.fleet.incarnation(&executor.name);
    let same = known.is_none_or(|incarnation| incarnation == executor.incarnation);
    let reachable = !state.fleet.is_suspected(&executor.name, state.now);
    let listed = state.fleet.is_listed(&executor.name) || executor.name == state.fleet.local_vm().name;
    if same && reachable && listed {
        return Some(executor.name.clone());
    }
    successor_of(state, executor)
}

fn successor_of(state: &State, executor: &VmRef) -> Option<Name> {
    let what = format!("executor {} {}", executor.name, executor.incarnation.0);
    state.fleet.owner(&what, &state.region, state.now).cloned()
}

fn hash_of(call: &ServiceCall) -> u64 {
    let mut hasher = Xxh3::new();
    (&call.workspace, &call.pool, &call.method, &call.path, &call.body).hash(&mut hasher);
    hasher.finish()
}
