//! Upstreams announce in their responses that they leave, or request a pause.
//!
//! An upstream knows this first. A VM that went on sending would reach a process that has ended, or press one that
//! cannot take more; callers whose requests cannot be served elsewhere must be told so at once.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;

use jujubedoor_config::Name;
use jujubedoor_routing::Event;
use jujubedoor_routing::State;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::directory::Registration;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::routes::Kind;
use jujubedoor_routing::upstream_notices::Notice;
use jujubedoor_tests::router::Behavior;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::registration;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;

/// Sizes of the fleets: one VM, and one whose VMs exchange heartbeats through relays.
const FLEETS: [usize; 2] = [1, 24];

/// Time within which all VMs know that an upstream leaves, in milliseconds.
const SPREAD_MS: u64 = 1_000;

/// Time within which a VM that was asked for a pause has stopped, in milliseconds.
const STOP_MS: u64 = 500;

const ONE_VM: usize = 1;

fn fleet(vms: usize, upstreams: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(vms, Tuning::default(), seed);
    set_up(&mut fleet, "desk", upstreams);
    fleet.run(3_000);
    fleet
}

fn state(fleet: &Fleet, vm: usize) -> &State {
    fleet.vms[vm].as_ref().expect("the VM is up")
}

fn publish(fleet: &mut Fleet, change: &Change) {
    fleet.publish(change, &[0]);
    fleet.run(600);
}

/// Sends calls to all VMs in turn for a number of milliseconds.
fn send_calls(fleet: &mut Fleet, duration_ms: u64, interval_ms: u64) {
    let route = route("desk", Kind::Idempotent, 2);
    let (vms, first) = (fleet.vms.len(), u64::try_from(fleet.replies.len()).expect("few"));
    for id in first..first + duration_ms / interval_ms {
        let call = call(&route, fleet.now, 1_500, id, 0);
        fleet.call(usize::try_from(id).expect("few") % vms, id, call);
        fleet.run(interval_ms);
    }
}

/// Returns the number of requests that reached an upstream between two times.
fn arrivals_between(fleet: &Fleet, upstream: &str, from: u64, until: u64) -> usize {
    let arrivals = fleet.arrivals.get(upstream).map(Vec::as_slice).unwrap_or_default();
    arrivals.iter().filter(|(at, _)| (from..until).contains(at)).count()
}

/// Makes the named upstreams say from now on that they leave. Returns the current time.
fn announce_leaving(fleet: &mut Fleet, upstreams: &'static [&'static str]) -> u64 {
    let since = fleet.now;
    fleet.notice = Box::new(move |upstream, now| Notice {
        leaving: now >= since && upstreams.contains(&&**upstream),
        ..Notice::default()
    });
    since
}

#[test]
fn leaving_upstream_gets_no_requests() {
    for vms in FLEETS {
        let mut fleet = fleet(vms, 4, 1);
        let since = announce_leaving(&mut fleet, &["desk-0"]);
        send_calls(&mut fleet, 6_000, 10);
        let until = fleet.now;
        assert!(arrivals_between(&fleet, "desk-0", since, until) > 0, "{vms} VMs: it says so in a response");
        assert_eq!(arrivals_between(&fleet, "desk-0", since + SPREAD_MS, until), 0, "{vms} VMs");
    }
}

/// A VM that received the response stops at once, and does not wait for the end of the time that it has.
#[test]
fn own_response_stops_at_once() {
    let mut fleet = fleet(ONE_VM, 4, 2);
    let since = announce_leaving(&mut fleet, &["desk-0"]);
    send_calls(&mut fleet, 3_000, 10);
    let first = fleet.arrivals["desk-0"].iter().map(|(at, _)| *at).find(|at| *at >= since).expect("one");
    // Requests that are on their way when the response arrives reach it.
    assert_eq!(arrivals_between(&fleet, "desk-0", first + 40, fleet.now), 0);
}

/// The registry is away, then comes back from an older copy, and lists the upstream as usable.
#[test]
fn registry_does_not_bring_it_back() {
    for vms in FLEETS {
        let mut fleet = fleet(vms, 4, 3);
        let copy = fleet.directory.clone();
        for vm in 0..vms {
            fleet.send_event(vm, Event::RegistryUnreachable);
        }
        let since = announce_leaving(&mut fleet, &["desk-0"]);
        send_calls(&mut fleet, 2_000, 10);
        publish(&mut fleet, &Change::Unregistered("desk-0".into()));
        fleet.restore_registry(copy);
        fleet.load_directory(&[0]);
        send_calls(&mut fleet, 2_000, 10);
        let again = Registration { sequence: 9, ..registration("desk", 0) };
        publish(&mut fleet, &Change::Registered("desk-0".into(), again));
        send_calls(&mut fleet, 6_000, 10);
        assert_eq!(arrivals_between(&fleet, "desk-0", since + SPREAD_MS, fleet.now), 0, "{vms} VMs");
    }
}

