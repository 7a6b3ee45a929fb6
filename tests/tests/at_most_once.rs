//! A call with a ticket runs at most once, whatever happens to VMs and messages.

use jujubedoor::Event;
use jujubedoor::Message;
use jujubedoor::event::Reply;
use jujubedoor::ids::Incarnation;
use jujubedoor::ids::VmRef;
use jujubedoor::message::Handover;
use jujubedoor::outcome::Outcome;
use jujubedoor::outcome::Reason;
use jujubedoor::outcome::RequestError;
use jujubedoor_tests::simulation::Network;
use jujubedoor_tests::simulation::Simulation;
use jujubedoor_tests::simulation::document;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

const VMS: usize = 4;

/// What a fuzzed run does next.
#[derive(Clone, Debug)]
enum Step {
    Send { ticket: usize, vm: usize },
    Issue { vm: usize },
    Kill { vm: usize },
    Start { vm: usize },
    Leave { vm: usize },
    Pause { vm: usize, ms: u64 },
    Split { below: usize },
    Heal,
    Wait { ms: u64 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let vm = usize::arbitrary(g) % VMS;
        let ms = u64::arbitrary(g) % 4_000;
        match u8::arbitrary(g) % 16 {
            0..=5 => Self::Send { ticket: usize::arbitrary(g) % 8, vm },
            6 | 7 => Self::Issue { vm },
            8 => Self::Kill { vm },
            9 | 10 => Self::Start { vm },
            11 => Self::Pause { vm, ms },
            14 => Self::Leave { vm },
            12 => Self::Split { below: 1 + usize::arbitrary(g) % (VMS - 1) },
            13 => Self::Heal,
            _ => Self::Wait { ms },
        }
    }
}

/// Runs the steps and returns the first promise that was broken.
fn broken_promise(seed: u64, steps: &[Step]) -> Option<String> {
    let mut sim = Simulation::new(VMS, &document(2, 8, 8), seed);
    sim.network = Network { max_delay_ms: 300, loss_rate: 0.05, duplication_rate: 0.1 };
    sim.connection_loss_rate = 0.1;
    let mut tickets: Vec<String> = (0..2).filter_map(|vm| sim.request_ticket(vm)).collect();
    let mut sent = Vec::new();
    for step in steps {
        match *step {
            Step::Send { ticket, vm } => {
                if let Some(text) = tickets.get(ticket) {
                    let request = sim.send_service_call(vm, &format!("/seal/{ticket}"), Some(text.clone()));
                    sent.push((ticket, request));
                }
            }
            Step::Issue { vm } => tickets.extend(sim.request_ticket(vm)),
            Step::Kill { vm } => sim.kill(vm),
            Step::Start { vm } if sim.incarnation(vm) == Incarnation(0) => sim.start(vm),
            Step::Start { .. } => {}
            Step::Leave { vm } => {
                sim.handle_event(vm, Event::Drain);
                sim.advance(300);
                sim.handle_event(vm, Event::HandOver);
                sim.advance(300);
                sim.kill(vm);
            }
            Step::Pause { vm, ms } => sim.pause(vm, ms),
            Step::Split { below } => sim.partition(below),
            Step::Heal => sim.heal(),
            Step::Wait { ms } => sim.advance(ms),
        }
        sim.advance(40);
    }
    sim.heal();
    sim.advance(60_000);
    for ticket in 0..tickets.len() {
        let path = format!("/seal/{ticket}");
        let runs = sim.executed_paths.iter().filter(|ran| **ran == path).count();
        if runs > 1 {
            return Some(format!("{path} ran {runs} times"));
        }
        for (_, request) in sent.iter().filter(|(t, _)| *t == ticket) {
            let replies = sim.replies_to(*request);
            if replies.len() > 1 {
                return Some(format!("{path} was answered {} times", replies.len()));
            }
            match replies.first() {
                Some(Reply::Answer(answer)) if answer.body != path.as_bytes() => {
                    return Some(format!("{path} got the answer of another request"));
                }
                Some(Reply::Error(refusal)) if refusal.outcome == Outcome::NotRun && runs > 0 => {
                    return Some(format!("{path} ran, but a caller was told: {refusal:?}"));
                }
                _ => {}
            }
        }
    }
    None
}

