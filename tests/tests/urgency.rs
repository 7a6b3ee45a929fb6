//! Urgency of requests at the engines, and the order of requests that wait at a VM.
//!
//! An engine that preempts by urgency would sacrifice a tight latency target for a loose one if the routes do not agree. A
//! burst of long prompts must not delay urgent requests, and must not be kept waiting without a prospect either.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

use jujubedoor::rendezvous;
use jujubedoor_config::Name;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::directory::Registration;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::rejection::RejectReason;
use jujubedoor_routing::rejection::Rejection;
use jujubedoor_routing::routes::Kind;
use jujubedoor_routing::routes::Route;
use jujubedoor_routing::routes::Routes;
use jujubedoor_routing::urgency::Urgency;
use jujubedoor_tests::router::Behavior;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::registration;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::routes;

/// Priorities and latency targets that agree: long prompts, short ones, and checks.
const AGREEING: [(u8, u64); 3] = [(2, 2_000), (0, 500), (1, 600)];

/// Priorities and latency targets that disagree, as in earlier deployments.
const DISAGREEING: [(u8, u64); 3] = [(2, 400), (0, 300), (1, 800)];

/// First identifiers of the calls of a kind.
const LONG: u64 = 10_000;
const SHORT: u64 = 20_000;

/// Duration of a long and of a short call at an engine, in milliseconds.
const LONG_MS: u64 = 1_000;
const SHORT_MS: u64 = 100;

/// Number of slots of the two engines together.
const SLOTS: u32 = 16;

/// Number of these slots that are kept for the most urgent calls, one at each engine.
const RESERVED: u32 = 2;

/// Time before the burst, in milliseconds, in which long calls come rarely.
const CALM_MS: u64 = 4_000;

/// Returns a route to a service with a priority and a latency target.
fn route_with(service: &str, (priority, target_ms): (u8, u64)) -> Arc<Route> {
    let route =
        Route { priority, target_ms, timeout_ms: 12_000, ..(*route(service, Kind::Streaming, 1)).clone() };
    Arc::new(route)
}

/// Returns routes to a service with priorities and latency targets.
fn routes_with(service: &str, pairs: &[(u8, u64)]) -> Routes {
    let all = pairs.iter().map(|pair| route_with(service, *pair)).collect();
    Routes { routes: all, ..(*routes(1)).clone() }
}

fn urgency_of(routes: Routes, service: &str, priority: u8) -> Option<u8> {
    Urgency::new(Some(Arc::new(routes))).of(&service.into(), priority)
}

/// Urgency must be sent where priorities and targets agree, and nowhere else.
#[test]
fn only_agreeing_routes() {
    let applies = |pairs: &[(u8, u64)]| urgency_of(routes_with("llm", pairs), "llm", 0).is_some();
    assert!(applies(&AGREEING));
    assert!(applies(&[(0, 500), (1, 500)]), "an equal target is not longer");
    assert!(!applies(&DISAGREEING));
    assert!(!applies(&[(1, 800), (0, 400), (2, 500)]), "one pair that disagrees is enough");
    assert!(!applies(&[(1, 500), (1, 900)]), "equal priorities have no order");
    assert!(!applies(&[(0, 500)]));
    assert!(!applies(&[]));
    assert!(urgency_of(Routes::default(), "llm", 0).is_none());
}

/// Plain services do not know urgency, and routes to other services have no say.
#[test]
fn only_shared_engines() {
    assert_eq!(urgency_of(routes_with("desk", &AGREEING), "desk", 0), None, "a plain service");
    let mut mixed = routes_with("llm", &[(0, 500)]);
    mixed.routes.push(route_with("desk", (1, 600)));
    assert_eq!(urgency_of(mixed.clone(), "llm", 0), None, "the routes share no service");
    let unused = Route { services: vec![("llm".into(), 0)], ..(*route_with("llm", (1, 600))).clone() };
    mixed.routes.push(Arc::new(unused));
    assert_eq!(urgency_of(mixed.clone(), "llm", 0), None, "a route of weight zero sends nothing");
    let split = Route {
        services: vec![("desk".into(), 1), ("llm".into(), 1)],
        ..(*route_with("llm", (1, 600))).clone()
    };
    mixed.routes.push(Arc::new(split));
    assert_eq!(urgency_of(mixed.clone(), "llm", 0), Some(0), "a split route shares the service");
    mixed.routes.push(route_with("desk", (2, 100)));
    assert_eq!(urgency_of(mixed, "llm", 0), Some(0), "routes of another service do not count");
}

