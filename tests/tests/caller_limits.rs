//! Who may hold memory and connections of a process, who waits for them, and who loses them to others.
//!
//! Callers outside the system's control can send as much as they like, in any pieces, and stop at any point.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::Bytes;
use jujubedoor_http::budget_ledger::Admission;
use jujubedoor_http::budget_ledger::BudgetLimits;
use jujubedoor_http::budget_ledger::CONNECTION_BYTES;
use jujubedoor_http::budget_ledger::Class;
use jujubedoor_http::budget_ledger::ConnectionId;
use jujubedoor_http::budget_ledger::Eviction;
use jujubedoor_http::budget_ledger::Ledger;
use jujubedoor_http::budget_ledger::Owner;
use jujubedoor_http::budget_ledger::Verdict;
use jujubedoor_http::held_body::MAX_SEGMENT_BYTES;
use jujubedoor_http::held_body::SegmentBuffer;
use jujubedoor_http::memory_budget::Account;
use jujubedoor_http::memory_budget::Budget;
use jujubedoor_http::memory_budget::Refusal;
use jujubedoor_http::reception::no_room_retry_ms;
use jujubedoor_routing::Event;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Behavior;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;
use quickcheck::quickcheck;
use tokio::time::Instant;

/// Size of a body that callers send in these tests, in bytes.
const BODY_BYTES: usize = 4 << 20;

/// Maximum number of connections in these tests.
const MAX_CONNECTIONS: usize = 100;

const LIMITS: BudgetLimits = BudgetLimits {
    total_bytes: 32 << 20,
    reserved_bytes: 4 << 20,
    owner_bytes: 21 << 20,
    min_bytes_per_s: 16 << 10,
    stall_ms: 1_000,
    room_wait_ms: 1_000,
};

fn owner(host: u8, workspace: Option<&str>) -> Owner {
    Owner { address: IpAddr::V4(Ipv4Addr::new(10, 0, 0, host)), workspace: workspace.map(Into::into) }
}

fn open(ledger: &mut Ledger, host: u8, now: u64) -> ConnectionId {
    open_for(ledger, &owner(host, None), now)
}

fn open_for(ledger: &mut Ledger, owner: &Owner, now: u64) -> ConnectionId {
    match ledger.open(0, owner.address, MAX_CONNECTIONS, false, now) {
        Admission::Opened(id) => id,
        Admission::NoConnection | Admission::NoMemory => panic!("no connection was opened"),
    }
}

/// Opens a connection on which a body is being received, and charges memory for it.
fn open_body(ledger: &mut Ledger, owner: &Owner, bytes: usize, now: u64) -> ConnectionId {
    let id = open_for(ledger, owner, now);
    ledger.record_read(id, 100, now);
    assert!(ledger.begin_request(id));
    ledger.begin_body(id, owner, BODY_BYTES, now);
    assert_eq!(ledger.charge(id, owner, bytes, Class::Large, now), Verdict::Granted);
    id
}

/// Returns a ledger with much room in which two owners hold stalled bodies, the first two of the same owner.
fn stalled_bodies(bytes: [usize; 4]) -> (Ledger, [ConnectionId; 4]) {
    let mut ledger = Ledger::new(BudgetLimits { total_bytes: 128 << 20, ..LIMITS });
    let mut hosts = [1, 1, 2, 2].into_iter();
    let ids = bytes.map(|bytes| open_body(&mut ledger, &owner(hosts.next().unwrap_or(2), None), bytes, 0));
    (ledger, ids)
}

/// Guards against other callers that lose their connections because one address exceeds its share with a response.
#[test]
fn own_share_costs_no_others() {
    let (mut ledger, [first, second, ..]) = stalled_bodies([7 << 20, 8 << 20, 10 << 20, 9 << 20]);
    let id = open(&mut ledger, 1, 9_900);
    assert!(!ledger.try_charge(id, &owner(1, None), 7 << 20, 10_000));
    assert_eq!(ledger.take_evictions(), [(second, Eviction::Reject)]);
    assert!(ledger.end_body(first));
}

