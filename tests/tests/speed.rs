//! Engines that share their hosts with other work are slow for moments: VMs send elsewhere as long as they know it,
//! and no longer.

use std::collections::BTreeMap;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use jujubedoor_routing::Event;
use jujubedoor_routing::State;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::event::UpstreamLoad;
use jujubedoor_routing::routes::Kind;
use jujubedoor_routing::speed;
use jujubedoor_routing::speed::Speed;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;
use jujubedoor_tests::shared_hosts::Outcome;
use jujubedoor_tests::shared_hosts::SharedHosts;
use quickcheck::QuickCheck;

/// Time after which the engines have the shared parts of most prompts cached, in milliseconds.
const WARM_UP_MS: u64 = 6_000;

/// Time for which the load is replayed, in milliseconds.
const REPLAY_MS: u64 = 8_000;

/// Returns the load, and what happened to it, after the engines have warmed up.
fn replay(tuning: Tuning, seed: u64) -> (SharedHosts, Outcome) {
    let mut hosts = SharedHosts::start(tuning, true, seed);
    hosts.run(WARM_UP_MS);
    let outcome = hosts.run(REPLAY_MS);
    (hosts, outcome)
}

fn without_speeds() -> Tuning {
    Tuning { speed_decay_ms: 0, ..Tuning::default() }
}

fn engine(n: usize) -> Name {
    Name::from(format!("llm-{n}"))
}

fn speed_of(percent: f64) -> Speed {
    Speed::from_percent(percent).expect("a speed")
}

/// Returns the requests that each engine of a group and each of the others got since a time, on average.
fn mean_arrivals(hosts: &SharedHosts, group: &[Name], since: u64) -> (f64, f64) {
    let arrivals = hosts.arrivals_since(since);
    let (mut in_group, mut others) = (Vec::new(), Vec::new());
    for id in hosts.fleet.directory.upstreams.keys() {
        let count = arrivals.get(id).copied().unwrap_or_default();
        if group.contains(id) { in_group.push(count) } else { others.push(count) }
    }
    let to_f64 = |n: usize| f64::from(u32::try_from(n).expect("few"));
    let mean = |counts: &[usize]| to_f64(counts.iter().sum()) / to_f64(counts.len());
    (mean(&in_group), mean(&others))
}

/// Guards against figures that do not reach the decisions in time: each VM sees an engine too rarely to know by
/// itself that it is slow.
#[test]
fn fewer_requests_start_at_slow_engines() {
    for seed in [1, 2] {
        let (_, without) = replay(without_speeds(), seed);
        let (_, with) = replay(Tuning::default(), seed);
        println!("seed {seed}: without {without:?}, with {with:?}");
        assert!(without.slow_share > 0.12, "{without:?}");
        assert!(with.slow_share < 0.8 * without.slow_share, "{with:?} without: {without:?}");
        assert!(with.mean_ms < without.mean_ms, "{with:?} without: {without:?}");
        // Cached parts are still used where they are.
        assert!(with.prefilled_share < without.prefilled_share + 0.03, "{with:?} without: {without:?}");
    }
}

/// Guards against requests that all leave a slow engine for the same other one, or all return at once.
#[test]
fn figures_overload_no_engine() {
    for seed in [3, 4] {
        let (with, _) = replay(Tuning::default(), seed);
        let (without, _) = replay(without_speeds(), seed);
        let overloaded =
            |hosts: &SharedHosts| hosts.fleet.overloaded_at_arrival.iter().filter(|over| **over).count();
        let (count, limit) =
            (overloaded(&with), overloaded(&without) + with.fleet.overloaded_at_arrival.len() / 100);
        println!("seed {seed}: {} overloaded with figures, {} without", count, overloaded(&without));
        assert!(count <= limit, "seed {seed}: {count} requests reached an overloaded engine, limit {limit}");
    }
}

/// Returns the mean number of requests that arrive at some engines in two seconds before they are reported slow, at each
/// of them in 300 ms while they are, and in two seconds after the reports have decayed.
fn arrivals_around_reports(seed: u64) -> [f64; 3] {
    let mut hosts = SharedHosts::start(Tuning::default(), false, seed);
    hosts.run(WARM_UP_MS);
    let slow: Vec<Name> = (0..20).map(engine).collect();
    let before = hosts.fleet.now;
    hosts.run(2_000);
    let (usual, _) = mean_arrivals(&hosts, &slow, before);
    for id in &slow {
        hosts.fleet.send_event(0, Event::SpeedNamed(id.clone(), speed_of(2_000.0)));
    }
    hosts.run(400);
    let reported = hosts.fleet.now;
    hosts.run(300);
    let (at_slow, _) = mean_arrivals(&hosts, &slow, reported);
    hosts.run(300);
    let decayed = hosts.fleet.now;
    hosts.run(2_000);
    let (again, _) = mean_arrivals(&hosts, &slow, decayed);
    [usual, at_slow, again]
}

