//! The time line: a bounded ring of what happened at this VM, stamped by the hybrid clock.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use jujubedoor::event::TimelineEvent;
use jujubedoor::event::TimelineRecord;
use serde::Deserialize;
use serde::Serialize;

/// How many entries are kept.
const ENTRIES: usize = 16_384;

/// The latest entries of a VM's time line.
#[derive(Debug, Default)]
pub struct Timeline {
    ring: Mutex<VecDeque<(u64, TimelineRecord)>>,
}

/// An entry as operators see it.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(default)]
pub struct Entry {
    /// The hybrid time: milliseconds since the Unix epoch, shifted by 16 bits, and a counter.
    pub stamp: u64,
    /// The VM.
    pub vm: String,
    /// The request, if it is about one.
    pub request: Option<String>,
    /// The upstream, if it is about one.
    pub upstream: Option<String>,
    /// What happened.
    pub event: String,
    /// More about it.
    pub detail: String,
}

impl Timeline {
    /// Adds an entry.
    pub fn push(&self, stamp: u64, record: TimelineRecord) {
        log::debug!(target: "timeline", "{}", describe(&record.timeline_event).0);
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() == ENTRIES {
            ring.pop_front();
        }
        ring.push_back((stamp, record));
    }

    /// Returns the entries that pass, oldest first.
    pub fn entries<P>(&self, vm: &str, passes: P) -> Vec<Entry>
    where
        P: Fn(&Entry) -> bool,
    {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter().map(|(stamp, record)| to_entry(vm, *stamp, record)).filter(passes).collect()
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

fn describe(what: &TimelineEvent) -> (&'static str, String) {
    match what {
        TimelineEvent::RequestArrived => ("arrived", String::new()),
        TimelineEvent::PermitRequested(owner) => ("asked", format!("owner {owner}")),
        TimelineEvent::PermitGranted(permit) => ("granted", format!("permit {}", permit.seq)),
        TimelineEvent::PermitDenied(reason) => ("denied", (*reason).to_owned()),
        TimelineEvent::AttemptSent(attempt) => ("sent", format!("attempt {attempt}")),
        TimelineEvent::AttemptFinished(how) => ("ended", (*how).to_owned()),
        TimelineEvent::RequestFailed(refusal) => {
            ("refused", format!("{}: {}", refusal.outcome, refusal.reason))
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
