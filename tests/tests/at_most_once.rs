//! A call with a ticket runs at most once, whatever happens to VMs and messages.
//!
//! A caller that loses its connection resends the call with the same ticket, possibly to another VM. The call
//! would run twice if a VM other than the executor started it, or if the executor forgot the ticket.

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

/// A step of a random run.
#[derive(Clone, Debug)]
enum Step {
    Send { ticket: usize, vm: usize },
    IssueTicket { vm: usize },
    Kill { vm: usize },
    Start { vm: usize },
    Leave { vm: usize },
    Pause { vm: usize, ms: u64 },
    Partition { below: usize },
    Heal,
    Advance { ms: u64 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let vm = usize::arbitrary(g) % VMS;
        let ms = u64::arbitrary(g) % 4_000;
        match u8::arbitrary(g) % 16 {
            0..=5 => Self::Send { ticket: usize::arbitrary(g) % 8, vm },
            6 | 7 => Self::IssueTicket { vm },
            8 => Self::Kill { vm },
            9 | 10 => Self::Start { vm },
            11 => Self::Pause { vm, ms },
            14 => Self::Leave { vm },
            12 => Self::Partition { below: 1 + usize::arbitrary(g) % (VMS - 1) },
            13 => Self::Heal,
            _ => Self::Advance { ms },
        }
    }
}

/// Runs the steps and returns the first violation.
///
/// The call of a ticket may run at most once. A request gets at most one reply, which is not the response to
/// another call. No reply may say that a call did not run if it ran.
fn find_violation(seed: u64, steps: &[Step]) -> Option<String> {
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
            Step::IssueTicket { vm } => tickets.extend(sim.request_ticket(vm)),
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
            Step::Partition { below } => sim.partition(below),
            Step::Heal => sim.heal(),
            Step::Advance { ms } => sim.advance(ms),
        }
        sim.advance(40);
    }
    sim.heal();
    sim.advance(60_000);
    for ticket in 0..tickets.len() {
        let path = format!("/seal/{ticket}");
        let runs = sim.executed_paths.iter().filter(|ran| **ran == path).count();
        if runs > 1 {
            return Some(format!("{path} was executed {runs} times"));
        }
        for (_, request) in sent.iter().filter(|(t, _)| *t == ticket) {
            let replies = sim.replies_to(*request);
            if replies.len() > 1 {
                return Some(format!("{path} got {} replies", replies.len()));
            }
            match replies.first() {
                Some(Reply::Answer(answer)) if answer.body != path.as_bytes() => {
                    return Some(format!("{path} got the response of another call"));
                }
                Some(Reply::Error(error)) if error.outcome == Outcome::NotRun && runs > 0 => {
                    return Some(format!("{path} was executed, but a caller got the reply {error:?}"));
                }
                _ => {}
            }
        }
    }
    None
}

/// Sends calls while VMs crash, leave, pause and restart, messages are lost, duplicated and late, and the
/// network is partitioned.
#[test]
fn survives_fuzzing() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes arguments by value")]
    fn property(seed: u64, steps: Vec<Step>) -> TestResult {
        match find_violation(seed, &steps) {
            None => TestResult::passed(),
            Some(violation) => TestResult::error(violation),
        }
    }
    let tests = std::env::var("JUJUBEDOOR_FUZZ").ok().and_then(|text| text.parse().ok()).unwrap_or(60);
    let seed = std::env::var("JUJUBEDOOR_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(7);
    let rng = quickcheck::Gen::from_size_and_seed(48, seed);
    QuickCheck::new().rng(rng).tests(tests).quickcheck(property as fn(u64, Vec<Step>) -> TestResult);
}

fn error_reply(sim: &Simulation, request: jujubedoor::ids::RequestId) -> Option<RequestError> {
    match sim.replies_to(request).first() {
        Some(Reply::Error(error)) => Some(error.clone()),
        _ => None,
    }
}