/// Priorities beyond what engines know must not be sent as they are.
#[test]
fn follows_priority() {
    let urgency = |priority| urgency_of(routes_with("llm", &AGREEING), "llm", priority);
    assert_eq!([0, 1, 2, 9, 10, 255].map(urgency), [Some(0), Some(1), Some(2), Some(9), Some(9), Some(9)]);
}

/// Starts a VM with two engines that have few slots, and routes with priorities and latency targets.
fn start(pairs: &[(u8, u64)]) -> Fleet {
    let mut fleet = Fleet::new(1, Tuning::default(), 7);
    fleet.publish(&Change::Routes(Arc::new(routes_with("llm", pairs))), &[]);
    for engine in 0..2 {
        let registered = Registration { slots: SLOTS / 2, ..registration("llm", 0) };
        fleet.publish(&Change::Registered(Name::from(format!("llm-{engine}")), registered), &[]);
    }
    fleet.load_directory(&[0]);
    fleet.upstream_behavior = Box::new(|_, call, _| {
        let work_ms = if call < SHORT { LONG_MS } else { SHORT_MS };
        Behavior { runs: true, outcome: AttemptOutcome::Complete, work_ms }
    });
    fleet.run(1_000);
    fleet
}

/// What became of the calls of a load.
struct Outcome {
    /// Time at which each call arrived at the VM.
    arrived: BTreeMap<u64, u64>,
    /// Time at which each call reached an engine.
    sent: BTreeMap<u64, u64>,
    /// Time and contents of each rejection.
    rejected: BTreeMap<u64, (u64, Rejection)>,
}

impl Outcome {
    /// Returns how long the served calls of a range waited at the VM, in milliseconds.
    fn waits(&self, calls: Range<u64>) -> Vec<u64> {
        let of_kind = self.sent.range(calls);
        of_kind.map(|(id, sent)| sent - self.arrived[id]).collect()
    }

    /// Returns the calls in the order in which they were served.
    fn order(&self) -> Vec<u64> {
        let mut order: Vec<(u64, u64)> = self.sent.iter().map(|(id, at)| (*at, *id)).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, id)| id).collect()
    }
}

/// Replays a burst of long calls while a short one arrives every 50 ms, after a calm start from which the VM knows the
/// usual durations.
fn replay_burst(fleet: &mut Fleet, pairs: &[(u8, u64)], burst: u64) -> Outcome {
    let (long, short) = (route_with("llm", pairs[0]), route_with("llm", pairs[1]));
    let mut outcome = Outcome { arrived: BTreeMap::new(), sent: BTreeMap::new(), rejected: BTreeMap::new() };
    let begin = fleet.now;
    for step in 0..560 {
        fleet.now = begin + step * 25;
        let elapsed = step * 25;
        let mut arrivals = Vec::new();
        if elapsed < CALM_MS && step % 10 == 0 {
            arrivals.push((LONG + step, &long));
        }
        if elapsed == CALM_MS {
            arrivals.extend((0..burst).map(|n| (LONG + 1_000 + n, &long)));
        }
        if elapsed < CALM_MS + 6_000 && step % 2 == 0 {
            arrivals.push((SHORT + step, &short));
        }
        for (id, route) in arrivals {
            outcome.arrived.insert(id, fleet.now);
            let call = call(route, fleet.now, 12_000, id, 100);
            fleet.call(0, id, call);
        }
        fleet.run(25);
        for (id, reply) in &fleet.replies {
            if let Some(Reply::Rejected(rejection)) = reply {
                outcome.rejected.entry(*id).or_insert((fleet.now, *rejection));
            }
        }
    }
    for arrivals in fleet.arrivals.values() {
        outcome.sent.extend(arrivals.iter().map(|(at, id)| (*id, *at)));
    }
    outcome
}

/// Short urgent calls wait for the next free slot at most, and no long one is sent while one of them waits. The long ones
/// are served as far as there is room, and the others are rejected early.
#[test]
fn burst_of_long_prompts() {
    let mut fleet = start(&AGREEING);
    let outcome = replay_burst(&mut fleet, &AGREEING, 120);
    let short_waits = outcome.waits(SHORT..SHORT + 1_000);
    assert_eq!(short_waits.len(), 200, "every urgent call should be served");
    let longest = short_waits.iter().max().expect("some were served");
    assert!(*longest <= 500, "an urgent call waited for {longest} ms");
    for (long, sent) in outcome.sent.range(LONG..SHORT) {
        let overtaken =
            outcome.sent.range(SHORT..).find(|(short, at)| outcome.arrived[short] + 2 < *sent && *at > sent);
        assert_eq!(overtaken, None, "long call {long}, sent at {sent}, overtook an urgent one");
    }
    let served = outcome.waits(LONG + 1_000..SHORT);
    assert!(served.len() >= 60, "only {} long calls of the burst were served", served.len());
    assert!(served.iter().all(|wait| *wait <= 6_000), "a long call waited too long: {served:?}");
    assert_eq!(served.len() + outcome.rejected.len(), 120, "each long call is served or rejected");
}

