//! The load of engines in a fleet whose VMs report it to each other through relays.

use jujubedoor_config::Name;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Behavior;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::registration;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Number of VMs, few enough that each sends many requests and too many for a full mesh.
const VMS: usize = 32;

/// Number of engines that have the prompts of all chats cached.
const POPULAR_ENGINES: usize = 40;

/// Number of engines that join later.
const JOINING_ENGINES: usize = 100;

/// Number of chats.
const CHATS: u64 = 300;

/// Number of requests in 100 milliseconds.
const REQUESTS_PER_100_MS: u64 = 59;

/// Duration of the load, in milliseconds.
const DURATION_MS: u64 = 6_000;

/// Returns the share of requests that reached an engine with more than three requests above twice the mean load. All
/// VMs prefer the same few engines, which have the prompts cached, as soon as these seem to have capacity again.
fn overloaded_share(seed: u64) -> f64 {
    let mut fleet = Fleet::new(VMS, Tuning::default(), seed);
    set_up(&mut fleet, "llm", POPULAR_ENGINES);
    fleet.upstream_behavior = Box::new(|_, _, draw| Behavior {
        runs: true,
        outcome: AttemptOutcome::Complete,
        work_ms: 400 + draw % 800,
    });
    let mut rng = SmallRng::seed_from_u64(seed);
    let route = route("llm", Kind::Streaming, 1);
    fleet.run(3_000);
    let mut id = 0;
    let mut submit = |fleet: &mut Fleet, chat: u64| {
        id += 1;
        let call = call(&route, fleet.now, 5_000, chat, 4_000);
        fleet.call(rng.random_range(0..VMS), id, call);
    };
    for chat in 0..CHATS {
        submit(&mut fleet, chat);
        fleet.run(20);
    }
    for n in 0..JOINING_ENGINES {
        let id = Name::from(format!("llm-{}", POPULAR_ENGINES + n));
        let recipients: Vec<usize> = (0..VMS).collect();
        fleet.publish(&Change::Registered(id, registration("llm", n % 3)), &recipients);
    }
    fleet.run(2_000);
    fleet.overloaded_at_arrival.clear();
    let mut arrivals = SmallRng::seed_from_u64(seed + 1_000);
    for _ in 0..DURATION_MS {
        if arrivals.random_range(0..100) < REQUESTS_PER_100_MS {
            submit(&mut fleet, arrivals.random_range(0..CHATS));
        }
        fleet.run(1);
    }
    let overloaded = fleet.overloaded_at_arrival.iter().filter(|overloaded| **overloaded).count();
    let requests = fleet.overloaded_at_arrival.len();
    f64::from(u32::try_from(overloaded).expect("few")) / f64::from(u32::try_from(requests).expect("few"))
}

/// Guards against loads that are known too late: while engines that many chats prefer seem to have capacity, VMs would
/// send them more than they may have.
#[test]
fn popular_engines() {
    for seed in 1..4 {
        let share = overloaded_share(seed);
        assert!(share <= 0.03, "seed {seed}: {share:.3} of the requests reached an engine above its bound");
    }
}
