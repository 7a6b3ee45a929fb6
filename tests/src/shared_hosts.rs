//! Engines that share their hosts with other work, so that each of them is slow at times, and the load that they
//! answer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;

use jujubedoor::rendezvous;
use jujubedoor_config::Name;
use jujubedoor_routing::Call;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::call::Part;
use jujubedoor_routing::event::UpstreamLoad;
use jujubedoor_routing::routes::Kind;
use jujubedoor_routing::routes::Route;
use jujubedoor_routing::speed::Speed;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::router::Fleet;
use crate::router::call;
use crate::router::route;
use crate::router::set_up;

/// Numbers of VMs and engines.
pub const VMS: usize = 32;
const ENGINES: usize = 140;

/// Prompt tokens that an engine prefills per millisecond at its usual speed.
const TOKENS_PER_MS: f64 = 92.1;

/// Time that an engine takes for each response besides the prefill at its usual speed, in milliseconds.
const BASE_MS: f64 = 20.0;

/// Length of a period in which an engine is slow, and average interval between the beginnings of two, in milliseconds.
const SLOW_MS: u64 = 600;
const CYCLE_MS: u64 = 4_000;

/// The time that work takes at a slow engine, in percent of the usual one.
const SLOW_PERCENT: f64 = 250.0;

/// Requests a second of the routes, with the tokens of their prompts: a part that many share, one that some share, and
/// one of their own.
const ROUTES: [Demand; 3] = [
    Demand { per_s: 166, shared: (3, 2_000), context: (400, 9_000), own: 800 },
    Demand { per_s: 114, shared: (3, 100), context: (900, 600), own: 130 },
    Demand { per_s: 304, shared: (9, 1_500), context: (60, 500), own: 400 },
];

struct Demand {
    per_s: u32,
    /// Number of different parts and their tokens.
    shared: (u64, u32),
    context: (u64, u32),
    own: u32,
}

/// A fleet of VMs with engines that are slow at times.
pub struct SharedHosts {
    /// The fleet.
    pub fleet: Fleet,
    engines: Rc<RefCell<Engines>>,
    rng: SmallRng,
    next_call: u64,
}

/// What happened to the requests of a period.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Share of the requests that reached an engine while it was slow.
    pub slow_share: f64,
    /// Mean time from the arrival at an engine to the start of the response, in milliseconds.
    pub mean_ms: f64,
    /// Time that the slowest twentieth of the requests exceeded.
    pub p95_ms: u64,
    /// Prompt tokens that the engines prefilled, as a share of those of all prompts.
    pub prefilled_share: f64,
}

#[derive(Default)]
struct Engines {
    /// Parts that each engine has cached.
    caches: HashMap<Name, HashSet<u64>>,
    /// Time until which each engine is busy with prefills.
    busy_until: HashMap<Name, f64>,
    /// Parts of the prompts of all calls.
    prompts: HashMap<u64, Vec<Part>>,
    served: Vec<Served>,
}

struct Served {
    at: u64,
    was_slow: bool,
    response_ms: u64,
    prompt_tokens: u32,
    prefilled_tokens: u32,
}

impl SharedHosts {
    /// Starts the fleet. Engines name their speeds if `names_speeds` is set.
    pub fn start(tuning: Tuning, names_speeds: bool, seed: u64) -> Self {
        let mut fleet = Fleet::new(VMS, tuning, seed);
        set_up(&mut fleet, "llm", ENGINES);
        let engines = Rc::new(RefCell::new(Engines::default()));
        let serving = engines.clone();
        fleet.prefill_time =
            Some(Box::new(move |engine, call, now| serving.borrow_mut().serve(engine, call, now)));
        fleet.load = Box::new(move |engine, now| {
            let named = Speed::from_percent(percent(engine, now)).filter(|_| names_speeds);
            Some(UpstreamLoad { speed: named, ..UpstreamLoad::default() })
        });
        fleet.run(3_000);
        Self { fleet, engines, rng: SmallRng::seed_from_u64(seed), next_call: 0 }
    }

    /// Sends the load for a time and returns what happened to it.
    pub fn run(&mut self, duration_ms: u64) -> Outcome {
        let since = self.fleet.now;
        for _ in 0..duration_ms {
            for demand in &ROUTES {
                if self.rng.random_range(0..1_000) < demand.per_s {
                    self.send(demand);
                }
            }
            self.fleet.run(1);
        }
        self.engines.borrow().outcome(since)
    }

