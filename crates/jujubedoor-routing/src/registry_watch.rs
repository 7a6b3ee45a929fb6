//! Selection of the VMs that watch the registry, and behavior during an outage of the registry.
//!
//! When the whole fleet starts during an outage, all VMs call the registry until one of them gets a
//! response and informs the others. The larger the fleet, the fewer calls are needed from each VM.

use std::time::Duration;

use jujubedoor::ids::StoreRevision;
use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::heartbeats;
use crate::placement;
use crate::rejection::NotReadyCause;
use crate::rejection::Rejection;
use crate::run_evidence;
use crate::state::State;

/// Number of failure domains from which on one watcher per domain is enough; with fewer domains there
/// are two.
const MIN_DOMAINS_FOR_SINGLE_WATCHER: usize = 3;

/// Time for which a VM may lag behind others before it calls the registry itself, in milliseconds.
const MAX_BEHIND_MS: u64 = 800;

/// Divisor of the time within which changes have to be in force. A VM calls the registry itself with this part of it left,
/// if nothing has shown in the rest of it that its directory is still current.
const CHECK_TIME_DIVISOR: u64 = 4;

/// Time that a heartbeat may take, in milliseconds. It counts as taken, so that an age does not become younger each time
/// that VMs report it to each other.
const MAX_TRANSIT_MS: u64 = 60;

/// Delay before a failed call to the registry is retried, in milliseconds.
const RETRY_DELAY_MS: u64 = 150;

/// Number of VMs up to which [`RETRY_DELAY_MS`] applies. In a larger fleet the delay is longer, so that
/// the total rate of calls stays the same.
const MAX_VMS_AT_BASE_DELAY: usize = 12;

impl State {
    /// Returns whether this VM watches the registry itself; the other VMs receive changes from the
    /// watchers.
    ///
    /// If the registry does not respond to a watcher, that VM goes on calling it, and the next VM of its
    /// failure domain takes over.
    pub fn watches_registry(&self) -> bool {
        let watchers = if self.peers.domain_count() < MIN_DOMAINS_FOR_SINGLE_WATCHER { 2 } else { 1 };
        self.registry_outages.is_lost()
            || self.must_watch_registry
            || self.peers.is_among_watchers(watchers, self.now, self.tuning.peer_timeout_ms)
            || self.behind_since.is_some_and(|since| self.now.since(since) > MAX_BEHIND_MS)
    }

    /// Returns whether this VM has to check now whether the registry contains changes that it lacks.
    ///
    /// That is so if no watcher has confirmed the directory for a while, for example because all of them ended at
    /// once. Their silence alone does not show that they ended until the peer timeout has passed twice.
    pub fn must_check_registry(&self) -> bool {
        let in_force_ms = self.tuning.change_ms.min(self.tuning.drain_ms);
        let max_unconfirmed_ms = in_force_ms - in_force_ms / CHECK_TIME_DIVISOR;
        self.directory_confirmed_at.is_some_and(|at| self.now.since(at) > max_unconfirmed_ms)
    }

    /// Returns the delay before a failed call to the registry is retried.
    pub fn registry_retry_delay(&self) -> Duration {
        let factor = u32::try_from(self.fleet_size().div_ceil(MAX_VMS_AT_BASE_DELAY)).unwrap_or(u32::MAX);
        Duration::from_millis(RETRY_DELAY_MS).saturating_mul(factor)
    }

    /// Rejects a request because this VM has no routes yet. `remaining_ms` is the time until the
    /// request's deadline.
    pub fn reject_not_ready(&mut self, remaining_ms: u64) -> Rejection {
        let cause = if !self.registry_outages.is_lost() {
            NotReadyCause::Starting
        } else if self.is_isolated() {
            NotReadyCause::Isolated
        } else {
            NotReadyCause::RegistryUnreachable
        };
        Rejection::not_ready(remaining_ms, cause, &mut self.rng)
    }

    /// Returns whether this VM's failure domain reaches neither the registry nor any VM in another
    /// domain.
    pub fn is_isolated(&self) -> bool {
        self.registry_outages.is_lost()
            && self.peers.is_domain_isolated(self.now, self.tuning.peer_timeout_ms)
    }

    /// Returns whether the load balancer should send callers to this VM.
    ///
    /// A VM in an isolated failure domain stays ready as long as the domain has upstreams for all
    /// services. Otherwise VMs in other domains can serve its callers better.
    pub fn is_ready(&self) -> bool {
        let has_directory = self.directory.routes.is_some() && !self.upstreams.is_empty();
        has_directory && self.shutdown.is_none() && !(self.is_isolated() && self.lacks_service())
    }

    /// Returns whether there is a service without an upstream that is usable and reachable.
    fn lacks_service(&self) -> bool {
        let serves = |service: &Name| {
            let mut of_service = self.upstreams.values().filter(|u| u.registration.service == *service);
            of_service.any(|u| placement::is_usable(self, u) && u.retry_at().is_none())
        };
        !self.services().iter().all(serves)
    }
}

/// Handles a failed call to the registry.
pub fn record_failure(state: &mut State) {
    if state.registry_outages.record_failure(state.now) {
        let inputs = vec![("revision", state.directory.revision.number.to_string())];
        state.log(None, "registry_lost", inputs);
        // Another VM of the failure domain takes over as soon as it receives the heartbeat.
        state.heartbeat_due = state.now;
        heartbeats::tick(state);
    }
}

/// Handles a response of the registry.
pub fn record_response(state: &mut State) {
    state.must_watch_registry = false;
    state.directory_confirmed_at = Some(state.now);
    if let Some(away_ms) = state.registry_outages.record_response(state.now) {
        let inputs = vec![("away_ms", away_ms.to_string())];
        state.log(None, "registry_back", inputs);
    }
}

/// Handles the age that another VM reports for its directory. It holds for this VM's directory too, unless that is
/// the older one.
pub fn record_confirmation(state: &mut State, revision: StoreRevision, age_ms: Option<u64>) {
    let Some(age_ms) = age_ms.filter(|_| revision <= state.directory.revision) else { return };
    let confirmed_at = Time(state.now.0.saturating_sub(age_ms).saturating_sub(MAX_TRANSIT_MS));
    state.directory_confirmed_at = state.directory_confirmed_at.max(Some(confirmed_at));
    run_evidence::record_confirmation(state, confirmed_at);
}
