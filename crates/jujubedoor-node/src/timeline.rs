//! The timeline: a ring buffer of recent events at this VM, with timestamps of the hybrid clock.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use jujubedoor::event::TimelineEvent;
use jujubedoor::event::TimelineRecord;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of entries; older ones are overwritten.
const MAX_ENTRIES: usize = 16_384;

/// The most recent entries of a VM's timeline.
#[derive(Debug, Default)]
pub struct Timeline {
    ring: Mutex<VecDeque<(u64, TimelineRecord)>>,
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
    pub fn push(&self, stamp: u64, record: TimelineRecord) {
        log::debug!(target: "timeline", "{}", describe(&record.timeline_event).0);
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

fn to_entry(vm: &str, stamp: u64, record: &TimelineRecord) -> Entry {
    let (event, detail) = describe(&record.timeline_event);
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
fn describe(timeline_event: &TimelineEvent) -> (&'static str, String) {
    match timeline_event {
        TimelineEvent::RequestArrived => ("arrived", String::new()),
        TimelineEvent::PermitRequested(owner) => ("asked", format!("owner {owner}")),
        TimelineEvent::PermitGranted(permit) => ("granted", format!("permit {}", permit.seq)),
        TimelineEvent::PermitDenied(reason) => ("denied", (*reason).to_owned()),
        TimelineEvent::AttemptSent(attempt) => ("sent", format!("attempt {attempt}")),
        TimelineEvent::AttemptFinished(result) => ("ended", (*result).to_owned()),
        TimelineEvent::RequestFailed(request_error) => {
            ("refused", format!("{}: {}", request_error.outcome, request_error.reason))
        }
        TimelineEvent::TicketCallStarted => ("running", String::new()),
        TimelineEvent::OwnershipTaken => ("owner", String::new()),
        TimelineEvent::OwnershipLost => ("not-owner", String::new()),
        TimelineEvent::DocumentAccepted(team, revision) => {
            ("accepted", format!("{team} revision {revision}"))
        }
        TimelineEvent::DocumentRejected(team, revision) => {
            ("rejected", format!("{team} revision {revision}"))
        }
        TimelineEvent::UpstreamCold => ("cold", String::new()),
        TimelineEvent::VmSuspected(vm) => ("suspected", format!("VM {vm}")),
        TimelineEvent::Draining => ("draining", String::new()),
    }
}