/// Guards against an address that gets no memory of its own back because memory of others is about to be released.
#[test]
fn memory_of_others_does_not_help() {
    let (mut ledger, [_, own, other, _]) = stalled_bodies([7 << 20, 8 << 20, 12 << 20, 8 << 20]);
    let (first, second) = (open(&mut ledger, 1, 9_900), open(&mut ledger, 2, 9_900));
    assert!(!ledger.try_charge(second, &owner(2, None), 2 << 20, 10_000));
    assert_eq!(ledger.take_evictions(), [(other, Eviction::Reject)]);
    assert!(!ledger.try_charge(first, &owner(1, None), 7 << 20, 11_000));
    assert_eq!(ledger.take_evictions(), [(own, Eviction::Reject)]);
}

/// Guards against stalled bodies that are evicted although there is room, or that are not although there is none.
#[test]
fn stalled_body_makes_room() {
    let mut ledger = Ledger::new(LIMITS);
    let stalled = open_body(&mut ledger, &owner(1, None), 16 << 20, 0);
    let busy = open_body(&mut ledger, &owner(2, None), 10 << 20, 0);
    ledger.record_body(busy, 1 << 20, 9_500);
    assert_eq!(ledger.charge(busy, &owner(2, None), 1 << 20, Class::Large, 9_900), Verdict::Granted);
    assert!(ledger.take_evictions().is_empty(), "there is room");
    assert_eq!(ledger.charge(busy, &owner(2, None), 4 << 20, Class::Large, 10_000), Verdict::Wait);
    assert_eq!(ledger.take_evictions(), [(stalled, Eviction::Reject)]);
    assert!(!ledger.end_body(stalled), "it was evicted just before it was complete");
    ledger.release(stalled, &owner(1, None), 16 << 20);
    assert_eq!(ledger.charge(busy, &owner(2, None), 4 << 20, Class::Large, 10_010), Verdict::Granted);
}

/// Guards against bodies that are evicted although they arrive, or because they wait for memory themselves.
#[test]
fn progressing_bodies_stay() {
    let mut ledger = Ledger::new(LIMITS);
    let slow = open_body(&mut ledger, &owner(1, None), 16 << 20, 0);
    let waiting = open_body(&mut ledger, &owner(2, None), 10 << 20, 0);
    let late = open_body(&mut ledger, &owner(3, None), 1 << 20, 0);
    for now in (0..10_000).step_by(500) {
        ledger.record_body(slow, 16 << 10, now);
        assert_eq!(ledger.charge(waiting, &owner(2, None), 4 << 20, Class::Large, now), Verdict::Wait);
        assert_eq!(ledger.charge(late, &owner(3, None), 4 << 20, Class::Large, now), Verdict::Wait);
    }
    assert!(ledger.take_evictions().is_empty());
}

/// Guards against waiting bodies that share free memory so that none of them becomes complete.
#[test]
fn first_waiting_body_goes_on() {
    let mut ledger = Ledger::new(LIMITS);
    let filler = open_body(&mut ledger, &owner(1, None), 20 << 20, 0);
    let first = open_body(&mut ledger, &owner(2, None), 3 << 20, 0);
    let second = open_body(&mut ledger, &owner(3, None), 3 << 20, 0);
    for now in [10, 20] {
        assert_eq!(ledger.charge(first, &owner(2, None), 3 << 20, Class::Large, now), Verdict::Wait);
        assert_eq!(ledger.charge(second, &owner(3, None), 3 << 20, Class::Large, now), Verdict::Wait);
    }
    ledger.release(filler, &owner(1, None), 4 << 20);
    assert_eq!(ledger.charge(second, &owner(3, None), 1 << 20, Class::Large, 30), Verdict::Wait);
    assert_eq!(ledger.charge(first, &owner(2, None), 3 << 20, Class::Large, 30), Verdict::Granted);
    // It keeps its position for the rest of its body.
    assert_eq!(ledger.charge(first, &owner(2, None), 3 << 20, Class::Large, 40), Verdict::Wait);
    assert_eq!(ledger.charge(second, &owner(3, None), 1 << 20, Class::Large, 40), Verdict::Wait);
    ledger.release(filler, &owner(1, None), 4 << 20);
    assert_eq!(ledger.charge(second, &owner(3, None), 1 << 20, Class::Large, 50), Verdict::Wait);
    assert_eq!(ledger.charge(first, &owner(2, None), 3 << 20, Class::Large, 50), Verdict::Granted);
}

