//! A returning chat is sent to the engine that has its prompt cached, unless that engine is overloaded.
//!
//! If a chat is sent to another engine, its prompt is prefilled again, and the response starts late. This
//! happens when VMs choose different engines for it, when engines join or leave, or when a failure domain
//! is evacuated. An engine that takes over a chat should therefore fetch the cached parts from the
//! previous one. A context that many chats share must not overload the engine that has it cached.

use jujubedoor_config::Name;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::directory::Registration;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::placement::Scope;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Behavior;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::registration;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;

/// Sends calls of a number of chats to changing VMs. Returns for each chat the upstreams that its calls
/// reached, in order and without consecutive repetitions.
fn serve_chats(fleet: &mut Fleet, calls: u64, chats: u64, gap_ms: u64) -> Vec<Vec<Name>> {
    let route = route("llm", Kind::Streaming, 1);
    let vms = u64::try_from(fleet.vms.len()).expect("few");
    let first = u64::try_from(fleet.replies.len()).expect("few");
    let mut seen = vec![Vec::new(); usize::try_from(chats).expect("few")];
    for id in first..first + calls {
        let chat = id * 7 % chats;
        let call = call(&route, fleet.now, 5_000, chat, 4_000);
        fleet.call(usize::try_from(id * 13 % vms).expect("few"), id, call);
        fleet.run(gap_ms);
    }
    fleet.run(3_000);
    for id in first..first + calls {
        let chat = usize::try_from(id * 7 % chats).expect("few");
        seen[chat].extend(fleet.path_of(id));
    }
    for upstreams in &mut seen {
        upstreams.dedup();
    }
    seen
}

#[test]
fn chats_return_to_the_same_engine() {
    let mut fleet = Fleet::new(6, Tuning::default(), 1);
    set_up(&mut fleet, "llm", 6);
    let seen = serve_chats(&mut fleet, 400, 20, 20);
    let moves: usize = seen.iter().map(|u| u.len() - 1).sum();
    assert!(moves <= 4, "{moves} moves of 20 chats: {seen:?}");
}

#[test]
fn chats_stay_when_engines_join() {
    let mut fleet = Fleet::new(6, Tuning::default(), 2);
    set_up(&mut fleet, "llm", 6);
    let before = serve_chats(&mut fleet, 300, 20, 20);
    for upstream in 6..8 {
        let id = Name::from(format!("llm-{upstream}"));
        fleet.publish(&Change::Registered(id, registration("llm", 1)), &[0, 1, 2, 3, 4, 5]);
    }
    let after = serve_chats(&mut fleet, 300, 20, 20);
    let stayed = before.iter().zip(&after).filter(|(b, a)| b.last() == a.last()).count();
    assert!(stayed >= 18, "only {stayed} of 20 chats stayed at their engine");
}

/// Minimum time after its removal for which an engine is used as the source of cache transfers, in
/// milliseconds.
const MIN_SOURCE_MS: u64 = 1_000;

/// Applies a change that removes one of the engines, waits, and then places ten chats. Returns how many of
/// them only that engine has cached, and for how many of these it is chosen as the source of a cache
/// transfer.
fn transfers_after(change: impl Fn(&Name) -> Change, wait_ms: u64) -> (usize, usize) {
    let mut fleet = Fleet::new(6, Tuning::default(), 3);
    set_up(&mut fleet, "llm", 6);
    serve_chats(&mut fleet, 200, 10, 20);
    let route = route("llm", Kind::Streaming, 1);
    let state = fleet.vms[2].as_ref().expect("the VM is up");
    let part = call(&route, 1, 5_000, 0, 4_000).parts[1].key;
    let removed = state.cache_index.holders(part, state.now, state.tuning.cache_lifetime_ms)[0].clone();
    fleet.publish(&change(&removed), &[0, 1, 2, 3, 4, 5]);
    fleet.run(wait_ms);
    let state = fleet.vms[2].as_mut().expect("the VM is up");
    let (mut cached, mut transferred) = (0, 0);
    for chat in 0..10 {
        let call = call(&route, 1, 5_000, chat, 4_000);
        let service = Name::from("llm");
        let scope = Scope { service: &service, software: None, run: None, tried_upstreams: &[] };
        let choice =
            jujubedoor_routing::placement::choose(state, &call, scope).expect("an upstream has capacity");
        assert_ne!(choice.upstream, removed);
        let part_holders =
            state.cache_index.holders(call.parts[1].key, state.now, state.tuning.cache_lifetime_ms);
        let was_holder = part_holders.iter().any(|h| **h == removed);
        let was_only_holder = part_holders.iter().all(|h| **h == removed) && !part_holders.is_empty();
        cached += usize::from(was_only_holder);
        let source = jujubedoor_routing::placement::cache_source(state, &call, &choice.upstream);
        assert!(
            !was_holder || source.is_some() || wait_ms > MIN_SOURCE_MS,
            "the prompt of chat {chat} should not be prefilled again"
        );
        transferred += usize::from(was_only_holder && source.is_some_and(|(id, _)| id == removed));
    }
    (cached, transferred)
}

#[test]
fn draining_engine_serves_cache_transfers() {
    let draining = |id: &Name| {
        let leaving = Registration { draining: true, ..registration("llm", 0) };
        Change::Registered(id.clone(), leaving)
    };
    let (cached, transferred) = transfers_after(draining, 0);
    assert!(
        cached > 0 && transferred == cached,
        "the engine is the source for {transferred} of {cached} chats"
    );
}

/// The engine leaves without notice: it is unregistered without having been draining before.
#[test]
fn unregistered_engine_serves_cache_transfers() {
    let unregistered = |id: &Name| Change::Unregistered(id.clone());
    let (cached, transferred) = transfers_after(unregistered, MIN_SOURCE_MS);
    assert!(
        cached > 0 && transferred == cached,
        "the engine is the source for {transferred} of {cached} chats"
    );
    assert_eq!(
        transfers_after(unregistered, 3_000).1,
        0,
        "the address may belong to another upstream by now, and should not be used"
    );
}

#[test]
fn evacuated_engine_serves_cache_transfers_at_first() {
    // Engines are assigned to the three domains in turn.
    let evacuated = |id: &Name| {
        let number: usize = id.rsplit('-').next().and_then(|n| n.parse().ok()).expect("a number");
        Change::Evacuated(Name::from(format!("domain-{}", number % 3)))
    };
    let (cached, transferred) = transfers_after(evacuated, MIN_SOURCE_MS);
    assert!(
        cached > 0 && transferred == cached,
        "the engine is the source for {transferred} of {cached} chats"
    );
    assert_eq!(transfers_after(evacuated, 4_000).1, 0);
}

#[test]
fn load_stays_bounded() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(9, Tuning::default(), seed);
        set_up(&mut fleet, "llm", 9);
        fleet.upstream_behavior = Box::new(|_, _, draw| Behavior {
            runs: true,
            outcome: AttemptOutcome::Complete,
            work_ms: 800 + draw % 800,
        });
        let route = route("llm", Kind::Streaming, 1);
        for id in 0..600 {
            // A third of the calls share one context.
            let context = if id % 3 == 0 { 0 } else { id % 25 };
            let call = call(&route, fleet.now, 5_000, context, 4_000);
            fleet.call(usize::try_from(id % 9).expect("few"), id, call);
            fleet.run(18);
        }
        let over = fleet.overloaded_at_arrival.iter().filter(|overloaded| **overloaded).count();
        assert!(
            over * 100 <= 600 * 3,
            "seed {seed}: {over} of 600 requests reached an engine with more than twice the mean load plus 3"
        );
    }
}
