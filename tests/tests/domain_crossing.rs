//! Requests leave the failure domain of their VM when that pays, and only then.

// Counts of requests are far below the limit up to which floating-point numbers are exact.
#![allow(clippy::cast_precision_loss)]

use jujubedoor_routing::Tuning;
use jujubedoor_tests::replay::Replay;
use jujubedoor_tests::replay::Site;
use jujubedoor_tests::replay::Source;

fn tuning(cost_ms: Option<f64>) -> Tuning {
    Tuning { domain_crossing_cost_ms: cost_ms, ..Tuning::default() }
}

/// Returns a replay of a load, after three seconds without load in which the VMs find each other.
fn replay(site: Site, cost_ms: Option<f64>, load: &[Source]) -> Replay {
    let mut replay = Replay::new(site, tuning(cost_ms), 7);
    replay.run(3_000);
    replay.set_load(load);
    replay
}

/// Returns a replay of a load that follows upon even load, with which the VMs measure the round trips.
fn measured_replay(site: Site, cost_ms: Option<f64>, load: &[Source]) -> Replay {
    let mut replay = replay(site, cost_ms, &[Source::desk([70.0; 3]), Source::chat([20.0; 3])]);
    replay.run(7_000);
    replay.set_load(load);
    replay
}

/// Guards against a change of decisions while the part is off: the hash of all dispatches is that of the code before
/// the part was added.
#[test]
fn off_as_before() {
    let load = [
        Source::desk([60.0, 20.0, 20.0]),
        Source::lookup([10.0, 8.0, 8.0]),
        Source::chat([20.0, 10.0, 20.0]),
    ];
    let mut replay = replay(Site { vms: 48, ..Site::default() }, None, &load);
    replay.run(6_000);
    assert_eq!(replay.digest, 4_735_165_282_732_596_916);
}

/// Guards against weighing the cost where other domains are near, also if VMs are so busy that they measure long times
/// everywhere: decisions are those without the setting.
#[test]
fn near_domains_as_before() {
    for busy_us in [0, 3_000] {
        check_near_domains(Site { remote_delay_us: 200, busy_us, ..Site::default() });
    }
}

fn check_near_domains(site: Site) {
    let load = [
        Source::desk([60.0, 20.0, 20.0]),
        Source::lookup([10.0, 8.0, 8.0]),
        Source::chat([20.0, 10.0, 20.0]),
    ];
    let digest = |cost_ms| {
        let mut replay = replay(site, cost_ms, &load);
        replay.run(6_000);
        replay.digest
    };
    assert_eq!(digest(Some(10.0)), digest(None));
}

/// Guards against requests that cross although the domains are equally busy.
#[test]
fn even_load_stays() {
    let load =
        [Source::desk([70.0; 3]), Source::lookup([7.0; 3]), Source::chat([5.0; 3]), Source::tag([13.0; 3])];
    let [off, on] = [None, Some(10.0)].map(|cost_ms| {
        let mut replay = measured_replay(Site::default(), cost_ms, &load);
        replay.run(20_000);
        ["desk", "chat", "tag"].map(|route| replay.summary(route, 12_000, 30_000))
    });
    for (off, on) in off.iter().zip(&on) {
        println!("off: {off:.3?}\non: {on:.3?}");
        assert!(off.crossed > 0.5, "off: {off:?}");
        assert!(on.crossed < 0.3, "on: {on:?}");
        // A request that stays waits at most as much longer as crossing costs, with the round trip.
        assert!(on.p95_ms <= off.p95_ms + 12.8, "off: {off:?}, on: {on:?}");
    }
    let [off, on] = [off[0], on[0]];
    assert!(on.crossed < 0.01, "plain requests leave: {on:?}");
    assert!(on.p95_ms <= off.p95_ms, "off: {off:?}, on: {on:?}");
}