/// Guards against figures that keep engines out of use after they have recovered, although no response corrects
/// them.
#[test]
fn recovered_engines_are_used_again() {
    let seeds = [5, 6, 7];
    let mut sums = [0.0; 3];
    for seed in seeds {
        let arrivals = arrivals_around_reports(seed);
        sums = std::array::from_fn(|n| sums[n] + arrivals[n]);
    }
    let [usual, at_slow, again] = sums;
    let expected = usual * 300.0 / 2_000.0;
    assert!(at_slow < 0.5 * expected, "{at_slow} requests at the slow engines, {expected} before");
    assert!(again > 0.8 * usual, "{again} requests at the recovered engines, {usual} before");
}

/// Guards against VMs that send all at once to an engine of which they hear that it has recovered, or is fast.
#[test]
fn news_attracts_no_herd() {
    for percent in [20.0, 100.0] {
        let mut hosts = SharedHosts::start(Tuning::default(), false, 6);
        hosts.run(WARM_UP_MS);
        let group: Vec<Name> = (0..10).map(engine).collect();
        for id in &group {
            hosts.fleet.send_event(0, Event::SpeedNamed(id.clone(), speed_of(2_000.0)));
        }
        hosts.run(500);
        for id in &group {
            hosts.fleet.send_event(1, Event::SpeedNamed(id.clone(), speed_of(percent)));
        }
        hosts.run(100);
        let since = hosts.fleet.now;
        hosts.run(600);
        let (in_group, others) = mean_arrivals(&hosts, &group, since);
        println!("{percent}: {in_group} requests at each engine of the group, {others} at others");
        assert!(in_group > 0.5 * others, "{percent}: {in_group} requests, {others} at others");
        assert!(in_group < 1.5 * others, "{percent}: {in_group} requests, {others} at others");
    }
}

/// Returns the rate that a VM learns while most responses come from slow moments.
fn learned_rate(names_speeds: bool) -> f64 {
    let mut fleet = Fleet::new(1, Tuning::default(), 4);
    set_up(&mut fleet, "llm", 3);
    let route = route("llm", Kind::Streaming, 1);
    for id in 0..120_u64 {
        let tokens = if id % 2 == 0 { 8_000 } else { 0 };
        let slowdown = if id / 2 % 5 < 3 { 5 } else { 1 };
        // Each prompt is new, so that its tokens are not cached.
        let mut prompt = call(&route, fleet.now, 5_000, id, tokens);
        prompt.parts.truncate(2);
        prompt.parts[0].key = id + 50_000;
        prompt.parts[0].tokens = 10;
        fleet.prefill_ms = slowdown * (30 + u64::from(tokens) / 157);
        let percent = if slowdown == 1 { 100.0 } else { 500.0 };
        let speed = Some(speed_of(percent)).filter(|_| names_speeds);
        fleet.load = Box::new(move |_, _| Some(UpstreamLoad { speed, ..UpstreamLoad::default() }));
        fleet.call(0, id, prompt);
        fleet.run(1_500);
    }
    let state = fleet.vms[0].as_ref().expect("the VM is up");
    state.prefill_tokens_per_ms(&"llm".into())
}

/// Guards against slow moments that teach a slow rate for the service.
#[test]
fn slow_moments_teach_no_rate() {
    let (with, without) = (learned_rate(true), learned_rate(false));
    println!("learned {with} with figures, {without} without");
    assert!((with - 157.0).abs() < 40.0, "{with}");
    assert!(without < 80.0, "the case shows nothing: {without} is learned without figures");
}

/// Returns the time that work takes at an engine, as a VM sees it.
fn known_percent(fleet: &Fleet, vm: usize, id: &Name) -> Option<f64> {
    let state = fleet.vms[vm].as_ref().expect("the VM is up");
    speed::percent(state, &state.upstreams[id])
}

#[test]
fn figures_decay() {
    let mut fleet = Fleet::new(1, Tuning::default(), 7);
    set_up(&mut fleet, "llm", 2);
    fleet.send_event(0, Event::SpeedNamed(engine(0), speed_of(250.0)));
    assert_eq!(known_percent(&fleet, 0, &engine(0)), Some(250.0));
    fleet.run(500);
    let half = known_percent(&fleet, 0, &engine(0)).expect("the figure still counts");
    // The VM's last tick was up to 50 ms ago.
    assert!((175.0..=182.5).contains(&half), "{half}");
    fleet.run(600);
    assert_eq!(known_percent(&fleet, 0, &engine(0)), None);
    let state: &State = fleet.vms[0].as_ref().expect("the VM is up");
    assert_eq!(state.speeds.known_count(), 0);
}

