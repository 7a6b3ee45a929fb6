//! Heartbeats with arbitrary contents: whatever another VM sends, the reducer neither panics nor stops
//! serving.

use std::net::SocketAddr;

use jujubedoor::ids::Fingerprint;
use jujubedoor::ids::Incarnation;
use jujubedoor::ids::StoreRevision;
use jujubedoor_config::Name;
use jujubedoor_routing::Event;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::call::Part;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::load_view::Load;
use jujubedoor_routing::message::CrashReport;
use jujubedoor_routing::message::Heartbeat;
use jujubedoor_routing::message::KnownVm;
use jujubedoor_routing::message::LeavingReport;
use jujubedoor_routing::message::LiveReport;
use jujubedoor_routing::message::PartSurvival;
use jujubedoor_routing::message::PartUpdate;
use jujubedoor_routing::message::RateLimitReport;
use jujubedoor_routing::message::Reachability;
use jujubedoor_routing::message::RecentChanges;
use jujubedoor_routing::message::RunReport;
use jujubedoor_routing::message::ShownTime;
use jujubedoor_routing::message::Vm;
use jujubedoor_routing::part_blocks::BlockReport;
use jujubedoor_routing::registry_outage::EndedOutage;
use jujubedoor_routing::routes::Kind;
use jujubedoor_routing::run_evidence::AssumedRun;
use jujubedoor_routing::software::ServiceTime;
use jujubedoor_routing::software::Software;
use jujubedoor_routing::software::SoftwareReport;
use jujubedoor_routing::speed::SpeedReport;
use jujubedoor_routing::stream_origins::BegunStreams;
use jujubedoor_routing::stream_origins::OriginRun;
use jujubedoor_routing::upstream::short_key;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Number of VMs of the fleet, and of upstreams.
const VMS: usize = 4;

/// A heartbeat with arbitrary contents from one of a few senders.
#[derive(Clone, Debug)]
struct AnyHeartbeat(Heartbeat);

/// Returns an arbitrary number, often one at the end of its range.
fn number(g: &mut Gen) -> u64 {
    let drawn = u64::arbitrary(g);
    *g.choose(&[0, 1, 2, u64::from(u32::MAX), u64::MAX, drawn]).expect("a choice")
}

fn small_number(g: &mut Gen) -> u32 {
    let drawn = u32::arbitrary(g);
    *g.choose(&[0, 1, 2, u32::MAX, drawn]).expect("a choice")
}

fn vm(g: &mut Gen) -> Vm {
    let name = Name::from(format!("vm-{}", number(g) % 6));
    let address: SocketAddr = ([10, 0, 0, u8::arbitrary(g)], 7_000).into();
    let domain = Name::from(format!("domain-{}", number(g) % 4));
    Vm { name, incarnation: Incarnation(number(g)), address, domain, cpu_percent: u16::arbitrary(g) }
}

fn loads(g: &mut Gen) -> Vec<Load> {
    (0..number(g) % 6)
        .map(|_| {
            let id = Name::from(format!("llm-{}", number(g) % 5));
            Load { upstream: short_key(&id), running: small_number(g), prefill_tokens: small_number(g) }
        })
        .collect()
}

fn part_updates(g: &mut Gen) -> Vec<PartUpdate> {
    (0..number(g) % 4)
        .map(|_| PartUpdate {
            part: Part { key: number(g) % 8, tokens: small_number(g) },
            upstream: short_key(&Name::from(format!("llm-{}", number(g) % 5))),
            prefill_remaining_ms: number(g),
        })
        .collect()
}

fn recent_changes(g: &mut Gen) -> RecentChanges {
    let changes = (0..number(g) % 3)
        .map(|_| {
            let id = Name::from(format!("llm-{}", number(g) % 5));
            let domain = Name::from(format!("domain-{}", number(g) % 4));
            let changes =
                [Change::Unregistered(id), Change::Evacuated(domain.clone()), Change::Restored(domain)];
            (revision(g), g.choose(&changes).cloned().expect("a choice"))
        })
        .collect();
    let last_outage = EndedOutage { age_ms: number(g), duration_ms: number(g) };
    RecentChanges { after: revision(g), changes, last_outage: Some(last_outage) }
}

fn revision(g: &mut Gen) -> StoreRevision {
    StoreRevision { epoch: number(g) % 3, number: number(g) }
}

fn crash_report(g: &mut Gen) -> CrashReport {
    CrashReport {
        fingerprint: Fingerprint(number(g)),
        report_id: number(g),
        crash: number(g),
        is_certain: bool::arbitrary(g),
        crash_age_ms: number(g),
        request_age_ms: number(g),
        parts: (0..number(g) % 6).map(|_| number(g) % 8).collect(),
    }
}

fn rate_limit(g: &mut Gen) -> RateLimitReport {
    let upstream = short_key(&Name::from(format!("llm-{}", number(g) % 5)));
    RateLimitReport { upstream, per_s: bool::arbitrary(g).then(|| f64::arbitrary(g)), age_ms: number(g) }
}

