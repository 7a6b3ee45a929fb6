//! Requesters that take up streams again which broke off, and the rule LOST on them.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::client::Received;
use crate::fleet;
use crate::fleet::Fleet;
use crate::record::Record;

/// Minimum number of streams that are taken up again for the rule to apply.
const MIN_TAKEN_UP: usize = 12;

/// A requester of a stream: the id of its attempt, the number of the machine, and what it receives.
pub struct Requester {
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

/// Lets a requester ask each machine for a stream.
pub fn begin_streams(fleet: &Fleet, label: &str) -> Vec<Requester> {
    let begin = |(machine, vm): (usize, &crate::vm::Vm)| {
        let (id, to) = (format!("new-{machine}-{label}"), vm.callers);
        let request = fleet::chat(&id, "");
        let received = std::thread::spawn(move || client::send(to, &request, fleet::WAIT));
        Requester { id, machine, received }
    };
    fleet.machines.iter().enumerate().map(begin).collect()
}

/// Lets requesters take up their streams again, begins new ones for comparison, and judges both.
pub fn judge(fleet: &Fleet, requesters: Vec<Requester>, trouble: bool, record: &Record) -> Verdict {
    let addresses: Vec<SocketAddr> = fleet.machines.iter().map(|vm| vm.callers).collect();
    let fresh = fleet.begin_streams("fresh", 10);
    let again: Vec<JoinHandle<Option<TakenUp>>> = requesters
        .into_iter()
        .map(|requester| {
            let (addresses, record) = (addresses.clone(), record.clone());
            std::thread::spawn(move || take_up(requester, &addresses, &record))
        })
        .collect();
    let taken_up: Vec<TakenUp> =
        again.into_iter().filter_map(|handle| handle.join().ok().flatten()).collect();
    let fresh: Vec<Received> = fresh.into_iter().filter_map(|(_, received)| received.join().ok()).collect();
    let begin = fresh.iter().filter(|received| received.status == 200 && !received.body.is_empty()).count();
    let go_on = taken_up.iter().filter(|stream| stream.goes_on).count();
    for TakenUp { id, goes_on, statuses } in &taken_up {
        record.line(&format!("{id} taken up again: goes on {goes_on}, statuses {statuses:?}"));
    }
    let text = format!(
        "{go_on} of {} streams that were taken up again go on, {begin} of {} new ones begin",
        taken_up.len(),
        fresh.len()
    );
    record.line(&text);
    if begin == 0 {
        return Verdict::CannotRun("no new stream began".into());
    }
    if trouble && taken_up.len() < MIN_TAKEN_UP {
        return Verdict::CannotRun(format!("only {} streams were taken up again", taken_up.len()));
    }
    // The share that goes on is under half of the share of new streams that begin.
    if 2 * go_on * fresh.len() < begin * taken_up.len() { Verdict::Broken(text) } else { Verdict::Held }
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
