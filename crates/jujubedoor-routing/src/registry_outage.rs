//! Outages of the registry.
//!
//! During an outage, upstreams cannot renew their registrations, so registrations of upstreams that still
//! run may expire. When only some VMs are cut off from the registry, the upstreams still reach it, and a
//! registration that ends means that the upstream left. The two cases are told apart by the directory: if
//! new revisions reached a VM while the registry seemed to be down, the registry served someone.

use jujubedoor::ids::Time;
use serde::Deserialize;
use serde::Serialize;

/// Time in which the end of a registration reaches all VMs, in milliseconds.
const PROPAGATION_MS: u64 = 400;

/// What this VM knows about outages of the registry.
#[derive(Clone, Debug, Default)]
pub struct RegistryOutages {
    /// Time of the first failed call, while the registry does not respond to this VM.
    lost_at: Option<Time>,
    /// The last outage that has ended.
    last: Option<Outage>,
    /// Time at which this VM last received a new revision of the directory.
    advanced_at: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    started_at: Time,
    ended_at: Time,
}

/// An outage that has ended, as reported by one VM to another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndedOutage {
    /// Time since the end of the outage, in milliseconds.
    pub age_ms: u64,
    /// Duration of the outage, in milliseconds.
    pub duration_ms: u64,
}

impl RegistryOutages {
    /// Records a failed call of this VM. Returns whether it is the first one since the last response.
    pub fn record_failure(&mut self, now: Time) -> bool {
        let is_first = self.lost_at.is_none();
        self.lost_at.get_or_insert(now);
        is_first
    }

    /// Records a response to this VM. If calls had failed before, returns the time since the first of them,
    /// in milliseconds.
    pub fn record_response(&mut self, now: Time) -> Option<u64> {
        let lost_at = self.lost_at.take()?;
        self.record(Outage { started_at: lost_at, ended_at: now });
        Some(now.since(lost_at))
    }

    /// Records an outage that another VM reported.
    pub fn record_report(&mut self, report: EndedOutage, now: Time) {
        let ended_at = Time(now.0.saturating_sub(report.age_ms));
        let started_at = Time(ended_at.0.saturating_sub(report.duration_ms));
        self.record(Outage { started_at, ended_at });
    }

    /// Records that the registry was restored from an older copy, in which registrations may be missing.
    pub fn record_restore(&mut self, now: Time) {
        self.last = Some(Outage { started_at: now, ended_at: now });
    }

    /// Records that this VM received a new revision of the directory.
    pub fn record_advance(&mut self, now: Time) {
        self.advanced_at = Some(now);
    }

    /// Records an outage that has ended, unless the registry served other VMs in the meantime.
    fn record(&mut self, outage: Outage) {
        let served_others = self.advanced_at.is_some_and(|at| at > outage.started_at && at < outage.ended_at);
        if !served_others && self.last.is_none_or(|known| known.ended_at < outage.ended_at) {
            self.last = Some(outage);
        }
    }

    /// Returns whether the registry does not respond to this VM.
    pub fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Returns whether the registry responds neither to this VM nor, as far as it knows, to another one.
    pub fn is_away(&self) -> bool {
        self.lost_at.is_some_and(|lost_at| self.advanced_at.is_none_or(|at| at <= lost_at))
    }

    /// Returns the last outage if it ended less than `max_age_ms` ago.
    pub fn last_ended(&self, now: Time, max_age_ms: u64) -> Option<EndedOutage> {
        let outage = self.last.filter(|outage| now.since(outage.ended_at) < max_age_ms)?;
        let duration_ms = outage.ended_at.since(outage.started_at);
        Some(EndedOutage { age_ms: now.since(outage.ended_at), duration_ms })
    }

    /// Returns until when an upstream stays in use whose registration ends now, if the registration may
    /// merely have expired during an outage.
    ///
    /// `grace_ms` is the time in which upstreams register again after an outage. Since the upstream may
    /// also have left, it stays in use for less than `drain_ms`, the time within which all VMs have to stop
    /// sending requests to it.
    pub fn in_use_until(&self, now: Time, grace_ms: u64, drain_ms: u64) -> Option<Time> {
        let outage_age_ms = if self.is_away() { 0 } else { self.last_ended(now, grace_ms)?.age_ms };
        let drained_after_ms = drain_ms.saturating_sub(PROPAGATION_MS);
        Some(now.after((grace_ms - outage_age_ms).min(drained_after_ms)))
    }
}
