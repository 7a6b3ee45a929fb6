//! When requests leave the failure domain of their VM.
//!
//! Traffic between failure domains is slower and costs money. If the operators set its cost and other domains are
//! measurably far, a request stays unless leaving pays: because its prompt is cached only elsewhere, because the
//! upstreams of the domain fail or would miss the latency target, or because they are busier than the fleet. In the
//! last case only a share of the requests leaves, which all VMs of a domain adjust slowly and alike, so that reports
//! that arrive late neither move all requests at once nor back.
//!
//! Load bounds, cold limits, evacuations and drains are applied before: what they exclude is no candidate here.

use std::collections::HashMap;
use std::collections::VecDeque;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::call::Call;
use crate::domain_balance::Balance;
use crate::domain_balance::sum_loads;
use crate::placement;
use crate::state::State;
use crate::upstream::Upstream;

/// Maximum number of round trips to a domain that are kept.
const MAX_ROUND_TRIPS: usize = 32;

/// Minimum number of round trips from which a distance is known. The first ones may be of a moment at which this VM
/// was busy.
const MIN_ROUND_TRIPS: usize = 3;

/// Minimum round trip to a far domain, in percent of that within the own domain. A busy VM measures long times everywhere.
const MIN_DISTANCE_PERCENT: u64 = 150;

/// Maximum number of working times of a plain service that are kept.
const MAX_WORK_TIMES: usize = 41;

/// Minimum number of working times from which waits for a plain service are estimated.
const MIN_WORK_TIMES: usize = 5;

/// Minimum interval at which the averages of the loads are updated, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 100;

/// Multiple of the cost of crossing from which on a prefill is large. A large one is done once in the fleet, and its
/// prompt followed from all domains. For a smaller one, few crossings cost more than a prefill in each domain.
const LARGE_PREFILL_FACTOR: f64 = 3.0;

/// Difference of failure rates above which requests leave the upstreams that fail more. Up to two failures are rather
/// of the requests than of the upstream.
const FAILURE_EXCESS: f64 = 0.4;

/// Measurements on which requests leave their failure domain.
#[derive(Clone, Debug, Default)]
pub struct DomainCrossing {
    /// Round trips by failure domain, also in the own one.
    round_trips: HashMap<Name, Samples>,
    /// Round trips to all other failure domains, which stand for those that have not been measured often enough.
    round_trips_elsewhere: Samples,
    /// Working times of plain services in this domain, in milliseconds.
    work_times: HashMap<Name, Samples>,
    balances: HashMap<Name, Balance>,
    updated_at: Option<Time>,
}

/// The latest values of a measurement, and a typical one.
#[derive(Clone, Debug, Default)]
struct Samples {
    values: VecDeque<u64>,
    typical: Option<u64>,
}

/// The cost of leaving the domain, if that is to be weighed.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Cost of a request besides the round trip, in milliseconds.
    pub cost_ms: f64,
    min_round_trip_us: u64,
    home: Name,
    /// Known round trips to other domains, in microseconds.
    round_trips: Vec<(Name, u64)>,
    /// Round trip to domains that have not been measured.
    assumed_round_trip_us: u64,
}

/// The best upstream of one side: of this domain, or of those that are far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Side {
    /// The estimate of the start of the response with the cost of crossing, in milliseconds.
    pub estimate_ms: f64,
    /// Expected time until the response begins, with the round trip, in milliseconds.
    pub start_ms: f64,
    /// The part of the estimate that stands for recent failures, in milliseconds.
    pub failure_ms: f64,
    /// Cost of crossing to the upstream, in milliseconds.
    pub crossing_ms: f64,
    /// Prompt tokens that the upstream has to prefill.
    pub prefill_tokens: u32,
}

/// What is compared for one request.
#[derive(Clone, Copy, Debug)]
pub struct Comparison<'a> {
    /// The request.
    pub call: &'a Call,
    /// Its service.
    pub service: &'a Name,
    /// The best upstream that is not far, if one has capacity.
    pub home: Option<Side>,
    /// The best far upstream, if one has capacity.
    pub away: Option<Side>,
    /// Prompt tokens that an engine prefills per millisecond, if the service consists of engines.
    pub tokens_per_ms: Option<f64>,
    /// Whether an upstream was tried before, which is not chosen again.
    pub is_retry: bool,
    /// Random number from zero to one, which determines whether the request is in the share that leaves.
    pub drawn: f64,
}

