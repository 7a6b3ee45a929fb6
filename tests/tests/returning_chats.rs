//! A returning chat goes to the engine that has read its prompt, within the bound on the load.

use jujubedoor_config::Name;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::directory::Registration;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Behaviour;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::registration;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;

/// Sends calls of a number of subjects over all VMs and returns the upstreams that each subject reached.
fn serve(fleet: &mut Fleet, calls: u64, subjects: u64, gap_ms: u64) -> Vec<Vec<Name>> {
    let route = route("llm", Kind::Streaming, 1);
    let vms = u64::try_from(fleet.vms.len()).expect("few");
    let first = u64::try_from(fleet.replies.len()).expect("few");
    let mut seen = vec![Vec::new(); usize::try_from(subjects).expect("few")];
    for id in first..first + calls {
        let subject = id * 7 % subjects;
        let call = call(&route, fleet.now, 5_000, subject, 4_000);
        fleet.call(usize::try_from(id * 13 % vms).expect("few"), id, call);
        fleet.run(gap_ms);
    }
    fleet.run(3_000);
    for id in first..first + calls {
        let subject = usize::try_from(id * 7 % subjects).expect("few");
        seen[subject].extend(fleet.path_of(id));
    }
    for upstreams in &mut seen {
        upstreams.dedup();
    }
    seen
}

#[test]
fn same_engine() {
    let mut fleet = Fleet::new(6, Tuning::default(), 1);
    set_up(&mut fleet, "llm", 6);
    let seen = serve(&mut fleet, 400, 20, 20);
    let moved: usize = seen.iter().map(|u| u.len() - 1).sum();
    assert!(moved <= 4, "{moved} moves of 20 subjects: {seen:?}");
}

#[test]
fn new_engine_moves_nobody() {
    let mut fleet = Fleet::new(6, Tuning::default(), 2);
    set_up(&mut fleet, "llm", 6);
    let before = serve(&mut fleet, 300, 20, 20);
    for upstream in 6..8 {
        let id = Name::from(format!("llm-{upstream}"));
        fleet.publish(&Change::Registered(id, registration("llm", 1)), &[0, 1, 2, 3, 4, 5]);
    }
    let after = serve(&mut fleet, 300, 20, 20);
    let stayed = before.iter().zip(&after).filter(|(b, a)| b.last() == a.last()).count();
    assert!(stayed >= 18, "only {stayed} of 20 subjects stayed");
}

/// How long an engine that leaves gives others what it has read at least, in milliseconds.
const GIVES_MS: u64 = 1_000;

/// Tells from where a new home takes each of ten subjects after a change, a time after it.
fn sources_after(change: impl Fn(&Name) -> Change, wait_ms: u64) -> (usize, usize) {
    let mut fleet = Fleet::new(6, Tuning::default(), 3);
    set_up(&mut fleet, "llm", 6);
    serve(&mut fleet, 200, 10, 20);
    let route = route("llm", Kind::Streaming, 1);
    let state = fleet.vms[2].as_ref().expect("up");
    let part = call(&route, 1, 5_000, 0, 4_000).parts[1].key;
    let home = state.cache_index.holders(part, state.now, state.tuning.cache_lifetime_ms)[0].clone();
    fleet.publish(&change(&home), &[0, 1, 2, 3, 4, 5]);
    fleet.run(wait_ms);
    let state = fleet.vms[2].as_mut().expect("up");
    let (mut held, mut given) = (0, 0);
    for subject in 0..10 {
        let call = call(&route, 1, 5_000, subject, 4_000);
        let service = Name::from("llm");
        let choice =
            jujubedoor_routing::placement::choose(state, &call, &service, &[]).expect("there is room");
        assert_ne!(choice.upstream, home);
        let homes = state.cache_index.holders(call.parts[1].key, state.now, state.tuning.cache_lifetime_ms);
        let was_there = homes.iter().any(|h| **h == home);
        let is_only_home = homes.iter().all(|h| **h == home) && !homes.is_empty();
        held += usize::from(is_only_home);
        let from = jujubedoor_routing::placement::cache_source(state, &call, &choice.upstream);
        assert!(!was_there || from.is_some() || wait_ms > GIVES_MS, "subject {subject} is read again");
        given += usize::from(is_only_home && from.is_some_and(|(id, _)| id == home));
    }
    (held, given)
}

#[test]
fn drained_engine_gives_cache() {
    let draining = |id: &Name| {
        let leaving = Registration { draining: true, ..registration("llm", 0) };
        Change::Registered(id.clone(), leaving)
    };
    let (held, given) = sources_after(draining, 0);
    assert!(held > 0 && given == held, "{given} of {held}");
}

#[test]
fn engine_gone_without_notice_gives_cache() {
    let gone = |id: &Name| Change::Unregistered(id.clone());
    let (held, given) = sources_after(gone, GIVES_MS);
    assert!(held > 0 && given == held, "{given} of {held}");
    assert_eq!(sources_after(gone, 3_000).1, 0, "its address may belong to another by then");
}

#[test]
fn evacuated_engine_gives_cache_at_first() {
    // The first engine stands in the first domain, as do all whose number is a multiple of three.
    let evacuated = |id: &Name| {
        let number: usize = id.rsplit('-').next().and_then(|n| n.parse().ok()).expect("a number");
        Change::Evacuated(Name::from(format!("domain-{}", number % 3)))
    };
    let (held, given) = sources_after(evacuated, GIVES_MS);
    assert!(held > 0 && given == held, "{given} of {held}");
    assert_eq!(sources_after(evacuated, 4_000).1, 0);
}

#[test]
fn load_stays_bounded() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(9, Tuning::default(), seed);
        set_up(&mut fleet, "llm", 9);
        fleet.behave = Box::new(|_, _, draw| Behaviour {
            runs: true,
            ended: AttemptOutcome::Complete,
            work_ms: 800 + draw % 800,
        });
        let route = route("llm", Kind::Streaming, 1);
        for id in 0..600 {
            // A third of the calls are about one subject.
            let subject = if id % 3 == 0 { 0 } else { id % 25 };
            let call = call(&route, fleet.now, 5_000, subject, 4_000);
            fleet.call(usize::try_from(id % 9).expect("few"), id, call);
            fleet.run(18);
        }
        let over = fleet.crowded.iter().filter(|crowded| **crowded).count();
        assert!(
            over * 100 <= 600 * 3,
            "seed {seed}: {over} of 600 requests met an engine over twice the mean and 3"
        );
    }
}
