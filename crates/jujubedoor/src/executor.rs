//! The executor: runs the call of a ticket at most once, and keeps the response for resent requests.
//!
//! The daemon process that issued a ticket is its executor. Every VM forwards a call with a ticket to it, and
//! only it may send the call to an upstream. It records the ticket before it starts the call, so a resent
//! request finds the record and waits for the running call or gets the stored response. Once the executor has
//! ended, the ticket is void and the outcome unknown, unless it left gracefully and handed its records over.

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

/// Bit that marks the sequence numbers of the requests that an executor creates itself.
const EXECUTOR_REQUEST_BIT: u64 = 1 << 63;

/// Maximum number of tickets issued for one request.
pub const MAX_TICKETS_PER_REQUEST: u32 = 64;

/// Maximum number of records kept of executors that have left.
const MAX_INHERITED_RECORDS: usize = 20_000;

/// Maximum response bytes in one handover message. A response that exceeds it starts the next one, uncounted.
const MAX_HANDOVER_BYTES: usize = 256 << 10;

/// The result of a ticket's call: the response, or the reason why there is none.
pub type CallResult = Result<Arc<Answer>, RequestError>;

/// This VM's issued tickets, calls forwarded to executors, and records handed over by other executors.
pub struct Executor {
    key: TicketKey,
    next_ticket_seq: u64,
    issue_times: VecDeque<Time>,
    records: BTreeMap<u64, Record>,
    running: BTreeMap<RequestId, u64>,
    forwarded: BTreeMap<RequestId, ForwardedCall>,
    inherited: LruCache<(VmRef, u64), (u64, CallResult)>,
    missing_parts: LruCache<VmRef, BTreeSet<u32>>,
    next_request_seq: u64,
    response_bytes: usize,
    closing: bool,
}

/// The record of a used ticket.
struct Record {
    issued_at: Time,
    call_hash: u64,
    state: RecordState,
}

enum RecordState {
    Running(Vec<Requester>),
    Finished(CallResult),
}

/// A request, at this or another VM, that waits for the result of a ticket's call.
struct Requester {
    vm: Name,
    request: RequestId,
}

struct ForwardedCall {
    vm: Name,
    executor: VmRef,
    execute: Execute,
    expires_at: Time,
    workspace: Name,
    pool: PoolId,
}

impl Executor {
    /// Creates an executor that has issued no tickets.
    pub fn new(key: TicketKey) -> Self {
        let capacity = NonZeroUsize::new(MAX_INHERITED_RECORDS).unwrap_or(NonZeroUsize::MIN);
        Self {
            key,
            next_ticket_seq: 0,
            issue_times: VecDeque::new(),
            records: BTreeMap::new(),
            running: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            inherited: LruCache::new(capacity),
            missing_parts: LruCache::new(capacity),
            next_request_seq: 0,
            response_bytes: 0,
            closing: false,
        }
    }

