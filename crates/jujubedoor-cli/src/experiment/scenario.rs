//! The scenarios of the experiments.

use std::time::Duration;

use jujubedoor_fakes::EngineConfig;

use super::arrivals::Workload;
use crate::local::FleetConfig;

/// Load bound of all scenarios: an engine's maximum load as a multiple of the mean load.
pub const LOAD_BOUND: f64 = 1.25;

/// A fleet, its workload and the disturbances of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: &'static str,
    /// Configuration of the fleet.
    pub fleet_config: FleetConfig,
    /// Workload of the fleet.
    pub workload: Workload,
    /// Warm-up time of the fleet before the measurement.
    pub warm_up: Duration,
    /// Duration of the measurement.
    pub duration: Duration,
    /// Disturbances with their times after the end of the warm-up.
    pub disturbances: Vec<(Duration, Disturbance)>,
    /// Number of slow requests whose timelines are printed.
    pub slowest_timelines: usize,
}

/// A change to a running fleet. Failure domains and engines are given by index.
#[derive(Clone, Copy, Debug)]
pub enum Disturbance {
    /// The service document sets a failure domain to a state.
    SetDomainState(usize, &'static str),
    /// An engine crashes.
    Crash(usize),
    /// A crashed engine is started again.
    Restart(usize),
    /// An engine loses its cache and returns to cold start without closing its connections.
    RestartInPlace(usize),
}

/// Names of all scenarios.
pub const SCENARIO_NAMES: [&str; 5] = ["reuse", "churn", "skew", "domain", "cold"];

impl Scenario {
    /// Returns the short or the full variant of the scenario with a name.
    pub fn by_name(name: &str, short: bool) -> Option<Self> {
        let base = base_scenario(short);
        let duration = base.duration;
        let at_share = |share: f64| duration.mul_f64(share);
        match name {
            "reuse" => Some(Self { name: "reuse", ..base }),
            "churn" => Some(Self { name: "churn", disturbances: churn_disturbances(duration), ..base }),
            "skew" => {
                let surge = Some((base.warm_up + at_share(0.4), base.warm_up + at_share(0.7), 2.0));
                let workload = Workload { chat_skew: 4.0, entry_skew: 4.0, surge, ..base.workload };
                Some(Self { name: "skew", workload, ..base })
            }
            "domain" => {
                let disturbances = vec![
                    (at_share(0.2), Disturbance::SetDomainState(0, "out")),
                    (at_share(0.6), Disturbance::SetDomainState(0, "in")),
                ];
                Some(Self { name: "domain", disturbances, ..base })
            }
            "cold" => {
                let disturbances = vec![
                    (at_share(0.2), Disturbance::RestartInPlace(0)),
                    (at_share(0.5), Disturbance::RestartInPlace(1)),
                ];
                Some(Self { name: "cold", disturbances, ..base })
            }
            _ => None,
        }
    }
}

/// Returns the parts that all scenarios have in common.
fn base_scenario(short: bool) -> Scenario {
    let engine_config = EngineConfig { token_ms: 10, max_cached_chats: 64, ..EngineConfig::default() };
    Scenario {
        name: "base",
        fleet_config: FleetConfig {
            vms: 6,
            engines: 9,
            services: 1,
            engine_config,
            ..FleetConfig::default()
        },
        workload: Workload::default(),
        warm_up: Duration::from_secs(if short { 3 } else { 6 }),
        duration: Duration::from_secs(if short { 6 } else { 20 }),
        disturbances: Vec::new(),
        slowest_timelines: 0,
    }
}

/// Returns disturbances in which one engine crashes and restarts once, and another one crashes twice.
fn churn_disturbances(duration: Duration) -> Vec<(Duration, Disturbance)> {
    let at_share = |share: f64| duration.mul_f64(share);
    vec![
        (at_share(0.1), Disturbance::Crash(1)),
        (at_share(0.3), Disturbance::Crash(4)),
        (at_share(0.35), Disturbance::Restart(4)),
        (at_share(0.45), Disturbance::Crash(4)),
        (at_share(0.5), Disturbance::Restart(1)),
        (at_share(0.55), Disturbance::Restart(4)),
    ]
}