#[test]
fn new_run_starts_clean() {
    for vms in FLEETS {
        let mut fleet = fleet(vms, 4, 4);
        announce_leaving(&mut fleet, &["desk-0"]);
        send_calls(&mut fleet, 2_000, 10);
        fleet.notice = Box::new(|_, _| Notice::default());
        let restarted = Registration { started: 2, ..registration("desk", 0) };
        publish(&mut fleet, &Change::Registered("desk-0".into(), restarted));
        let since = fleet.now;
        send_calls(&mut fleet, 3_000, 10);
        assert!(arrivals_between(&fleet, "desk-0", since, fleet.now) > 0, "{vms} VMs");
    }
}

/// A response of the earlier run, and a report about it, arrive after the new run has registered.
#[test]
fn late_report_has_no_effect() {
    let mut fleet = fleet(24, 4, 5);
    let restarted = Registration { started: 2, ..registration("desk", 0) };
    publish(&mut fleet, &Change::Registered("desk-0".into(), restarted));
    let late = Notice { started: 1, leaving: true, pause_ms: Some(60_000) };
    for vm in 0..24 {
        fleet.send_event(vm, Event::NoticeReceived("desk-0".into(), late));
    }
    fleet.run(1_000);
    let since = fleet.now;
    send_calls(&mut fleet, 3_000, 10);
    assert!(arrivals_between(&fleet, "desk-0", since, fleet.now) > 0);
}

/// While they may, requests still go to upstreams that leave. After that they are rejected at once.
#[test]
fn all_leave() {
    let mut fleet = fleet(ONE_VM, 2, 6);
    let since = announce_leaving(&mut fleet, &["desk-0", "desk-1"]);
    send_calls(&mut fleet, 1_000, 10);
    assert!(fleet.replies.values().all(|r| matches!(r, Some(Reply::ForwardResponse) | None)));
    fleet.run(3_000);
    let served = fleet.replies.len();
    send_calls(&mut fleet, 1_000, 10);
    let rejected = fleet.replies.values().filter(|r| matches!(r, Some(Reply::Rejected(_)))).count();
    assert_eq!(fleet.replies.len() - served, rejected, "rejected at once");
    let drain_ms = Tuning::default().drain_ms;
    for upstream in ["desk-0", "desk-1"] {
        assert_eq!(arrivals_between(&fleet, upstream, since + drain_ms, fleet.now), 0);
    }
}

/// Makes upstreams reject requests until a time, and request a pause until then.
fn pause_until(fleet: &mut Fleet, upstreams: &'static [&'static str], until: u64) {
    let is_paused = move |upstream: &Name, now: u64| now < until && upstreams.contains(&&**upstream);
    let now = Rc::new(Cell::new(0));
    let at = now.clone();
    fleet.notice = Box::new(move |upstream, time| {
        at.set(time);
        let pause_ms = is_paused(upstream, time).then(|| until - time);
        Notice { pause_ms, ..Notice::default() }
    });
    fleet.upstream_behavior = Box::new(move |upstream, _, _| {
        if is_paused(upstream, now.get()) {
            Behavior { runs: false, outcome: AttemptOutcome::NotRun(503), work_ms: 4 }
        } else {
            Behavior { runs: true, outcome: AttemptOutcome::Complete, work_ms: 30 }
        }
    });
}

#[test]
fn paused_upstream_gets_no_requests() {
    let mut fleet = fleet(ONE_VM, 4, 7);
    let until = fleet.now + 5_000;
    pause_until(&mut fleet, &["desk-0"], until);
    send_calls(&mut fleet, 8_000, 10);
    let first = fleet.arrivals["desk-0"].iter().map(|(at, _)| *at).find(|at| *at >= until - 5_000);
    let told_at = first.expect("it was told");
    assert_eq!(arrivals_between(&fleet, "desk-0", told_at + STOP_MS, until), 0);
    assert!(arrivals_between(&fleet, "desk-0", until, fleet.now) > 0, "it is used after the pause");
    let rejected: Vec<_> =
        fleet.replies.iter().filter(|(_, r)| matches!(r, Some(Reply::Rejected(_)))).collect();
    assert!(rejected.is_empty(), "{rejected:?}");
}

/// Each VM may be asked, and one that was not asked may send.
#[test]
fn pause_holds_for_the_vm_that_was_asked() {
    let mut fleet = fleet(4, 4, 8);
    let notice = Notice { started: 1, pause_ms: Some(60_000), ..Notice::default() };
    fleet.send_event(0, Event::NoticeReceived("desk-0".into(), notice));
    let since = fleet.now;
    send_calls(&mut fleet, 4_000, 10);
    let paused = &state(&fleet, 0).upstreams["desk-0"];
    assert!(state(&fleet, 0).upstream_notices.paused_until(paused, state(&fleet, 0).now).is_some());
    let calls: BTreeSet<u64> =
        fleet.arrivals["desk-0"].iter().filter(|(at, _)| *at > since + 5).map(|(_, call)| call % 4).collect();
    // The other two VMs prefer the upstreams of their own failure domains.
    assert_eq!(calls, BTreeSet::from([3]), "the other VM of the failure domain sends");
}