/// Long calls without a prospect are rejected at once, and are asked to return when the others have been served, instead of
/// in 150 ms, when there would still be no room.
#[test]
fn retry_after_names_room() {
    let mut fleet = start(&AGREEING);
    let outcome = replay_burst(&mut fleet, &AGREEING, 240);
    let burst = outcome.arrived[&(LONG + 1_000)];
    let at_once: Vec<u64> = outcome
        .rejected
        .values()
        .filter(|(at, _)| *at <= burst + 25)
        .map(|(_, rejection)| rejection.retry_after_ms)
        .collect();
    assert!(at_once.len() >= 100, "only {} calls were rejected at once", at_once.len());
    assert!(at_once.iter().all(|ms| (2_000..=4_000).contains(ms)), "times to return: {at_once:?}");
    for (at, rejection) in outcome.rejected.values() {
        assert_eq!(rejection.reason, RejectReason::NoCapacity);
        assert!(*at <= burst + 6_000, "a call was kept waiting until {at}");
    }
}

/// Calls that return when they were asked to are served: the long route does not starve.
#[test]
fn returning_calls_are_served() {
    let mut fleet = start(&AGREEING);
    let outcome = replay_burst(&mut fleet, &AGREEING, 120);
    let long = route_with("llm", AGREEING[0]);
    // The replay has ended after all times to return, and the urgent calls go on.
    let returning: Vec<u64> = outcome.rejected.keys().copied().collect();
    for (step, id) in (0..).zip(returning.iter().chain(&returning)) {
        let id = id + 5_000 + u64::from(step >= returning.len()) * 1_000;
        let call = call(&long, fleet.now, 12_000, id, 100);
        fleet.call(0, id, call);
        let urgent = SHORT + 5_000 + u64::try_from(step).expect("few");
        let short = route_with("llm", AGREEING[1]);
        let short_call = jujubedoor_tests::router::call(&short, fleet.now, 12_000, urgent, 100);
        fleet.call(0, urgent, short_call);
        fleet.run(100);
    }
    fleet.run(4_000);
    let served = |id: &u64| fleet.replies.get(&(id + 5_000)) == Some(&Some(Reply::ForwardResponse));
    let count = returning.iter().filter(|id| served(id)).count();
    assert!(count * 10 >= returning.len() * 9, "{count} of {} were served", returning.len());
}

/// Overtaken calls may wait for longer than their target, since their answers are still of use. Those of the most urgent
/// route are rejected by then, so that others are not delayed by calls that are late already.
#[test]
fn only_overtaken_calls_wait_longer() {
    let mut fleet = start(&AGREEING);
    let outcome = replay_burst(&mut fleet, &AGREEING, 120);
    let served = outcome.waits(LONG + 1_000..SHORT);
    assert!(served.iter().any(|wait| *wait > 4_000), "no long call waited beyond its target: {served:?}");
    let mut fleet = start(&AGREEING);
    let short = route_with("llm", AGREEING[1]);
    for id in SHORT..SHORT + 400 {
        let call = call(&short, fleet.now, 12_000, id, 100);
        fleet.call(0, id, call);
    }
    fleet.run(500 + 50 + 2);
    let waiting = fleet.vms[0].as_ref().expect("the VM is up").queue.len();
    assert_eq!(waiting, 0, "the calls of the most urgent route should wait up to their target only");
}