/// Guards against bodies that wait for each other's memory until all of them time out.
#[test]
fn last_waiting_body_is_rejected() {
    let mut ledger = Ledger::new(LIMITS);
    let owners: Vec<Owner> = (1..=4).map(|host| owner(host, None)).collect();
    let ids: Vec<_> = owners.iter().map(|owner| open_body(&mut ledger, owner, 6 << 20, 0)).collect();
    for (id, owner) in ids.iter().zip(&owners) {
        assert_eq!(ledger.charge(*id, owner, 5 << 20, Class::Large, 10), Verdict::Wait);
    }
    ledger.expire_wait(ids[0], 1_010);
    ledger.expire_wait(ids[1], 1_011);
    assert_eq!(ledger.take_evictions(), [(ids[3], Eviction::Reject)], "one body at a time");
    assert_eq!(ledger.charge(ids[3], &owners[3], 5 << 20, Class::Large, 1_012), Verdict::Evicted);
    ledger.end_body(ids[3]);
    ledger.release(ids[3], &owners[3], 6 << 20);
    assert_eq!(ledger.charge(ids[0], &owners[0], 5 << 20, Class::Large, 1_020), Verdict::Granted);
    ledger.expire_wait(ids[1], 1_050);
    assert!(ledger.take_evictions().is_empty(), "a body goes on");
    ledger.expire_wait(ids[1], 1_200);
    assert_eq!(ledger.take_evictions(), [(ids[2], Eviction::Reject)]);
}

/// Guards against one address or workspace that uses up the memory for all.
#[test]
fn one_owner_leaves_a_share() {
    for workspace in [None, Some("crowd")] {
        let mut ledger = Ledger::new(LIMITS);
        let mut granted = 0;
        for n in 0..20 {
            // With a workspace, each caller has another address.
            let greedy = owner(if workspace.is_some() { n + 1 } else { 1 }, workspace);
            let id = open(&mut ledger, n + 1, 0);
            ledger.begin_body(id, &greedy, BODY_BYTES, 0);
            let verdict = ledger.charge(id, &greedy, 2 << 20, Class::Large, 0);
            granted += usize::from(verdict == Verdict::Granted);
        }
        assert_eq!(granted, 10, "21 MB in steps of 2 MB, with {workspace:?}");
        let other = owner(100, Some("other"));
        open_body(&mut ledger, &other, BODY_BYTES, 10);
    }
}

/// Guards against large bodies that leave no memory for connections, heads and small bodies.
#[test]
fn small_charges_have_a_reserve() {
    let mut ledger = Ledger::new(LIMITS);
    open_body(&mut ledger, &owner(1, None), 20 << 20, 0);
    let large = open_body(&mut ledger, &owner(2, None), 7 << 20, 0);
    assert_eq!(ledger.charge(large, &owner(2, None), 2 << 20, Class::Large, 0), Verdict::Wait);
    for _ in 0..20 {
        let id = open(&mut ledger, 3, 0);
        assert!(ledger.record_read(id, 16 << 10, 0));
        assert_eq!(ledger.charge(id, &owner(3, None), 64 << 10, Class::Small, 0), Verdict::Granted);
    }
}