    /// Returns the requests that reached each engine since a time.
    pub fn arrivals_since(&self, since: u64) -> HashMap<Name, usize> {
        let recent = |at: &&(u64, u64)| at.0 >= since;
        let count = |(id, all): (&Name, &Vec<(u64, u64)>)| (id.clone(), all.iter().filter(recent).count());
        self.fleet.arrivals.iter().map(count).collect()
    }

    fn send(&mut self, demand: &Demand) {
        let id = self.next_call;
        self.next_call += 1;
        let Demand { shared, context, own, .. } = demand;
        let route: Arc<Route> = route("llm", Kind::Streaming, 2);
        let mut prompt: Call = call(&route, self.fleet.now, 10_000, id, 0);
        let key = |kind: &str, n: u64| rendezvous::key_of(&format!("{kind} {own} {n}"));
        // Some contexts are used much more often than others.
        let drawn: f64 = self.rng.random();
        let contexts = f64::from(u32::try_from(context.0).expect("few"));
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let chosen = (drawn * drawn * contexts) as u64;
        prompt.parts = vec![
            Part { key: key("shared", chosen % shared.0), tokens: shared.1 },
            Part { key: key("context", chosen), tokens: context.1 },
            Part { key: key("own", id), tokens: *own },
        ];
        self.engines.borrow_mut().prompts.insert(id, prompt.parts.clone());
        let vm = self.rng.random_range(0..VMS);
        self.fleet.call(vm, id, prompt);
    }
}

impl Engines {
    /// Returns the time until an engine begins to respond to a call that reaches it at a time, in milliseconds.
    fn serve(&mut self, engine: &Name, call: u64, now: u64) -> u64 {
        let cache = self.caches.entry(engine.clone()).or_default();
        let (mut prompt_tokens, mut prefilled_tokens) = (0, 0);
        for part in &self.prompts[&call] {
            prompt_tokens += part.tokens;
            if cache.insert(part.key) {
                prefilled_tokens += part.tokens;
            }
        }
        let busy_until = self.busy_until.entry(engine.clone()).or_default();
        let arrived_at = to_f64(now);
        let prefilled_at =
            worked_until(engine, busy_until.max(arrived_at), f64::from(prefilled_tokens) / TOKENS_PER_MS);
        *busy_until = prefilled_at;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let response_ms = (worked_until(engine, prefilled_at, BASE_MS) - arrived_at) as u64;
        let was_slow = percent(engine, now) > 100.0;
        self.served.push(Served { at: now, was_slow, response_ms, prompt_tokens, prefilled_tokens });
        response_ms
    }

    fn outcome(&self, since: u64) -> Outcome {
        let served: Vec<&Served> = self.served.iter().filter(|s| s.at >= since).collect();
        let count = to_f64(served.len() as u64);
        let mut times: Vec<u64> = served.iter().map(|s| s.response_ms).collect();
        times.sort_unstable();
        let sum = |value: fn(&Served) -> u64| to_f64(served.iter().map(|s| value(s)).sum());
        Outcome {
            slow_share: sum(|s| u64::from(s.was_slow)) / count,
            mean_ms: sum(|s| s.response_ms) / count,
            p95_ms: times[times.len() * 95 / 100],
            prefilled_share: sum(|s| u64::from(s.prefilled_tokens)) / sum(|s| u64::from(s.prompt_tokens)),
        }
    }
}

/// Returns the time that work takes at an engine at a time, in percent of the usual one.
pub fn percent(engine: &Name, now: u64) -> f64 {
    let cycle = now / CYCLE_MS;
    let begins_at = rendezvous::score(cycle, engine) % (CYCLE_MS - SLOW_MS);
    let in_cycle = now % CYCLE_MS;
    if (begins_at..begins_at + SLOW_MS).contains(&in_cycle) { SLOW_PERCENT } else { 100.0 }
}

/// Returns when an engine has done work that begins at a time and takes `work_ms` at its usual speed.
fn worked_until(engine: &Name, begins_at: f64, work_ms: f64) -> f64 {
    let (mut at, mut left) = (begins_at, work_ms);
    while left > 0.0 {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let slowdown = percent(engine, at as u64) / 100.0;
        let step = left.min(1.0 / slowdown);
        left -= step;
        at += step * slowdown;
    }
    at
}

fn to_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).expect("a number of this size"))
}
