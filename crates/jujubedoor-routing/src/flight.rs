//! The way of one request: placed, sent, sent again, answered or turned away.

use std::sync::Arc;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use rand::Rng;

use crate::call::Call;
use crate::event::Dial;
use crate::event::Effect;
use crate::event::Ended;
use crate::event::Reply;
use crate::event::RequestId;
use crate::event::Signs;
use crate::health;
use crate::placement;
use crate::placement::Choice;
use crate::placement::NoChoice;
use crate::reading;
use crate::refusal::Refusal;
use crate::refusal::Why;
use crate::routes::Kind;
use crate::state::Break;
use crate::state::State;
use crate::upstream::Report;
use crate::waiting::Entry;

/// The most requests that wait at one VM.
const MOST_WAITING: usize = 2_000;

/// The shortest time that an upstream gets for an answer before another is asked, in milliseconds.
const LEAST_PATIENCE_MS: u64 = 50;

/// The shortest outage after which an upstream counts as cold, in milliseconds.
const COLD_OUTAGE_MS: u64 = 400;

/// The room that is expected when nothing better is known, in milliseconds.
const USUAL_ROOM_MS: u64 = 200;

/// The room that is expected when no upstream is registered, in milliseconds.
const REGISTRATION_MS: u64 = 700;

/// A request of a caller that is not over.
#[derive(Clone, Debug)]
pub struct Flight {
    /// The request.
    pub call: Arc<Call>,
    /// The service that it goes to.
    pub service: Name,
    /// The attempt that is under way.
    pub attempt: Option<Attempt>,
    /// When the request arrived.
    pub arrived: Time,
    began_at: Option<Time>,
    sends: u32,
    tried: Vec<Name>,
    may_have_run: bool,
    /// Tells that the shell holds a failure of an upstream's own.
    has_failure: bool,
    began: bool,
}

/// An attempt at an upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The upstream.
    pub upstream: Name,
    unread: u32,
    began: bool,
}

impl Flight {
    /// Returns when the request's time is over.
    fn expires(&self) -> Time {
        self.call.deadline.min(self.arrived.after(self.call.route.timeout_ms))
    }
}

/// Takes a request of a caller.
pub fn arrive(state: &mut State, request: RequestId, call: Call) {
    let now = state.now;
    let Some(service) = draw_service(state, &call) else {
        refuse(state, request, &call, Why::NoUpstream, REGISTRATION_MS);
        return;
    };
    let window_ms = state.tuning.retry_window_ms;
    state.budgets.entry(service.clone()).or_default().note_request(now, window_ms);
    if state.suspects.crashes(call.fingerprint, now) >= jujubedoor::crash_suspects::REJECT_AFTER_CRASHES {
        refuse(state, request, &call, Why::Crashing, USUAL_ROOM_MS);
        return;
    }
    let flight = Flight {
        call: Arc::new(call),
        service,
        attempt: None,
        arrived: now,
        began_at: None,
        sends: 0,
        tried: Vec::new(),
        may_have_run: false,
        has_failure: false,
        began: false,
    };
    state.flights.insert(request, flight);
    place(state, request);
}

/// Draws one of the services of a call's route by their weights.
fn draw_service(state: &mut State, call: &Call) -> Option<Name> {
    let total: u32 = call.route.services.iter().map(|(_, weight)| weight).sum();
    let mut drawn = state.rng.random_range(0..total.max(1));
    for (service, weight) in &call.route.services {
        if drawn < *weight {
            return Some(service.clone());
        }
        drawn -= weight;
    }
    call.route.services.first().map(|(service, _)| service.clone())
}

/// Sends a request to the best upstream, lets it wait or turns it away.
fn place(state: &mut State, request: RequestId) {
    let Some(flight) = state.flights.get(&request).cloned() else { return };
    if state.now >= flight.expires() {
        give_up(state, request, Why::Late, Reply::Expired);
        return;
    }
    match placement::choose(state, &flight.call, &flight.service, &flight.tried) {
        Ok(choice) if is_held(state, &flight, &choice) => hold(state, request, &flight),
        Ok(choice) => dial(state, request, choice),
        Err(NoChoice::NoRoom) => wait(state, request, &flight),
        Err(NoChoice::NoneRegistered | NoChoice::NoneUsable) => {
            give_up(state, request, Why::NoUpstream, Reply::Lost);
        }
    }
}

