//! This VM's view of one upstream: its registration, load and health.

use std::collections::HashMap;

use jujubedoor::ids::Incarnation;
use jujubedoor::ids::Time;
use jujubedoor::rendezvous;
use jujubedoor_config::Name;

use crate::cold_rate::ColdRateLimiter;
use crate::directory::Registration;

/// Weight of the latest outcome in the failure rate, which is a moving average of outcomes.
const OUTCOME_WEIGHT: f64 = 0.2;

/// Time in which the failure rate halves without new outcomes, in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 2_500.0;

/// Time for which a load report of the upstream itself is valid, in milliseconds.
const LOAD_REPORT_LIFETIME_MS: u64 = 400;

/// This VM's view of one upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Short key of the upstream in messages between VMs.
    pub key: u32,
    /// The upstream's registration.
    pub registration: Registration,
    /// Number of requests of this VM that are running at the upstream.
    pub running: u32,
    /// Number of prompt tokens that the upstream has to prefill for requests of this VM whose responses
    /// have not started.
    pub prefill_tokens: u32,
    /// Time until which the upstream is cold.
    pub cold_until: Time,
    /// Rate limiter for requests of this VM while the upstream is cold.
    pub cold_rate: ColdRateLimiter,
    /// Time of the last probe after a lost connection.
    pub probed_at: Option<Time>,
    /// Whether the upstream's failure domain is suspected to be unreachable. No requests are sent until
    /// a probe has completed.
    pub is_suspected: bool,
    /// Time until which the upstream is kept although its registration has ended.
    pub expires_at: Option<Time>,
    /// Loads that other VMs reported for themselves.
    peer_loads: HashMap<Incarnation, PeerLoad>,
    /// Loads of all other VMs together, by the relay that reported them.
    fleet_loads: HashMap<Incarnation, PeerLoad>,
    /// Load of the other failure domains together.
    remote_load: Option<PeerLoad>,
    /// Load that the upstream itself reported last.
    reported_load: Option<LoadReport>,
    outage: Option<Outage>,
    failure_average: f64,
    failure_updated_at: Time,
}

/// Returns the short key of an upstream for messages between VMs.
pub fn short_key(id: &Name) -> u32 {
    u32::try_from(rendezvous::key_of(id) >> 32).unwrap_or(u32::MAX)
}

/// Load at an upstream that is caused by other VMs, as reported by one of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of prompt tokens to prefill for requests whose responses have not started.
    pub prefill_tokens: u32,
    /// Time at which the report was received.
    pub at: Time,
}

/// Load that an upstream reported in the head of a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Number of running and queued requests.
    pub load: u32,
    /// Time at which the response was received.
    pub at: Time,
}

/// A period in which an upstream could not be reached.
#[derive(Clone, Copy, Debug)]
struct Outage {
    started_at: Time,
    paused_until: Time,
    pause_ms: u64,
    trial_sent: bool,
}

impl Upstream {
    /// Creates the view of a newly registered upstream.
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

    /// Returns the number of requests at the upstream, as far as this VM knows.
    ///
    /// This is the total of all VMs, or the upstream's own report if that is recent and higher.
    pub fn load(&self, now: Time, load_lifetime_ms: u64) -> u32 {
        let peer_total = self.peer_total(now, load_lifetime_ms).running;
        let reported =
            self.reported_load.filter(|r| now.since(r.at) < LOAD_REPORT_LIFETIME_MS).map_or(0, |r| r.load);
        (self.running + peer_total).max(reported)
    }

    /// Returns the number of prompt tokens that the upstream has to prefill, for requests of all VMs.
    pub fn total_prefill_tokens(&self, now: Time, load_lifetime_ms: u64) -> u32 {
        self.prefill_tokens + self.peer_total(now, load_lifetime_ms).prefill_tokens
    }

    /// Returns the total load of all other VMs: a relay's total if there is one, or else the sum of the
    /// VMs' own reports.
    fn peer_total(&self, now: Time, load_lifetime_ms: u64) -> PeerLoad {
        let is_current = |l: &PeerLoad| now.since(l.at) < load_lifetime_ms;
        // A VM that has just become a relay knows only part of the fleet, so the highest total is used.
        if let Some(fleet_load) =
            self.fleet_loads.values().copied().filter(is_current).max_by_key(|l| l.running)
        {
            return fleet_load;
        }
        let remote_load = self.remote_load.filter(is_current).unwrap_or_default();
        self.peer_loads(now, load_lifetime_ms).fold(remote_load, |sum, (_, l)| PeerLoad {
            running: sum.running + l.running,
            prefill_tokens: sum.prefill_tokens + l.prefill_tokens,
            at: now,
        })
    }

