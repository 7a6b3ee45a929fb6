//! VMs report unusual speeds of upstreams to each other, so that all know of them in time, and nothing else.

use std::sync::Arc;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use jujubedoor_routing::Effect;
use jujubedoor_routing::Event;
use jujubedoor_routing::State;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::message::Heartbeat;
use jujubedoor_routing::speed;
use jujubedoor_routing::speed::Speed;
use jujubedoor_routing::speed::SpeedReport;
use jujubedoor_routing::upstream::short_key;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::set_up;

/// Maximum number of bytes that the reports in one heartbeat take.
const MAX_REPORT_BYTES: usize = 600;

fn fleet(vms: usize, upstreams: usize) -> Fleet {
    let mut fleet = Fleet::new(vms, Tuning::default(), 3);
    set_up(&mut fleet, "llm", upstreams);
    fleet.run(4_000);
    fleet
}

fn upstream(n: usize) -> Name {
    Name::from(format!("llm-{n}"))
}

fn named(n: usize, percent: f64) -> Event {
    Event::SpeedNamed(upstream(n), Speed::from_percent(percent).expect("a speed"))
}

fn state(fleet: &mut Fleet, vm: usize) -> &mut State {
    fleet.vms[vm].as_mut().expect("the VM is up")
}

/// Passes an event to a VM at a time and returns the heartbeats that it sends.
fn heartbeats_after(state: &mut State, now: u64, event: Event) -> Vec<Arc<Heartbeat>> {
    let effects = jujubedoor_routing::reduce(state, Time(now), event);
    let heartbeat = |effect| match effect {
        Effect::Heartbeat(_, heartbeat) => Some(heartbeat),
        _ => None,
    };
    effects.into_iter().filter_map(heartbeat).collect()
}

/// Returns the reports in the next heartbeat of a VM that is sent by a time.
fn reports_by(state: &mut State, now: u64) -> Vec<SpeedReport> {
    let heartbeats = heartbeats_after(state, now, Event::Tick);
    heartbeats.first().map(|heartbeat| heartbeat.speeds.clone()).unwrap_or_default()
}

fn percents(reports: &[SpeedReport]) -> Vec<u16> {
    reports.iter().map(|report| report.percent).collect()
}

/// Returns the VMs for which an upstream is slow.
fn vms_that_know(fleet: &Fleet, n: usize) -> usize {
    let knows = |state: &&State| speed::slowdown(state, &state.upstreams[&upstream(n)]) > 1.0;
    fleet.vms.iter().flatten().filter(knows).count()
}

/// Guards against reports that cost something while all upstreams work as usual.
#[test]
fn usual_figures_are_not_reported() {
    for vms in [4, 32] {
        let mut fleet = fleet(vms, 20);
        for n in 0..20 {
            for percent in [100.0, 76.0, 124.0, 100.0] {
                fleet.send_event(n % vms, named(n, percent));
            }
        }
        fleet.run(1_000);
        assert_eq!(fleet.speed_reports, 0, "{vms} VMs");
    }
}

/// An unusual figure is reported, again while responses name it, and once when a response names a usual one.
#[test]
fn figures_are_reported_until_they_end() {
    let mut fleet = fleet(4, 3);
    let now = fleet.now;
    let vm = state(&mut fleet, 0);
    heartbeats_after(vm, now, named(0, 250.0));
    let first = reports_by(vm, now + 300);
    assert_eq!(percents(&first), [250]);
    assert_eq!(first[0].age_ms, 300);
    assert!(reports_by(vm, now + 600).is_empty(), "a figure was reported again without a response");
    heartbeats_after(vm, now + 610, named(0, 260.0));
    assert_eq!(percents(&reports_by(vm, now + 900)), [260]);
    heartbeats_after(vm, now + 910, named(0, 110.0));
    assert_eq!(percents(&reports_by(vm, now + 1_200)), [110]);
    heartbeats_after(vm, now + 1_210, named(0, 90.0));
    assert!(reports_by(vm, now + 1_500).is_empty(), "an end was reported twice");
}