/// Why a request stays or leaves.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// After a failed attempt, no untried upstream of the domain has capacity.
    Retry,
    /// The domain has no upstream that can be used.
    NoUpstream,
    /// The upstreams of the domain are full, cold, paused or above the load bound.
    NoCapacity,
    /// Parts of the prompt are cached only elsewhere.
    Cache,
    /// Parts of the prompt are cached only elsewhere, but the domain needs a copy of its own.
    SmallPrefill,
    /// Large parts of the prompt are cached nowhere, so that all VMs choose the same upstream of the fleet.
    SharedPrompt,
    /// The upstreams of the domain failed recently.
    Failures,
    /// The latency target would be missed in the domain.
    Target,
    /// The domain is busier than the fleet.
    Load,
    /// Leaving does not pay.
    NotWorthwhile,
    /// No other domain has an upstream with capacity.
    NoAlternative,
}

/// Among which upstreams one is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Destination {
    /// Those that are not far.
    Home,
    /// The far ones.
    Away,
    /// All of them.
    Either,
}

/// Whether a request left its failure domain, and why.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Outcome {
    /// Whether the request was sent to a far upstream.
    pub left: bool,
    /// Why.
    pub reason: Reason,
}

/// A decision on one request, with the values on which it was based.
#[derive(Clone, Debug, PartialEq)]
pub struct Crossing {
    /// The decision.
    pub outcome: Outcome,
    home: Option<Side>,
    away: Option<Side>,
    balance: Balance,
    round_trip_us: u64,
}

impl Reason {
    /// Returns the name of the reason in the decision log and the metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Retry => "retry",
            Self::NoUpstream => "no_upstream",
            Self::NoCapacity => "no_capacity",
            Self::Cache => "cache",
            Self::SmallPrefill => "small_prefill",
            Self::SharedPrompt => "shared_prompt",
            Self::Failures => "failures",
            Self::Target => "target",
            Self::Load => "load",
            Self::NotWorthwhile => "not_worthwhile",
            Self::NoAlternative => "no_alternative",
        }
    }
}

impl Terms {
    /// Returns what it costs to send a request to a failure domain, in milliseconds, or `None` if the domain is not
    /// far.
    pub fn crossing_ms(&self, domain: &Name) -> Option<f64> {
        if *domain == self.home {
            return None;
        }
        let known = self.round_trips.iter().find(|(known, _)| known == domain);
        let round_trip_us = known.map_or(self.assumed_round_trip_us, |(_, round_trip_us)| *round_trip_us);
        (round_trip_us > self.min_round_trip_us).then(|| self.cost_ms + to_f64(round_trip_us) / 1e3)
    }

    /// Returns what it costs to transfer cached parts between upstreams of two failure domains, in milliseconds, or
    /// `None` if these are not far from each other.
    fn transfer_ms(&self, from: &Name, to: &Name) -> Option<f64> {
        if from == to {
            return None;
        }
        let costs = [from, to].into_iter().filter_map(|domain| self.crossing_ms(domain));
        costs.max_by(f64::total_cmp)
    }

    /// Returns whether cached parts may be transferred between two failure domains instead of prefilling them, which
    /// takes the given time.
    pub fn allows_transfer(&self, from: &Name, to: &Name, prefill_ms: f64) -> bool {
        self.transfer_ms(from, to).is_none_or(|cost_ms| is_large(prefill_ms, cost_ms))
    }

    /// Returns whether two failure domains are far from each other.
    pub fn are_far(&self, from: &Name, to: &Name) -> bool {
        self.transfer_ms(from, to).is_some()
    }
}

/// Returns the cost of leaving the domain, or `None` if the operators set none or no other domain is known to be far.
pub fn terms(state: &State) -> Option<Terms> {
    let cost_ms = state.tuning.domain_crossing_cost_ms?;
    let round_trips = &state.domain_crossing.round_trips;
    let home_us = round_trips.get(&state.domain)?.typical?;
    // Zero means that all other domains are far.
    let min_round_trip_us = match state.tuning.domain_crossing_min_rtt_us {
        0 => 0,
        set_us => set_us.max(home_us * MIN_DISTANCE_PERCENT / 100),
    };
    let assumed_round_trip_us = state.domain_crossing.round_trips_elsewhere.typical?;
    let measured = round_trips.iter().filter(|(domain, _)| **domain != state.domain);
    let round_trips: Vec<(Name, u64)> =
        measured.filter_map(|(domain, samples)| Some((domain.clone(), samples.typical?))).collect();
    let mut all = round_trips.iter().map(|(_, round_trip_us)| *round_trip_us).chain([assumed_round_trip_us]);
    let is_far = all.any(|round_trip_us| round_trip_us > min_round_trip_us);
    let home = state.domain.clone();
    is_far.then_some(Terms { cost_ms, min_round_trip_us, home, round_trips, assumed_round_trip_us })
}

