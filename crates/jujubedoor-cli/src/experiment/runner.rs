//! Runs one scenario with one policy and one seed.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;

use super::arrivals;
use super::arrivals::Arrival;
use super::measure::CallStats;
use super::measure::Sampler;
use super::report::Row;
use super::scenario::Disturbance;
use super::scenario::LOAD_BOUND;
use super::scenario::Scenario;
use crate::caller::Call;
use crate::commands::timeline;
use crate::local::FleetConfig;
use crate::local::LocalFleet;
use crate::local::LocalFleetError;
use crate::local::MODEL;
use crate::local::TEAM;

/// Runs one scenario with one policy and one seed.
pub async fn run_scenario(scenario: &Scenario, policy: &str, seed: u64) -> Result<Row, LocalFleetError> {
    let model_settings =
        format!("admission: {policy}\nbound: {LOAD_BOUND}\n{}", scenario.fleet_config.model_settings);
    let config = FleetConfig { model_settings, ..scenario.fleet_config.clone() };
    let fleet = Arc::new(LocalFleet::start(config).await?);
    let arrivals = arrivals::generate(
        &scenario.workload,
        fleet.daemons.len(),
        scenario.warm_up + scenario.duration,
        seed,
    );
    let start = Instant::now();
    let (inactive_domain_tx, inactive_domain_rx) = watch::channel(None);
    let sampler = Sampler::start(&fleet, start + scenario.warm_up, inactive_domain_rx);
    let disturbance_task =
        tokio::spawn(apply_disturbances(fleet.clone(), scenario.clone(), start, inactive_domain_tx));

    let mut calls = Vec::new();
    for arrival in arrivals {
        tokio::time::sleep_until(start + arrival.offset).await;
        let entry = fleet.entry_addr(arrival.entry_vm);
        let measured = arrival.offset >= scenario.warm_up;
        calls.push(tokio::spawn(
            async move { (measured, arrival.offset, call_for(&arrival).send(entry).await) },
        ));
    }
    let mut stats = CallStats::default();
    for call in calls {
        let Ok((measured, offset, result)) = call.await else { continue };
        if measured {
            stats.add(offset, result);
        }
    }
    if scenario.slowest_timelines > 0 {
        print_slowest(&fleet, &stats, scenario.slowest_timelines).await;
    }
    let disturbance_result = disturbance_task.await.unwrap_or_default();
    let engine_samples = sampler.finish().await;
    Ok(Row::new(scenario, policy, seed, &fleet, &stats, &engine_samples, &disturbance_result))
}

/// Prints the timelines of at most `count` of the recorded slowest requests, evenly spread.
async fn print_slowest(fleet: &LocalFleet, stats: &CallStats, count: usize) {
    let step = stats.slowest.len().div_ceil(count).max(1);
    for (ttft_ms, request) in stats.slowest.iter().step_by(step) {
        println!("first token after {ttft_ms} ms:");
        // The entries of a VM that has stopped are missing; those of the other VMs are still printed. An
        // error does not affect the result of the experiment.
        let _ = timeline::run(&fleet.operator(), request, None, false).await;
    }
}

/// Observations during the disturbances of a scenario.
#[derive(Clone, Debug, Default)]
pub struct DisturbanceResult {
    /// Time from evacuating a failure domain to the last new call at its engines.
    pub last_new_work: Option<Duration>,
}

/// Applies the disturbances of a scenario at their times.
///
/// Informs the sampler whenever a failure domain starts or stops taking work.
async fn apply_disturbances(
    fleet: Arc<LocalFleet>,
    scenario: Scenario,
    start: Instant,
    inactive_domain_tx: watch::Sender<Option<usize>>,
) -> DisturbanceResult {
    let mut disturbance_result = DisturbanceResult::default();
    for (offset, disturbance) in &scenario.disturbances {
        tokio::time::sleep_until(start + scenario.warm_up + *offset).await;
        match *disturbance {
            Disturbance::SetDomainState(domain, state) => {
                fleet.platform.publish_document(TEAM, &fleet.document(&[(domain, state)]));
                inactive_domain_tx.send_replace((state != "in").then_some(domain));
                if state == "out" {
                    disturbance_result.last_new_work = Some(observe_new_work(&fleet, domain).await);
                }
            }
            Disturbance::Crash(engine) => fleet.engines[engine].crash(),
            Disturbance::Restart(engine) => {
                // If another process has bound the port in the meantime, the engine stays stopped.
                let _ = fleet.engines[engine].restart().await;
            }
            Disturbance::RestartInPlace(engine) => fleet.engines[engine].restart_in_place(),
        }
    }
    disturbance_result
}

/// Polls the engines of a failure domain for 2 s.
///
/// Returns the time from the start of the polling to the last new call, or zero if there was none.
async fn observe_new_work(fleet: &LocalFleet, domain: usize) -> Duration {
    const OBSERVATION_TIME: Duration = Duration::from_secs(2);
    const POLL_INTERVAL: Duration = Duration::from_millis(5);
    let started_at = Instant::now();
    let calls = || -> u64 {
        let engines = fleet.engines.iter().skip(domain).step_by(fleet.config.domains);
        engines.map(|engine| engine.totals().calls).sum()
    };
    let mut previous_calls = calls();
    let mut last_arrival = Duration::ZERO;
    while started_at.elapsed() < OBSERVATION_TIME {
        tokio::time::sleep(POLL_INTERVAL).await;
        let current_calls = calls();
        if current_calls > previous_calls {
            previous_calls = current_calls;
            last_arrival = started_at.elapsed();
        }
    }
    last_arrival
}

/// Creates the call of an arrival. Calls of a surge belong to a workspace of their own.
fn call_for(arrival: &Arrival) -> Call {
    let workspace = if arrival.surging { "families" } else { "schools" };
    let chat = format!("chat-{}", arrival.chat);
    let call = Call::chat(workspace, MODEL, &chat, &chat);
    let mut body: serde_json::Value = serde_json::from_str(&call.body).unwrap_or_default();
    body["max_tokens"] = json!(arrival.tokens);
    Call { body: body.to_string(), ..call }
}