/// A call is sent to two VMs at the same time with one ticket, and later to a third VM. All three requests
/// must get the response of a single run.
#[test]
fn resent_calls_get_stored_response() {
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

/// The executor restarted and lost its records, so nobody knows whether the call has run. It must not run,
/// since this could be the second time.
#[test]
fn ticket_of_dead_executor_is_void() {
    let mut sim = Simulation::new(VMS, &document(1, 8, 8), 2);
    let ticket = sim.request_ticket(0).expect("a ticket is issued");
    sim.kill(0);
    sim.start(0);
    sim.advance(3_000);
    let request = sim.send_service_call(1, "/seal/1", Some(ticket));
    sim.advance(2_000);
    let error = error_reply(&sim, request).expect("the caller gets a reply");
    assert_eq!((error.outcome, error.reason), (Outcome::Unknown, Reason::TicketVoid));
    assert!(sim.executed_paths.is_empty());
}

/// A ticket must not be usable for a second call, and a ticket with a changed text must not be accepted.
#[test]
fn one_ticket_one_call() {
    let mut sim = Simulation::new(VMS, &document(1, 8, 8), 3);
    let ticket = sim.request_ticket(0).expect("a ticket is issued");
    sim.send_service_call(1, "/seal/1", Some(ticket.clone()));
    sim.advance(1_000);
    let other = sim.send_service_call(1, "/seal/2", Some(ticket.clone()));
    let forged = sim.send_service_call(1, "/seal/1", Some(ticket.replace(&ticket[..4], "AAAA")));
    sim.advance(1_000);
    assert_eq!(error_reply(&sim, other).expect("the caller gets a reply").reason, Reason::TicketReused);
    assert_eq!(error_reply(&sim, forged).expect("the caller gets a reply").reason, Reason::BadTicket);
    assert_eq!(sim.executed_paths, ["/seal/1"]);
}

/// The caller uses a ticket for the first time after its lifetime of 120 s.
#[test]
fn expired_ticket_is_rejected() {
    let mut sim = Simulation::new(VMS, &document(1, 8, 8), 4);
    let ticket = sim.request_ticket(0).expect("a ticket is issued");
    sim.advance(121_000);
    let request = sim.send_service_call(1, "/seal/1", Some(ticket));
    sim.advance(1_000);
    let error = error_reply(&sim, request).expect("the caller gets a reply");
    assert_eq!((error.outcome, error.reason), (Outcome::NotRun, Reason::TicketExpired));
    assert!(error.ticket.is_some(), "the error should come with a new ticket");
    assert!(sim.executed_paths.is_empty());
}

/// Both sides of a partition receive the same call. Idempotency keys fail here: each side would run the call,
/// since it has not seen the key.
#[test]
fn partitioned_call_runs_once() {
    let mut sim = Simulation::new(VMS, &document(1, 8, 8), 5);
    let ticket = sim.request_ticket(0).expect("a ticket is issued");
    sim.partition(2);
    sim.advance(5_000);
    let connected = sim.send_service_call(1, "/seal/1", Some(ticket.clone()));
    let cut_off = sim.send_service_call(3, "/seal/1", Some(ticket));
    sim.advance(5_000);
    assert!(matches!(sim.replies_to(connected)[..], [Reply::Answer(_)]));
    assert_eq!(error_reply(&sim, cut_off).expect("the caller gets a reply").outcome, Outcome::Unknown);
    assert_eq!(sim.executed_paths, ["/seal/1"]);
}

/// After the executor has left, a resent call must still get the stored response. A call with a ticket that
/// was not used before must get the error that it did not run.
#[test]
fn leaving_vm_hands_over_records() {
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
    let resent = sim.send_service_call(2, "/seal/1", Some(used));
    let first_use = sim.send_service_call(3, "/seal/2", Some(unused));
    sim.advance(3_000);
    let stored = sim.replies_to(resent);
    assert!(matches!(stored[..], [Reply::Answer(answer)] if answer.body == b"/seal/1"), "{stored:?}");
    let error = error_reply(&sim, first_use).expect("the caller gets a reply");
    assert_eq!((error.outcome, error.reason), (Outcome::NotRun, Reason::TicketClosed));
    assert!(error.ticket.is_some(), "the error should come with a new ticket");
    assert_eq!(sim.executed_paths, ["/seal/1"]);
}

/// Only one of two parts of a handover has arrived. A reply that the call did not run could be wrong,
/// because the missing part may contain its record.
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
    let error = error_reply(&sim, request).expect("the caller gets a reply");
    assert_eq!(error.outcome, Outcome::Unknown, "the outcome should be unknown without the missing part");
}

/// The executor may store only three responses. A call whose response was evicted must not run again.
#[test]
fn oldest_responses_are_evicted() {
    let mut sim = Simulation::new(VMS, &document(1, 64, 64), 9);
    let state = sim.vms[0].state.as_mut().expect("the VM is up");
    state.tuning.response_cache_bytes = "/seal/0".len() * 3;
    let tickets: Vec<_> = (0..5).filter_map(|_| sim.request_ticket(0)).collect();
    for (number, ticket) in tickets.iter().enumerate() {
        sim.send_service_call(1, &format!("/seal/{number}"), Some(ticket.clone()));
        sim.advance(1_000);
    }
    let resend = |sim: &mut Simulation, number: usize| {
        let request = sim.send_service_call(2, &format!("/seal/{number}"), Some(tickets[number].clone()));
        sim.advance(1_000);
        request
    };
    let first = resend(&mut sim, 0);
    let error = error_reply(&sim, first).expect("the caller gets a reply");
    assert_eq!((error.outcome, error.reason), (Outcome::Unknown, Reason::AnswerForgotten));
    let last = resend(&mut sim, 4);
    assert!(matches!(sim.replies_to(last)[..], [Reply::Answer(_)]), "the newest responses should be kept");
    assert_eq!(sim.executed_paths.len(), 5);
}