fn speed_report(g: &mut Gen) -> SpeedReport {
    let upstream = short_key(&Name::from(format!("llm-{}", number(g) % 5)));
    SpeedReport { upstream, percent: u16::arbitrary(g), age_ms: number(g) }
}

fn leaving_report(g: &mut Gen) -> LeavingReport {
    let upstream = short_key(&Name::from(format!("llm-{}", number(g) % 5)));
    LeavingReport { upstream, started: number(g) % 3, age_ms: number(g) }
}

fn block_report(g: &mut Gen) -> BlockReport {
    BlockReport {
        parts: (0..number(g) % 3).map(|_| number(g) % 8).collect(),
        epoch: small_number(g),
        is_blocked: bool::arbitrary(g),
        remaining_ms: number(g),
        pause_ms: number(g),
    }
}

fn software(g: &mut Gen) -> Software {
    Software::new(&Name::from("llm"), &Name::from(format!("v{}", number(g) % 3)))
}

fn assumed_run(g: &mut Gen) -> Option<AssumedRun> {
    let upstream = short_key(&Name::from(format!("llm-{}", number(g) % 5)));
    bool::arbitrary(g).then(|| AssumedRun { upstream, started: number(g) % 3 })
}

fn live_report(g: &mut Gen, run: AssumedRun) -> LiveReport {
    let shown = bool::arbitrary(g).then(|| ShownTime { age_ms: number(g), length_ms: number(g) });
    LiveReport { run, age_ms: number(g), shown }
}

impl Arbitrary for AnyHeartbeat {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(Heartbeat {
            sender: vm(g),
            sequence: number(g),
            wants_reply: bool::arbitrary(g),
            leaving: bool::arbitrary(g),
            revision: revision(g),
            knows_lost_changes: bool::arbitrary(g),
            directory_age_ms: Option::arbitrary(g),
            reachability: Reachability {
                registry_lost: bool::arbitrary(g),
                has_remote_contact: bool::arbitrary(g),
            },
            loads: loads(g),
            domain_loads: bool::arbitrary(g).then(|| loads(g)),
            fleet_loads: bool::arbitrary(g).then(|| loads(g)),
            changes: bool::arbitrary(g).then(|| recent_changes(g)),
            parts: part_updates(g),
            crashes: vec![crash_report(g)],
            survivals: vec![PartSurvival { part: number(g) % 8, age_ms: number(g) }],
            part_blocks: vec![block_report(g)],
            rate_limits: vec![rate_limit(g)],
            leaving_upstreams: vec![leaving_report(g)],
            speeds: (0..number(g) % 4).map(|_| speed_report(g)).collect(),
            streams: vec![BegunStreams {
                software: software(g),
                run: assumed_run(g)
                    .map(|run| OriginRun { run, doubt_age_ms: bool::arbitrary(g).then(|| number(g)) }),
                streams: vec![number(g)],
            }],
            software: SoftwareReport {
                known_ms: number(g),
                versions: vec![ServiceTime { software: software(g), ended_ms: number(g) }],
            },
            live_runs: assumed_run(g).map(|run| live_report(g, run)).into_iter().collect(),
            sought_runs: assumed_run(g).into_iter().collect(),
            ended_runs: assumed_run(g).map(|run| RunReport { run, age_ms: number(g) }).into_iter().collect(),
            route_moved_ms: bool::arbitrary(g).then(|| number(g)),
            moved: vec![short_key(&Name::from(format!("llm-{}", number(g) % 5)))],
            silent_domains: vec![Name::from(format!("domain-{}", number(g) % 4))],
            known_vms: small_number(g),
            vms: (0..number(g) % 4).map(|_| KnownVm { vm: vm(g), age_ms: number(g) }).collect(),
        })
    }
}

/// Sends heartbeats to the first VM of a small or a large fleet, with calls in between.
fn survives(heartbeats: Vec<AnyHeartbeat>, vms: usize) -> bool {
    let mut fleet = Fleet::new(vms, Tuning::default(), 5);
    set_up(&mut fleet, "llm", VMS);
    let route = route("llm", Kind::Streaming, 2);
    for (id, AnyHeartbeat(heartbeat)) in (0..).zip(heartbeats) {
        fleet.send_event(0, Event::HeartbeatReceived(Box::new(heartbeat)));
        let call = call(&route, fleet.now, 1_500, id, 4_000);
        fleet.call(0, id, call);
        fleet.run(100);
    }
    fleet.run(3_000);
    fleet.replies.values().all(|reply| matches!(reply, Some(Reply::ForwardResponse | Reply::Rejected(_))))
}

#[test]
fn small_fleet_survives() {
    fn property(heartbeats: Vec<AnyHeartbeat>) -> bool {
        survives(heartbeats, VMS)
    }
    QuickCheck::new().tests(60).quickcheck(property as fn(Vec<AnyHeartbeat>) -> bool);
}

#[test]
fn large_fleet_survives() {
    fn property(heartbeats: Vec<AnyHeartbeat>) -> bool {
        survives(heartbeats, 5 * VMS)
    }
    QuickCheck::new().tests(15).quickcheck(property as fn(Vec<AnyHeartbeat>) -> bool);
}
