//! Moves of ownership: a new owner learns which permits are in force before it grants any.
//!
//! The new owner asks every listed VM for the permits that it holds or granted. It grants nothing
//! until each has answered or stayed silent for the settle time, which is longer than the time for
//! which an owner that is cut off goes on granting. A silent VM may be paused while its calls run on:
//! if one stayed silent, the new owner also waits for a load report that shows such calls. A VM that
//! is asked stops granting itself; if its own view still names it as the owner later, it settles anew
//! before it grants again.

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

/// The period at which silent VMs are asked again, in milliseconds.
const ASK_AGAIN_MS: u64 = 300;

/// How long a former owner remembers the permits that it granted, in milliseconds.
const FORMER_MS: u64 = 60_000;

/// The progress of a new owner.
#[derive(Clone, Debug, Default)]
pub(super) struct Takeover {
    silent: BTreeSet<Name>,
    until: Time,
    needs_report: bool,
    report_from: Time,
    ask_again: Time,
    yielded_until: Time,
}

impl Takeover {
    /// Tells whether the owner may grant.
    pub(super) fn is_complete(&self, now: Time) -> bool {
        self.silent.is_empty() || (now >= self.until && !self.needs_report)
    }

    /// Notes a load report that was made at a time.
    pub(super) fn record_report(&mut self, made_at: Time) {
        if made_at >= self.report_from {
            self.needs_report = false;
        }
    }
}

/// What the last review of ownership was based on.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ReviewBasis {
    list: u64,
    documents: u64,
    out_of_use: Vec<Name>,
}

/// Takes and gives up ownership after the view or the documents changed.
pub fn review_ownership(state: &mut State) {
    if !state.is_view_confirmed() {
        return;
    }
    let basis = ReviewBasis {
        list: state.fleet.list().revision.0,
        documents: state.documents.digest(),
        out_of_use: state.fleet.unavailable_vms(state.now),
    };
    let unchanged = state.admissions.reviewed.as_ref() == Some(&basis);
    if unchanged && state.now < state.admissions.review_at {
        return;
    }
    state.admissions.reviewed = Some(basis);
    state.admissions.review_at = Time(u64::MAX);
    let mut taken = Vec::new();
    let upstreams: BTreeMap<_, _> =
        state.catalog.upstreams.iter().map(|(id, entry)| (id.clone(), entry.region.clone())).collect();
    state.admissions.owners = owners_of(state, &upstreams);
    for upstream in upstreams.keys() {
        let owns = state.admissions.owner(upstream) == Some(&state.fleet.local_vm().name);
        let book = state.admissions.by_upstream.get(upstream);
        let owned = book.is_some_and(|book| book.owned);
        let yielded_until = book.map_or(Time(0), |book| book.takeover.yielded_until);
        if owns && !owned && state.now < yielded_until {
            state.admissions.review_at = state.admissions.review_at.min(yielded_until);
        } else if owns && !owned {
            take(state, upstream);
            taken.push(upstream.clone());
        } else if owned && !owns {
            give_up(state, upstream);
        }
    }
    let gone: Vec<_> =
        state.admissions.by_upstream.keys().filter(|id| !upstreams.contains_key(*id)).cloned().collect();
    for upstream in gone {
        grant::dismiss(state, &upstream);
        state.admissions.by_upstream.remove(&upstream);
    }
    if !taken.is_empty() {
        state.broadcast(&Message::Redeclare(taken));
    }
}

/// Computes the owner of each upstream, so that requests need not scan the list of VMs.
fn owners_of(state: &State, upstreams: &BTreeMap<UpstreamId, Name>) -> BTreeMap<UpstreamId, Name> {
    let owner = |(upstream, region): (&UpstreamId, &Name)| {
        let owner = state.fleet.owner(&upstream.0, region, state.now)?;
        Some((upstream.clone(), owner.clone()))
    };
    upstreams.iter().filter_map(owner).collect()
}

/// Gives up all ownership when the view went stale: others may have taken over in the meantime.
///
/// A VM that was paused thus settles anew before it grants, although its view never named another.
pub fn expire_ownership(state: &mut State) {
    if state.is_view_confirmed() {
        return;
    }
    let owned: Vec<_> = state.admissions.owned().map(|(id, _)| id.clone()).collect();
    for upstream in owned {
        give_up(state, &upstream);
    }
    state.admissions.review_at = state.now;
}