/// Guards against requests that wait in a full domain while others have room.
#[test]
fn one_sided_demand() {
    let load =
        [Source::desk([300.0, 30.0, 30.0]), Source::lookup([21.0, 2.0, 2.0]), Source::chat([15.0, 2.0, 2.0])];
    let [off, on, never] = [None, Some(10.0), Some(1_000.0)].map(|cost_ms| {
        let mut replay = measured_replay(Site::default(), cost_ms, &load);
        replay.run(15_000);
        assert!(replay.unserved.is_empty(), "{cost_ms:?}: {:?}", replay.unserved);
        replay.summary("desk", 14_000, 26_000)
    });
    println!("off: {off:.3?}\non: {on:.3?}\nnever: {never:.3?}");
    assert!(on.crossed < off.crossed * 0.6, "off: {off:?}, on: {on:?}");
    assert!(on.p95_ms < off.p95_ms * 1.2, "off: {off:?}, on: {on:?}");
    assert!(on.p95_ms < never.p95_ms * 0.8, "never: {never:?}, on: {on:?}");
}

/// Guards against a share that does not depend on how much busier the domain is.
#[test]
fn share_grows_with_excess() {
    let crossed = [150.0, 300.0, 400.0, 500.0].map(|per_s| {
        let mut replay = measured_replay(Site::default(), Some(10.0), &[Source::desk([per_s, 30.0, 30.0])]);
        replay.run(20_000);
        replay.summary("desk", 16_000, 30_000).crossed
    });
    println!("{crossed:.3?}");
    assert!(crossed.is_sorted(), "{crossed:?}");
    assert!(crossed[0] < 0.02 && crossed[3] > crossed[1] + 0.1, "{crossed:?}");
}

/// Guards against long prompts that each domain prefills for itself. If crossing costs more than any prefill, each does.
#[test]
fn long_prompts_once() {
    let [off, on, never] = [None, Some(10.0), Some(1_000.0)].map(|cost_ms| {
        let load = [Source::lookup([8.0; 3]), Source::chat([10.0; 3])];
        let mut replay = measured_replay(Site::default(), cost_ms, &load);
        replay.run(30_000);
        let lookups = replay.summary("lookup", 11_000, 50_000);
        // Each request prefills the tokens of its own, and the first one of a subject those that all share.
        let shared = (lookups.prefilled - 1_800.0) * lookups.served as f64;
        (shared / (60.0 * 10_000.0), lookups)
    });
    println!("prefills of a subject: off {off:.2?}, on {on:.2?}, never {never:.2?}");
    assert!(on.0 < 1.35, "off: {off:?}, on: {on:?}");
    assert!(on.0 < never.0 * 0.6, "never: {never:?}, on: {on:?}");
    assert!(on.1.p95_ms < never.1.p95_ms * 1.1, "never: {never:?}, on: {on:?}");
}

/// Guards against a decision that the log does not explain.
#[test]
fn log_has_inputs() {
    let load = [Source::desk([300.0, 30.0, 30.0]), Source::lookup([8.0; 3])];
    let mut replay = measured_replay(Site::default(), Some(10.0), &load);
    replay.run(5_000);
    let sent = replay.decisions.iter().rev().find(|(event, _)| *event == "sent").expect("a request was sent");
    for key in ["crossing", "crossing_reason", "round_trip_us", "home_estimate_ms", "away_unread_tokens"] {
        assert!(sent.1.iter().any(|(known, _)| *known == key), "{key} is missing in {sent:?}");
    }
    let began = replay.decisions.iter().any(|(event, _)| *event == "crossing_began");
    assert!(began, "the log does not say that requests begin to leave");
}

/// Guards against a log that never says that requests do not leave any more, since their service has no upstreams.
#[test]
fn log_has_end() {
    let mut replay = measured_replay(Site::default(), Some(10.0), &[Source::desk([300.0, 30.0, 30.0])]);
    replay.run(5_000);
    let count =
        |replay: &Replay, name: &str| replay.decisions.iter().filter(|(event, _)| *event == name).count();
    let began = count(&replay, "crossing_began");
    assert!(began > 0, "requests did not leave");
    replay.set_load(&[]);
    for domain in 0..3 {
        replay.unregister_domain(domain);
    }
    replay.run(1_000);
    assert_eq!(count(&replay, "crossing_ended"), began);
}
