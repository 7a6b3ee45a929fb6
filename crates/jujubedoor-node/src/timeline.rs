//! The timeline: a ring buffer of recent events at this VM, with timestamps of the hybrid clock.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use jujubedoor::event::Record;
use jujubedoor::event::What;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of entries; older ones are overwritten.
const MAX_ENTRIES: usize = 16_384;

/// The most recent entries of a VM's timeline.
#[derive(Debug, Default)]
pub struct Timeline {
    ring: Mutex<VecDeque<(u64, Record)>>,
}

/// An entry in the form that the administration API returns.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(default)]
pub struct Entry {
    /// The hybrid timestamp: milliseconds since the Unix epoch, shifted left by 16 bits, plus a counter.
    pub stamp: u64,
    /// The name of the VM.
    pub vm: String,
    /// The request that the event concerns, if any.
    pub request: Option<String>,
    /// The upstream that the event concerns, if any.
    pub upstream: Option<String>,
    /// The name of the event.
    pub event: String,
    /// Further information about the event.
    pub detail: String,
}

impl Timeline {
    /// Adds an entry, and removes the oldest one if the ring is full.
    pub fn push(&self, stamp: u64, record: Record) {
        log::debug!(target: "timeline", "{}", describe(&record.what).0);
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() == MAX_ENTRIES {
            ring.pop_front();
        }
        ring.push_back((stamp, record));
    }

    /// Returns the entries that match a predicate, oldest first.
    pub fn entries<P>(&self, vm: &str, predicate: P) -> Vec<Entry>
    where
        P: Fn(&Entry) -> bool,
    {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter().map(|(stamp, record)| to_entry(vm, *stamp, record)).filter(predicate).collect()
    }
}

fn to_entry(vm: &str, stamp: u64, record: &Record) -> Entry {
    let (event, detail) = describe(&record.what);
    Entry {
        stamp,
        vm: vm.to_owned(),
        request: record.request.map(|request| request.to_string()),
        upstream: record.upstream.as_ref().map(ToString::to_string),
        event: event.to_owned(),
        detail,
    }
}

/// Returns the name of an event and its detail.
fn describe(what: &What) -> (&'static str, String) {
    match what {
        What::Arrived => ("arrived", String::new()),
        What::Asked(owner) => ("asked", format!("owner {owner}")),
        What::Granted(permit) => ("granted", format!("permit {}", permit.seq)),
        What::Denied(reason) => ("denied", (*reason).to_owned()),
        What::Sent(attempt) => ("sent", format!("attempt {attempt}")),
        What::Ended(how) => ("ended", (*how).to_owned()),
        What::Refused(refusal) => ("refused", format!("{}: {}", refusal.outcome, refusal.reason)),
        What::Running => ("running", String::new()),
        What::Owner => ("owner", String::new()),
        What::NotOwner => ("not-owner", String::new()),
        What::Accepted(team, revision) => ("accepted", format!("{team} revision {revision}")),
        What::Rejected(team, revision) => ("rejected", format!("{team} revision {revision}")),
        What::Cold => ("cold", String::new()),
        What::Suspected(vm) => ("suspected", format!("VM {vm}")),
        What::Draining => ("draining", String::new()),
    }
}