/// Lets a request wait if room is expected in time.
fn wait(state: &mut State, request: RequestId, flight: &Flight) {
    let until = wait_until(state, flight);
    let room_at = placement::room_at(state, &flight.service, &flight.tried);
    if state.waiting.len() >= MOST_WAITING || room_at.is_none_or(|at| at > until) || until <= state.now {
        give_up(state, request, Why::NoRoom, Reply::Lost);
        return;
    }
    enqueue(state, request, flight, until);
}

/// Tells whether a request waits until a part of its prompt has been read.
fn is_held(state: &State, flight: &Flight, choice: &Choice) -> bool {
    state.waiting.len() < MOST_WAITING
        && reading::is_worth_waiting(state, &flight.call, flight.arrived, choice)
}

/// Lets a request wait until a part of its prompt has been read.
fn hold(state: &mut State, request: RequestId, flight: &Flight) {
    let until = wait_until(state, flight);
    state.note(Some(request), "held", vec![("waiting", state.waiting.len().to_string())]);
    enqueue(state, request, flight, until);
}

fn enqueue(state: &mut State, request: RequestId, flight: &Flight, until: Time) {
    state.waiting.push(Entry {
        request,
        priority: flight.call.priority,
        workspace: flight.call.workspace.clone(),
        until,
    });
}

fn wait_until(state: &State, flight: &Flight) -> Time {
    let target = f64::from(u32::try_from(flight.call.route.target_ms).unwrap_or(u32::MAX));
    // The product of a latency target and a share is positive and far below the limit of the type.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let share = (target * state.tuning.wait_share) as u64;
    flight.arrived.after(share).min(flight.expires())
}

/// Serves the requests that wait, the most urgent first.
pub fn serve_waiting(state: &mut State) {
    if state.waiting.is_empty() {
        return;
    }
    for request in state.waiting.expire(state.now) {
        give_up(state, request, Why::NoRoom, Reply::Lost);
    }
    let mut full: Vec<Name> = Vec::new();
    for request in state.waiting.order(&state.running_by_workspace()) {
        let Some(flight) = state.flights.get(&request).cloned() else {
            state.waiting.remove(request);
            continue;
        };
        if full.contains(&flight.service) {
            continue;
        }
        match placement::choose(state, &flight.call, &flight.service, &flight.tried) {
            Ok(choice) if is_held(state, &flight, &choice) => {}
            Ok(choice) => {
                state.waiting.remove(request);
                dial(state, request, choice);
            }
            Err(NoChoice::NoRoom) => {
                if flight.tried.is_empty() {
                    full.push(flight.service);
                }
            }
            Err(NoChoice::NoneRegistered | NoChoice::NoneUsable) => {
                state.waiting.remove(request);
                give_up(state, request, Why::NoUpstream, Reply::Lost);
            }
        }
    }
}

/// Sends a request to an upstream.
fn dial(state: &mut State, request: RequestId, choice: Choice) {
    let now = state.now;
    let Choice { upstream: id, unread, load, estimate_ms } = choice;
    let Some(flight) = state.flights.get_mut(&request) else { return };
    let call = flight.call.clone();
    let allowed_ms = flight.expires().since(now);
    flight.sends += 1;
    let sends = flight.sends;
    let more = call.route.is_repeatable() && sends < call.route.attempts;
    flight.attempt = Some(Attempt { upstream: id.clone(), unread, began: false });
    let cache_from = placement::cache_source(state, &call, &id);
    let Some(upstream) = state.upstreams.get_mut(&id) else { return };
    let cold = upstream.is_cold(now);
    if cold {
        upstream.pace.note(now);
    }
    let news_age = upstream.news_age(now).map_or_else(|| "none".to_owned(), |age| age.to_string());
    upstream.sent(unread);
    let address = upstream.registration.address;
    reading::begin(state, &call, &id);
    let patience_ms = if more { patience(&call, allowed_ms) } else { allowed_ms };
    state.note(
        Some(request),
        "sent",
        vec![
            ("upstream", id.to_string()),
            ("attempt", sends.to_string()),
            ("load", load.to_string()),
            ("load_age_ms", news_age),
            ("prompt_tokens", call.prompt_tokens().to_string()),
            ("unread_tokens", unread.to_string()),
            ("subject", format!("{:016x}", call.subject().unwrap_or_default())),
            ("cache_from", cache_from.as_ref().map(|(id, _)| id.to_string()).unwrap_or_default()),
            ("estimate_ms", format!("{estimate_ms:.0}")),
            ("cold", cold.to_string()),
            ("allowed_ms", allowed_ms.to_string()),
            ("revision", state.directory.revision.to_string()),
        ],
    );
    let cache_from = cache_from.map(|(_, address)| address);
    state
        .effects
        .push(Effect::Dial(request, Dial { upstream: id, address, cache_from, allowed_ms, patience_ms }));
}