#[test]
fn latest_end_counts() {
    let mut fleet = fleet(ONE_VM, 4, 9);
    for pause_ms in [2_000, 6_000, 1_000, 0] {
        let notice = Notice { started: 1, pause_ms: Some(pause_ms), ..Notice::default() };
        fleet.send_event(0, Event::NoticeReceived("desk-0".into(), notice));
    }
    let since = fleet.now;
    send_calls(&mut fleet, 7_000, 10);
    assert_eq!(arrivals_between(&fleet, "desk-0", since, since + 6_000), 0);
    assert!(arrivals_between(&fleet, "desk-0", since + 6_000, fleet.now) > 0);
}

/// A wrong number does not take an upstream out of use for good.
#[test]
fn endless_pause_ends() {
    let mut fleet = fleet(ONE_VM, 4, 10);
    let notice = Notice { started: 1, pause_ms: Some(u64::MAX), ..Notice::default() };
    fleet.send_event(0, Event::NoticeReceived("desk-0".into(), notice));
    fleet.run(601_000);
    let since = fleet.now;
    send_calls(&mut fleet, 3_000, 10);
    assert!(arrivals_between(&fleet, "desk-0", since, fleet.now) > 0);
}

/// All upstreams have asked for a pause: callers are rejected at once and return after its end, not all together.
#[test]
fn all_paused() {
    let mut fleet = fleet(ONE_VM, 3, 11);
    for (upstream, pause_ms) in [("desk-0", 900), ("desk-1", 1_500), ("desk-2", 4_000)] {
        let notice = Notice { started: 1, pause_ms: Some(pause_ms), ..Notice::default() };
        fleet.send_event(0, Event::NoticeReceived(upstream.into(), notice));
    }
    let since = fleet.now;
    let route = route("desk", Kind::Idempotent, 2);
    for id in 0..40 {
        let call = call(&route, fleet.now, 6_000, id, 0);
        fleet.call(0, id, call);
    }
    let waits: Vec<u64> = fleet
        .replies
        .values()
        .map(|reply| match reply {
            Some(Reply::Rejected(rejection)) => rejection.retry_after_ms,
            other => panic!("the request is not rejected at once: {other:?}"),
        })
        .collect();
    assert!(waits.iter().all(|wait_ms| since + wait_ms >= since + 900), "{waits:?}");
    assert!(waits.iter().collect::<BTreeSet<_>>().len() > 20, "{waits:?}");
}

/// A queued request that cannot be sent before it expires is rejected as soon as this is known.
#[test]
fn queued_request_is_rejected_at_once() {
    let mut fleet = fleet(ONE_VM, 1, 12);
    fleet.upstream_behavior =
        Box::new(|_, _, _| Behavior { runs: true, outcome: AttemptOutcome::Complete, work_ms: 5_000 });
    let route = route("desk", Kind::Idempotent, 2);
    for id in 0..80 {
        let call = call(&route, fleet.now, 9_000, id, 0);
        fleet.call(0, id, call);
    }
    fleet.run(20);
    assert!(!state(&fleet, 0).queue.is_empty(), "requests are queued");
    let notice = Notice { started: 1, pause_ms: Some(8_000), ..Notice::default() };
    fleet.send_event(0, Event::NoticeReceived("desk-0".into(), notice));
    assert!(state(&fleet, 0).queue.is_empty());
}

/// After the pause the upstream does not get the whole load at once.
#[test]
fn load_rises_after_pause() {
    let mut fleet = fleet(ONE_VM, 1, 13);
    let until = fleet.now + 2_000;
    pause_until(&mut fleet, &["desk-0"], until);
    send_calls(&mut fleet, 6_000, 2);
    assert!(arrivals_between(&fleet, "desk-0", until, until + 100) <= 20);
    assert!(
        arrivals_between(&fleet, "desk-0", until + 2_500, until + 2_600) >= 45,
        "it takes the whole load later"
    );
}

/// More upstreams leave at once than one heartbeat reports.
#[test]
fn many_leave_at_once() {
    let mut fleet = fleet(24, 200, 14);
    let notice = Notice { started: 1, leaving: true, pause_ms: None };
    for upstream in 0..150 {
        fleet.send_event(0, Event::NoticeReceived(Name::from(format!("desk-{upstream}")), notice));
    }
    fleet.run(3_000);
    for vm in 0..24 {
        let state = state(&fleet, vm);
        let leaving = state.upstreams.values().filter(|u| state.upstream_notices.is_leaving(u)).count();
        assert_eq!(leaving, 150, "VM {vm}");
    }
}
