//! The scenarios that can be run.

use std::time::Duration;

use jujubedoor_fakes::EngineConfig;

use super::arrivals::Load;
use crate::local::FleetConfig;

/// The load bound of all scenarios.
pub const BOUND: f64 = 1.25;

/// What is run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The name.
    pub name: &'static str,
    /// The fleet.
    pub fleet: FleetConfig,
    /// How callers behave.
    pub load: Load,
    /// How long the fleet warms up before anything is measured.
    pub warm_up: Duration,
    /// How long is measured.
    pub span: Duration,
    /// What is disturbed, and when after the end of the warm-up.
    pub disturbances: Vec<(Duration, Disturbance)>,
    /// For how many of the slowest requests the time line is printed.
    pub slowest: usize,
}

/// Something that happens to a fleet.
#[derive(Clone, Copy, Debug)]
pub enum Disturbance {
    /// A failure domain changes its state in the document.
    Domain(usize, &'static str),
    /// An engine crashes.
    Crash(usize),
    /// A crashed engine starts again.
    Restart(usize),
    /// An engine turns cold without closing its connections.
    TurnCold(usize),
}

/// The names of the scenarios.
pub const NAMES: [&str; 5] = ["reuse", "churn", "skew", "domain", "cold"];

impl Scenario {
    /// Returns the scenario of a name, in its short or its full variant.
    pub fn named(name: &str, short: bool) -> Option<Self> {
        let base = base(short);
        let span = base.span;
        let at = |share: f64| span.mul_f64(share);
        match name {
            "reuse" => Some(Self { name: "reuse", ..base }),
            "churn" => Some(Self { name: "churn", disturbances: churn(span), ..base }),
            "skew" => {
                let surge = Some((base.warm_up + at(0.4), base.warm_up + at(0.7), 2.0));
                let load = Load { chat_skew: 4.0, entry_skew: 4.0, surge, ..base.load };
                Some(Self { name: "skew", load, ..base })
            }
            "domain" => {
                let disturbances =
                    vec![(at(0.2), Disturbance::Domain(0, "out")), (at(0.6), Disturbance::Domain(0, "in"))];
                Some(Self { name: "domain", disturbances, ..base })
            }
            "cold" => {
                let disturbances =
                    vec![(at(0.2), Disturbance::TurnCold(0)), (at(0.5), Disturbance::TurnCold(1))];
                Some(Self { name: "cold", disturbances, ..base })
            }
            _ => None,
        }
    }
}

fn base(short: bool) -> Scenario {
    let engine_config = EngineConfig { token_ms: 10, max_cached_chats: 64, ..EngineConfig::default() };
    Scenario {
        name: "base",
        fleet: FleetConfig { vms: 6, engines: 9, services: 1, engine_config, ..FleetConfig::default() },
        load: Load::default(),
        warm_up: Duration::from_secs(if short { 3 } else { 6 }),
        span: Duration::from_secs(if short { 6 } else { 20 }),
        disturbances: Vec::new(),
        slowest: 0,
    }
}

/// One engine crashes and starts again, another flaps.
fn churn(span: Duration) -> Vec<(Duration, Disturbance)> {
    let at = |share: f64| span.mul_f64(share);
    vec![
        (at(0.1), Disturbance::Crash(1)),
        (at(0.3), Disturbance::Crash(4)),
        (at(0.35), Disturbance::Restart(4)),
        (at(0.45), Disturbance::Crash(4)),
        (at(0.5), Disturbance::Restart(1)),
        (at(0.55), Disturbance::Restart(4)),
    ]
}
