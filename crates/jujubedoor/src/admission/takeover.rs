//! Takeover of ownership: a new owner collects the active permits before it grants any.
//!
//! The new owner asks every listed VM to declare the permits that the VM holds or granted. It grants nothing
//! until each VM has responded or the takeover wait has passed. The takeover wait is longer than the time for
//! which an owner that has lost contact with the fleet continues to grant.
//!
//! A VM that does not respond may be paused while its calls are still running. If a VM has not responded and
//! the upstream publishes load reports, the new owner therefore also waits for a report that includes such
//! calls.
//!
//! A VM that receives the request stops granting. If its own view still names it as the owner later, it
//! performs a takeover itself before it grants again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jujubedoor_config::Name;

use super::ActivePermit;
use super::UpstreamState;
use super::grant;
use crate::event::TimelineEvent;
use crate::ids::Time;
use crate::ids::UpstreamId;
use crate::ids::VmRef;
use crate::message::Declared;
use crate::message::Message;
use crate::state::State;

/// Interval at which VMs that have not declared their permits are asked again, in milliseconds.
const REDECLARE_INTERVAL_MS: u64 = 300;

/// Time for which a former owner remembers the permits that it granted, in milliseconds.
const FORMER_OWNER_RETENTION_MS: u64 = 60_000;

/// The progress of a takeover.
#[derive(Clone, Debug, Default)]
pub(super) struct Takeover {
    unanswered: BTreeSet<Name>,
    deadline: Time,
    needs_report: bool,
    /// Earliest time of a load report that counts.
    min_report_time: Time,
    next_request_at: Time,
    /// Time until which this VM does not take over again, after another VM has announced itself as the owner.
    yielded_until: Time,
}

impl Takeover {
    /// Returns whether the takeover is complete, so that the owner may grant permits.
    pub(super) fn is_complete(&self, now: Time) -> bool {
        self.unanswered.is_empty() || (now >= self.deadline && !self.needs_report)
    }

    /// Records a load report that was made at `made_at`.
    pub(super) fn record_report(&mut self, made_at: Time) {
        if made_at >= self.min_report_time {
            self.needs_report = false;
        }
    }
}

/// The inputs of the last review of ownership.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ReviewBasis {
    list_revision: u64,
    documents_digest: u64,
    unavailable_vms: Vec<Name>,
}

/// Takes over and relinquishes ownership after the fleet view or the documents have changed.
pub fn review_ownership(state: &mut State) {
    if !state.is_view_confirmed() {
        return;
    }
    let current_basis = ReviewBasis {
        list_revision: state.fleet.list().revision.0,
        documents_digest: state.documents.digest(),
        unavailable_vms: state.fleet.unavailable_vms(state.now),
    };
    let unchanged = state.admissions.last_review.as_ref() == Some(&current_basis);
    if unchanged && state.now < state.admissions.next_review {
        return;
    }
    state.admissions.last_review = Some(current_basis);
    state.admissions.next_review = Time(u64::MAX);
    let mut taken_over = Vec::new();
    let regions: BTreeMap<_, _> =
        state.catalog.upstreams.iter().map(|(id, entry)| (id.clone(), entry.region.clone())).collect();
    state.admissions.owners = owners_of(state, &regions);
    for upstream in regions.keys() {
        let should_own = state.admissions.owner(upstream) == Some(&state.fleet.local_vm().name);
        let upstream_state = state.admissions.by_upstream.get(upstream);
        let is_owner = upstream_state.is_some_and(|upstream_state| upstream_state.owned);
        let yielded_until =
            upstream_state.map_or(Time(0), |upstream_state| upstream_state.takeover.yielded_until);
        if should_own && !is_owner && state.now < yielded_until {
            state.admissions.next_review = state.admissions.next_review.min(yielded_until);
        } else if should_own && !is_owner {
            start_takeover(state, upstream);
            taken_over.push(upstream.clone());
        } else if is_owner && !should_own {
            relinquish(state, upstream);
        }
    }
    let undeclared: Vec<_> =
        state.admissions.by_upstream.keys().filter(|id| !regions.contains_key(*id)).cloned().collect();
    for upstream in undeclared {
        grant::deny_queued(state, &upstream);
        state.admissions.by_upstream.remove(&upstream);
    }
    if !taken_over.is_empty() {
        state.broadcast(&Message::Redeclare(taken_over));
    }
}

/// Computes the owner of each upstream, so that requests do not need to scan the list of VMs.
fn owners_of(state: &State, regions: &BTreeMap<UpstreamId, Name>) -> BTreeMap<UpstreamId, Name> {
    let owner = |(upstream, region): (&UpstreamId, &Name)| {
        let owner = state.fleet.owner(&upstream.0, region, state.now)?;
        Some((upstream.clone(), owner.clone()))
    };
    regions.iter().filter_map(owner).collect()
}