    /// Returns the age of the latest load report of another VM, in milliseconds, or `None` if there is no
    /// report.
    pub fn load_age(&self, now: Time) -> Option<u64> {
        let all_loads = self.peer_loads.values().chain(self.fleet_loads.values()).chain(&self.remote_load);
        all_loads.map(|l| now.since(l.at)).min()
    }

    /// Returns the load reports of other VMs that are still valid.
    pub fn peer_loads(
        &self,
        now: Time,
        load_lifetime_ms: u64,
    ) -> impl Iterator<Item = (Incarnation, PeerLoad)> {
        self.peer_loads
            .iter()
            .map(|(vm, l)| (*vm, *l))
            .filter(move |(_, l)| now.since(l.at) < load_lifetime_ms)
    }

    /// Sets the load of all VMs except this one, as reported by a relay.
    pub fn set_fleet_load(&mut self, relay: Incarnation, peer_load: PeerLoad) {
        self.fleet_loads.insert(relay, peer_load);
    }

    /// Sets the total load of the other failure domains, as reported by their relays.
    pub fn set_remote_load(&mut self, peer_load: PeerLoad) {
        self.remote_load = Some(peer_load);
    }

    /// Sets the load of one other VM.
    pub fn set_peer_load(&mut self, vm: Incarnation, peer_load: PeerLoad) {
        self.peer_loads.insert(vm, peer_load);
    }

    /// Discards load reports that were received from other VMs before a time.
    pub fn discard_loads_before(&mut self, before: Time) {
        self.peer_loads.retain(|_, l| l.at >= before);
        self.fleet_loads.retain(|_, l| l.at >= before);
    }

    /// Records the load that the upstream reported with a response.
    pub fn record_load_report(&mut self, report: LoadReport) {
        self.reported_load = Some(report);
    }

    /// Returns whether the upstream is cold.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Returns whether the upstream's health allows sending a request to it.
    ///
    /// An upstream that could not be reached gets one trial request after each pause.
    pub fn is_reachable(&self, now: Time) -> bool {
        !self.is_suspected && self.outage.is_none_or(|o| now >= o.paused_until && !o.trial_sent)
    }

    /// Returns the time from which an unreachable upstream may be tried again, or `None` if the upstream
    /// is not known to be unreachable.
    pub fn retry_at(&self) -> Option<Time> {
        self.outage.map(|o| o.paused_until)
    }

    /// Records that a request was sent to the upstream.
    pub fn record_sent(&mut self, prefill_tokens: u32) {
        self.running += 1;
        self.prefill_tokens += prefill_tokens;
        if let Some(outage) = &mut self.outage {
            outage.trial_sent = true;
        }
    }

    /// Records that the response to a request started.
    pub fn record_response_start(&mut self, prefill_tokens: u32) {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(prefill_tokens);
    }

    /// Records that a request ended.
    pub fn record_end(&mut self) {
        self.running = self.running.saturating_sub(1);
        if let Some(outage) = &mut self.outage {
            outage.trial_sent = false;
        }
    }

    /// Records that the upstream responded. If this ends an outage, returns the outage's duration in
    /// milliseconds.
    pub fn record_reachable(&mut self, now: Time) -> Option<u64> {
        self.outage.take().map(|o| now.since(o.started_at))
    }

    /// Records that the upstream could not be reached, which starts a pause.
    ///
    /// A failure after a pause starts another one of twice the length, up to a maximum. A failure during
    /// a pause restarts it at the same length.
    pub fn record_unreachable(&mut self, now: Time, initial_pause_ms: u64, max_pause_ms: u64) {
        let previous = self.outage;
        let pause_ms = previous.map_or(initial_pause_ms, |o| {
            if now >= o.paused_until { (o.pause_ms * 2).min(max_pause_ms) } else { o.pause_ms }
        });
        let started_at = previous.map_or(now, |o| o.started_at);
        self.outage =
            Some(Outage { started_at, paused_until: now.after(pause_ms), pause_ms, trial_sent: false });
    }

    /// Updates the failure rate with the outcome of a request.
    pub fn record_outcome(&mut self, failed: bool, now: Time) {
        let outcome = f64::from(u8::from(failed));
        self.failure_average = self.failure_rate(now) * (1.0 - OUTCOME_WEIGHT) + outcome * OUTCOME_WEIGHT;
        self.failure_updated_at = now;
    }

    /// Returns the failure rate between zero and one, in which recent outcomes weigh most.
    pub fn failure_rate(&self, now: Time) -> f64 {
        let age = f64::from(u32::try_from(now.since(self.failure_updated_at)).unwrap_or(u32::MAX));
        self.failure_average * 0.5_f64.powf(age / FAILURE_HALF_LIFE_MS)
    }
}
