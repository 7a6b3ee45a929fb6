//! An upstream that names a rate limit gets no more requests than that from all VMs together.
//!
//! Each VM sees only its own requests and the responses to them. If each kept the limit by itself, the upstream
//! would get a multiple of it.

use std::collections::BTreeMap;

use jujubedoor_config::Name;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::rate_limit::share_of;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Behavior;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;
use quickcheck::QuickCheck;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Period over which a limit has to be kept, in milliseconds.
const PERIOD_MS: u64 = 4_000;

/// Time after a limit was first named from which it has to be kept, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Time for which the limits are named, in milliseconds.
const LIMITED_MS: u64 = 16_000;

/// A fleet before upstreams of which some limit their rate.
struct Scenario {
    vms: usize,
    upstreams: usize,
    limited: usize,
    service: &'static str,
    /// Requests a second that each limited upstream takes.
    per_s: f64,
    interval_ms: u64,
    restarts: bool,
    seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            vms: 6,
            upstreams: 18,
            limited: 13,
            service: "llm",
            per_s: 2.4,
            interval_ms: 9,
            restarts: false,
            seed: 1,
        }
    }
}

struct Played {
    fleet: Fleet,
    limited_at: u64,
    limited_until: u64,
}

fn is_limited(upstream: &str, limited: usize) -> bool {
    upstream.rsplit_once('-').and_then(|(_, n)| n.parse::<usize>().ok()).is_some_and(|n| n < limited)
}

fn play(scenario: &Scenario) -> Played {
    let mut fleet = Fleet::new(scenario.vms, Tuning::default(), scenario.seed);
    set_up(&mut fleet, scenario.service, scenario.upstreams);
    fleet.run(2_000);
    let limited_at = fleet.now + 2_000;
    let limited_until = limited_at + LIMITED_MS;
    let (limited, per_s) = (scenario.limited, scenario.per_s);
    fleet.rate_limit = Box::new(move |upstream, now| {
        let names_it = is_limited(upstream, limited) && (limited_at..limited_until).contains(&now);
        names_it.then_some(per_s)
    });
    fleet.upstream_behavior = Box::new(|_, _, random| Behavior {
        runs: true,
        outcome: AttemptOutcome::Complete,
        work_ms: 100 + random % 1_200,
    });
    let kind = if scenario.service == "llm" { Kind::Streaming } else { Kind::Idempotent };
    let route = route(scenario.service, kind, 2);
    let mut rng = SmallRng::seed_from_u64(scenario.seed);
    let mut id = 0;
    let mut restart_due = limited_at + 4_500;
    while fleet.now < limited_until + 8_000 {
        id += 1;
        let (vm, context) = (rng.random_range(0..scenario.vms), rng.random_range(0..80));
        let call = call(&route, fleet.now, 8_000, context, 1_000);
        fleet.call(vm, id, call);
        fleet.run(scenario.interval_ms);
        if scenario.restarts && fleet.now >= restart_due {
            restart_due += 2_500;
            let vm = rng.random_range(0..scenario.vms);
            fleet.start(vm);
            fleet.load_directory(&[vm]);
        }
    }
    fleet.run(9_000);
    Played { fleet, limited_at, limited_until }
}

/// Returns the most requests that each limited upstream got in some period in which it named its limit, after
/// all VMs may be expected to know it.
fn peaks(played: &Played, limited: usize) -> BTreeMap<Name, usize> {
    let mut peaks = BTreeMap::new();
    for (upstream, arrivals) in played.fleet.arrivals.iter().filter(|(id, _)| is_limited(id, limited)) {
        let (from, until) = (played.limited_at + CONTACT_MS, played.limited_until);
        let times: Vec<u64> =
            arrivals.iter().map(|(at, _)| *at).filter(|at| (from..until).contains(at)).collect();
        let in_period =
            |first: &u64| times.iter().filter(|t| (*first..*first + PERIOD_MS).contains(*t)).count();
        peaks.insert(upstream.clone(), times.iter().map(in_period).max().unwrap_or_default());
    }
    peaks
}

/// The limit holds over all VMs, upstreams with a limit still get requests, and calls are served.
fn check(scenario: &Scenario) {
    let name = format!("{} VMs, {} a second, seed {}", scenario.vms, scenario.per_s, scenario.seed);
    let played = play(scenario);
    let allowed = 1.5 * scenario.per_s * 4.0 + 5.0;
    let peaks = peaks(&played, scenario.limited);
    for (upstream, peak) in &peaks {
        let peak = f64::from(u32::try_from(*peak).expect("few"));
        assert!(peak <= allowed, "{name}: {upstream} got {peak} requests in 4 s, {allowed} are allowed");
    }
    let served = played.fleet.replies.values().filter(|r| matches!(r, Some(Reply::ForwardResponse))).count();
    // The calls that a VM had when it was restarted never finish.
    let unfinished = played.fleet.replies.values().filter(|r| r.is_none()).count();
    assert!(scenario.restarts || unfinished == 0, "{name}: {unfinished} calls did not finish");
    let calls = played.fleet.replies.len() - unfinished;
    assert!(served * 100 >= calls * 95, "{name}: {served} of {calls} calls were served");
    let since = |from: u64, until: u64| {
        let limited = played.fleet.arrivals.iter().filter(|(id, _)| is_limited(id, scenario.limited));
        limited.flat_map(|(_, a)| a).filter(|(at, _)| (from..until).contains(at)).count()
    };
    assert!(
        since(played.limited_at + CONTACT_MS, played.limited_until) > 0,
        "{name}: no requests while limited"
    );
    let (before, after) = (
        since(played.limited_at - 2_000, played.limited_at),
        since(played.limited_until + 6_000, played.limited_until + 8_000),
    );
    assert!(after * 2 >= before, "{name}: {after} requests after the limits, {before} before");
}