/// Answers a new owner and stops granting on its upstreams.
pub fn handle_redeclare(state: &mut State, from: &VmRef, upstreams: &[UpstreamId]) {
    let yielded_until = state.now.after(state.tuning.takeover_wait_ms);
    for upstream in upstreams {
        let mut permits = state.entry.declared_permits(upstream, state.fleet.local_vm());
        if let Some(book) = state.admissions.by_upstream.get_mut(upstream) {
            let granted = book.declared_permits();
            let known: BTreeSet<_> = permits.iter().map(|permit| permit.permit).collect();
            permits.extend(granted.into_iter().filter(|permit| !known.contains(&permit.permit)));
            if book.owned {
                book.owned = false;
                book.changed_at = state.now;
                book.takeover.yielded_until = yielded_until;
                state.admissions.review_at = state.admissions.review_at.min(yielded_until);
            }
        }
        grant::dismiss(state, upstream);
        let declared = Declared { upstream: upstream.clone(), permits };
        state.send(&from.name, Message::Declared(declared));
    }
}

/// Takes the permits that another VM holds or granted.
pub fn adopt_permits(state: &mut State, from: &VmRef, declared: Declared) {
    let now = state.now;
    let Some(book) = state.admissions.by_upstream.get_mut(&declared.upstream) else { return };
    for permit in declared.permits {
        let held = ActivePermit { permit, crash_attributed: false, since: now };
        book.held.entry(held.permit.permit).or_insert(held);
    }
    book.record_active_permits(now);
    book.takeover.silent.remove(&from.name);
    grant::serve_queue(state, &declared.upstream);
}

/// Asks silent VMs again and forgets what a former owner no longer needs.
pub(super) fn tick(state: &mut State) {
    let now = state.now;
    let mut asks: BTreeMap<Name, Vec<UpstreamId>> = BTreeMap::new();
    for (upstream, book) in &mut state.admissions.by_upstream {
        let takeover = &mut book.takeover;
        if !book.owned || takeover.is_complete(now) || now < takeover.ask_again {
            continue;
        }
        takeover.ask_again = now.after(ASK_AGAIN_MS);
        for name in &takeover.silent {
            asks.entry(name.clone()).or_default().push(upstream.clone());
        }
    }
    for (name, upstreams) in asks {
        state.send(&name, Message::Redeclare(upstreams));
    }
    state.admissions.by_upstream.retain(|_, book| book.owned || now.since(book.changed_at) <= FORMER_MS);
}

fn take(state: &mut State, upstream: &UpstreamId) {
    let now = state.now;
    let tuning = state.tuning;
    let silent: BTreeSet<_> = state.fleet.peers().map(|vm| vm.name.clone()).collect();
    let me = state.fleet.local_vm().clone();
    let own = state.entry.declared_permits(upstream, &me);
    let reports = state.catalog.upstreams.get(upstream).is_some_and(|entry| entry.upstream.reports);
    let book = state
        .admissions
        .by_upstream
        .entry(upstream.clone())
        .or_insert_with(|| UpstreamState::new(now, &tuning));
    book.owned = true;
    book.changed_at = now;
    book.takeover = Takeover {
        silent,
        until: now.after(tuning.takeover_wait_ms),
        needs_report: reports,
        report_from: now.after(tuning.max_view_age_ms),
        ask_again: now.after(ASK_AGAIN_MS),
        yielded_until: Time(0),
    };
    state.record(None, Some(upstream), TimelineEvent::OwnershipTaken);
    adopt_permits(state, &me, Declared { upstream: upstream.clone(), permits: own });
}

fn give_up(state: &mut State, upstream: &UpstreamId) {
    let now = state.now;
    if let Some(book) = state.admissions.by_upstream.get_mut(upstream) {
        book.owned = false;
        book.changed_at = now;
    }
    grant::dismiss(state, upstream);
    state.record(None, Some(upstream), TimelineEvent::OwnershipLost);
}
