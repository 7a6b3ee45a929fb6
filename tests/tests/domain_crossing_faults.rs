//! What requests do while the cost of leaving their failure domain is weighed and a domain has a fault.

// Counts of requests are far below the limit up to which floating-point numbers are exact.
#![allow(clippy::cast_precision_loss)]

use std::collections::BTreeMap;
use std::sync::Arc;

use jujubedoor_routing::Tuning;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::routes::Route;
use jujubedoor_tests::replay::Replay;
use jujubedoor_tests::replay::Site;
use jujubedoor_tests::replay::Source;

/// Cost of crossing in these replays, in milliseconds, to which the round trip of 2.8 ms is added.
const COST_MS: f64 = 10.0;

/// Maximum number of requests that a cold engine may receive within a second: its rate limit of 12, times the factor of
/// 1.5, plus the slack of 5.
const MAX_COLD_PER_S: usize = 23;

fn even_load() -> [Source; 4] {
    [Source::desk([60.0; 3]), Source::lookup([6.0; 3]), Source::chat([5.0; 3]), Source::tag([10.0; 3])]
}

/// Returns a replay of an even load, in which the VMs have measured the round trips after ten seconds.
fn replay(site: Site, cost_ms: Option<f64>) -> Replay {
    seeded(site, cost_ms, 11)
}

fn seeded(site: Site, cost_ms: Option<f64>, seed: u64) -> Replay {
    started(site, Tuning { domain_crossing_cost_ms: cost_ms, ..Tuning::default() }, seed)
}

fn started(site: Site, tuning: Tuning, seed: u64) -> Replay {
    let mut replay = Replay::new(site, tuning, seed);
    replay.run(3_000);
    replay.set_load(&even_load());
    replay.run(10_000);
    replay.decisions.clear();
    replay
}

/// Returns how often each decision to stay or leave was made since the decisions were last cleared.
fn reasons(replay: &Replay) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for (_, inputs) in replay.decisions.iter().filter(|(event, _)| *event == "sent") {
        let of = |name: &str| inputs.iter().find(|(key, _)| *key == name).map(|(_, value)| value.as_str());
        if let (Some(outcome), Some(reason)) = (of("crossing"), of("crossing_reason")) {
            *counts.entry(format!("{outcome} {reason}")).or_default() += 1;
        }
    }
    counts
}

/// Returns the share of a domain's requests on all routes that left it.
fn crossed_of(replay: &Replay, domain: usize, from_ms: u64, until_ms: u64) -> f64 {
    let in_period = |at: u64| (from_ms..until_ms).contains(&at);
    let of_domain = replay.served.iter().filter(|r| r.vm_domain == domain && in_period(r.arrived_ms));
    let (left, stayed): (Vec<_>, Vec<_>) = of_domain.partition(|r| r.upstream_domain != domain);
    left.len() as f64 / (left.len() + stayed.len()) as f64
}

/// Guards against requests that are lost with a domain's upstreams instead of leaving at once, and that do not return
/// when the upstreams are back, which are cold at first.
#[test]
fn domain_lost_and_cold() {
    let mut replay = replay(Site::default(), Some(COST_MS));
    replay.crash_domain(0);
    replay.run(4_000);
    // Streams that were lost with their engines cannot go on.
    assert!(replay.unserved.iter().all(|(at_ms, _)| *at_ms < 14_000), "{:?}", replay.unserved);
    assert!(crossed_of(&replay, 0, 14_100, 18_000) > 0.99);
    assert!(reasons(&replay)["left no_upstream"] > 100, "{:?}", reasons(&replay));
    let desk = replay.domain_summary(1, "desk", 14_100, 18_000);
    assert!(desk.crossed < 0.05, "requests of another domain leave: {desk:?}");
    replay.unregister_domain(0);
    replay.run(1_000);
    replay.decisions.clear();
    replay.restart_domain(0, 3_000);
    replay.run(2_500);
    let peak = replay.max_engine_arrivals_per_second(0, 19_000, 21_500);
    assert!(peak <= MAX_COLD_PER_S, "{peak} requests within a second at a cold engine");
    replay.run(5_000);
    let back = ["desk", "chat"].map(|route| replay.domain_summary(0, route, 23_000, 26_500).crossed);
    assert!(back.iter().all(|crossed| *crossed < 0.1), "{back:?}");
    assert!(replay.unserved.iter().all(|(at_ms, _)| *at_ms < 14_000), "{:?}", replay.unserved);
}

/// Guards against a preference for the own domain that is stronger than its evacuation.
#[test]
fn domain_evacuated() {
    let mut replay = replay(Site::default(), Some(COST_MS));
    replay.publish(&Change::Evacuated("domain-0".into()));
    replay.run(4_000);
    let sent_there = replay.served.iter().filter(|r| r.upstream_domain == 0 && r.arrived_ms > 14_000);
    assert_eq!(sent_there.count(), 0);
    assert!(replay.unserved.is_empty(), "{:?}", replay.unserved);
    let desk = replay.domain_summary(0, "desk", 14_000, 18_000);
    assert!(desk.p95_ms < 60.0, "{desk:?}");
}

