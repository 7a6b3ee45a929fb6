//! Times in which one process of an upstream was certainly alive.
//!
//! A connection belongs to one process, which was alive from when it was opened until something arrived over it last: bytes, or
//! its end. Only one process serves at an address, so two connections that overlap belong to the same one. So connections that the
//! upstream closes soon, as it closes idle ones, show together what a long one would show.

use std::collections::BTreeMap;

use jujubedoor::ids::Time;

use super::MAX_TRANSIT_MS;

/// Interval between the openings of connections that are kept as one, in milliseconds.
const OPENING_INTERVAL_MS: u64 = 100;

/// Maximum number of openings that are kept for one upstream.
const MAX_OPENINGS: usize = 64;

/// Minimum time for which two connections have to overlap, so that they certainly belong to the same process, in milliseconds. It
/// exceeds the time by which the end of a connection is late if a packet is lost.
const MIN_OVERLAP_MS: u64 = 250;

/// Time by which two connections have to overlap at most, so that they are known to belong to the same process, in milliseconds.
/// Their openings are rounded, and a closing counts as earlier by the transit time.
pub(crate) const MAX_LOST_OVERLAP_MS: u64 = MIN_OVERLAP_MS + OPENING_INTERVAL_MS + MAX_TRANSIT_MS;

/// A time in which one process of an upstream was certainly alive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Presence {
    /// Time at which a connection to it was opened, or a later one.
    pub since: Time,
    /// The latest time at which it was alive.
    pub until: Time,
}

impl Presence {
    /// Returns the presence that another VM reports, given its length, and its age without the transit time.
    pub fn reported(now: Time, age_ms: u64, length_ms: u64) -> Self {
        let until = Time(now.0.saturating_sub(age_ms).saturating_sub(MAX_TRANSIT_MS));
        Self { since: Time(until.0.saturating_sub(length_ms)), until }
    }

    /// Returns its length in milliseconds.
    pub fn length_ms(&self) -> u64 {
        self.until.since(self.since)
    }

    /// Returns whether another process may have followed this one before that connection was opened.
    fn ends_before(&self, next: &Self) -> bool {
        self.until < next.since.after(MIN_OVERLAP_MS)
    }
}

/// What shows that a process is the registered run.
#[derive(Clone, Copy, Debug)]
pub struct Criteria {
    /// Time within which the registration of a run reaches this VM after its start, in milliseconds.
    pub registration_delay_ms: u64,
    /// The latest time at which the registry is known to have been current.
    pub confirmed_at: Option<Time>,
}

impl Criteria {
    /// Returns whether a process had registered, and the registry was current after that.
    fn are_met(&self, process: &Presence) -> bool {
        let registered_by = process.since.after(self.registration_delay_ms);
        process.until >= registered_by && self.confirmed_at >= Some(registered_by)
    }
}

/// The latest presences of processes at the address of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Presences {
    /// The latest times at which something arrived, by the times at which the connections were opened, which are rounded up.
    until: BTreeMap<Time, Time>,
}

impl Presences {
    /// Adds what a connection shows.
    pub fn add(&mut self, new: Presence) {
        let opened_at = Time(new.since.0.next_multiple_of(OPENING_INTERVAL_MS));
        if new.until < opened_at {
            return;
        }
        let until = self.until.entry(opened_at).or_insert(new.until);
        *until = new.until.max(*until);
        if self.until.len() > MAX_OPENINGS {
            self.until.pop_first();
        }
    }

    /// Returns the time in which the process behind a connection was alive, as this connection and earlier ones show.
    pub fn process_of(&self, connection: Presence) -> Presence {
        let is_same = |p: &Presence| p.since <= connection.since && !p.ends_before(&connection);
        let earlier = self.processes(Time::default()).into_iter().rfind(is_same);
        earlier.map_or(connection, |p| Presence { since: p.since, until: p.until.max(connection.until) })
    }

    /// Returns the latest time in which the registered run was alive, as connections show that were opened at a time or later.
    pub fn latest_of_run(&self, opened_from: Time, criteria: Criteria) -> Option<Presence> {
        self.processes(opened_from).into_iter().rfind(|process| criteria.are_met(process))
    }

    /// Returns the time in which the registered run was alive that begins last.
    pub fn shortest_of_run(&self, criteria: Criteria) -> Option<Presence> {
        self.until.keys().rev().find_map(|opened_at| self.latest_of_run(*opened_at, criteria))
    }

    /// Joins the connections that certainly belong to the same process, of those that were opened at a time or later.
    fn processes(&self, opened_from: Time) -> Vec<Presence> {
        let mut processes: Vec<Presence> = Vec::new();
        for (since, until) in self.until.range(opened_from..) {
            let connection = Presence { since: *since, until: *until };
            match processes.last_mut() {
                Some(process) if !process.ends_before(&connection) => {
                    process.until = process.until.max(connection.until);
                }
                _ => processes.push(connection),
            }
        }
        processes
    }
}