/// Capacity that the passing of time gives back is noticed on the next tick. A less urgent call that arrives before would
/// be sent at once, and the urgent one that waits would find the engine unreachable again.
#[test]
fn arrival_does_not_overtake() {
    let mut fleet = Fleet::new(1, Tuning::default(), 11);
    fleet.publish(&Change::Routes(Arc::new(routes_with("llm", &AGREEING))), &[]);
    fleet.publish(&Change::Registered("llm-0".into(), registration("llm", 0)), &[]);
    fleet.load_directory(&[0]);
    fleet.run(1_000);
    fleet.upstream_behavior =
        Box::new(|_, _, _| Behavior { runs: false, outcome: AttemptOutcome::Unreachable, work_ms: 1 });
    let (long, short) = (route_with("llm", AGREEING[0]), route_with("llm", AGREEING[1]));
    let failing = call(&short, fleet.now, 12_000, 1, 100);
    fleet.call(0, 1, failing);
    fleet.run(20);
    let retry_at = fleet.vms[0].as_ref().expect("the VM is up").upstreams["llm-0"].retry_at();
    let retry_at = retry_at.expect("the engine is unreachable").0;
    let urgent = call(&short, fleet.now, 12_000, 2, 100);
    fleet.call(0, SHORT, urgent);
    fleet.upstream_behavior =
        Box::new(|_, _, _| Behavior { runs: true, outcome: AttemptOutcome::Complete, work_ms: 500 });
    fleet.run(retry_at - fleet.now);
    assert!(!fleet.urgencies.contains_key(&SHORT), "the urgent call should still wait for the tick");
    let less_urgent = call(&long, fleet.now, 12_000, 3, 100);
    fleet.call(0, LONG, less_urgent);
    assert!(fleet.urgencies.contains_key(&SHORT), "the urgent call should be sent first");
    assert!(!fleet.urgencies.contains_key(&LONG), "the engine takes one call as a trial");
}

/// A VM does not know which urgent calls wait at others, so that less urgent calls of its own would take the next slots
/// before them. They must leave a slot of each engine.
#[test]
fn urgent_calls_find_a_slot() {
    let mut fleet = start(&AGREEING);
    let (long, short) = (route_with("llm", AGREEING[0]), route_with("llm", AGREEING[1]));
    for id in LONG..LONG + 40 {
        let call = call(&long, fleet.now, 12_000, id, 100);
        fleet.call(0, id, call);
    }
    assert_eq!(fleet.urgencies.len(), 14, "two of the 16 slots should be left");
    for id in SHORT..SHORT + 3 {
        let call = call(&short, fleet.now, 12_000, id, 100);
        fleet.call(0, id, call);
    }
    let sent: Vec<bool> = (SHORT..SHORT + 3).map(|id| fleet.urgencies.contains_key(&id)).collect();
    assert_eq!(
        sent,
        [true, true, false],
        "two urgent calls should find slots, and no engine should exceed its own"
    );
    let mut fleet = start(&DISAGREEING);
    for id in LONG..LONG + 40 {
        let call = call(&route_with("llm", DISAGREEING[0]), fleet.now, 12_000, id, 100);
        fleet.call(0, id, call);
    }
    fleet.run(10);
    assert_eq!(
        fleet.arrivals.values().map(Vec::len).sum::<usize>(),
        16,
        "nothing is kept where routes disagree"
    );
}

/// An engine with one slot serves less urgent calls, too.
#[test]
fn one_slot_is_not_reserved() {
    let mut fleet = Fleet::new(1, Tuning::default(), 13);
    fleet.publish(&Change::Routes(Arc::new(routes_with("llm", &AGREEING))), &[]);
    let registered = Registration { slots: 1, ..registration("llm", 0) };
    fleet.publish(&Change::Registered("llm-0".into(), registered), &[]);
    fleet.load_directory(&[0]);
    fleet.run(1_000);
    let call = call(&route_with("llm", AGREEING[0]), fleet.now, 12_000, 1, 100);
    fleet.call(0, LONG, call);
    assert_eq!(fleet.urgencies.get(&LONG), Some(&2));
}

/// A queue that is full of less urgent calls must not turn an urgent one away.
#[test]
fn full_queue_gives_way() {
    let mut fleet = start(&AGREEING);
    let (long, short) = (route_with("llm", AGREEING[0]), route_with("llm", AGREEING[1]));
    for id in LONG..LONG + 2_000 + u64::from(SLOTS - RESERVED) {
        let call = call(&long, fleet.now, 12_000, id, 100);
        fleet.call(0, id, call);
    }
    for id in SHORT + 100..SHORT + 100 + u64::from(RESERVED) {
        let call = call(&short, fleet.now, 12_000, id, 100);
        fleet.call(0, id, call);
    }
    let is_rejected = |reply: &Option<Reply>| matches!(reply, Some(Reply::Rejected(_)));
    assert!(!fleet.replies.values().any(is_rejected), "the queue should be exactly full");
    let urgent = call(&short, fleet.now, 12_000, SHORT, 100);
    fleet.call(0, SHORT, urgent);
    assert_eq!(fleet.replies[&SHORT], None, "the urgent call should be queued");
    let rejected: Vec<u64> =
        fleet.replies.iter().filter(|(_, r)| is_rejected(r)).map(|(id, _)| *id).collect();
    assert_eq!(
        rejected,
        [LONG + 2_000 + u64::from(SLOTS - RESERVED) - 1],
        "the last of the least urgent ones should give way"
    );
    let less_urgent = call(&long, fleet.now, 12_000, LONG + 9_000, 100);
    fleet.call(0, LONG + 9_000, less_urgent);
    assert!(is_rejected(&fleet.replies[&(LONG + 9_000)]), "an equally urgent one should not displace others");
}