#[test]
fn limit_holds_over_all_vms() {
    for seed in 1..=4 {
        for per_s in [0.3, 1.1, 2.4, 6.5] {
            check(&Scenario { per_s, seed, ..Scenario::default() });
        }
    }
}

/// A fleet of 24 VMs is too large for a full mesh and has more VMs than requests to share.
#[test]
fn large_fleet_keeps_limits() {
    for per_s in [0.8, 2.4] {
        check(&Scenario {
            vms: 24,
            upstreams: 24,
            limited: 14,
            per_s,
            interval_ms: 7,
            ..Scenario::default()
        });
    }
}

/// A VM that starts does not know the limits from its own responses.
#[test]
fn restarted_vms_keep_limits() {
    for seed in 1..=3 {
        check(&Scenario { restarts: true, seed, ..Scenario::default() });
    }
}

/// Plain services may name limits as well.
#[test]
fn plain_services_keep_limits() {
    check(&Scenario { service: "desk", upstreams: 6, limited: 3, per_s: 3.0, ..Scenario::default() });
}

/// The VMs that have shares get no requests, so that no response shows whether the limits still hold.
#[test]
fn idle_vms_do_not_hold_limits() {
    let (vms, upstreams) = (24, 6);
    let mut fleet = Fleet::new(vms, Tuning::default(), 3);
    set_up(&mut fleet, "llm", upstreams);
    fleet.run(2_000);
    let limited_until = fleet.now + 6_000;
    fleet.rate_limit = Box::new(move |_, now| (now < limited_until).then_some(0.5));
    let route = route("llm", Kind::Streaming, 2);
    let mut rng = SmallRng::seed_from_u64(3);
    let mut send = |fleet: &mut Fleet, first_vm: usize, first_id: u64| {
        for id in first_id..first_id + 300 {
            let call = call(&route, fleet.now, 8_000, rng.random_range(0..80), 1_000);
            fleet.call(rng.random_range(first_vm..vms), id, call);
            fleet.run(20);
        }
    };
    send(&mut fleet, 0, 0);
    // From now on, only few VMs get requests.
    send(&mut fleet, vms - 3, 1_000);
    fleet.run(20_000);
    let before = fleet.arrivals.values().map(Vec::len).sum::<usize>();
    send(&mut fleet, vms - 3, 2_000);
    let arrived = fleet.arrivals.values().map(Vec::len).sum::<usize>() - before;
    assert!(arrived >= 290, "{arrived} of 300 calls reached upstreams that no longer name a limit");
}

#[test]
fn shares_add_up() {
    fn check(requests: u16, vms: u8) -> bool {
        let (requests, vms) = (usize::from(requests), usize::from(vms).max(1));
        (0..vms).map(|rank| share_of(requests, vms, rank)).sum::<usize>() == requests
    }
    QuickCheck::new().quickcheck(check as fn(u16, u8) -> bool);
}

/// After a time without calls, upstreams still name their limits to the first that come.
#[test]
fn limits_hold_after_idle_time() {
    for seed in 1..=3 {
        let (vms, per_s) = (24, 0.5);
        let mut fleet = Fleet::new(vms, Tuning::default(), seed);
        set_up(&mut fleet, "llm", 18);
        fleet.run(2_000);
        fleet.rate_limit = Box::new(move |upstream, _| is_limited(upstream, 12).then_some(per_s));
        fleet.prefill_ms = 150;
        let route = route("llm", Kind::Streaming, 2);
        let mut rng = SmallRng::seed_from_u64(seed);
        for round in 0..2 {
            let limited_at = fleet.now;
            for id in 0..1_000 {
                let call = call(&route, fleet.now, 8_000, rng.random_range(0..80), 1_000);
                fleet.call(rng.random_range(0..vms), round * 10_000 + id, call);
                fleet.run(9);
            }
            if round == 0 {
                fleet.run(60_000);
                continue;
            }
            // All VMs have known the limits since the first round.
            let played = Played { limited_until: fleet.now, limited_at: limited_at - CONTACT_MS, fleet };
            for (upstream, peak) in peaks(&played, 12) {
                assert!(peak <= 8, "seed {seed}: {upstream} got {peak} requests in 4 s, 8 are allowed");
            }
            break;
        }
    }
}