/// Decides where a request is sent, given the best upstreams of both sides.
pub fn decide(state: &State, comparison: &Comparison<'_>) -> (Destination, Reason) {
    let Comparison { call, service, tokens_per_ms, drawn, .. } = *comparison;
    let (home, away) = match (comparison.home, comparison.away) {
        (Some(home), Some(away)) => (home, away),
        (None, Some(_)) if comparison.is_retry => return (Destination::Away, Reason::Retry),
        (None, Some(_)) if has_home_upstream(state, service) => {
            return (Destination::Away, Reason::NoCapacity);
        }
        (None, Some(_)) => return (Destination::Away, Reason::NoUpstream),
        (_, None) => return (Destination::Home, Reason::NoAlternative),
    };
    let cost_ms = away.crossing_ms;
    let prefill_ms =
        |tokens: u32| tokens_per_ms.map_or(0.0, |tokens_per_ms| f64::from(tokens) / tokens_per_ms);
    let saved_ms = prefill_ms(home.prefill_tokens) - prefill_ms(away.prefill_tokens);
    if saved_ms > cost_ms && away.estimate_ms < home.estimate_ms {
        // If the prefill is not large, a request stays sooner or later, after which the domain has the part cached.
        // On average, the crossings until then cost as much as this prefill.
        let stays = !is_large(saved_ms, cost_ms) && drawn * saved_ms < cost_ms;
        return if stays {
            (Destination::Home, Reason::SmallPrefill)
        } else {
            (Destination::Away, Reason::Cache)
        };
    }
    let own_tokens = call.parts.last().map_or(0, |part| part.tokens);
    let uncached_tokens = home.prefill_tokens.min(away.prefill_tokens).saturating_sub(own_tokens);
    if is_large(prefill_ms(uncached_tokens), cost_ms) {
        return (Destination::Either, Reason::SharedPrompt);
    }
    let failure_excess_ms = state.tuning.failure_penalty_ms * FAILURE_EXCESS;
    if home.failure_ms - away.failure_ms > cost_ms.max(failure_excess_ms) {
        return (Destination::Away, Reason::Failures);
    }
    let target_ms = to_f64(call.route.target_ms);
    if home.start_ms > target_ms && away.start_ms < target_ms {
        return (Destination::Away, Reason::Target);
    }
    // Prefilling a large part once more would cost more than the difference of the loads.
    let loses_cache = -saved_ms > cost_ms;
    if !loses_cache && drawn < balance(state, service).share {
        return (Destination::Away, Reason::Load);
    }
    (Destination::Home, Reason::NotWorthwhile)
}

/// Returns a decision with the values on which it was based.
pub fn describe(
    state: &State,
    terms: &Terms,
    comparison: &Comparison<'_>,
    reason: Reason,
    left: bool,
) -> Crossing {
    Crossing {
        outcome: Outcome { left, reason },
        home: comparison.home,
        away: comparison.away,
        balance: balance(state, comparison.service),
        round_trip_us: terms.assumed_round_trip_us,
    }
}

impl Crossing {
    /// Returns the inputs of the decision for the decision log.
    pub fn inputs(&self) -> Vec<(&'static str, String)> {
        let number = |value: Option<f64>| value.map_or_else(|| "none".to_owned(), |v| format!("{v:.0}"));
        let percent = |value: f64| format!("{:.0}", value * 100.0);
        let tokens = |side: Option<Side>| number(side.map(|side| f64::from(side.prefill_tokens)));
        let outcome = if self.outcome.left { "left" } else { "stayed" };
        vec![
            ("crossing", outcome.to_owned()),
            ("crossing_reason", self.outcome.reason.as_str().to_owned()),
            ("crossing_cost_ms", number(self.away.map(|away| away.crossing_ms))),
            ("round_trip_us", self.round_trip_us.to_string()),
            ("home_estimate_ms", number(self.home.map(|home| home.estimate_ms))),
            ("away_estimate_ms", number(self.away.map(|away| away.estimate_ms))),
            ("home_unread_tokens", tokens(self.home)),
            ("away_unread_tokens", tokens(self.away)),
            ("home_wait_ms", number(Some(self.balance.home_wait_ms))),
            ("away_wait_ms", number(Some(self.balance.away_wait_ms))),
            ("home_load_percent", percent(self.balance.home_load)),
            ("fleet_load_percent", percent(self.balance.fleet_load)),
            ("leaving_percent", percent(self.balance.share)),
        ]
    }
}

/// Records the time that a connection to an upstream took to open, which is one round trip to its failure domain.
pub fn record_round_trip(state: &mut State, id: &Name, round_trip_us: u64) {
    let Some(upstream) = state.upstreams.get(id) else { return };
    let domain = upstream.registration.domain.clone();
    let is_elsewhere = domain != state.domain;
    let crossing = &mut state.domain_crossing;
    if is_elsewhere {
        crossing.round_trips_elsewhere.record(round_trip_us, MAX_ROUND_TRIPS, MIN_ROUND_TRIPS);
    }
    crossing.round_trips.entry(domain).or_default().record(round_trip_us, MAX_ROUND_TRIPS, MIN_ROUND_TRIPS);
}

