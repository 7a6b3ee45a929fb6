//! Upstreams that report no speed: every decision is the same as before speeds were known.

use jujubedoor::rendezvous;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;

/// Digests of the decisions of a mesh and of a fleet with relays. They were recorded before speeds were known.
const MESH_DIGEST: u64 = 15_283_866_811_747_706_666;
const RELAYED_DIGEST: u64 = 6_401_462_042_856_022_334;

/// Returns a digest of which upstream each request reached at which time, and of the number of heartbeats.
fn digest(vms: usize, seed: u64) -> u64 {
    let mut fleet = Fleet::new(vms, Tuning::default(), seed);
    fleet.prefill_ms = 40;
    set_up(&mut fleet, "llm", 12);
    set_up(&mut fleet, "desk", 3);
    fleet.run(3_000);
    let (chat, long) = (route("llm", Kind::Streaming, 2), route("llm", Kind::Idempotent, 2));
    let plain = route("desk", Kind::NonIdempotent, 1);
    for id in 0..1_500_u64 {
        let vm = usize::try_from(id * 7 % 31).expect("few") % vms;
        let (route, tokens) = match id % 5 {
            0 => (&long, 9_000),
            1 => (&plain, 0),
            _ => (&chat, 800),
        };
        let call = call(route, fleet.now, 4_000, id * 13 % 97, tokens);
        fleet.call(vm, id, call);
        fleet.run(3 + id % 5);
    }
    fleet.run(5_000);
    let text = format!("{:?} {:?}", fleet.arrivals, fleet.heartbeats);
    rendezvous::key_of(&text)
}

/// Guards against a decision that changes although no upstream reports a speed.
#[test]
fn mesh_decides_as_before() {
    assert_eq!(digest(6, 3), MESH_DIGEST);
}

/// As above, with loads that arrive through relays.
#[test]
fn relayed_fleet_decides_as_before() {
    assert_eq!(digest(48, 4), RELAYED_DIGEST);
}