/// Returns how long an upstream gets for an answer while another can still be asked, in milliseconds.
fn patience(call: &Call, allowed_ms: u64) -> u64 {
    let patience = match call.route.kind {
        Kind::Streaming => call.route.target_ms * 3,
        Kind::Idempotent | Kind::NonIdempotent => allowed_ms / 2,
    };
    patience.max(LEAST_PATIENCE_MS).min(allowed_ms)
}

/// Notes that an upstream began to answer.
pub fn began(state: &mut State, request: RequestId, signs: Signs) {
    let now = state.now;
    let Some(flight) = state.flights.get_mut(&request) else { return };
    flight.began = true;
    flight.began_at.get_or_insert(now);
    let service = flight.service.clone();
    let Some(attempt) = &mut flight.attempt else { return };
    attempt.began = true;
    let (id, unread) = (attempt.upstream.clone(), attempt.unread);
    let call = flight.call.clone();
    reading::finish(state, &call, &id);
    let cold_ms = state.service(&service).map_or(0, |s| s.cold_start_ms);
    let Some(upstream) = state.upstreams.get_mut(&id) else { return };
    upstream.began(unread);
    if let Some(load) = signs.load {
        upstream.take_report(Report { load, at: now });
    }
    if upstream.answered(now).is_some_and(|outage| outage >= COLD_OUTAGE_MS) {
        // It may have started anew without having registered again yet.
        upstream.cold_until = upstream.cold_until.max(now.after(cold_ms));
        state.note(None, "upstream_back", vec![("upstream", id.to_string())]);
    }
}

/// Decides what follows the end of an attempt.
pub fn ended(state: &mut State, request: RequestId, ended: Ended) {
    let Some(id) = end_attempt(state, request) else { return };
    health::judge(state, &id, ended);
    let Some(flight) = state.flights.get_mut(&request) else { return };
    let call = flight.call.clone();
    match ended {
        Ended::Whole => {
            state.suspects.clear(call.fingerprint);
            note_answered(state, request, &id);
            return;
        }
        Ended::Unsent => flight.sends -= 1,
        Ended::Unreachable | Ended::WrongUpstream => {
            flight.sends -= 1;
            flight.tried.push(id.clone());
        }
        Ended::NotRun(_) => flight.tried.push(id.clone()),
        Ended::Failed(_) | Ended::Broken | Ended::Silent => {
            flight.tried.push(id.clone());
            flight.may_have_run = true;
        }
    }
    flight.has_failure |= matches!(ended, Ended::Failed(_));
    let began = flight.began;
    state.note(
        Some(request),
        "attempt_ended",
        vec![("upstream", id.to_string()), ("how", format!("{ended:?}")), ("began", began.to_string())],
    );
    if ended == Ended::Broken {
        health::probe(state, &id);
        state.breaks.push(Break { at: state.now, upstream: id, fingerprint: call.fingerprint });
    }
    if may_send_again(state, request, ended) {
        place(state, request);
        return;
    }
    match ended {
        Ended::Silent => give_up(state, request, Why::Late, Reply::Expired),
        _ => give_up(state, request, Why::Declined, Reply::Lost),
    }
}