/// A workspace whose surge has filled the queue must not make the call of another one look hopeless: the workspaces take
/// turns.
#[test]
fn surge_rejects_only_itself() {
    let mut fleet = start(&AGREEING);
    let long = route_with("llm", AGREEING[0]);
    let send = |fleet: &mut Fleet, id: u64, workspace: &str, remaining_ms: u64| {
        let mut call = call(&long, fleet.now, remaining_ms, id, 100);
        call.workspace = Some(workspace.into());
        fleet.call(0, id, call);
    };
    for id in LONG..LONG + 20 {
        send(&mut fleet, id, "calm", 12_000);
        fleet.run(100);
    }
    fleet.run(1_000);
    for id in LONG + 100..LONG + 300 {
        send(&mut fleet, id, "surge", 12_000);
    }
    let rejected = |fleet: &Fleet| {
        fleet.replies.values().filter(|reply| matches!(reply, Some(Reply::Rejected(_)))).count()
    };
    assert!(rejected(&fleet) >= 50, "only {} calls of the surge were rejected", rejected(&fleet));
    // It may wait for two seconds, less than the surge has left to wait.
    send(&mut fleet, LONG + 400, "calm", 4_000);
    assert_eq!(fleet.replies[&(LONG + 400)], None, "the call of the calm workspace should wait");
    fleet.run(2_500);
    assert_eq!(fleet.replies[&(LONG + 400)], Some(Reply::ForwardResponse));
}

/// Each call is sent with the urgency of its priority. A workspace's priority takes precedence over the route's.
#[test]
fn sent_with_urgency() {
    let mut fleet = start(&AGREEING);
    let long = route_with("llm", AGREEING[0]);
    let of_route = call(&long, fleet.now, 5_000, 1, 100);
    fleet.call(0, LONG, of_route);
    let mut of_workspace = call(&long, fleet.now, 5_000, 2, 100);
    of_workspace.priority = 1;
    fleet.call(0, LONG + 1, of_workspace);
    assert_eq!([fleet.urgencies[&LONG], fleet.urgencies[&(LONG + 1)]], [2, 1]);
}

/// The urgency must follow a change of the routes at once, also one that keeps their version.
#[test]
fn follows_routes() {
    let mut fleet = start(&AGREEING);
    let mut next = LONG;
    let mut sent_urgency = |fleet: &mut Fleet| {
        next += 1;
        let sent = call(&route_with("llm", AGREEING[0]), fleet.now, 5_000, next, 100);
        fleet.call(0, next, sent);
        fleet.urgencies.get(&next).copied()
    };
    assert_eq!(sent_urgency(&mut fleet), Some(2));
    fleet.publish(&Change::Routes(Arc::new(routes_with("llm", &DISAGREEING))), &[0]);
    assert_eq!(sent_urgency(&mut fleet), None);
    fleet.publish(&Change::Routes(Arc::new(routes_with("llm", &AGREEING))), &[0]);
    assert_eq!(sent_urgency(&mut fleet), Some(2));
}

/// Where priorities and targets disagree, everything must be as before this feature: nothing is sent, and calls are served in
/// the order that the code before it gave for the same load.
#[test]
fn disagreeing_routes_as_before() {
    let mut fleet = start(&DISAGREEING);
    let outcome = replay_burst(&mut fleet, &DISAGREEING, 120);
    assert!(fleet.urgencies.is_empty(), "no urgency should be sent");
    let order: Vec<String> = outcome.order().iter().map(ToString::to_string).collect();
    let rejected: Vec<String> =
        outcome.rejected.iter().map(|(id, (at, r))| format!("{id}@{at}+{}", r.retry_after_ms)).collect();
    let digest = rendezvous::key_of(&format!("{} {}", order.join(","), rejected.join(",")));
    assert_eq!((order.len(), rejected.len(), digest), (228, 108, 3_846_140_973_847_740_442));
}