/// Guards against requests that try to leave a domain that is cut off.
#[test]
fn domain_cut_off() {
    let mut replay = replay(Site::default(), Some(COST_MS));
    replay.linked = Box::new(|from, to| from == to || (from != 0 && to != 0));
    replay.run(1_500);
    replay.decisions.clear();
    replay.run(4_000);
    let left: usize = reasons(&replay).iter().filter(|(k, _)| k.starts_with("left")).map(|(_, n)| n).sum();
    assert!(crossed_of(&replay, 0, 15_500, 19_000) < 1e-9);
    let desk = replay.domain_summary(0, "desk", 14_000, 19_000);
    assert!(desk.p95_ms < 60.0, "{desk:?}");
    assert!(replay.unserved.is_empty(), "{:?}", replay.unserved);
    assert!(left > 0, "long prompts still follow their parts between the other domains");
}

/// Guards against requests that stay at upstreams that respond with errors.
#[test]
fn domain_failing() {
    let mut replay = replay(Site::default(), Some(COST_MS));
    replay.set_failing(0, 1.0);
    replay.run(4_000);
    let counts = reasons(&replay);
    assert!(counts.get("left failures").is_some_and(|count| *count > 100), "{counts:?}");
    let desk = replay.domain_summary(0, "desk", 15_000, 18_000);
    assert!(desk.served > 100 && desk.median_ms < 40.0, "{desk:?}");
}

/// Guards against requests that leave because some fail everywhere: those that are sent again leave, and few others.
#[test]
fn failures_everywhere() {
    let mut replay = replay(Site::default(), Some(COST_MS));
    (0..3).for_each(|domain| replay.set_failing(domain, 0.14));
    replay.run(20_000);
    let counts = reasons(&replay);
    let desk = replay.summary("desk", 15_000, 33_000);
    assert!(desk.crossed < 0.2, "{desk:?}, {counts:?}");
}

/// Guards against VMs that all leave, or all return, at the same time because they see the load late: the share that
/// leaves in half a second stays near its mean, and requests start sooner than with a constant cost that each VM
/// compares with the load it sees.
#[test]
fn stale_views() {
    for delay_ms in [0, 300, 600] {
        let site = Site { heartbeat_delay_us: delay_ms * 1_000, ..Site::default() };
        let constant = Tuning { remote_domain_penalty_ms: 12.8, ..Tuning::default() };
        let weighed = Tuning { domain_crossing_cost_ms: Some(COST_MS), ..Tuning::default() };
        let [constant, weighed] = [constant, weighed].map(|tuning| {
            let mut replay = started(site, tuning, 11);
            replay.set_load(&[Source::desk([400.0, 30.0, 30.0])]);
            replay.run(27_000);
            let window = |n: u64| crossed_of(&replay, 0, 20_000 + n * 500, 20_500 + n * 500);
            let windows: Vec<f64> = (0..40).map(window).collect();
            (windows, replay.summary("desk", 20_000, 40_000))
        });
        println!("{delay_ms} ms, constant cost: {:.1?}, deviation {:.3}", constant.1, deviation(&constant.0));
        println!("{delay_ms} ms, weighed: {:.1?}, deviation {:.3}", weighed.1, deviation(&weighed.0));
        assert!(deviation(&weighed.0) < 0.2, "{delay_ms} ms: {:.2?}", weighed.0);
        assert!(weighed.1.p95_ms < constant.1.p95_ms, "{delay_ms} ms: {constant:.2?}, {weighed:.2?}");
        assert!(weighed.1.crossed < constant.1.crossed, "{delay_ms} ms: {constant:.2?}, {weighed:.2?}");
    }
}

/// Returns the standard deviation of some values.
fn deviation(values: &[f64]) -> f64 {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    (values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / count).sqrt()
}

/// Guards against a cost that outweighs the latency target: requests that would miss it in their domain leave although
/// leaving costs more than they wait.
#[test]
fn target_comes_first() {
    let mut replay = replay(Site::default(), Some(500.0));
    let mut urgent = Source::desk([330.0, 10.0, 10.0]);
    let route = Route { target_ms: 20, ..Route::clone(&urgent.route) };
    urgent.route = Arc::new(route);
    replay.set_load(&[urgent]);
    replay.run(6_000);
    let counts = reasons(&replay);
    assert!(counts.get("left target").is_some_and(|count| *count > 20), "{counts:?}");
    assert!(!counts.contains_key("left load"), "{counts:?}");
}

/// Guards against more load at the engines of a domain than the load bound allows, because requests stay there. The
/// first 1.5 s after the load has changed are left out, in which the VMs do not see it yet.
#[test]
fn load_bound_comes_first() {
    let [off, on] = [None, Some(COST_MS)].map(|cost_ms| {
        let (mut sent, mut above) = (0, 0);
        for seed in 21..29 {
            let mut replay = seeded(Site::default(), cost_ms, seed);
            replay.set_load(&[
                Source::lookup([60.0, 5.0, 5.0]),
                Source::chat([90.0, 10.0, 10.0]),
                Source::tag([90.0, 10.0, 10.0]),
            ]);
            replay.run(1_500);
            replay.engine_dispatches = (0, 0);
            replay.run(8_000);
            assert!(replay.unserved.is_empty(), "{cost_ms:?}, seed {seed}: {:?}", replay.unserved);
            sent += replay.engine_dispatches.0;
            above += replay.engine_dispatches.1;
        }
        above as f64 / sent as f64
    });
    println!("share of requests above the bound: off {off:.5}, on {on:.5}");
    assert!(on <= off + 0.002, "off {off}, on {on}");
}
