//! Requests that may not be repeated run at most once, and rejected requests have not run.
//!
//! Upstreams fail in random ways: they are unreachable, lose the connection before or after they ran a
//! request, do not respond, or report that they did not run it. A retry after a failure that leaves the
//! outcome unknown could run the request twice. A rejection tells the caller that it may safely send the
//! request again. No request may remain without a reply, and no state may be left over.

use jujubedoor_routing::Tuning;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Behavior;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;

/// Default number of seeds for which each test runs.
const DEFAULT_SEEDS: u64 = 60;

/// Environment variable that overrides the number of seeds.
const SEEDS_VARIABLE: &str = "JUJUBEDOOR_FUZZ_RUNS";

fn fail_at_random(draw: u64) -> Behavior {
    let work_ms = draw / 16 % 200;
    match draw % 16 {
        0 | 1 => Behavior { runs: false, outcome: AttemptOutcome::Unreachable, work_ms },
        2 => Behavior { runs: false, outcome: AttemptOutcome::Unsent, work_ms: 1 },
        3 | 4 => Behavior { runs: false, outcome: AttemptOutcome::NotRun(503), work_ms },
        5 => Behavior { runs: false, outcome: AttemptOutcome::WrongUpstream, work_ms },
        6 | 7 => Behavior { runs: draw & 32 == 0, outcome: AttemptOutcome::ConnectionLost, work_ms },
        8 => Behavior { runs: draw & 32 == 0, outcome: AttemptOutcome::NoResponse, work_ms: 800 },
        9 | 10 => Behavior { runs: true, outcome: AttemptOutcome::Failed(500), work_ms },
        _ => Behavior { runs: true, outcome: AttemptOutcome::Complete, work_ms },
    }
}

/// Sends requests of a kind while upstreams fail at random.
fn fuzz(seed: u64, kind: Kind) -> Fleet {
    let mut fleet = Fleet::new(4, Tuning::default(), seed);
    set_up(&mut fleet, "desk", 3);
    fleet.upstream_behavior = Box::new(|_, _, draw| fail_at_random(draw));
    let route = route("desk", kind, 3);
    for id in 0..300 {
        let call = call(&route, fleet.now, 1_500, id, 0);
        fleet.call(usize::try_from(id).expect("few calls") % 4, id, call);
        fleet.run(id % 13);
    }
    fleet.run(5_000);
    fleet
}

/// Sends chats with few different contexts while upstreams fail at random, so that requests wait for the
/// prefills of others.
fn fuzz_chats(seed: u64, kind: Kind) -> Fleet {
    let mut fleet = Fleet::new(4, Tuning::default(), seed);
    set_up(&mut fleet, "llm", 3);
    fleet.prefill_ms = 40 + seed % 300;
    fleet.upstream_behavior = Box::new(|_, _, draw| fail_at_random(draw));
    let route = route("llm", kind, 3);
    for id in 0..200 {
        let call = call(&route, fleet.now, 100 + id % 7 * 200, id % 9, 4_000);
        fleet.call(usize::try_from(id).expect("few calls") % 4, id, call);
        fleet.run(id % 13);
    }
    fleet.run(5_000);
    fleet
}

fn seed_count() -> u64 {
    std::env::var(SEEDS_VARIABLE).ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEEDS)
}

#[test]
fn never_twice() {
    for seed in 0..seed_count() {
        let fleet = fuzz(seed, Kind::NonIdempotent);
        for (id, runs) in &fleet.runs {
            assert!(*runs <= 1, "seed {seed}: call {id} ran {runs} times");
        }
    }
}

#[test]
fn rejected_has_not_run() {
    for kind in [Kind::NonIdempotent, Kind::Streaming, Kind::Idempotent] {
        for seed in 0..seed_count() {
            let fleet = fuzz(seed, kind);
            for (id, reply) in &fleet.replies {
                let rejected = matches!(reply, Some(Reply::Rejected(_)));
                assert!(
                    !rejected || !fleet.runs.contains_key(id),
                    "seed {seed}: call {id} ran and was rejected"
                );
            }
        }
    }
}

#[test]
fn all_are_answered() {
    for seed in 0..seed_count() {
        let fleet = fuzz(seed, Kind::Idempotent);
        let open: Vec<&u64> = fleet.replies.iter().filter(|(_, r)| r.is_none()).map(|(id, _)| id).collect();
        assert!(open.is_empty(), "seed {seed}: no reply to {open:?}");
        for vm in fleet.vms.iter().flatten() {
            assert!(vm.requests.is_empty() && vm.queue.is_empty(), "seed {seed}: requests are left over");
            assert!(
                vm.upstreams.values().all(|u| u.running == 0 && u.prefill_tokens == 0),
                "seed {seed}: load is left over"
            );
        }
    }
}

#[test]
fn attempts_are_bounded() {
    for seed in 0..seed_count() {
        let fleet = fuzz(seed, Kind::Idempotent);
        for id in fleet.replies.keys() {
            let path = fleet.path_of(*id);
            let attempts = path.len();
            assert!(
                fleet.runs.get(id).is_none_or(|runs| *runs <= 3),
                "seed {seed}: call {id} ran more than 3 times, with {attempts} attempts"
            );
        }
    }
}

#[test]
fn waiting_chats_run_at_most_once() {
    for seed in 0..seed_count() {
        let fleet = fuzz_chats(seed, Kind::Streaming);
        for (id, reply) in &fleet.replies {
            let runs = fleet.runs.get(id).copied().unwrap_or_default();
            assert!(runs <= 1, "seed {seed}: chat {id} ran {runs} times");
            assert!(reply.is_some(), "seed {seed}: no reply to chat {id}");
            let rejected = matches!(reply, Some(Reply::Rejected(_)));
            assert!(!rejected || runs == 0, "seed {seed}: chat {id} ran and was rejected");
        }
    }
}
