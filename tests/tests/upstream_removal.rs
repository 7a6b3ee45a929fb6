//! Upstreams leave, restart or give their address to another one, and failure domains are evacuated.
//!
//! Requests that are sent to an upstream after it left fail or reach a process that cannot serve them, so
//! they must go to the remaining upstreams at once. When registrations merely expire because the registry
//! is down, the upstreams still run and must remain in use, as otherwise none would be left.

use std::collections::BTreeSet;
use std::collections::HashSet;

use jujubedoor_config::Name;
use jujubedoor_routing::Event;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::rejection::RejectReason;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Behavior;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::registration;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;

const ALL_VMS: [usize; 4] = [0, 1, 2, 3];

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(4, Tuning::default(), 3);
    set_up(&mut fleet, "desk", 3);
    fleet
}

/// Sends calls to all VMs in turn, one every 10 ms.
fn send_calls(fleet: &mut Fleet, calls: u64) {
    let route = route("desk", Kind::Idempotent, 2);
    let first = u64::try_from(fleet.replies.len()).expect("few");
    for id in first..first + calls {
        let call = call(&route, fleet.now, 1_500, id, 0);
        fleet.call(usize::try_from(id % 4).expect("few"), id, call);
        fleet.run(10);
    }
}

/// Returns the number of requests that reached an upstream after a time, except those already on their way.
fn arrivals_after(fleet: &Fleet, upstream: &str, since: u64) -> usize {
    fleet
        .arrivals
        .get(upstream)
        .map_or(0, |a| a.iter().filter(|(arrived_at, _)| *arrived_at > since + 5).count())
}

#[test]
fn draining_upstream_gets_no_requests() {
    let mut fleet = fleet();
    send_calls(&mut fleet, 40);
    let mut leaving = registration("desk", 1);
    leaving.draining = true;
    fleet.publish(&Change::Registered("desk-1".into(), leaving), &ALL_VMS);
    let changed_at = fleet.now;
    send_calls(&mut fleet, 100);
    assert_eq!(arrivals_after(&fleet, "desk-1", changed_at), 0);
}

#[test]
fn evacuated_domain_gets_no_requests() {
    let mut fleet = fleet();
    send_calls(&mut fleet, 40);
    fleet.publish(&Change::Evacuated("domain-1".into()), &ALL_VMS);
    let changed_at = fleet.now;
    send_calls(&mut fleet, 100);
    assert_eq!(arrivals_after(&fleet, "desk-1", changed_at), 0);
    fleet.publish(&Change::Restored("domain-1".into()), &ALL_VMS);
    let changed_at = fleet.now;
    send_calls(&mut fleet, 100);
    assert!(
        arrivals_after(&fleet, "desk-1", changed_at) > 0,
        "the upstream should get requests after its domain was restored"
    );
}

#[test]
fn evacuation_of_all_domains_rejects_at_once() {
    let mut fleet = fleet();
    fleet.publish(&Change::Evacuated("domain-0".into()), &ALL_VMS);
    fleet.publish(&Change::Evacuated("domain-1".into()), &ALL_VMS);
    fleet.publish(&Change::Evacuated("domain-2".into()), &ALL_VMS);
    let changed_at = fleet.now;
    send_calls(&mut fleet, 4);
    for reply in fleet.replies.values() {
        let Some(Reply::Rejected(rejection)) = reply else {
            panic!("the request is not rejected at once: {reply:?}")
        };
        assert_eq!(rejection.reason, RejectReason::NoUpstream);
    }
    for upstream in ["desk-0", "desk-1", "desk-2"] {
        assert_eq!(arrivals_after(&fleet, upstream, changed_at), 0);
    }
}

#[test]
fn expired_registrations_are_kept_in_outage() {
    let mut fleet = fleet();
    for vm in ALL_VMS {
        fleet.send_event(vm, Event::RegistryUnreachable);
    }
    fleet.run(3_000);
    // All registrations expired during the outage of the registry. Later, one upstream registers again.
    for upstream in 0..3 {
        fleet.publish(&Change::Unregistered(Name::from(format!("desk-{upstream}"))), &ALL_VMS);
    }
    send_calls(&mut fleet, 40);
    assert!(fleet.replies.values().all(|r| *r != Some(Reply::OutcomeUnknown)));
    let rejected = fleet.replies.values().filter(|r| matches!(r, Some(Reply::Rejected(_)))).count();
    assert_eq!(rejected, 0, "upstreams should remain in use after their registrations expired");
    fleet.publish(&Change::Registered("desk-0".into(), registration("desk", 0)), &ALL_VMS);
    fleet.run(3_000);
    let changed_at = fleet.now;
    send_calls(&mut fleet, 40);
    assert_eq!(
        arrivals_after(&fleet, "desk-1", changed_at) + arrivals_after(&fleet, "desk-2", changed_at),
        0
    );
    assert!(arrivals_after(&fleet, "desk-0", changed_at) > 0);
}

