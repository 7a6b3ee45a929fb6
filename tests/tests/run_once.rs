//! A request that may not be repeated runs at most once, and one that is refused has not run.

use jujubedoor_routing::Tuning;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Behaviour;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;

/// The number of fuzzed runs, and the variable that raises it.
const RUNS: u64 = 60;
const RUNS_VARIABLE: &str = "JUJUBEDOOR_FUZZ_RUNS";

fn fail_at_random(draw: u64) -> Behaviour {
    let work_ms = draw / 16 % 200;
    match draw % 16 {
        0 | 1 => Behaviour { runs: false, ended: AttemptOutcome::Unreachable, work_ms },
        2 => Behaviour { runs: false, ended: AttemptOutcome::Unsent, work_ms: 1 },
        3 | 4 => Behaviour { runs: false, ended: AttemptOutcome::NotRun(503), work_ms },
        5 => Behaviour { runs: false, ended: AttemptOutcome::WrongUpstream, work_ms },
        6 | 7 => Behaviour { runs: draw & 32 == 0, ended: AttemptOutcome::ConnectionLost, work_ms },
        8 => Behaviour { runs: draw & 32 == 0, ended: AttemptOutcome::NoResponse, work_ms: 800 },
        9 | 10 => Behaviour { runs: true, ended: AttemptOutcome::Failed(500), work_ms },
        _ => Behaviour { runs: true, ended: AttemptOutcome::Complete, work_ms },
    }
}

fn fuzz(seed: u64, kind: Kind) -> Fleet {
    let mut fleet = Fleet::new(4, Tuning::default(), seed);
    set_up(&mut fleet, "desk", 3);
    fleet.behave = Box::new(|_, _, draw| fail_at_random(draw));
    let route = route("desk", kind, 3);
    for id in 0..300 {
        let call = call(&route, fleet.now, 1_500, id, 0);
        fleet.call(usize::try_from(id).expect("few calls") % 4, id, call);
        fleet.run(id % 13);
    }
    fleet.run(5_000);
    fleet
}

/// Lets chats about few subjects fail at random, whose requests wait for each other's parts to be read.
fn fuzz_chats(seed: u64, kind: Kind) -> Fleet {
    let mut fleet = Fleet::new(4, Tuning::default(), seed);
    set_up(&mut fleet, "llm", 3);
    fleet.reads_ms = 40 + seed % 300;
    fleet.behave = Box::new(|_, _, draw| fail_at_random(draw));
    let route = route("llm", kind, 3);
    for id in 0..200 {
        let call = call(&route, fleet.now, 100 + id % 7 * 200, id % 9, 4_000);
        fleet.call(usize::try_from(id).expect("few calls") % 4, id, call);
        fleet.run(id % 13);
    }
    fleet.run(5_000);
    fleet
}

fn runs() -> u64 {
    std::env::var(RUNS_VARIABLE).ok().and_then(|text| text.parse().ok()).unwrap_or(RUNS)
}

#[test]
fn never_twice() {
    for seed in 0..runs() {
        let fleet = fuzz(seed, Kind::NonIdempotent);
        for (id, runs) in &fleet.runs {
            assert!(*runs <= 1, "seed {seed}: call {id} ran {runs} times");
        }
    }
}

#[test]
fn refused_has_not_run() {
    for kind in [Kind::NonIdempotent, Kind::Streaming, Kind::Idempotent] {
        for seed in 0..runs() {
            let fleet = fuzz(seed, kind);
            for (id, reply) in &fleet.replies {
                let refused = matches!(reply, Some(Reply::Rejected(_)));
                assert!(
                    !refused || !fleet.runs.contains_key(id),
                    "seed {seed}: call {id} ran and was refused"
                );
            }
        }
    }
}

#[test]
fn all_are_answered() {
    for seed in 0..runs() {
        let fleet = fuzz(seed, Kind::Idempotent);
        let open: Vec<&u64> = fleet.replies.iter().filter(|(_, r)| r.is_none()).map(|(id, _)| id).collect();
        assert!(open.is_empty(), "seed {seed}: no answer to {open:?}");
        for vm in fleet.vms.iter().flatten() {
            assert!(vm.requests.is_empty() && vm.queue.is_empty(), "seed {seed}: something is left over");
            assert!(
                vm.upstreams.values().all(|u| u.running == 0 && u.prefill_tokens == 0),
                "seed {seed}: load is left over"
            );
        }
    }
}

#[test]
fn attempts_are_bounded() {
    for seed in 0..runs() {
        let fleet = fuzz(seed, Kind::Idempotent);
        for id in fleet.replies.keys() {
            let path = fleet.path_of(*id);
            let moved = path.len();
            assert!(
                fleet.runs.get(id).is_none_or(|runs| *runs <= 3),
                "seed {seed}: call {id} ran too often: {moved}"
            );
        }
    }
}

#[test]
fn chats_keep_promises() {
    for seed in 0..runs() {
        let fleet = fuzz_chats(seed, Kind::Streaming);
        for (id, reply) in &fleet.replies {
            let runs = fleet.runs.get(id).copied().unwrap_or_default();
            assert!(runs <= 1, "seed {seed}: chat {id} ran {runs} times");
            assert!(reply.is_some(), "seed {seed}: no answer to chat {id}");
            let refused = matches!(reply, Some(Reply::Rejected(_)));
            assert!(!refused || runs == 0, "seed {seed}: chat {id} ran and was refused");
        }
    }
}