/// Guards against idle connections that keep others from being accepted, and against the loss of busy ones.
#[test]
fn idle_connection_makes_room() {
    let mut ledger = Ledger::new(LIMITS);
    let ids: Vec<_> = (0..100).map(|n| open(&mut ledger, if n < 90 { 1 } else { 2 }, n)).collect();
    for id in &ids[..50] {
        ledger.record_read(*id, 100, 200);
        assert!(ledger.begin_request(*id));
    }
    let other = owner(3, None).address;
    assert_eq!(ledger.open(0, other, MAX_CONNECTIONS, false, 300), Admission::NoConnection);
    assert_eq!(
        ledger.take_evictions(),
        [(ids[50], Eviction::Close)],
        "idle for longest, of the largest address"
    );
    assert_eq!(ledger.open(0, other, MAX_CONNECTIONS, false, 301), Admission::NoConnection);
    assert!(ledger.take_evictions().is_empty(), "one is about to close");
    assert!(!ledger.begin_request(ids[50]), "a request that arrives just now must not run");
    ledger.close(ids[50]);
    assert!(matches!(ledger.open(0, other, MAX_CONNECTIONS, false, 302), Admission::Opened(_)));
    // Connections of another server are not affected.
    assert!(matches!(ledger.open(1, other, MAX_CONNECTIONS, false, 303), Admission::Opened(_)));
    for id in &ids[51..] {
        ledger.begin_request(*id);
    }
    let last = ledger.open(0, other, MAX_CONNECTIONS + 1, false, 304);
    assert!(matches!(last, Admission::Opened(_)));
}

/// Guards against unfinished heads and bodies that keep others from being accepted.
#[test]
fn unfinished_requests_make_room() {
    let mut ledger = Ledger::new(LIMITS);
    let ids: Vec<_> = (0..100).map(|_| open(&mut ledger, 1, 0)).collect();
    for (n, id) in ids.iter().enumerate() {
        ledger.record_read(*id, 100, 0);
        if n >= 50 {
            ledger.begin_request(*id);
            ledger.begin_body(*id, &owner(1, None), BODY_BYTES, 0);
        }
    }
    let other = owner(2, None).address;
    assert_eq!(ledger.open(0, other, MAX_CONNECTIONS, false, 500), Admission::NoConnection);
    assert!(ledger.take_evictions().is_empty(), "they may still go on");
    let mut evictions = Vec::new();
    for n in 0..100 {
        assert_eq!(ledger.open(0, other, MAX_CONNECTIONS, false, 1_000 + n), Admission::NoConnection);
        let evicted = ledger.take_evictions();
        assert_eq!(evicted.len(), 1);
        ledger.close(evicted[0].0);
        let opened = open(&mut ledger, 2, 1_000 + n);
        ledger.begin_request(opened);
        evictions.extend(evicted);
    }
    assert!(evictions[..50].iter().all(|(_, eviction)| *eviction == Eviction::Close));
}

/// Guards against heads that take memory without a limit.
#[test]
fn heads_are_charged() {
    let mut ledger = Ledger::new(BudgetLimits { total_bytes: 1 << 20, reserved_bytes: 0, ..LIMITS });
    let ids: Vec<_> = (0..20).map(|_| open(&mut ledger, 1, 0)).collect();
    let accepted = ids.iter().filter(|id| ledger.record_read(**id, 64 << 10, 0)).count();
    assert!(accepted < 10, "{accepted} heads of 64 kB in 1 MB");
    assert!(ledger.used() <= 1 << 20);
    ledger.begin_request(ids[0]);
    ledger.end_response(ids[0], 10);
    assert!(ledger.record_read(ids[19], 1, 20), "the memory of the first head is free");
    for id in ids {
        ledger.close(id);
    }
    assert_eq!(ledger.used(), 0);
}

/// Guards against responses that hold memory because nobody reads them, and against the loss of those that are read.
#[test]
fn unread_response_makes_room() {
    let mut ledger = Ledger::new(LIMITS);
    let unread = open(&mut ledger, 1, 0);
    let read = open(&mut ledger, 2, 0);
    let late = open(&mut ledger, 3, 0);
    for id in [unread, read, late] {
        ledger.begin_request(id);
    }
    assert!(ledger.try_charge(unread, &owner(1, None), 14 << 20, 0));
    assert!(ledger.try_charge(read, &owner(2, None), 13 << 20, 0));
    ledger.block_write(unread, 0);
    ledger.block_write(read, 0);
    ledger.record_write(read, 64 << 10, 3_000);
    assert!(!ledger.try_charge(late, &owner(3, None), 4 << 20, 3_900));
    assert!(ledger.take_evictions().is_empty(), "the caller may still read");
    assert!(!ledger.try_charge(late, &owner(3, None), 4 << 20, 4_000));
    assert_eq!(ledger.take_evictions(), [(unread, Eviction::Close)]);
}

