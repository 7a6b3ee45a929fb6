//! Two engines of eight are cut off for a while, and crash some seconds after the cut has healed. All engines have run the same
//! software all the time. Requesters take up again the streams that broke off.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client;
use crate::client::Received;
use crate::fleet;
use crate::fleet::Fleet;
use crate::record::Record;

const ENGINES: usize = 8;

/// Number of engines that are cut off.
const CUT: usize = 2;

/// Length of the cut.
const CUT_FOR: Duration = Duration::from_millis(2_000);

/// Time from the beginning of the cut until the last streams begin.
const STREAMS_FOR: Duration = Duration::from_millis(4_500);

/// Time from the beginning of the cut to the crash. All machines are in touch by then, even if the cut of engines counted as
/// one of theirs: it has ended `contactMs` before.
const CRASH_AT: Duration = Duration::from_millis(5_200);

/// Pause between two streams that one machine is asked for.
const STREAM_PAUSE: Duration = Duration::from_millis(70);

/// Minimum number of streams that are taken up again for the rule to apply.
const MIN_TAKEN_UP: usize = 12;

/// A requester of a stream: the id of its attempt, the number of the machine, and what it receives.
struct Requester {
    id: String,
    machine: usize,
    received: JoinHandle<Received>,
}

/// What became of a stream that was taken up again.
struct TakenUp {
    id: String,
    goes_on: bool,
    statuses: Vec<u16>,
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let fleet = match Fleet::start(record, "healed-cut", ENGINES, 160) {
        Ok(fleet) => fleet,
        Err(why) => return Verdict::CannotRun(why),
    };
    let addresses: Vec<SocketAddr> = fleet.machines.iter().map(|vm| vm.callers).collect();
    let (away, _) = fleet.engines.split_at(CUT);
    let begun_at = Instant::now();
    let mut waiting = Vec::new();
    if trouble {
        waiting = away.iter().map(|engine| (engine, engine.fall_silent())).collect();
    }
    let mut requesters = Vec::new();
    let mut count = 0;
    while begun_at.elapsed() < STREAMS_FOR {
        if begun_at.elapsed() >= CUT_FOR {
            for (engine, connections) in waiting.drain(..) {
                engine.heal(connections);
            }
        }
        for (machine, to) in addresses.iter().copied().enumerate() {
            let id = format!("new-{machine}-{count}");
            let request = fleet::chat(&id, "");
            let received = std::thread::spawn(move || client::send(to, &request, fleet::WAIT));
            requesters.push(Requester { id, machine, received });
        }
        count += 1;
        std::thread::sleep(STREAM_PAUSE);
    }
    std::thread::sleep(CRASH_AT.saturating_sub(begun_at.elapsed()));
    if trouble {
        for engine in away {
            engine.crash();
        }
    }
    // Streams that begin meanwhile, for comparison.
    let fresh = fleet.begin_streams("fresh", 10);
    let again: Vec<JoinHandle<Option<TakenUp>>> = requesters
        .into_iter()
        .map(|requester| {
            let (addresses, record) = (addresses.clone(), record.clone());
            std::thread::spawn(move || take_up(requester, &addresses, &record))
        })
        .collect();
    let taken_up: Vec<TakenUp> = again.into_iter().filter_map(|handle| handle.join().ok().flatten()).collect();
    let fresh: Vec<Received> = fresh.into_iter().filter_map(|(_, received)| received.join().ok()).collect();
    let begin = fresh.iter().filter(|received| received.status == 200 && !received.body.is_empty()).count();
    let go_on = taken_up.iter().filter(|stream| stream.goes_on).count();
    for stream in &taken_up {
        record.line(&format!("{} taken up again: goes on {}, statuses {:?}", stream.id, stream.goes_on, stream.statuses));
    }
    record.line(&format!("{go_on} of {} streams that were taken up again go on; {begin} of {} new ones begin", taken_up.len(), fresh.len()));
    if begin == 0 {
        return Verdict::CannotRun("no new stream began".into());
    }
    if trouble && taken_up.len() < MIN_TAKEN_UP {
        return Verdict::CannotRun(format!("only {} streams were taken up again", taken_up.len()));
    }
    // The share that goes on is under half of the share of new streams that begin.
    if 2 * go_on * fresh.len() < begin * taken_up.len() {
        let text = format!("{go_on} of {} streams that were taken up again go on, {begin} of {} new ones begin", taken_up.len(), fresh.len());
        return Verdict::Broken(text);
    }
    Verdict::Held
}

/// Takes a stream up again that broke off after its first event, at another machine, and once more after a refusal.
fn take_up(requester: Requester, addresses: &[SocketAddr], record: &Record) -> Option<TakenUp> {
    let Requester { id, machine, received } = requester;
    let received = received.join().ok()?;
    let text = received.text();
    let how = if received.is_complete { "complete" } else { "broken off" };
    let last = last_event(&text);
    record.line(&format!("{id}: {} {how} after event {last:?}", received.status));
    if received.status != 200 || received.is_complete {
        return None;
    }
    let last = last?;
    let mut statuses = Vec::new();
    for attempt in 1..=2 {
        let to = addresses[(machine + attempt) % addresses.len()];
        let headers = format!("Last-Event-Id: {last}\r\nResumes: {id}\r\n");
        let again = client::send(to, &fleet::chat(&format!("{id}-again-{attempt}"), &headers), fleet::WAIT);
        statuses.push(again.status);
        if again.status == 200 && last_event(&again.text()).is_some() {
            return Some(TakenUp { id, goes_on: true, statuses });
        }
        let retry_after = again.headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("retry-after"));
        let seconds = retry_after.and_then(|(_, value)| value.parse::<f64>().ok()).unwrap_or(0.2);
        std::thread::sleep(Duration::from_secs_f64(seconds.clamp(0.0, 4.0)));
    }
    Some(TakenUp { id, goes_on: false, statuses })
}

/// Returns the id of the last whole event in a text.
fn last_event(text: &str) -> Option<u64> {
    let (whole, _) = text.rsplit_once("\n\n")?;
    whole.lines().rev().find_map(|line| line.strip_prefix("id: ")?.parse().ok())
}
