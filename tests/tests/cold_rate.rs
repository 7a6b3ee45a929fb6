//! A cold upstream gets no more requests in a second than it bears, summed over all VMs.

use jujubedoor_config::Name;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::cold_rate::ColdShare;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::registration;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;
use quickcheck::QuickCheck;

/// What the operators allow a cold upstream in a second: 12 x 1.5 + 5.
const BEARABLE: usize = 23;

fn flood(fleet: &mut Fleet, vms: usize, ms: u64) {
    let route = route("llm", Kind::Streaming, 1);
    let first = u64::try_from(fleet.replies.len()).expect("few calls");
    for step in 0..ms / 5 {
        let id = first + step;
        let call = call(&route, fleet.now, 3_000, step % 50, 400);
        let vm = usize::try_from(step).expect("few steps") % vms;
        fleet.call(vm, id, call);
        fleet.run(5);
    }
}

#[test]
fn domain_returns() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(9, Tuning::default(), seed);
        set_up(&mut fleet, "llm", 3);
        let all: Vec<usize> = (0..9).collect();
        for upstream in 0..3 {
            let mut again = registration("llm", upstream);
            again.started = 2;
            again.cold_ms = 3_000;
            fleet.publish(&Change::Registered(Name::from(format!("llm-{upstream}")), again), &all);
        }
        flood(&mut fleet, 9, 2_500);
        for upstream in 0..3 {
            let most = fleet.most_in_a_second(&format!("llm-{upstream}"));
            assert!(most <= BEARABLE, "seed {seed}: {most} requests in a second");
            assert!(most >= 9, "seed {seed}: a cold upstream helps, but got {most} only");
        }
    }
}

#[test]
fn cut_vms_count() {
    let mut fleet = Fleet::new(9, Tuning::default(), 9);
    set_up(&mut fleet, "llm", 1);
    fleet.linked = Box::new(|from, to| from % 3 == to % 3);
    fleet.run(3_000);
    let mut again = registration("llm", 0);
    again.started = 2;
    again.cold_ms = 3_000;
    fleet.publish(&Change::Registered("llm-0".into(), again), &(0..9).collect::<Vec<_>>());
    flood(&mut fleet, 9, 2_500);
    let most = fleet.most_in_a_second("llm-0");
    assert!(most <= BEARABLE, "{most} requests in a second while the fleet is split in three");
}

#[test]
fn large_fleet() {
    let mut fleet = Fleet::new(60, Tuning::default(), 11);
    set_up(&mut fleet, "llm", 2);
    fleet.run(2_000);
    let all: Vec<usize> = (0..60).collect();
    for upstream in 0..2 {
        let mut again = registration("llm", upstream);
        again.started = 2;
        again.cold_ms = 3_000;
        fleet.publish(&Change::Registered(Name::from(format!("llm-{upstream}")), again), &all);
    }
    flood(&mut fleet, 60, 2_500);
    for upstream in ["llm-0", "llm-1"] {
        let most = fleet.most_in_a_second(upstream);
        assert!(most <= BEARABLE, "{most} requests in a second");
        assert!(most >= 5, "a cold upstream helps, but got {most} only");
    }
}

#[test]
fn shares_add_up() {
    fn check(vms: u8, tenths: u16) -> bool {
        let vms = usize::from(vms).max(1);
        let bears = f64::from(tenths % 1_000) / 10.0;
        let share = ColdShare::new(bears, vms);
        let all = u32::try_from(share.requests * share.senders.min(vms)).expect("few");
        f64::from(all) <= bears
    }
    QuickCheck::new().quickcheck(check as fn(u8, u16) -> bool);
}
