//! This VM's view of one upstream: its registration, load and health.

use std::cell::Cell;

use jujubedoor::ids::Time;
use jujubedoor::rendezvous;
use jujubedoor_config::Name;

use crate::cold_rate::ColdRateLimiter;
use crate::directory::Registration;
use crate::load_view::TotalLoad;
use crate::rate_limit::RateLimiter;
use crate::run_evidence::RunEvidence;
use crate::software::Software;

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
    /// The software of the registered run.
    pub software: Software,
    /// Number of requests of this VM that are running at the upstream.
    pub running: u32,
    /// Number of prompt tokens that the upstream has to prefill for requests of this VM whose responses
    /// have not started.
    pub prefill_tokens: u32,
    /// Time at which the upstream registered, or its latest response began.
    pub confirmed_at: Time,
    /// Time until which the upstream is cold.
    pub cold_until: Time,
    /// Rate limiter for requests of this VM while the upstream is cold.
    pub cold_rate: ColdRateLimiter,
    /// Limit on the rate of requests of all VMs that the upstream names.
    pub rate_limiter: RateLimiter,
    /// Time at which the upstream's process registered first, as far as this VM knows.
    pub registered_at: Time,
    /// Time of the last probe after a lost connection.
    pub probed_at: Option<Time>,
    /// Whether the upstream's failure domain is suspected to be unreachable. No requests are sent until
    /// a probe has completed.
    pub is_suspected: bool,
    /// Time until which the upstream is kept although its registration has ended.
    pub expires_at: Option<Time>,
    /// Rank of this VM among all for requests to an upstream whose rate is limited, and the membership for
    /// which it was computed.
    pub(crate) send_rank: Cell<Option<(u64, usize)>>,
    /// Times at which the registered run was certainly alive.
    pub(crate) run_evidence: RunEvidence,
    /// Load that the upstream itself reported last.
    reported_load: Option<LoadReport>,
    outage: Option<Outage>,
    /// End of the last outage, unless the upstream has registered since.
    outage_ended_at: Option<Time>,
    /// The latest time at which this VM could not reach the upstream.
    unreachable_at: Option<Time>,
    /// The latest time at which the upstream refused a connection of any VM.
    refused_at: Option<Time>,
    failure_average: f64,
    failure_updated_at: Time,
}

/// Returns the short key of an upstream or another name for messages between VMs.
pub fn short_key(name: &Name) -> u32 {
    u32::try_from(rendezvous::key_of(name) >> 32).unwrap_or(u32::MAX)
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

/// The process at an upstream's address, as far as it is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AddressHolder {
    /// The registered run.
    RegisteredRun,
    /// The registered run, or another one that has replaced it while the upstream could not be reached.
    InDoubt {
        /// The latest time at which this VM could not reach the upstream.
        unreachable_at: Time,
    },
    /// Not the registered run, which has ended.
    OtherRun,
}

impl Upstream {
    /// Creates the view of a newly registered upstream.
    pub fn new(id: &Name, registration: Registration, now: Time) -> Self {
        Self {
            key: short_key(id),
            confirmed_at: now,
            cold_until: now.after(registration.cold_ms),
            software: Software::of(&registration),
            registration,
            running: 0,
            prefill_tokens: 0,
            cold_rate: ColdRateLimiter::default(),
            rate_limiter: RateLimiter::default(),
            registered_at: now,
            probed_at: None,
            is_suspected: false,
            expires_at: None,
            send_rank: Cell::new(None),
            run_evidence: RunEvidence::default(),
            reported_load: None,
            outage: None,
            outage_ended_at: None,
            unreachable_at: None,
            refused_at: None,
            failure_average: 0.0,
            failure_updated_at: now,
        }
    }

    /// Returns the number of requests at the upstream, given the load of the other VMs.
    ///
    /// This is the total of all VMs, or the upstream's own report if that is recent and higher.
    pub fn load(&self, others: TotalLoad, now: Time) -> u32 {
        let reported =
            self.reported_load.filter(|r| now.since(r.at) < LOAD_REPORT_LIFETIME_MS).map_or(0, |r| r.load);
        self.running.saturating_add(others.running).max(reported)
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
        self.confirmed_at = now;
        let outage = self.outage.take()?;
        self.outage_ended_at = Some(now);
        Some(now.since(outage.started_at))
    }

    /// Records that the registered run had ended by a time, since the upstream refused a connection. Another run may have started
    /// since then.
    pub fn record_end_of_run(&mut self, at: Time) {
        self.refused_at = self.refused_at.max(Some(at));
        if self.outage.is_none() {
            self.outage_ended_at = self.outage_ended_at.max(Some(at));
        }
    }

    /// Returns the latest time at which the registered run is known to have ended.
    pub fn ended_at(&self) -> Option<Time> {
        self.refused_at
    }

    /// Records a registration of the current run. It shows which run serves after an outage only if it was written after that,
    /// given the latest time at which the registry was current without it.
    pub fn record_registration(&mut self, registration: Registration, unwritten_at: Option<Time>) {
        if !registration.is_repeated(&self.registration) && unwritten_at > self.outage_ended_at {
            self.outage_ended_at = None;
        }
        self.registration = registration;
    }

    /// Returns what is known of the process at the upstream's address, given the latest time at which the directory was
    /// current, and the time within which the registration of a run that has just started reaches this VM. After an outage,
    /// another run may serve under the same identifier whose registration has not arrived yet.
    pub(crate) fn address_holder(
        &self,
        directory_confirmed_at: Option<Time>,
        registration_delay_ms: u64,
    ) -> AddressHolder {
        let is_confirmed = |ended_at: Time| {
            let registered_by = ended_at.after(registration_delay_ms);
            directory_confirmed_at.is_some_and(|at| at >= registered_by)
        };
        if self.outage.is_none() && self.outage_ended_at.is_none_or(is_confirmed) {
            return AddressHolder::RegisteredRun;
        }
        match self.unreachable_at {
            _ if self.refused_at.is_some_and(|at| !is_confirmed(at)) => AddressHolder::OtherRun,
            Some(unreachable_at) => AddressHolder::InDoubt { unreachable_at },
            None => AddressHolder::OtherRun,
        }
    }

    /// Returns the latest time at which this VM could not reach the upstream.
    pub(crate) fn unreachable_at(&self) -> Option<Time> {
        self.unreachable_at
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
        self.unreachable_at = Some(now);
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
