//! What this VM knows of one upstream: its registration, load and health.

use std::collections::HashMap;

use jujubedoor::ids::Incarnation;
use jujubedoor::ids::Time;
use jujubedoor::rendezvous;
use jujubedoor_config::Name;

use crate::cold_rate::ColdRateLimiter;
use crate::directory::Registration;

/// The weight of the newest outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.2;

/// The time in which the share of failures halves without new outcomes, in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 2_500.0;

/// How long a load report counts, in milliseconds.
const LOAD_REPORT_LIFETIME_MS: u64 = 400;

/// What this VM knows of one upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its short key in messages between VMs.
    pub key: u32,
    /// How it registered itself.
    pub registration: Registration,
    /// The requests that this VM has running there.
    pub running: u32,
    /// The prompt tokens of this VM's requests there that have not begun to answer.
    pub prefill_tokens: u32,
    /// Until when it is cold.
    pub cold_until: Time,
    /// The requests that this VM sent while it was cold.
    pub cold_rate: ColdRateLimiter,
    /// When a connection to it was last tried after a request broke.
    pub probed_at: Option<Time>,
    /// Tells that a new connection to it is being tried, before which nothing is sent there.
    pub is_suspected: bool,
    /// Until when it is kept although its registration ended.
    pub expires_at: Option<Time>,
    peer_loads: HashMap<Incarnation, PeerLoad>,
    fleet_loads: HashMap<Incarnation, PeerLoad>,
    remote_load: Option<PeerLoad>,
    reported_load: Option<LoadReport>,
    outage: Option<Outage>,
    failure_average: f64,
    failure_updated_at: Time,
}

/// Returns a short key of an upstream for messages between VMs.
pub fn short_key(id: &Name) -> u32 {
    u32::try_from(rendezvous::key_of(id) >> 32).unwrap_or(u32::MAX)
}

/// What another VM told of requests at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// The requests that are running there.
    pub running: u32,
    /// The prompt tokens of those that have not begun to answer.
    pub prefill_tokens: u32,
    /// When it was told.
    pub at: Time,
}

/// The load that an upstream reported with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// The requests that ran and waited there.
    pub load: u32,
    /// When the answer came.
    pub at: Time,
}

/// An upstream that could not be reached.
#[derive(Clone, Copy, Debug)]
struct Outage {
    started_at: Time,
    paused_until: Time,
    pause_ms: u64,
    trial_sent: bool,
}

impl Upstream {
    /// Starts to know an upstream.
    pub fn new(id: &Name, registration: Registration, now: Time) -> Self {
        Self {
            key: short_key(id),
            cold_until: now.after(registration.cold_ms),
            registration,
            running: 0,
            prefill_tokens: 0,
            cold_rate: ColdRateLimiter::default(),
            probed_at: None,
            is_suspected: false,
            expires_at: None,
            peer_loads: HashMap::new(),
            fleet_loads: HashMap::new(),
            remote_load: None,
            reported_load: None,
            outage: None,
            failure_average: 0.0,
            failure_updated_at: now,
        }
    }

    /// Returns the requests that are known to be there, of all VMs.
    pub fn load(&self, now: Time, load_lifetime_ms: u64) -> u32 {
        let peer_total = self.peer_total(now, load_lifetime_ms).running;
        let reported =
            self.reported_load.filter(|r| now.since(r.at) < LOAD_REPORT_LIFETIME_MS).map_or(0, |r| r.load);
        (self.running + peer_total).max(reported)
    }

    /// Returns the prompt tokens that wait to be read there, of all VMs.
    pub fn pending_tokens(&self, now: Time, load_lifetime_ms: u64) -> u32 {
        self.prefill_tokens + self.peer_total(now, load_lifetime_ms).prefill_tokens
    }

    /// Sums the requests of other VMs: as a relay told of all, or as each VM told of its own.
    fn peer_total(&self, now: Time, load_lifetime_ms: u64) -> PeerLoad {
        let is_current = |load: &PeerLoad| now.since(load.at) < load_lifetime_ms;
        // A relay that has just become one knows of some VMs only, so the highest sum counts.
        if let Some(fleet_load) =
            self.fleet_loads.values().copied().filter(is_current).max_by_key(|load| load.running)
        {
            return fleet_load;
        }
        let remote_load = self.remote_load.filter(is_current).unwrap_or_default();
        self.peer_loads(now, load_lifetime_ms).fold(remote_load, |sum, (_, load)| PeerLoad {
            running: sum.running + load.running,
            prefill_tokens: sum.prefill_tokens + load.prefill_tokens,
            at: now,
        })
    }

