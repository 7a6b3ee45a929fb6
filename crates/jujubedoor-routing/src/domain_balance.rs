//! The load of a failure domain compared with the fleet, and the share of requests that leave because of it.

use std::collections::HashMap;

use jujubedoor_config::Name;

use crate::domain_crossing::Terms;
use crate::domain_crossing::expected_wait_ms;
use crate::placement;
use crate::state::State;

/// Time constant with which loads and waits are averaged, in milliseconds. It exceeds the age of load reports, which
/// show only some moments.
const AVERAGE_MS: f64 = 500.0;

/// Time constant with which the share of leaving requests approaches the share that would even out the load, in
/// milliseconds. It must exceed the delay of load reports, or the share overshoots.
const RISE_MS: f64 = 1_000.0;

/// Time constant with which the share of leaving requests falls when leaving no longer pays, in milliseconds. It is longer
/// than `RISE_MS`, so that late load reports do not make the share oscillate.
const FALL_MS: f64 = 6_000.0;

/// Share of the cost of crossing below which a difference of waits no longer pays for requests that leave already.
const END_COST_SHARE: f64 = 0.5;

/// Use of the load bound by the mean of a domain's engines at which requests begin to leave, so that single engines do
/// not reach it while reports of their load are under way.
const BEGIN_BOUND_USE: f64 = 0.25;

/// The same at which fewer requests leave again.
const END_BOUND_USE: f64 = 0.1;

/// Minimum excess of a domain's load over the fleet's mean at which requests begin to leave, as a share of it.
const MIN_EXCESS: f64 = 0.1;

/// Maximum share of requests that leave because of the load, so that the domain's own upstreams remain observed.
const MAX_SHARE: f64 = 0.9;

/// Share below which no more requests leave because of the load.
const MIN_SHARE: f64 = 0.01;

/// Averages of the load of one service, and the share of its requests that leave because of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Balance {
    /// Requests per slot in this domain.
    pub(crate) home_load: f64,
    /// Requests per slot in the whole fleet.
    pub(crate) fleet_load: f64,
    pub(crate) home_wait_ms: f64,
    pub(crate) away_wait_ms: f64,
    /// How far the mean load of this domain's engines exceeds that of the fleet, as a share of what the load bound
    /// allows a single one.
    pub(crate) bound_use: f64,
    pub(crate) is_leaving: bool,
    pub(crate) share: f64,
}

/// Loads and waits at the upstreams of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sums {
    home: SideSum,
    away: SideSum,
    /// Lowest cost of crossing to one of the far upstreams, in milliseconds.
    crossing_ms: f64,
    /// Multiple of the mean load, and number of requests beyond it, that an engine may run.
    load_bound: Option<(f64, f64)>,
}

/// Sums over the upstreams of one side, in which waits are weighted by slots.
#[derive(Clone, Copy, Debug, Default)]
struct SideSum {
    upstreams: f64,
    slots: f64,
    load: f64,
    weighted_wait_ms: f64,
}

impl Sums {
    /// Returns how far the mean load of the engines of this domain exceeds that of the fleet, as a share of what the
    /// load bound allows a single one.
    fn bound_use(&self) -> f64 {
        let Some((factor, slack)) = self.load_bound else { return 0.0 };
        let (home, away) = (self.home, self.away);
        let fleet_mean = (home.load + away.load) / (home.upstreams + away.upstreams);
        (home.load / home.upstreams - fleet_mean) / ((factor - 1.0) * fleet_mean + slack)
    }
}

impl SideSum {
    fn load_per_slot(self) -> f64 {
        self.load / self.slots
    }

    fn wait_ms(self) -> f64 {
        self.weighted_wait_ms / self.slots
    }
}

/// Sums up the loads of the upstreams that can be used without limits. A cold upstream has less room than its load shows.
pub(crate) fn sum_loads(state: &State, terms: &Terms) -> HashMap<Name, Sums> {
    let mut sums: HashMap<Name, Sums> = HashMap::new();
    let usable = state.upstreams.iter().filter(|(id, u)| {
        placement::is_usable(state, u)
            && u.is_reachable(state.now)
            && !u.is_cold(state.now)
            && state.allowed_at(id, u) <= state.now
    });
    for (_, upstream) in usable {
        let Some(wait_ms) = expected_wait_ms(state, upstream) else { continue };
        let service = &upstream.registration.service;
        let crossing_ms = terms.crossing_ms(&upstream.registration.domain);
        if !sums.contains_key(service) {
            let load_bound =
                state.service(service).filter(|s| s.engine).map(|_| placement::load_bound_terms(state));
            sums.insert(service.clone(), Sums { crossing_ms: f64::INFINITY, load_bound, ..Sums::default() });
        }
        let Some(sums) = sums.get_mut(service) else { continue };
        if let Some(crossing_ms) = crossing_ms {
            sums.crossing_ms = sums.crossing_ms.min(crossing_ms);
        }
        let side = if crossing_ms.is_some() { &mut sums.away } else { &mut sums.home };
        let slots = f64::from(upstream.registration.slots.max(1));
        side.upstreams += 1.0;
        side.slots += slots;
        side.load += f64::from(state.load(upstream));
        side.weighted_wait_ms += slots * wait_ms;
    }
    sums.retain(|_, sums| sums.home.slots > 0.0 && sums.away.slots > 0.0);
    sums
}

impl Balance {
    /// Returns the averages with a later state of the loads, and the share that follows from them.
    pub(crate) fn updated(self, sums: &Sums, elapsed_ms: f64) -> Self {
        let weight = 1.0 - (-elapsed_ms / AVERAGE_MS).exp();
        let average = |earlier: f64, value: f64| earlier + (value - earlier) * weight;
        let (home, away) = (sums.home, sums.away);
        let fleet_load = (home.load + away.load) / (home.slots + away.slots);
        let averaged = Self {
            home_load: average(self.home_load, home.load_per_slot()),
            fleet_load: average(self.fleet_load, fleet_load),
            home_wait_ms: average(self.home_wait_ms, home.wait_ms()),
            away_wait_ms: average(self.away_wait_ms, away.wait_ms()),
            bound_use: average(self.bound_use, sums.bound_use()),
            ..self
        };
        averaged.with_share(sums.crossing_ms, elapsed_ms)
    }

    /// Adjusts the share of leaving requests.
    ///
    /// It approaches the share that would even out the load while leaving pays, falls while it does not, and stays
    /// in between.
    fn with_share(self, cost_ms: f64, elapsed_ms: f64) -> Self {
        let gain_ms = self.home_wait_ms - self.away_wait_ms;
        let excess = if self.home_load > 0.0 { 1.0 - self.fleet_load / self.home_load } else { 0.0 };
        let pays = (gain_ms > cost_ms || self.bound_use > BEGIN_BOUND_USE) && excess > 0.0;
        let no_longer_pays =
            (gain_ms < cost_ms * END_COST_SHARE && self.bound_use < END_BOUND_USE) || excess <= 0.0;
        let is_leaving = self.is_leaving || (pays && excess > MIN_EXCESS);
        if !is_leaving {
            return self;
        }
        let share = if pays {
            // The remaining requests cause the domain's load, which this share of them exceeds the mean by.
            self.share + (1.0 - self.share) * excess * (1.0 - (-elapsed_ms / RISE_MS).exp())
        } else if no_longer_pays {
            self.share * (-elapsed_ms / FALL_MS).exp()
        } else {
            self.share
        };
        let share = share.min(MAX_SHARE);
        if !pays && share < MIN_SHARE {
            return Self { is_leaving: false, share: 0.0, ..self };
        }
        Self { is_leaving, share, ..self }
    }
}