/// Guards against heartbeats that outgrow a datagram when a host of many upstreams is slow, and against figures
/// that are never reported then.
#[test]
fn few_reports_in_a_heartbeat() {
    let mut fleet = fleet(4, 200);
    let now = fleet.now;
    let vm = state(&mut fleet, 0);
    let empty = heartbeats_after(vm, now + 300, Event::Tick);
    let empty_bytes = postcard::to_allocvec(&*empty[0]).expect("encoded").len();
    for n in 0..150 {
        heartbeats_after(vm, now + 310, named(n, 1_999.0));
    }
    let mut reported = Vec::new();
    for beat in 1..=3 {
        let sent = heartbeats_after(vm, now + 310 + beat * 260, Event::Tick);
        let bytes = postcard::to_allocvec(&*sent[0]).expect("encoded").len();
        assert!(sent[0].speeds.len() <= 60, "{} reports", sent[0].speeds.len());
        assert!(bytes <= empty_bytes + MAX_REPORT_BYTES, "{bytes} bytes, {empty_bytes} without reports");
        reported.extend(sent[0].speeds.iter().map(|report| report.upstream));
    }
    reported.sort_unstable();
    reported.dedup();
    assert_eq!(reported.len(), 150);
}

/// Guards against figures that do not pass the relays of a large fleet, or pass them without end.
#[test]
fn relays_forward_figures() {
    for (vms, within_ms) in [(4, 350), (32, 500), (300, 500)] {
        let mut fleet = fleet(vms, 20);
        for vm in [vms - 1, vms - 2] {
            fleet.speed_reports = 0;
            fleet.send_event(vm, named(vm % 20, 250.0));
            fleet.run(within_ms);
            assert_eq!(vms_that_know(&fleet, vm % 20), vms, "{vms} VMs after the figure");
            fleet.send_event(vm, named(vm % 20, 100.0));
            fleet.run(within_ms);
            assert_eq!(vms_that_know(&fleet, vm % 20), 0, "{vms} VMs after its end");
            fleet.run(2_000);
            // Each VM hears each figure from the relays of its domain, and relays from each other.
            let reports = fleet.speed_reports;
            assert!(reports <= 2 * (2 * vms + 40), "{reports} reports of two figures among {vms} VMs");
            fleet.speed_reports = 0;
            fleet.run(2_000);
            assert_eq!(fleet.speed_reports, 0, "{vms} VMs go on reporting");
        }
    }
}

/// An earlier figure that arrives late replaces no later one.
#[test]
fn late_reports_are_ignored() {
    let mut fleet = fleet(4, 3);
    let now = fleet.now;
    let report = |percent, age_ms| SpeedReport { upstream: short_key(&upstream(0)), percent, age_ms };
    let sender = state(&mut fleet, 1);
    let beats: Vec<Arc<Heartbeat>> =
        (1..=4).flat_map(|beat| heartbeats_after(sender, now + beat * 300, Event::Tick)).collect();
    let mut receive = |sequence: u64, reports: Vec<SpeedReport>| {
        let mut heartbeat = (*beats[0]).clone();
        heartbeat.sequence += sequence;
        heartbeat.speeds = reports;
        let vm = state(&mut fleet, 0);
        heartbeats_after(vm, now + 1_300, Event::HeartbeatReceived(Box::new(heartbeat)));
        speed::percent(vm, &vm.upstreams[&upstream(0)])
    };
    assert_eq!(receive(1, vec![report(300, 1_000)]), None, "a figure has ended");
    assert_eq!(receive(2, vec![report(0, 0)]), None, "no speed");
    assert_eq!(receive(3, vec![report(300, 100)]), Some(280.0));
    assert_eq!(receive(4, vec![report(2_000, 400)]), Some(280.0), "an earlier figure");
    assert_eq!(receive(5, vec![report(u16::MAX, 0)]), Some(2_000.0), "out of range");
}