/// Guards against an internal address that is out of reach because callers have used up the memory.
#[test]
fn privileged_connections_open() {
    let mut ledger = Ledger::new(LIMITS);
    let filler = open(&mut ledger, 1, 0);
    ledger.force(filler, &owner(1, None), LIMITS.total_bytes);
    let address = owner(2, None).address;
    assert_eq!(ledger.open(0, address, MAX_CONNECTIONS, false, 0), Admission::NoMemory);
    assert!(matches!(ledger.open(1, address, MAX_CONNECTIONS, true, 0), Admission::Opened(_)));
}

/// Guards against a configuration whose largest legal body is larger than the share of one caller.
#[test]
fn single_body_exceeds_the_share() {
    let mut ledger = Ledger::new(LIMITS);
    let caller = owner(1, Some("schools"));
    let id = open(&mut ledger, 1, 0);
    ledger.begin_request(id);
    ledger.begin_body(id, &caller, 24 << 20, 0);
    for _ in 0..24 {
        assert_eq!(ledger.charge(id, &caller, 1 << 20, Class::Large, 0), Verdict::Granted);
    }
}

/// The load of a crowd that sends large legal bodies at the same time: the memory stays bounded, every body is complete or
/// rejected in time, and as many as fit at once are complete.
#[test]
fn crowd_of_large_bodies() {
    let mut ledger = Ledger::new(LIMITS);
    let owner = owner(1, None);
    let mut bodies: Vec<(ConnectionId, usize, u64)> = Vec::new();
    for _ in 0..40 {
        let id = open(&mut ledger, 1, 0);
        ledger.begin_request(id);
        ledger.begin_body(id, &owner, BODY_BYTES, 0);
        bodies.push((id, 0, 0));
    }
    let (mut complete, mut rejected, mut served) = (0, 0, Vec::new());
    for now in (10..10_000).step_by(10) {
        bodies.retain_mut(|(id, received, waits_since)| {
            if *received >= BODY_BYTES {
                assert!(ledger.end_body(*id));
                complete += 1;
                served.push((now + 50, *id));
                return false;
            }
            ledger.record_body(*id, MAX_SEGMENT_BYTES, now);
            match ledger.charge(*id, &owner, MAX_SEGMENT_BYTES, Class::Large, now) {
                Verdict::Granted => {
                    *received += MAX_SEGMENT_BYTES;
                    *waits_since = now;
                }
                Verdict::Wait if now - *waits_since >= LIMITS.room_wait_ms => ledger.expire_wait(*id, now),
                Verdict::Wait => {}
                Verdict::Evicted => {
                    ledger.end_body(*id);
                    ledger.release(*id, &owner, *received);
                    rejected += 1;
                    return false;
                }
            }
            true
        });
        served.retain(|(until, id)| {
            if *until <= now {
                ledger.release(*id, &owner, BODY_BYTES);
            }
            *until > now
        });
        assert!(ledger.used() <= LIMITS.owner_bytes + 40 * CONNECTION_BYTES);
    }
    assert_eq!((complete + rejected, bodies.len()), (40, 0));
    assert!(complete >= LIMITS.owner_bytes / BODY_BYTES, "{complete} bodies are complete");
}