/// Tells whether a request may be sent once more, and takes that from the budget of retries.
fn may_send_again(state: &mut State, request: RequestId, ended: Ended) -> bool {
    let Some(flight) = state.flights.get(&request) else { return false };
    let route = &flight.call.route;
    let arrived_there = !matches!(ended, Ended::Unreachable | Ended::Unsent);
    let stated = matches!(ended, Ended::NotRun(_) | Ended::WrongUpstream);
    if arrived_there && !stated && !route.is_repeatable() {
        return false;
    }
    if flight.sends >= route.attempts.max(1) || state.now >= flight.expires() {
        return false;
    }
    if !arrived_there {
        return true;
    }
    let service = flight.service.clone();
    let slack = state.tuning.retry_slack / f64::from(u32::try_from(state.fleet_size()).unwrap_or(u32::MAX));
    let (window_ms, ratio) = (state.tuning.retry_window_ms, state.tuning.retry_ratio);
    state.budgets.entry(service).or_default().spend(state.now, window_ms, ratio, slack)
}

/// Writes how long an answer took.
fn note_answered(state: &mut State, request: RequestId, upstream: &Name) {
    let Some(flight) = state.flights.get(&request) else { return };
    let first_ms = flight.began_at.map_or(0, |at| at.since(flight.arrived));
    let inputs = vec![
        ("upstream", upstream.to_string()),
        ("route", flight.call.route.name.to_string()),
        ("first_ms", first_ms.to_string()),
        ("target_ms", flight.call.route.target_ms.to_string()),
        ("total_ms", state.now.since(flight.arrived).to_string()),
        ("attempts", flight.sends.to_string()),
    ];
    state.note(Some(request), "answered", inputs);
}

/// Notes that a request is over for the caller.
pub fn close(state: &mut State, request: RequestId) {
    if let Some(upstream) = end_attempt(state, request) {
        let age_ms = state.flights.get(&request).map_or(0, |f| state.now.since(f.arrived));
        let inputs = vec![("upstream", upstream.to_string()), ("age_ms", age_ms.to_string())];
        state.note(Some(request), "caller_left", inputs);
    }
    state.waiting.remove(request);
    state.flights.remove(&request);
}

fn end_attempt(state: &mut State, request: RequestId) -> Option<Name> {
    let flight = state.flights.get_mut(&request)?;
    let call = flight.call.clone();
    let attempt = flight.attempt.take()?;
    if !attempt.began {
        reading::abandon(state, &call, &attempt.upstream);
    }
    if let Some(upstream) = state.upstreams.get_mut(&attempt.upstream) {
        if !attempt.began {
            upstream.began(attempt.unread);
        }
        upstream.ended();
    }
    Some(attempt.upstream)
}

/// Ends a request without a usable answer: as not run if that is true, else with the upstream's own failure if there
/// was one, or as lost or expired.
fn give_up(state: &mut State, request: RequestId, why: Why, otherwise: Reply) {
    let Some(flight) = state.flights.get(&request).cloned() else { return };
    if flight.may_have_run {
        let reply = if flight.has_failure { Reply::Deliver } else { otherwise };
        let inputs = vec![("why", why.as_str().to_owned()), ("delivers", flight.has_failure.to_string())];
        state.note(Some(request), "given_up", inputs);
        state.effects.push(Effect::Reply(request, reply));
        return;
    }
    let room_ms = match why {
        Why::NoUpstream => REGISTRATION_MS,
        Why::NoRoom => {
            placement::room_at(state, &flight.service, &[]).map_or(REGISTRATION_MS, |at| at.since(state.now))
        }
        Why::NotReady | Why::Declined | Why::Crashing | Why::Late => USUAL_ROOM_MS,
    };
    refuse(state, request, &flight.call, why, room_ms);
}

fn refuse(state: &mut State, request: RequestId, call: &Call, why: Why, room_ms: u64) {
    let refusal = Refusal::new(why, call, state.now, room_ms, &mut state.rng);
    let inputs = vec![
        ("why", why.as_str().to_owned()),
        ("retry_after_ms", refusal.retry_after_ms.to_string()),
        ("route", call.route.name.to_string()),
        ("revision", state.directory.revision.to_string()),
        ("upstreams", state.upstreams.len().to_string()),
    ];
    state.note(Some(request), "refused", inputs);
    state.effects.push(Effect::Reply(request, Reply::Refused(refusal)));
}