    /// Returns whether no call is running or waiting for an executor.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.forwarded.is_empty()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// Issues a ticket, unless the executor is closing or its unexpired tickets and records reach the maximum.
pub fn issue(state: &mut State, workspace: &Name, pool: &PoolId) -> Option<String> {
    let now = state.now;
    let executor = &mut state.executor;
    // Each ticket that may still be used needs capacity for its record.
    if executor.closing || executor.issue_times.len() + executor.records.len() >= state.tuning.max_records {
        return None;
    }
    executor.next_ticket_seq += 1;
    executor.issue_times.push_back(now);
    let ticket = Ticket {
        executor: state.fleet.local_vm().clone(),
        seq: executor.next_ticket_seq,
        issued_at: now,
        workspace: workspace.clone(),
        pool: pool.clone(),
    };
    Some(executor.key.sign(&ticket))
}

/// Handles a caller's request for tickets.
pub fn issue_tickets(state: &mut State, request: &IssueTickets) {
    let arrival = Arrival {
        workspace: request.workspace.clone(),
        pool: request.pool.clone(),
        service_call: Some(ServiceCall::default()),
        ..Arrival::default()
    };
    let reply = match entry::find_pool(state, &arrival) {
        Err(error) => Reply::Error(error),
        Ok(_) if !state.can_serve() => Reply::Error(RequestError::not_run(Reason::NotReady)),
        Ok(pool) => {
            let count = request.count.clamp(1, MAX_TICKETS_PER_REQUEST);
            let tickets = (0..count).filter_map(|_| issue(state, &request.workspace, &pool)).collect();
            Reply::Tickets(tickets)
        }
    };
    state.effects.push(Effect::Reply(request.request, reply));
}

/// Forwards a call to the executor of its ticket, which may be this VM.
pub fn forward(state: &mut State, arrival: &Arrival, text: &str) -> Result<(), RequestError> {
    let Ok(ticket) = state.executor.key.verify(text) else {
        return Err(RequestError::not_run(Reason::BadTicket));
    };
    let Some(received) = &arrival.service_call else { return Err(RequestError::not_run(Reason::BadTicket)) };
    let call =
        ServiceCall { workspace: arrival.workspace.clone(), pool: ticket.pool.clone(), ..received.clone() };
    let requested_pool = state.catalog.pool_of(&arrival.workspace, &arrival.pool);
    if ticket.workspace != arrival.workspace || requested_pool.is_some_and(|pool| pool != ticket.pool) {
        return Err(RequestError::not_run(Reason::BadTicket));
    }
    let vm = responsible_vm(state, &ticket.executor).ok_or(RequestError::unknown(Reason::TicketVoid))?;
    let execute = Execute { request: arrival.request, ticket: Arc::from(text), call: Arc::new(call) };
    let forwarded = ForwardedCall {
        vm: vm.clone(),
        executor: ticket.executor,
        execute: execute.clone(),
        expires_at: state.now.after(state.tuning.executor_timeout_ms).min(arrival.deadline),
        workspace: ticket.workspace,
        pool: ticket.pool,
    };
    state.executor.forwarded.insert(arrival.request, forwarded);
    state.send(&vm, Message::Execute(execute));
    Ok(())
}

/// Handles a forwarded call: runs it, or responds from the record of its ticket.
pub fn handle_execute(state: &mut State, from: &VmRef, execute: &Execute) {
    let requester = Requester { vm: from.name.clone(), request: execute.request };
    let Ok(ticket) = state.executor.key.verify(&execute.ticket) else {
        send_result(state, &requester, Err(RequestError::not_run(Reason::BadTicket)));
        return;
    };
    let call_hash = hash_call(&execute.call);
    if ticket.executor != *state.fleet.local_vm() {
        let result = inherited_result(state, &ticket, call_hash);
        send_result(state, &requester, result);
        return;
    }
    if let Some(record) = state.executor.records.get_mut(&ticket.seq) {
        if record.call_hash != call_hash {
            send_result(state, &requester, Err(RequestError::not_run(Reason::TicketReused)));
            return;
        }
        match &mut record.state {
            RecordState::Running(requesters) => requesters.push(requester),
            RecordState::Finished(result) => {
                let result = result.clone();
                send_result(state, &requester, result);
            }
        }
        return;
    }
    match check_unused(state, &ticket, &execute.call) {
        Ok(()) => start_call(state, &ticket, call_hash, execute, requester),
        Err(error) => {
            if error.outcome == Outcome::NotRun {
                let finished = RecordState::Finished(Err(error.clone()));
                let record = Record { issued_at: ticket.issued_at, call_hash, state: finished };
                state.executor.records.insert(ticket.seq, record);
            }
            send_result(state, &requester, Err(error));
        }
    }
}

/// Handles the result from an executor. A result that is late, duplicate or unexpected is discarded.
pub fn handle_executed(state: &mut State, executed: Executed) {
    let Some(forwarded) = state.executor.forwarded.remove(&executed.request) else {
        state.count(CountedEvent::MessageDropped);
        return;
    };
    let reply = match executed.result {
        Ok(answer) => Reply::Answer(answer),
        Err(error) => Reply::Error(with_new_ticket(state, error, &forwarded)),
    };
    if let Reply::Error(error) = &reply {
        state.record(Some(executed.request), None, TimelineEvent::RequestFailed(error.clone()));
    }
    state.effects.push(Effect::Reply(executed.request, reply));
}

/// Fails the calls that wait for an unreachable executor. If it had announced that it is leaving, they are
/// sent to its successor instead, which may have received its records.
pub fn handle_executor_unreachable(state: &mut State, name: &Name) {
    let affected: Vec<_> = state
        .executor
        .forwarded
        .iter()
        .filter(|(_, forwarded_call)| forwarded_call.vm == *name)
        .map(|(request, _)| *request)
        .collect();
    for request in affected {
        let Some(forwarded) = state.executor.forwarded.get(&request) else { continue };
        let (executor, execute) = (forwarded.executor.clone(), forwarded.execute.clone());
        let successor = find_successor(state, &executor).filter(|vm| vm != name);
        match successor.filter(|_| executor.name == *name && state.fleet.has_announced_leaving(&executor)) {
            Some(successor) => redirect(state, request, &successor, execute),
            None => fail_request(state, request),
        }
    }
}

/// Sends a forwarded call to another VM and waits for the result from that VM.
fn redirect(state: &mut State, request: RequestId, to: &Name, execute: Execute) {
    if let Some(forwarded) = state.executor.forwarded.get_mut(&request) {
        forwarded.vm = to.clone();
    }
    state.send(to, Message::Execute(execute));
}

/// Records the result of a ticket's call and sends it to all requests that wait for it.
pub fn finish_run(state: &mut State, run_request: RequestId, result: &CallResult) {
    let Some(seq) = state.executor.running.remove(&run_request) else { return };
    let Some(record) = state.executor.records.get_mut(&seq) else { return };
    let finished = RecordState::Finished(result.clone());
    let RecordState::Running(requesters) = std::mem::replace(&mut record.state, finished) else { return };
    state.executor.response_bytes += response_len(result);
    evict_responses(state);
    for requester in requesters {
        send_result(state, &requester, result.clone());
    }
}

/// Replaces the oldest tickets' stored responses with an unknown outcome until the rest fit the size limit.
fn evict_responses(state: &mut State) {
    let max_bytes = state.tuning.response_cache_bytes;
    let executor = &mut state.executor;
    for record in executor.records.values_mut() {
        if executor.response_bytes <= max_bytes {
            return;
        }
        let RecordState::Finished(result) = &mut record.state else { continue };
        executor.response_bytes -= response_len(result);
        if result.is_ok() {
            *result = Err(RequestError::unknown(Reason::AnswerForgotten));
        }
    }
}

/// Returns the length of the response body in a result, in bytes, or zero if there is no response.
fn response_len(result: &CallResult) -> usize {
    result.as_ref().map_or(0, |answer| answer.body.len())
}

/// Removes expired records and fails the calls whose executor has timed out.
pub fn tick(state: &mut State) {
    let now = state.now;
    let tuning = state.tuning;
    let executor = &mut state.executor;
    while executor.issue_times.front().is_some_and(|at| now.since(*at) > tuning.ticket_lifetime_ms) {
        executor.issue_times.pop_front();
    }
    while let Some(oldest) = executor.records.first_entry() {
        let is_running = matches!(oldest.get().state, RecordState::Running(_));
        if is_running || now.since(oldest.get().issued_at) <= tuning.record_retention_ms {
            break;
        }
        if let RecordState::Finished(result) = &oldest.get().state {
            executor.response_bytes -= response_len(result);
        }
        oldest.remove();
    }
    let timed_out: Vec<_> = executor
        .forwarded
        .iter()
        .filter(|(_, forwarded_call)| now >= forwarded_call.expires_at)
        .map(|(request, _)| *request)
        .collect();
    for request in timed_out {
        fail_request(state, request);
    }
}

/// Closes all unused tickets and hands the records over to this VM's successor.
pub fn hand_over(state: &mut State) {
    state.executor.closing = true;
    let me = state.fleet.local_vm().clone();
    let Some(successor) = find_successor(state, &me) else { return };
    let mut batches = vec![Vec::new()];
    let mut bytes = 0;
    for (seq, record) in &state.executor.records {
        let result = match &record.state {
            RecordState::Finished(result) => result.clone(),
            RecordState::Running(_) => Err(RequestError::unknown(Reason::TicketVoid)),
        };
        bytes += response_len(&result);
        if bytes > MAX_HANDOVER_BYTES {
            bytes = 0;
            batches.push(Vec::new());
        }
        if let Some(batch) = batches.last_mut() {
            batch.push((*seq, record.call_hash, result));
        }
    }
    let parts = u32::try_from(batches.len()).unwrap_or(u32::MAX);
    for (part, records) in (0..parts).zip(batches) {
        let handover = Handover { executor: me.clone(), part, parts, records };
        state.send(&successor, Message::Handover(handover));
    }
}

/// Handles the records of an executor that is leaving.
pub fn handle_handover(state: &mut State, handover: Handover) {
    let Handover { executor, part, parts, records } = handover;
    let missing = state.executor.missing_parts.get_or_insert_mut(executor.clone(), || (0..parts).collect());
    missing.remove(&part);
    for (seq, call_hash, result) in records {
        state.executor.inherited.put((executor.clone(), seq), (call_hash, result));
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

/// Records the ticket as used, then starts its call.
fn start_call(state: &mut State, ticket: &Ticket, call_hash: u64, execute: &Execute, requester: Requester) {
    let executor = &mut state.executor;
    executor.next_request_seq += 1;
    let request = RequestId {
        incarnation: state.fleet.local_vm().incarnation,
        seq: executor.next_request_seq | EXECUTOR_REQUEST_BIT,
    };
    let record =
        Record { issued_at: ticket.issued_at, call_hash, state: RecordState::Running(vec![requester]) };
    executor.records.insert(ticket.seq, record);
    executor.running.insert(request, ticket.seq);
    let arrival = Arrival {
        request,
        workspace: ticket.workspace.clone(),
        key: AffinityKey(call_hash),
        fingerprint: Fingerprint(call_hash),
        service_call: Some(ServiceCall::default()),
        deadline: state.now.after(state.tuning.executor_timeout_ms),
        ..Arrival::default()
    };
    state.record(Some(execute.request), None, TimelineEvent::TicketCallStarted);
    let active_request = entry::new_ticket_request(state, &arrival, &ticket.pool, execute.call.clone());
    entry::launch(state, active_request);
}

/// Returns the result for a ticket of another daemon process, from its records if they were handed over.
fn inherited_result(state: &mut State, ticket: &Ticket, call_hash: u64) -> CallResult {
    let key = (ticket.executor.clone(), ticket.seq);
    match state.executor.inherited.peek(&key) {
        Some((recorded_hash, result)) if *recorded_hash == call_hash => result.clone(),
        Some(_) => Err(RequestError::not_run(Reason::TicketReused)),
        // The executor handed over all its records, so a ticket without a record was closed unused.
        None if has_all_records(state, &ticket.executor) => Err(RequestError::not_run(Reason::TicketClosed)),
        None => Err(RequestError::unknown(Reason::TicketVoid)),
    }
}

/// Returns whether an executor handed over all its records, and none of them can have been evicted.
fn has_all_records(state: &State, executor: &VmRef) -> bool {
    let complete = state.executor.missing_parts.peek(executor).is_some_and(BTreeSet::is_empty);
    complete && state.executor.inherited.len() < MAX_INHERITED_RECORDS
}

fn send_result(state: &mut State, requester: &Requester, result: CallResult) {
    let executed = Executed { request: requester.request, result };
    state.send(&requester.vm, Message::Executed(executed));
}

fn fail_request(state: &mut State, request: RequestId) {
    state.executor.forwarded.remove(&request);
    let error = RequestError::unknown(Reason::ExecutorSilent);
    state.record(Some(request), None, TimelineEvent::RequestFailed(error.clone()));
    state.effects.push(Effect::Reply(request, Reply::Error(error)));
}

/// Adds a new ticket of this VM to the error of a call that did not run, as the old one can no longer be
/// used, unless that one was invalid for the call or was used for a different one.
fn with_new_ticket(state: &mut State, error: RequestError, forwarded: &ForwardedCall) -> RequestError {
    let ticket_misused = matches!(error.reason, Reason::TicketReused | Reason::BadTicket);
    if error.outcome != Outcome::NotRun || ticket_misused {
        return error;
    }
    let ticket = issue(state, &forwarded.workspace, &forwarded.pool);
    RequestError { ticket, ..error }
}

/// Returns the VM that handles the tickets of an executor: the executor itself, or its successor.
fn responsible_vm(state: &State, executor: &VmRef) -> Option<Name> {
    let current_incarnation = state.fleet.incarnation(&executor.name);
    let is_current = current_incarnation.is_none_or(|incarnation| incarnation == executor.incarnation);
    let reachable = !state.fleet.is_suspected(&executor.name, state.now);
    let listed = state.fleet.is_listed(&executor.name) || executor.name == state.fleet.local_vm().name;
    if is_current && reachable && listed {
        return Some(executor.name.clone());
    }
    find_successor(state, executor)
}

fn find_successor(state: &State, executor: &VmRef) -> Option<Name> {
    let hash_key = format!("executor {} {}", executor.name, executor.incarnation.0);
    state.fleet.owner(&hash_key, &state.region, state.now).cloned()
}

fn hash_call(call: &ServiceCall) -> u64 {
    let mut hasher = Xxh3::new();
    (&call.workspace, &call.pool, &call.method, &call.path, &call.body).hash(&mut hasher);
    hasher.finish()
}