/// A figure of an earlier run says nothing about the next one.
#[test]
fn restart_ends_figure() {
    let mut fleet = Fleet::new(1, Tuning::default(), 8);
    set_up(&mut fleet, "llm", 1);
    fleet.send_event(0, Event::SpeedNamed(engine(0), speed_of(2_000.0)));
    fleet.run(50);
    let mut next = fleet.directory.upstreams[&engine(0)].clone();
    next.started += 1;
    fleet.publish(&Change::Registered(engine(0), next), &[0]);
    fleet.run(50);
    assert_eq!(known_percent(&fleet, 0, &engine(0)), None);
}

/// Guards against a slow engine that is treated as a failed one: it still serves when there is no other.
#[test]
fn slow_engines_serve() {
    let mut fleet = Fleet::new(4, Tuning::default(), 9);
    set_up(&mut fleet, "llm", 2);
    let speed = Some(speed_of(2_000.0));
    fleet.load = Box::new(move |_, _| Some(UpstreamLoad { speed, ..UpstreamLoad::default() }));
    let route = route("llm", Kind::Streaming, 2);
    for id in 0..200 {
        let call = call(&route, fleet.now, 3_000, id, 2_000);
        fleet.call(usize::try_from(id % 4).expect("few"), id, call);
        fleet.run(10);
    }
    fleet.run(3_000);
    assert!(fleet.replies.values().all(|reply| *reply == Some(Reply::ForwardResponse)));
    for vm in fleet.vms.iter().flatten() {
        for upstream in vm.upstreams.values() {
            assert!(upstream.is_reachable(vm.now) && upstream.failure_rate(vm.now) == 0.0);
        }
    }
}

/// Returns how many requests each engine got while one of them names the given figures in turn, and how many of all
/// were not served.
fn with_odd_engine(percents: Vec<f64>) -> (BTreeMap<Name, usize>, usize) {
    let mut fleet = Fleet::new(4, Tuning::default(), 10);
    set_up(&mut fleet, "llm", 6);
    fleet.prefill_ms = 20;
    fleet.load = Box::new(move |id, now| {
        let turn = usize::try_from(now / 10).unwrap_or_default() % percents.len().max(1);
        let percent = percents.get(turn).filter(|_| *id == engine(0));
        let speed = percent.copied().and_then(Speed::from_percent);
        Some(UpstreamLoad { speed, ..UpstreamLoad::default() })
    });
    let route = route("llm", Kind::Streaming, 2);
    for id in 0..300 {
        let mut call = call(&route, fleet.now, 3_000, id, 900);
        // Each prompt is new, so that all engines are equal.
        call.parts[0].key = id + 50_000;
        fleet.call(usize::try_from(id % 4).expect("few"), id, call);
        fleet.run(8);
    }
    fleet.run(3_000);
    let unserved = fleet.replies.values().filter(|reply| **reply != Some(Reply::ForwardResponse)).count();
    (fleet.arrivals.iter().map(|(id, all)| (id.clone(), all.len())).collect(), unserved)
}

/// Whatever one engine names, all requests are served, each of the other engines gets its share, and the figures
/// stay within their bounds.
#[test]
fn odd_figures_matter_at_one_engine() {
    fn property(percents: Vec<f64>) -> bool {
        let (arrivals, unserved) = with_odd_engine(percents);
        let others: Vec<usize> = (1..6).map(|n| arrivals.get(&engine(n)).copied().unwrap_or(0)).collect();
        unserved == 0 && others.iter().all(|count| (25..=110).contains(count))
    }
    for odd in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 0.0, 1e-300, 1e300, 20.0, 2_000.0] {
        assert!(property(vec![odd]), "{odd}: {:?}", with_odd_engine(vec![odd]));
    }
    QuickCheck::new().tests(30).quickcheck(property as fn(Vec<f64>) -> bool);
}

#[test]
fn figures_are_bounded() {
    fn property(percent: f64) -> bool {
        Speed::from_percent(percent).is_none_or(|speed| (20..=2_000).contains(&speed.percent()))
    }
    for odd in [f64::NAN, f64::INFINITY, -0.0, 0.0, -5.0] {
        assert_eq!(Speed::from_percent(odd), None, "{odd}");
    }
    assert_eq!(speed_of(1e300).percent(), 2_000);
    assert_eq!(speed_of(0.001).percent(), 20);
    QuickCheck::new().quickcheck(property as fn(f64) -> bool);
}

/// An event about an upstream that is not registered changes nothing.
#[test]
fn unknown_upstreams_are_ignored() {
    let mut fleet = Fleet::new(1, Tuning::default(), 11);
    set_up(&mut fleet, "llm", 1);
    fleet.send_event(0, Event::SpeedNamed("other".into(), speed_of(250.0)));
    let state = fleet.vms[0].as_ref().expect("the VM is up");
    assert_eq!((state.speeds.known_count(), state.now), (0, Time(fleet.now)));
}