#[test]
fn unregistered_upstream_gets_no_requests() {
    let mut fleet = fleet();
    send_calls(&mut fleet, 10);
    fleet.publish(&Change::Unregistered("desk-2".into()), &ALL_VMS);
    let changed_at = fleet.now;
    send_calls(&mut fleet, 50);
    assert_eq!(arrivals_after(&fleet, "desk-2", changed_at), 0);
}

#[test]
fn reused_address_gets_few_requests() {
    let mut fleet = fleet();
    fleet.upstream_behavior = Box::new(|upstream, _, _| {
        let is_reused = **upstream == *"desk-0";
        let outcome = if is_reused { AttemptOutcome::WrongUpstream } else { AttemptOutcome::Complete };
        Behavior { runs: !is_reused, outcome, work_ms: 5 }
    });
    send_calls(&mut fleet, 100);
    fleet.run(2_000);
    assert!(
        fleet.replies.values().all(|r| *r == Some(Reply::ForwardResponse)),
        "requests should be served by the other upstreams"
    );
    let misdirected = fleet.arrivals.get("desk-0").map_or(0, Vec::len);
    assert!(misdirected <= 8, "{misdirected} requests reached an address that belongs to another upstream");
}

#[test]
fn restarted_upstream_is_cold() {
    let mut fleet = Fleet::new(4, Tuning::default(), 8);
    set_up(&mut fleet, "llm", 2);
    let mut restarted = registration("llm", 0);
    restarted.started = 2;
    restarted.cold_ms = 2_500;
    fleet.publish(&Change::Registered("llm-0".into(), restarted), &ALL_VMS);
    let state = fleet.vms[1].as_ref().expect("the VM is up");
    assert!(state.upstreams["llm-0"].is_cold(state.now));
    assert!(!state.upstreams["llm-1"].is_cold(state.now));
}

#[test]
fn cut_off_vm_reports_no_outage() {
    let mut fleet = fleet();
    fleet.linked = Box::new(|from, to| from != 3 && to != 3);
    fleet.send_event(3, Event::RegistryUnreachable);
    for upstream in 3..6 {
        let id = Name::from(format!("desk-{upstream}"));
        fleet.publish(&Change::Registered(id, registration("desk", upstream % 3)), &[0]);
        fleet.run(1_500);
    }
    // The VM that was cut off is the first one to read that an upstream left.
    fleet.linked = Box::new(|_, _| true);
    fleet.publish(&Change::Unregistered("desk-1".into()), &[]);
    fleet.load_directory(&[3]);
    fleet.run(600);
    let changed_at = fleet.now;
    send_calls(&mut fleet, 100);
    let route = route("desk", Kind::Idempotent, 2);
    for id in 1_000..1_100 {
        let call = call(&route, fleet.now, 1_500, id, 0);
        fleet.call(usize::try_from(id % 3).expect("few"), id, call);
        fleet.run(10);
    }
    assert_eq!(
        arrivals_after(&fleet, "desk-1", changed_at),
        0,
        "the upstream left, its registration did not expire"
    );
}

#[test]
fn possible_leave_ends_use_in_time() {
    let mut fleet = fleet();
    for vm in ALL_VMS {
        fleet.send_event(vm, Event::RegistryUnreachable);
    }
    fleet.run(3_000);
    fleet.publish(&Change::Registered("desk-0".into(), registration("desk", 0)), &ALL_VMS);
    fleet.run(100);
    fleet.publish(&Change::Unregistered("desk-1".into()), &ALL_VMS);
    fleet.run(1_000);
    let changed_at = fleet.now;
    send_calls(&mut fleet, 20);
    assert!(arrivals_after(&fleet, "desk-1", changed_at) > 0, "the registration may have expired");
    fleet.run(Tuning::default().drain_ms - 1_200);
    let drained_at = fleet.now;
    send_calls(&mut fleet, 60);
    assert_eq!(arrivals_after(&fleet, "desk-1", drained_at), 0, "the upstream may have left");
}

/// All engines crash and start again at their old addresses under new identifiers, before the registry
/// knows. Each VM would find out about each engine with a request of its own.
#[test]
fn restarted_engines_cost_few_retries() {
    let tuning = Tuning { retry_slack: 58.0, ..Tuning::default() };
    let mut fleet = Fleet::new(60, tuning, 21);
    set_up(&mut fleet, "llm", 30);
    fleet.run(5_000);
    fleet.upstream_behavior = Box::new(|upstream, _, _| {
        let is_old = upstream.starts_with("llm-");
        let outcome = if is_old { AttemptOutcome::WrongUpstream } else { AttemptOutcome::Complete };
        Behavior { runs: !is_old, outcome, work_ms: 5 }
    });
    for upstream in (0..30).step_by(2) {
        let id = Name::from(format!("new-{upstream}"));
        fleet.publish(&Change::Registered(id, registration("llm", upstream % 3)), &[0, 1, 2, 3, 4, 5]);
    }
    fleet.run(300);
    let route = route("llm", Kind::Streaming, 2);
    let calls = 600;
    for id in 0..calls {
        let prompt = call(&route, fleet.now, 5_000, id, 2_000);
        fleet.call(usize::try_from(id % 60).expect("few"), id, prompt);
        fleet.run(5);
    }
    fleet.run(3_000);
    let misdirected: usize =
        fleet.arrivals.iter().filter(|(id, _)| id.starts_with("llm-")).map(|(_, a)| a.len()).sum();
    let budget = 58 + usize::try_from(calls / 5).expect("few");
    assert!(
        misdirected <= budget,
        "{misdirected} requests went to engines that had ended, {budget} are allowed"
    );
    let rejected = fleet.replies.values().filter(|r| matches!(r, Some(Reply::Rejected(_)))).count();
    assert!(
        rejected * 100 <= fleet.replies.len(),
        "{rejected} calls were rejected although engines were free"
    );
}