/// Relinquishes all ownership if the fleet view is stale, because other VMs may have taken over.
///
/// A VM that was paused therefore performs a takeover before it grants again, although its view never
/// named another owner.
pub fn expire_ownership(state: &mut State) {
    if state.is_view_confirmed() {
        return;
    }
    let owned: Vec<_> = state.admissions.owned().map(|(id, _)| id.clone()).collect();
    for upstream in owned {
        relinquish(state, &upstream);
    }
    state.admissions.next_review = state.now;
}

/// Handles the request of a new owner: declares the active permits and stops granting.
pub fn handle_redeclare(state: &mut State, from: &VmRef, upstreams: &[UpstreamId]) {
    let yielded_until = state.now.after(state.tuning.takeover_wait_ms);
    for upstream in upstreams {
        let mut permits = state.entry.declared_permits(upstream, state.fleet.local_vm());
        if let Some(upstream_state) = state.admissions.by_upstream.get_mut(upstream) {
            let granted = upstream_state.declared_permits();
            let held_ids: BTreeSet<_> = permits.iter().map(|permit| permit.permit).collect();
            permits.extend(granted.into_iter().filter(|permit| !held_ids.contains(&permit.permit)));
            if upstream_state.owned {
                upstream_state.owned = false;
                upstream_state.ownership_changed_at = state.now;
                upstream_state.takeover.yielded_until = yielded_until;
                state.admissions.next_review = state.admissions.next_review.min(yielded_until);
            }
        }
        grant::deny_queued(state, upstream);
        let declared = Declared { upstream: upstream.clone(), permits };
        state.send(&from.name, Message::Declared(declared));
    }
}

/// Adopts the permits that another VM holds or granted.
pub fn adopt_permits(state: &mut State, from: &VmRef, declared: Declared) {
    let now = state.now;
    let Some(upstream_state) = state.admissions.by_upstream.get_mut(&declared.upstream) else { return };
    for permit in declared.permits {
        let active = ActivePermit { permit, crash_attributed: false, checked_at: now };
        upstream_state.active_permits.entry(active.permit.permit).or_insert(active);
    }
    upstream_state.record_active_permits(now);
    upstream_state.takeover.unanswered.remove(&from.name);
    grant::serve_queue(state, &declared.upstream);
}

/// Asks VMs that have not declared their permits again, and discards the state of upstreams that this VM
/// stopped owning long ago.
pub(super) fn tick(state: &mut State) {
    let now = state.now;
    let mut requests: BTreeMap<Name, Vec<UpstreamId>> = BTreeMap::new();
    for (upstream, upstream_state) in &mut state.admissions.by_upstream {
        let takeover = &mut upstream_state.takeover;
        if !upstream_state.owned || takeover.is_complete(now) || now < takeover.next_request_at {
            continue;
        }
        takeover.next_request_at = now.after(REDECLARE_INTERVAL_MS);
        for name in &takeover.unanswered {
            requests.entry(name.clone()).or_default().push(upstream.clone());
        }
    }
    for (name, upstreams) in requests {
        state.send(&name, Message::Redeclare(upstreams));
    }
    state.admissions.by_upstream.retain(|_, upstream_state| {
        upstream_state.owned || now.since(upstream_state.ownership_changed_at) <= FORMER_OWNER_RETENTION_MS
    });
}

fn start_takeover(state: &mut State, upstream: &UpstreamId) {
    let now = state.now;
    let tuning = state.tuning;
    let unanswered: BTreeSet<_> = state.fleet.peers().map(|vm| vm.name.clone()).collect();
    let me = state.fleet.local_vm().clone();
    let own_permits = state.entry.declared_permits(upstream, &me);
    let sends_reports = state.catalog.upstreams.get(upstream).is_some_and(|entry| entry.upstream.reports);
    let upstream_state = state
        .admissions
        .by_upstream
        .entry(upstream.clone())
        .or_insert_with(|| UpstreamState::new(now, &tuning));
    upstream_state.owned = true;
    upstream_state.ownership_changed_at = now;
    upstream_state.takeover = Takeover {
        unanswered,
        deadline: now.after(tuning.takeover_wait_ms),
        needs_report: sends_reports,
        min_report_time: now.after(tuning.max_view_age_ms),
        next_request_at: now.after(REDECLARE_INTERVAL_MS),
        yielded_until: Time(0),
    };
    state.record(None, Some(upstream), TimelineEvent::OwnershipTaken);
    adopt_permits(state, &me, Declared { upstream: upstream.clone(), permits: own_permits });
}

fn relinquish(state: &mut State, upstream: &UpstreamId) {
    let now = state.now;
    if let Some(upstream_state) = state.admissions.by_upstream.get_mut(upstream) {
        upstream_state.owned = false;
        upstream_state.ownership_changed_at = now;
    }
    grant::deny_queued(state, upstream);
    state.record(None, Some(upstream), TimelineEvent::OwnershipLost);
}