#[test]
fn survives_fuzzing() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck hands values over")]
    fn holds(seed: u64, steps: Vec<Step>) -> TestResult {
        match broken_promise(seed, &steps) {
            None => TestResult::passed(),
            Some(broken) => TestResult::error(broken),
        }
    }
    let tests = std::env::var("JUJUBEDOOR_FUZZ").ok().and_then(|text| text.parse().ok()).unwrap_or(60);
    let seed = std::env::var("JUJUBEDOOR_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(7);
    let rng = quickcheck::Gen::from_size_and_seed(48, seed);
    QuickCheck::new().rng(rng).tests(tests).quickcheck(holds as fn(u64, Vec<Step>) -> TestResult);
}

fn refusal_of(sim: &Simulation, request: jujubedoor::ids::RequestId) -> Option<RequestError> {
    match sim.replies_to(request).first() {
        Some(Reply::Error(refusal)) => Some(refusal.clone()),
        _ => None,
    }
}

#[test]
fn resends_replay() {
    let mut sim = Simulation::new(VMS, &document(1, 8, 8), 1);
    let ticket = sim.request_ticket(0).expect("a ticket is issued");
    let both = [
        sim.send_service_call(1, "/seal/1", Some(ticket.clone())),
        sim.send_service_call(2, "/seal/1", Some(ticket.clone())),
    ];
    sim.advance(2_000);
    let later = sim.send_service_call(3, "/seal/1", Some(ticket));
    sim.advance(2_000);
    for request in both.into_iter().chain([later]) {
        let replies = sim.replies_to(request);
        assert!(matches!(replies[..], [Reply::Answer(answer)] if answer.body == b"/seal/1"), "{replies:?}");
    }
    assert_eq!(sim.executed_paths, ["/seal/1"]);
}

#[test]
fn dead_ticket_voids() {
    let mut sim = Simulation::new(VMS, &document(1, 8, 8), 2);
    let ticket = sim.request_ticket(0).expect("a ticket is issued");
    sim.kill(0);
    sim.start(0);
    sim.advance(3_000);
    let request = sim.send_service_call(1, "/seal/1", Some(ticket));
    sim.advance(2_000);
    let refusal = refusal_of(&sim, request).expect("the caller is answered");
    assert_eq!((refusal.outcome, refusal.reason), (Outcome::Unknown, Reason::TicketVoid));
    assert!(sim.executed_paths.is_empty());
}

#[test]
fn one_ticket_one_call() {
    let mut sim = Simulation::new(VMS, &document(1, 8, 8), 3);
    let ticket = sim.request_ticket(0).expect("a ticket is issued");
    sim.send_service_call(1, "/seal/1", Some(ticket.clone()));
    sim.advance(1_000);
    let other = sim.send_service_call(1, "/seal/2", Some(ticket.clone()));
    let forged = sim.send_service_call(1, "/seal/1", Some(ticket.replace(&ticket[..4], "AAAA")));
    sim.advance(1_000);
    assert_eq!(refusal_of(&sim, other).expect("answered").reason, Reason::TicketReused);
    assert_eq!(refusal_of(&sim, forged).expect("answered").reason, Reason::BadTicket);
    assert_eq!(sim.executed_paths, ["/seal/1"]);
}

#[test]
fn expired_ticket_closes() {
    let mut sim = Simulation::new(VMS, &document(1, 8, 8), 4);
    let ticket = sim.request_ticket(0).expect("a ticket is issued");
    sim.advance(121_000);
    let request = sim.send_service_call(1, "/seal/1", Some(ticket));
    sim.advance(1_000);
    let refusal = refusal_of(&sim, request).expect("the caller is answered");
    assert_eq!((refusal.outcome, refusal.reason), (Outcome::NotRun, Reason::TicketExpired));
    assert!(refusal.ticket.is_some(), "a fresh ticket comes with the refusal");
    assert!(sim.executed_paths.is_empty());
}

