//! Runs one scenario with one policy and one seed.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;

use super::arrivals;
use super::arrivals::Arrival;
use super::measure::Collected;
use super::measure::Sampler;
use super::report::Row;
use super::scenario::BOUND;
use super::scenario::Disturbance;
use super::scenario::Scenario;
use crate::caller::Call;
use crate::commands::timeline;
use crate::local::FleetConfig;
use crate::local::LocalFleet;
use crate::local::LocalFleetError;
use crate::local::MODEL;
use crate::local::TEAM;

/// Runs one scenario with one policy and one seed.
pub async fn drive(scenario: &Scenario, policy: &str, seed: u64) -> Result<Row, LocalFleetError> {
    let model_settings = format!("admission: {policy}\nbound: {BOUND}\n{}", scenario.fleet.model_settings);
    let config = FleetConfig { model_settings, ..scenario.fleet.clone() };
    let fleet = Arc::new(LocalFleet::start(config).await?);
    let arrivals =
        arrivals::draw(&scenario.load, fleet.daemons.len(), scenario.warm_up + scenario.span, seed);
    let start = Instant::now();
    let (out, domain_out) = watch::channel(None);
    let sampler = Sampler::start(&fleet, start + scenario.warm_up, domain_out);
    let disturbing = tokio::spawn(disturb(fleet.clone(), scenario.clone(), start, out));

    let mut calls = Vec::new();
    for arrival in arrivals {
        tokio::time::sleep_until(start + arrival.at).await;
        let entry = fleet.entry_addr(arrival.entry);
        let measured = arrival.at >= scenario.warm_up;
        calls.push(tokio::spawn(async move { (measured, arrival.at, call_of(&arrival).send(entry).await) }));
    }
    let mut collected = Collected::default();
    for call in calls {
        let Ok((measured, at, answer)) = call.await else { continue };
        if measured {
            collected.add(at, answer);
        }
    }
    if scenario.slowest > 0 {
        print_slowest(&fleet, &collected, scenario.slowest).await;
    }
    let disturbed = disturbing.await.unwrap_or_default();
    let loads = sampler.finish().await;
    Ok(Row::new(scenario, policy, seed, &fleet, &collected, &loads, &disturbed))
}

/// Prints the time lines of the slowest requests.
async fn print_slowest(fleet: &LocalFleet, collected: &Collected, count: usize) {
    let step = collected.slowest.len().div_ceil(count).max(1);
    for (ms, request) in collected.slowest.iter().step_by(step) {
        println!("first token after {ms} ms:");
        // A VM that is gone has no time line; the others still tell.
        let _ = timeline::run(&fleet.operator(), request, None, false).await;
    }
}

/// What was noticed while a scenario was disturbed.
#[derive(Clone, Debug, Default)]
pub struct Disturbed {
    /// How long after a failure domain was taken out its engines still got new work.
    pub last_new_work: Option<Duration>,
}

async fn disturb(
    fleet: Arc<LocalFleet>,
    scenario: Scenario,
    start: Instant,
    out: watch::Sender<Option<usize>>,
) -> Disturbed {
    let mut disturbed = Disturbed::default();
    for (at, disturbance) in &scenario.disturbances {
        tokio::time::sleep_until(start + scenario.warm_up + *at).await;
        match *disturbance {
            Disturbance::Domain(domain, state) => {
                fleet.platform.publish_document(TEAM, &fleet.document(&[(domain, state)]));
                out.send_replace((state != "in").then_some(domain));
                if state == "out" {
                    disturbed.last_new_work = Some(watch_domain(&fleet, domain).await);
                }
            }
            Disturbance::Crash(engine) => fleet.engines[engine].crash(),
            Disturbance::Restart(engine) => {
                // The port may be taken in the meantime; the engine then stays away.
                let _ = fleet.engines[engine].restart().await;
            }
            Disturbance::TurnCold(engine) => fleet.engines[engine].restart_in_place(),
        }
    }
    disturbed
}

/// Watches the engines of a domain for a while and returns when the last call arrived.
async fn watch_domain(fleet: &LocalFleet, domain: usize) -> Duration {
    const WATCH: Duration = Duration::from_secs(2);
    const PERIOD: Duration = Duration::from_millis(5);
    let began = Instant::now();
    let calls = || -> u64 {
        let engines = fleet.engines.iter().skip(domain).step_by(fleet.config.domains);
        engines.map(|engine| engine.totals().calls).sum()
    };
    let mut known = calls();
    let mut last = Duration::ZERO;
    while began.elapsed() < WATCH {
        tokio::time::sleep(PERIOD).await;
        let now = calls();
        if now > known {
            known = now;
            last = began.elapsed();
        }
    }
    last
}

fn call_of(arrival: &Arrival) -> Call {
    let workspace = if arrival.surging { "families" } else { "schools" };
    let chat = format!("chat-{}", arrival.chat);
    let call = Call::chat(workspace, MODEL, &chat, &chat);
    let mut body: serde_json::Value = serde_json::from_str(&call.body).unwrap_or_default();
    body["max_tokens"] = json!(arrival.tokens);
    Call { body: body.to_string(), ..call }
}