    /// Returns how old the newest word of another VM about it is, in milliseconds.
    pub fn load_age(&self, now: Time) -> Option<u64> {
        let all_loads = self.peer_loads.values().chain(self.fleet_loads.values()).chain(&self.remote_load);
        all_loads.map(|load| now.since(load.at)).min()
    }

    /// Lists what other VMs told lately.
    pub fn peer_loads(
        &self,
        now: Time,
        load_lifetime_ms: u64,
    ) -> impl Iterator<Item = (Incarnation, PeerLoad)> {
        self.peer_loads
            .iter()
            .map(|(vm, load)| (*vm, *load))
            .filter(move |(_, load)| now.since(load.at) < load_lifetime_ms)
    }

    /// Takes what a relay told of all other VMs.
    pub fn set_fleet_load(&mut self, relay: Incarnation, load: PeerLoad) {
        self.fleet_loads.insert(relay, load);
    }

    /// Takes the sum of what the relays of other failure domains told.
    pub fn set_remote_load(&mut self, load: PeerLoad) {
        self.remote_load = Some(load);
    }

    /// Takes what another VM told.
    pub fn set_peer_load(&mut self, vm: Incarnation, load: PeerLoad) {
        self.peer_loads.insert(vm, load);
    }

    /// Forgets what other VMs told before a time.
    pub fn discard_loads_before(&mut self, before: Time) {
        self.peer_loads.retain(|_, load| load.at >= before);
        self.fleet_loads.retain(|_, load| load.at >= before);
    }

    /// Takes the load that came with an answer.
    pub fn record_load_report(&mut self, report: LoadReport) {
        self.reported_load = Some(report);
    }

    /// Tells whether it is cold.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Tells whether a request may be sent there as far as its health goes.
    ///
    /// An upstream that could not be reached gets one trial request after each pause.
    pub fn is_reachable(&self, now: Time) -> bool {
        !self.is_suspected
            && self.outage.is_none_or(|outage| now >= outage.paused_until && !outage.trial_sent)
    }

    /// Returns when it may be tried again, if it could not be reached.
    pub fn retry_at(&self) -> Option<Time> {
        self.outage.map(|outage| outage.paused_until)
    }

    /// Notes that a request is sent there.
    pub fn record_sent(&mut self, prefill_tokens: u32) {
        self.running += 1;
        self.prefill_tokens += prefill_tokens;
        if let Some(outage) = &mut self.outage {
            outage.trial_sent = true;
        }
    }

    /// Notes that a request there began to answer.
    pub fn record_response_start(&mut self, prefill_tokens: u32) {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(prefill_tokens);
    }

    /// Notes that a request there ended.
    pub fn record_end(&mut self) {
        self.running = self.running.saturating_sub(1);
        if let Some(outage) = &mut self.outage {
            outage.trial_sent = false;
        }
    }

    /// Notes that it answered; returns for how long it was out of reach, in milliseconds.
    pub fn record_reachable(&mut self, now: Time) -> Option<u64> {
        self.outage.take().map(|outage| now.since(outage.started_at))
    }

    /// Notes that it could not be reached and leaves it alone for a pause that doubles each time.
    pub fn record_unreachable(&mut self, now: Time, initial_pause_ms: u64, max_pause_ms: u64) {
        let previous = self.outage;
        let pause_ms = previous.map_or(initial_pause_ms, |outage| {
            if now >= outage.paused_until { (outage.pause_ms * 2).min(max_pause_ms) } else { outage.pause_ms }
        });
        let started_at = previous.map_or(now, |outage| outage.started_at);
        self.outage =
            Some(Outage { started_at, paused_until: now.after(pause_ms), pause_ms, trial_sent: false });
    }

    /// Takes the outcome of a request into the share of failures.
    pub fn record_outcome(&mut self, failed: bool, now: Time) {
        let outcome = f64::from(u8::from(failed));
        self.failure_average = self.failure_rate(now) * (1.0 - OUTCOME_WEIGHT) + outcome * OUTCOME_WEIGHT;
        self.failure_updated_at = now;
    }

    /// Returns the share of its requests that failed lately.
    pub fn failure_rate(&self, now: Time) -> f64 {
        let age = f64::from(u32::try_from(now.since(self.failure_updated_at)).unwrap_or(u32::MAX));
        self.failure_average * 0.5_f64.powf(age / FAILURE_HALF_LIFE_MS)
    }
}
