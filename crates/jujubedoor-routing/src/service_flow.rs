//! The flow of requests from this VM to a service, from which the wait for a slot is estimated.
//!
//! While a service is full, requests of this VM end at the rate at which it gets slots. By Little's law this is the number
//! of its running requests divided by their mean duration, for each urgency by itself, since a burst of one kind changes
//! the mix at once. More urgent requests that arrive meanwhile take their part of the slots.

use std::collections::BTreeMap;

use jujubedoor::ids::Time;

/// Time constant with which arrivals are forgotten, in milliseconds.
const ARRIVAL_WINDOW_MS: f64 = 2_000.0;

/// Weight of the latest request in the mean duration, which is a moving average.
const DURATION_WEIGHT: f64 = 0.1;

/// Minimum number of requests from which a mean duration is known.
const MIN_SAMPLES: u32 = 5;

/// Minimum number of running requests from which the rate of slots is estimated. Fewer vary too much from moment to moment.
const MIN_RUNNING: u32 = 4;

/// Minimum share of the slots that is assumed to be left for less urgent requests, so that the estimate stays finite when
/// more urgent ones take all of them.
const MIN_SHARE: f64 = 0.1;

/// The flow of requests to a service.
#[derive(Clone, Debug, Default)]
pub struct ServiceFlow {
    /// Durations of all requests.
    all: MeanDuration,
    /// Durations by urgency.
    durations: BTreeMap<u8, MeanDuration>,
    arrivals: BTreeMap<u8, ArrivalRate>,
}

/// The mean duration of requests.
#[derive(Clone, Copy, Debug, Default)]
struct MeanDuration {
    mean_ms: f64,
    samples: u32,
}

/// Number of arrivals, in which earlier ones weigh exponentially less.
#[derive(Clone, Copy, Debug, Default)]
struct ArrivalRate {
    count: f64,
    updated_at: Time,
}

impl ServiceFlow {
    /// Records the arrival of a request.
    pub fn record_arrival(&mut self, urgency: u8, now: Time) {
        let arrivals = self.arrivals.entry(urgency).or_default();
        *arrivals = ArrivalRate { count: arrivals.count_at(now) + 1.0, updated_at: now };
    }

    /// Records that the service has completed a request.
    pub fn record_duration(&mut self, urgency: u8, duration_ms: u64) {
        let duration_ms = f64::from(u32::try_from(duration_ms).unwrap_or(u32::MAX));
        self.all.record(duration_ms);
        self.durations.entry(urgency).or_default().record(duration_ms);
    }

    /// Returns the number of slots a millisecond that this VM gets while the service is full, from the number of its
    /// requests that are running, by urgency. Returns `None` if there is too little to estimate it from.
    pub fn slots_per_ms(&self, running: &BTreeMap<u8, u32>) -> Option<f64> {
        if running.values().sum::<u32>() < MIN_RUNNING {
            return None;
        }
        let ending = |(urgency, count): (&u8, &u32)| {
            let known = self.durations.get(urgency).and_then(|mean| mean.known_ms());
            Some(f64::from(*count) / known.or_else(|| self.all.known_ms())?)
        };
        running.iter().map(ending).sum::<Option<f64>>().filter(|slots_per_ms| *slots_per_ms > 0.0)
    }

    /// Estimates the wait of a request for a slot, in milliseconds, behind a number of others.
    pub fn expected_wait_ms(&self, slots_per_ms: f64, ahead: usize, urgency: u8, now: Time) -> u64 {
        let more_urgent = self.arrivals.range(..urgency);
        let taken_per_ms = more_urgent.map(|(_, rate)| rate.count_at(now)).sum::<f64>() / ARRIVAL_WINDOW_MS;
        let left_per_ms = (slots_per_ms - taken_per_ms).max(slots_per_ms * MIN_SHARE);
        let needed = f64::from(u32::try_from(ahead + 1).unwrap_or(u32::MAX));
        // The quotient of two positive numbers; the conversion saturates.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let wait_ms = (needed / left_per_ms) as u64;
        wait_ms
    }
}

impl MeanDuration {
    fn record(&mut self, duration_ms: f64) {
        let weight = if self.samples == 0 { 1.0 } else { DURATION_WEIGHT };
        self.mean_ms += (duration_ms - self.mean_ms) * weight;
        self.samples = self.samples.saturating_add(1);
    }

    fn known_ms(self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.mean_ms.max(1.0))
    }
}

impl ArrivalRate {
    fn count_at(self, now: Time) -> f64 {
        let age_ms = f64::from(u32::try_from(now.since(self.updated_at)).unwrap_or(u32::MAX));
        self.count * (-age_ms / ARRIVAL_WINDOW_MS).exp()
    }
}