/// The counterexample to idempotency keys: two sides of a split that both answer resends.
#[test]
fn split_runs_once() {
    let mut sim = Simulation::new(VMS, &document(1, 8, 8), 5);
    let ticket = sim.request_ticket(0).expect("a ticket is issued");
    sim.partition(2);
    sim.advance(5_000);
    let near = sim.send_service_call(1, "/seal/1", Some(ticket.clone()));
    let far = sim.send_service_call(3, "/seal/1", Some(ticket));
    sim.advance(5_000);
    assert!(matches!(sim.replies_to(near)[..], [Reply::Answer(_)]));
    assert_eq!(refusal_of(&sim, far).expect("the caller is answered").outcome, Outcome::Unknown);
    assert_eq!(sim.executed_paths, ["/seal/1"]);
}

#[test]
fn leaving_hands_over() {
    let mut sim = Simulation::new(VMS, &document(1, 8, 8), 6);
    let used = sim.request_ticket(0).expect("a ticket is issued");
    let unused = sim.request_ticket(0).expect("a ticket is issued");
    sim.send_service_call(1, "/seal/1", Some(used.clone()));
    sim.advance(1_000);
    sim.handle_event(0, Event::Drain);
    sim.advance(200);
    sim.handle_event(0, Event::HandOver);
    sim.advance(200);
    sim.kill(0);
    let again = sim.send_service_call(2, "/seal/1", Some(used));
    let late = sim.send_service_call(3, "/seal/2", Some(unused));
    sim.advance(3_000);
    let kept = sim.replies_to(again);
    assert!(matches!(kept[..], [Reply::Answer(answer)] if answer.body == b"/seal/1"), "{kept:?}");
    let refusal = refusal_of(&sim, late).expect("the caller is answered");
    assert_eq!((refusal.outcome, refusal.reason), (Outcome::NotRun, Reason::TicketClosed));
    assert!(refusal.ticket.is_some(), "a fresh ticket comes with the refusal");
    assert_eq!(sim.executed_paths, ["/seal/1"]);
}

#[test]
fn partial_handover_is_unknown() {
    let mut sim = Simulation::new(VMS, &document(1, 8, 8), 8);
    let unused = sim.request_ticket(0).expect("a ticket is issued");
    let executor = VmRef { name: "vm-0".into(), incarnation: sim.incarnation(0) };
    sim.kill(0);
    sim.start(0);
    sim.advance(3_000);
    for vm in 0..VMS {
        let part = Handover { executor: executor.clone(), part: 0, parts: 2, records: Vec::new() };
        sim.handle_event(vm, Event::Received(executor.clone(), Message::Handover(part)));
    }
    sim.advance(3_000);
    let request = sim.send_service_call(1, "/seal/1", Some(unused));
    sim.advance(2_000);
    let refusal = refusal_of(&sim, request).expect("the caller is answered");
    assert_eq!(refusal.outcome, Outcome::Unknown, "a missing part may hold the record");
}

#[test]
fn old_answers_make_room() {
    let mut sim = Simulation::new(VMS, &document(1, 64, 64), 9);
    let state = sim.vms[0].state.as_mut().expect("up");
    state.tuning.response_cache_bytes = "/seal/0".len() * 3;
    let tickets: Vec<_> = (0..5).filter_map(|_| sim.request_ticket(0)).collect();
    for (number, ticket) in tickets.iter().enumerate() {
        sim.send_service_call(1, &format!("/seal/{number}"), Some(ticket.clone()));
        sim.advance(1_000);
    }
    let again = |sim: &mut Simulation, number: usize| {
        let request = sim.send_service_call(2, &format!("/seal/{number}"), Some(tickets[number].clone()));
        sim.advance(1_000);
        request
    };
    let first = again(&mut sim, 0);
    let refusal = refusal_of(&sim, first).expect("the caller is answered");
    assert_eq!((refusal.outcome, refusal.reason), (Outcome::Unknown, Reason::AnswerForgotten));
    let last = again(&mut sim, 4);
    assert!(matches!(sim.replies_to(last)[..], [Reply::Answer(_)]), "the newest answers are kept");
    assert_eq!(sim.executed_paths.len(), 5);
}