/// Guards against memory that is never released, whatever callers do and in whatever order.
#[test]
fn everything_is_released() {
    fn check(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut ledger = Ledger::new(LIMITS);
        let mut charged: Vec<(ConnectionId, Owner, usize)> = Vec::new();
        let mut ids = Vec::new();
        for (now, (action, host, size)) in (0..).zip(steps) {
            let now = now * 100;
            let owner = owner(host % 4, (host % 3 == 0).then_some("schools"));
            let bytes = usize::from(size) * 100;
            if action % 12 == 0 || ids.is_empty() {
                if let Admission::Opened(id) = ledger.open(0, owner.address, 5, false, now) {
                    ids.push(id);
                }
                continue;
            }
            let id = ids[usize::from(host) % ids.len()];
            match action % 12 {
                1 => drop(ledger.record_read(id, bytes, now)),
                2 => drop(ledger.begin_request(id)),
                3 => ledger.begin_body(id, &owner, BODY_BYTES, now),
                4 | 5 => {
                    if ledger.charge(id, &owner, bytes, Class::Large, now) == Verdict::Granted {
                        charged.push((id, owner, bytes));
                    }
                }
                6 => drop(ledger.end_body(id)),
                7 => ledger.end_response(id, now),
                8 => {
                    ledger.force(id, &owner, bytes);
                    charged.push((id, owner, bytes));
                }
                9 => ledger.block_write(id, now),
                10 => ledger.expire_wait(id, now),
                _ => ledger.close(id),
            }
            ledger.take_evictions();
        }
        for (id, owner, bytes) in charged {
            ledger.release(id, &owner, bytes);
        }
        for id in ids {
            ledger.close(id);
        }
        ledger.used() == 0 && ledger.connections() == 0 && !ledger.has_waiting()
    }
    quickcheck(check as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// Guards against chunks of two bytes that are charged as two bytes and take a buffer each.
#[tokio::test]
async fn tiny_chunks_share_segments() {
    let account = Account::unlimited();
    let mut buffer = SegmentBuffer::new(account.clone(), None);
    let deadline = Instant::now() + Duration::from_secs(60);
    // Each chunk keeps a large buffer allocated.
    let read_buffer = Bytes::from(vec![b'x'; 8 << 10]);
    for _ in 0..100_000 {
        buffer.push(read_buffer.slice(..2), deadline).await.expect("there is room");
    }
    let body = buffer.finish();
    assert_eq!(body.len(), 200_000);
    assert!(body.segments().len() <= 10, "{} segments", body.segments().len());
    assert!(account.used() <= 300_000, "{} bytes are charged", account.used());
    drop(body);
    assert_eq!(account.used(), 0);
}

/// Guards against a body that waits for memory without a bound.
#[tokio::test]
async fn wait_for_memory_ends() {
    let budget = Budget::new(BudgetLimits { total_bytes: 1 << 20, room_wait_ms: 60_000, ..LIMITS });
    let account = Account::detached(&budget);
    let mut buffer = SegmentBuffer::new(account, None);
    let deadline = Instant::now() + Duration::from_millis(200);
    let pushed = buffer.push(Bytes::from(vec![b'x'; 2 << 20]), deadline).await;
    assert_eq!(pushed, Err(Refusal::NoRoom));
    drop(buffer);
    assert_eq!(budget.used(), 0);
}

/// Guards against a retry after the caller has received a part of the response.
#[test]
fn no_retry_after_delivery() {
    for is_delivered in [false, true] {
        let mut fleet = Fleet::new(1, Tuning::default(), 3);
        set_up(&mut fleet, "desk", 2);
        fleet.upstream_behavior = Box::new(|_, _, _| Behavior {
            runs: true,
            outcome: AttemptOutcome::ConnectionLost,
            work_ms: 100,
        });
        let route = route("desk", Kind::Idempotent, 3);
        let call = call(&route, fleet.now, 1_500, 1, 0);
        fleet.call(0, 1, call);
        fleet.run(20);
        if is_delivered {
            fleet.send_event(0, Event::DeliveryBegan(1));
        }
        fleet.run(1_000);
        let attempts = fleet.path_of(1).len();
        assert_eq!(attempts == 1, is_delivered, "{attempts} attempts");
    }
}

/// Guards against a refused caller that is told to return after its own time.
#[test]
fn retry_fits_the_time_of_the_caller() {
    for drawn in [0, 1, 249, 250, 999, 1_000, u64::MAX] {
        assert!((1_000..2_000).contains(&no_room_retry_ms(None, drawn)), "no time is stated");
        assert!((1_000..2_000).contains(&no_room_retry_ms(Some(20_000), drawn)), "the caller waits for long");
        assert!((1..500).contains(&no_room_retry_ms(Some(1_500), drawn)), "the caller waits for 1.5 s");
        assert_eq!(no_room_retry_ms(Some(3), drawn), 1, "the caller hardly waits");
    }
}
