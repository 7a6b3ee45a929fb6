//! Measurements: the actual loads of the engines and the results that callers received.

use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use jujubedoor_http::FetchError;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::scenario::LOAD_BOUND;
use crate::caller::CallResponse;
use crate::local::LocalFleet;

/// Interval between samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);

/// Maximum time to first token that is recorded, in milliseconds. Longer times are recorded as this one.
const MAX_TIME_MS: u64 = 120_000;

/// Maximum number of slow requests that are recorded.
const MAX_SLOWEST: usize = 40;

/// Results of the measured calls.
#[derive(Debug)]
pub struct CallStats {
    /// Number of calls.
    pub requests: u64,
    /// Number of calls that were rejected without running.
    pub rejected: u64,
    /// Number of calls that failed in another way.
    pub failed: u64,
    /// Times to first token of successful calls, in milliseconds.
    pub ttft_ms: Histogram<u64>,
    /// Descriptions of the first few failures, for finding their cause.
    pub failure_examples: Vec<String>,
    /// Slowest requests: time to first token in milliseconds, and request id.
    pub slowest: Vec<(u64, String)>,
}

/// Samples of the engines.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    /// Sorted ratios of the highest load to the mean load, for samples with a mean of at least 1.
    pub load_ratios: Vec<f64>,
    /// Maximum number of calls by which an engine exceeded the load bound when it received a call.
    pub over_bound: f64,
    /// Share of calls whose engine exceeded the load bound when they arrived.
    pub over_share: f64,
    /// Number of calls that arrived at engines.
    pub calls: u64,
    /// Number of calls whose chat was cached.
    pub cache_hits: u64,
    /// Bytes sent between VMs. Each direction is counted once.
    pub control_bytes: u64,
    /// Duration of the sampling.
    pub duration: Duration,
}

/// A task that samples the engines of a fleet until [`Self::finish`] is called.
pub struct Sampler {
    stop: watch::Sender<bool>,
    task: JoinHandle<Samples>,
}

impl Default for CallStats {
    fn default() -> Self {
        let ttft_ms = Histogram::new_with_bounds(1, MAX_TIME_MS, 3).expect("the bounds are valid");
        Self {
            requests: 0,
            rejected: 0,
            failed: 0,
            ttft_ms,
            failure_examples: Vec::new(),
            slowest: Vec::new(),
        }
    }
}

impl CallStats {
    /// Adds the result of a call that arrived at an offset from the start.
    pub fn add(&mut self, offset: Duration, result: Result<CallResponse, FetchError>) {
        self.requests += 1;
        let failure = match result {
            Ok(response) if response.is_complete_stream() => {
                let first_token_ms = response.time_to_first_byte.map_or(0, jujubedoor_node::clock::millis);
                self.ttft_ms.saturating_record(first_token_ms.max(1));
                self.slowest.push((first_token_ms, response.header("x-jujubedoor-request").to_owned()));
                self.slowest.sort();
                self.slowest.reverse();
                self.slowest.truncate(MAX_SLOWEST);
                return;
            }
            Ok(response) if response.outcome() == "not-run" => {
                self.rejected += 1;
                format!("at {offset:?}: {}", response.text())
            }
            Ok(response) => {
                self.failed += 1;
                format!("at {offset:?}: status {}: {}", response.status, response.text())
            }
            Err(e) => {
                self.failed += 1;
                format!("at {offset:?}: {e}")
            }
        };
        if self.failure_examples.len() < 4 {
            self.failure_examples.push(failure);
        }
    }
}

impl Sampler {
    /// Starts sampling at a time. `inactive_domain` is the failure domain that takes no work, if any. Its
    /// engines are ignored in the mean and the maximum.
    pub fn start(
        fleet: &Arc<LocalFleet>,
        from: Instant,
        inactive_domain: watch::Receiver<Option<usize>>,
    ) -> Self {
        let (stop, stop_requested) = watch::channel(false);
        let task = tokio::spawn(sample(fleet.clone(), from, stop_requested, inactive_domain));
        Self { stop, task }
    }

    /// Returns the samples.
    pub async fn finish(self) -> Samples {
        self.stop.send_replace(true);
        self.task.await.unwrap_or_default()
    }
}

async fn sample(
    fleet: Arc<LocalFleet>,
    from: Instant,
    stop_requested: watch::Receiver<bool>,
    inactive_domain: watch::Receiver<Option<usize>>,
) -> Samples {
    tokio::time::sleep_until(from).await;
    let (calls, cache_hits) = engine_totals(&fleet);
    let bytes = control_bytes(&fleet);
    let mut samples = Samples::default();
    let mut new_calls = 0_u32;
    let mut calls_over_bound = 0_u32;
    let mut previous_calls = calls_per_engine(&fleet);
    while !*stop_requested.borrow() {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let loads: Vec<_> = fleet.engines.iter().map(|engine| f64::from(engine.active_calls())).collect();
        let (mean, max_load) = mean_and_max(&loads, *inactive_domain.borrow(), fleet.config.domains);
        let current_calls = calls_per_engine(&fleet);
        // Only an engine that received a call since the last sample has to be within the bound. The others
        // may exceed it because the mean has fallen.
        for ((load, before), after) in
            loads.iter().zip(&previous_calls).zip(&current_calls).filter(|((_, b), a)| b != a)
        {
            let excess = load - (LOAD_BOUND * mean).ceil();
            let new_engine_calls = u32::try_from(after - before).unwrap_or(u32::MAX);
            samples.over_bound = samples.over_bound.max(excess);
            new_calls += new_engine_calls;
            calls_over_bound += if excess > 0.0 { new_engine_calls } else { 0 };
        }
        previous_calls = current_calls;
        if mean >= 1.0 {
            samples.load_ratios.push(max_load / mean);
        }
    }
    let totals_after = engine_totals(&fleet);
    samples.calls = totals_after.0 - calls;
    samples.cache_hits = totals_after.1 - cache_hits;
    samples.control_bytes = control_bytes(&fleet) - bytes;
    samples.duration = from.elapsed();
    samples.over_share = f64::from(calls_over_bound) / f64::from(new_calls.max(1));
    samples.load_ratios.sort_by(f64::total_cmp);
    samples
}

/// Returns the mean and the maximum load of the engines whose failure domain takes work.
fn mean_and_max(loads: &[f64], inactive_domain: Option<usize>, domains: usize) -> (f64, f64) {
    let active = loads.iter().enumerate().filter(|(engine, _)| Some(engine % domains) != inactive_domain);
    let active: Vec<_> = active.map(|(_, load)| *load).collect();
    #[expect(clippy::cast_precision_loss, reason = "there are few engines")]
    let mean = active.iter().sum::<f64>() / active.len().max(1) as f64;
    (mean, active.iter().copied().fold(0.0, f64::max))
}

/// Returns the number of calls that arrived at each engine so far.
fn calls_per_engine(fleet: &LocalFleet) -> Vec<u64> {
    fleet.engines.iter().map(|engine| engine.totals().calls).collect()
}

/// Returns the number of calls and of cache hits of all engines so far.
fn engine_totals(fleet: &LocalFleet) -> (u64, u64) {
    let totals = fleet.engines.iter().map(jujubedoor_fakes::Engine::totals);
    totals.fold((0, 0), |(calls, cache_hits), totals| (calls + totals.calls, cache_hits + totals.cache_hits))
}

/// Returns the number of bytes that all VMs sent to other VMs so far.
pub fn control_bytes(fleet: &LocalFleet) -> u64 {
    fleet.daemons.iter().map(|daemon| daemon.handle.metrics.peer_traffic.totals().0).sum()
}