/// Records the time from sending a request to an upstream until its response began.
pub fn record_response_time(state: &mut State, id: &Name, response_time_ms: u64) {
    if state.tuning.domain_crossing_cost_ms.is_none() {
        return;
    }
    let Some(upstream) = state.upstreams.get(id) else { return };
    let Some(service) = state.service(&upstream.registration.service) else { return };
    if !service.engine && upstream.registration.domain == state.domain {
        let samples =
            state.domain_crossing.work_times.entry(upstream.registration.service.clone()).or_default();
        samples.record(response_time_ms, MAX_WORK_TIMES, MIN_WORK_TIMES);
    }
}

/// Updates the averages of the loads, and the shares of requests that leave because of them.
pub fn tick(state: &mut State) {
    let now = state.now;
    let previous = state.domain_crossing.updated_at;
    if previous.is_some_and(|at| now.since(at) < UPDATE_INTERVAL_MS) {
        return;
    }
    state.domain_crossing.updated_at = Some(now);
    let elapsed_ms = to_f64(previous.map_or(0, |at| now.since(at)));
    let sums = terms(state).map(|terms| sum_loads(state, &terms)).unwrap_or_default();
    let is_dropped = |service: &Name| !sums.contains_key(service);
    for (service, balance) in
        state.domain_crossing.balances.extract_if(|service, _| is_dropped(service)).collect::<Vec<_>>()
    {
        if balance.is_leaving {
            log_change(state, &service, &Balance { is_leaving: false, ..balance });
        }
    }
    for (service, sums) in sums {
        let earlier = state.domain_crossing.balances.get(&service).copied();
        let balance = earlier.unwrap_or_default().updated(&sums, elapsed_ms);
        if earlier.is_some_and(|earlier| earlier.is_leaving) != balance.is_leaving {
            log_change(state, &service, &balance);
        }
        state.domain_crossing.balances.insert(service, balance);
    }
}

/// Returns how long a request without a prompt would wait at an upstream, in milliseconds, if that can be estimated.
///
/// At an upstream of a plain service, requests beyond its slots wait until others have finished. An engine with free
/// slots prefills what was sent before.
pub fn expected_wait_ms(state: &State, upstream: &Upstream) -> Option<f64> {
    let service = &upstream.registration.service;
    let load = f64::from(state.load(upstream));
    if state.service(service).is_some_and(|s| s.engine) {
        let backlog = f64::from(state.prefill_backlog(upstream));
        let prefill_ms = backlog / state.prefill_tokens_per_ms(service);
        return Some(prefill_ms + load * state.tuning.running_request_ms);
    }
    let work_ms = to_f64(state.domain_crossing.work_times.get(service)?.typical?);
    let slots = f64::from(upstream.registration.slots.max(1));
    Some((load + 1.0 - slots).max(0.0) / slots * work_ms)
}

impl Samples {
    /// Records a value. The typical one is the lower quartile, since a busy VM measures times that are too long.
    fn record(&mut self, value: u64, max_values: usize, min_values: usize) {
        if self.values.len() >= max_values {
            self.values.pop_front();
        }
        self.values.push_back(value);
        let mut sorted: Vec<u64> = self.values.iter().copied().collect();
        let (_, quartile, _) = sorted.select_nth_unstable(self.values.len() / 4);
        self.typical = (self.values.len() >= min_values).then_some(*quartile);
    }
}

/// Returns whether a prefill takes so much longer than crossing costs that it should be done only once in the fleet.
fn is_large(prefill_ms: f64, cost_ms: f64) -> bool {
    prefill_ms > cost_ms * LARGE_PREFILL_FACTOR
}

fn balance(state: &State, service: &Name) -> Balance {
    state.domain_crossing.balances.get(service).copied().unwrap_or_default()
}

/// Returns whether the domain of this VM has an upstream of a service that can be reached.
fn has_home_upstream(state: &State, service: &Name) -> bool {
    let mut upstreams = state.upstreams.values().filter(|u| u.registration.service == *service);
    upstreams.any(|u| {
        u.registration.domain == state.domain && placement::is_usable(state, u) && u.is_reachable(state.now)
    })
}

fn log_change(state: &mut State, service: &Name, balance: &Balance) {
    let event = if balance.is_leaving { "crossing_began" } else { "crossing_ended" };
    let inputs = vec![
        ("service", service.to_string()),
        ("home_wait_ms", format!("{:.0}", balance.home_wait_ms)),
        ("away_wait_ms", format!("{:.0}", balance.away_wait_ms)),
        ("home_load_percent", format!("{:.0}", balance.home_load * 100.0)),
        ("fleet_load_percent", format!("{:.0}", balance.fleet_load * 100.0)),
    ];
    state.log(None, event, inputs);
}

fn to_f64(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