#[test]
fn successor_at_same_address_replaces() {
    let mut fleet = fleet();
    let mut old = registration("desk", 1);
    old.address = ([10, 9, 0, 1], 8_000).into();
    fleet.publish(&Change::Registered("desk-9".into(), old.clone()), &ALL_VMS);
    send_calls(&mut fleet, 40);
    fleet.publish(&Change::Registered("desk-10".into(), old.clone()), &ALL_VMS);
    let changed_at = fleet.now;
    send_calls(&mut fleet, 100);
    assert_eq!(arrivals_after(&fleet, "desk-9", changed_at), 0, "another upstream has its address");
    assert!(arrivals_after(&fleet, "desk-10", changed_at) > 0);
    // A registration of the upstream that ended arrives late.
    old.started = 0;
    fleet.publish(&Change::Registered("desk-11".into(), old), &ALL_VMS);
    let changed_at = fleet.now;
    send_calls(&mut fleet, 100);
    assert!(arrivals_after(&fleet, "desk-10", changed_at) > 0, "the upstream that started last is in use");
    assert_eq!(arrivals_after(&fleet, "desk-11", changed_at), 0, "it ended before the other one started");
}

/// Callers that were told when to come back, and do so once.
#[derive(Default)]
struct Returning {
    due: BTreeSet<(u64, u64)>,
    have_returned: HashSet<u64>,
}

impl Returning {
    /// Notes the callers that were rejected for the first time.
    fn note_rejected(&mut self, fleet: &Fleet) {
        for (id, reply) in &fleet.replies {
            let Some(Reply::Rejected(rejection)) = reply else { continue };
            if !self.have_returned.contains(id) && !self.due.iter().any(|(_, known)| known == id) {
                self.due.insert((fleet.now + rejection.retry_after_ms, *id));
            }
        }
    }

    /// Returns the callers whose time has come.
    fn take_due(&mut self, now: u64) -> Vec<u64> {
        let due: Vec<(u64, u64)> = self.due.iter().copied().take_while(|(at, _)| *at <= now).collect();
        self.due.retain(|(at, _)| *at > now);
        self.have_returned.extend(due.iter().map(|(_, id)| *id));
        due.into_iter().map(|(_, id)| id).collect()
    }
}

/// All engines crash and start again, and register only two seconds later. Callers come back once, when they
/// are told to.
#[test]
fn callers_return_when_engines_are_back() {
    let mut fleet = Fleet::new(60, Tuning::default(), 22);
    set_up(&mut fleet, "llm", 30);
    fleet.run(5_000);
    fleet.upstream_behavior = Box::new(|upstream, _, _| {
        let is_old = upstream.starts_with("llm-");
        let outcome = if is_old { AttemptOutcome::WrongUpstream } else { AttemptOutcome::Complete };
        Behavior { runs: !is_old, outcome, work_ms: 5 }
    });
    let route = route("llm", Kind::Streaming, 2);
    let crashed_at = fleet.now;
    let mut returning = Returning::default();
    for step in 0..900 {
        if step < 400 {
            let prompt = call(&route, fleet.now, 12_000, step, 2_000);
            fleet.call(usize::try_from(step % 60).expect("few"), step, prompt);
        }
        for id in returning.take_due(fleet.now) {
            let prompt = call(&route, fleet.now, 9_000, id, 2_000);
            fleet.call(usize::try_from((id + 7) % 60).expect("few"), id, prompt);
        }
        if fleet.now == crashed_at + 2_000 {
            for upstream in 0..30 {
                let id = Name::from(format!("new-{upstream}"));
                fleet
                    .publish(&Change::Registered(id, registration("llm", upstream % 3)), &[0, 1, 2, 3, 4, 5]);
            }
        }
        fleet.run(10);
        returning.note_rejected(&fleet);
    }
    let served = fleet.replies.values().filter(|r| **r == Some(Reply::ForwardResponse)).count();
    let share = served * 100 / fleet.replies.len();
    assert!(share >= 90, "only {share} of 100 callers were served, at once or when they came back");
}
