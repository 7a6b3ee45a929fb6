//! The VMs that watch the registry on behalf of the others end without notice.
//!
//! The others have to notice it before a change that is published then is overdue.

use jujubedoor_routing::State;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::heartbeats;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::registration;
use jujubedoor_tests::router::set_up;

/// Time within which a change has to reach all VMs, in milliseconds.
const CHANGE_DEADLINE_MS: u64 = 2_000;

/// Interval at which the VMs look whether they have to call the registry, in milliseconds.
const ROLE_CHECK_INTERVAL_MS: u64 = 50;

/// Interval between the calls of a watcher that receives no changes, in milliseconds.
const WATCH_INTERVAL_MS: u64 = 1_100;

/// Time that the registry takes to respond to one call, in milliseconds.
const RESPONSE_MS: u64 = 100;

fn state(fleet: &Fleet, vm: usize) -> Option<&State> {
    fleet.vms[vm].as_ref()
}

fn watchers(fleet: &Fleet) -> Vec<usize> {
    (0..fleet.vms.len()).filter(|vm| state(fleet, *vm).is_some_and(State::watches_registry)).collect()
}

/// Runs the fleet with a registry that responds to all VMs that call it. Returns the number of calls of VMs other than
/// the watchers.
fn run_with_registry(fleet: &mut Fleet, duration_ms: u64) -> usize {
    let until = fleet.now + duration_ms;
    let mut checks = 0;
    let mut last_call_at = vec![0; fleet.vms.len()];
    while fleet.now < until {
        fleet.run(ROLE_CHECK_INTERVAL_MS);
        let watchers = watchers(fleet);
        let mut callers = Vec::new();
        for (vm, last_call_at) in last_call_at.iter_mut().enumerate() {
            let Some(state) = state(fleet, vm) else { continue };
            let is_behind = state.directory.revision < fleet.directory.revision;
            let is_watcher = watchers.contains(&vm);
            let is_due = fleet.now >= *last_call_at + WATCH_INTERVAL_MS;
            let responds = is_watcher && (is_behind || is_due);
            let checks_now = !is_watcher && state.must_check_registry();
            if (responds || checks_now) && fleet.now >= *last_call_at + RESPONSE_MS {
                *last_call_at = fleet.now;
                callers.push(vm);
            }
            checks += usize::from(checks_now);
        }
        fleet.run(RESPONSE_MS.min(until.saturating_sub(fleet.now)));
        fleet.load_directory(&callers);
    }
    checks
}

fn publish_unseen(fleet: &mut Fleet) {
    let change = Change::Registered("desk-new".into(), registration("desk", 0));
    fleet.publish(&change, &[]);
}

fn behind(fleet: &Fleet) -> Vec<usize> {
    let newest = fleet.directory.revision;
    let is_behind = |vm: &usize| state(fleet, *vm).is_some_and(|s| s.directory.revision < newest);
    (0..fleet.vms.len()).filter(is_behind).collect()
}

fn fleet(vms: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(vms, Tuning::default(), seed);
    set_up(&mut fleet, "desk", 3);
    run_with_registry(&mut fleet, 5_000);
    fleet
}

#[test]
fn all_watchers_end() {
    for seed in 1..=5 {
        assert_change_arrives(fleet(9, seed), seed);
    }
}

/// VMs that report the age of a directory to each other must not make it younger, however slow their heartbeats are.
#[test]
fn heartbeats_are_slow() {
    let mut fleet = Fleet::new(9, Tuning::default(), 3);
    for vm in 0..9 {
        // The VMs send their heartbeats one after the other.
        fleet.run(30);
        fleet.start(vm);
    }
    set_up(&mut fleet, "desk", 3);
    fleet.heartbeat_delay_ms = 50;
    run_with_registry(&mut fleet, 5_000);
    // From now on, the registry responds to nobody.
    fleet.run(CHANGE_DEADLINE_MS - 4 * RESPONSE_MS);
    let checks = |vm: &usize| state(&fleet, *vm).is_some_and(State::must_check_registry);
    assert_eq!((0..9).filter(checks).count(), 9, "VMs take an old directory for a current one");
}

/// The time after which the others check follows from the time that changes may take.
#[test]
fn deadline_is_a_setting() {
    for (change_ms, drain_ms) in [(1_600, 4_000), (4_000, 1_600), (4_000, 4_000)] {
        let tuning = Tuning { change_ms, drain_ms, ..Tuning::default() };
        let mut fleet = Fleet::new(9, tuning, 6);
        set_up(&mut fleet, "desk", 3);
        run_with_registry(&mut fleet, 5_000);
        let deadline_ms = change_ms.min(drain_ms);
        let checks = |fleet: &Fleet| {
            let must_check = |vm: &usize| state(fleet, *vm).is_some_and(State::must_check_registry);
            (0..9).filter(must_check).count()
        };
        // No watcher's last response is older than the interval between two of them.
        fleet.run((deadline_ms * 3 / 4).saturating_sub(WATCH_INTERVAL_MS + RESPONSE_MS * 2));
        assert_eq!(checks(&fleet), 0, "{change_ms}, {drain_ms}: VMs check too early");
        fleet.run(WATCH_INTERVAL_MS + RESPONSE_MS * 4);
        assert_eq!(checks(&fleet), 9, "{change_ms}, {drain_ms}: VMs check too late");
    }
}

/// Lets all watchers end, and checks that a change that is published then reaches the others in time.
fn assert_change_arrives(mut fleet: Fleet, seed: u64) {
    for vm in watchers(&fleet) {
        fleet.kill(vm);
    }
    fleet.run(50);
    publish_unseen(&mut fleet);
    run_with_registry(&mut fleet, CHANGE_DEADLINE_MS);
    assert_eq!(behind(&fleet), [0_usize; 0], "seed {seed}: VMs lack a change that is overdue");
}

#[test]
fn relays_of_all_domains_end() {
    let mut fleet = fleet(90, 7);
    for vm in relays(&fleet) {
        fleet.kill(vm);
    }
    fleet.run(50);
    publish_unseen(&mut fleet);
    run_with_registry(&mut fleet, CHANGE_DEADLINE_MS);
    assert_eq!(behind(&fleet), [0_usize; 0], "VMs lack a change that is overdue");
}

/// Returns the VMs that relay heartbeats within their failure domains, among which are the watchers.
fn relays(fleet: &Fleet) -> Vec<usize> {
    let is_relay = |vm: &usize| state(fleet, *vm).is_some_and(heartbeats::is_forwarder);
    (0..fleet.vms.len()).filter(is_relay).collect()
}

#[test]
fn others_do_not_call() {
    for (vms, seed) in [(9, 11), (90, 12)] {
        let mut fleet = fleet(vms, seed);
        let checks = run_with_registry(&mut fleet, 10_000);
        assert_eq!(checks, 0, "{vms} VMs: VMs call the registry though its watchers confirm the directory");
    }
}

#[test]
fn cut_off_from_others() {
    let mut fleet = fleet(9, 13);
    let cut_off = (0..9).find(|vm| !watchers(&fleet).contains(vm)).expect("some VM does not watch");
    fleet.linked = Box::new(move |from, to| from != cut_off && to != cut_off);
    run_with_registry(&mut fleet, 1_000);
    publish_unseen(&mut fleet);
    run_with_registry(&mut fleet, CHANGE_DEADLINE_MS);
    assert_eq!(behind(&fleet), [0_usize; 0], "a VM that is cut off from the others lacks a change");
}
