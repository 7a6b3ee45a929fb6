//! Which VMs watch the registry, how often one that got no answer asks again, and what is said of an outage.
//!
//! Answers the load of a whole fleet that starts while the registry is away: all VMs ask until one is answered,
//! which tells the others, so that a larger fleet needs fewer calls of each VM.

use std::time::Duration;

use jujubedoor_config::Name;

use crate::heartbeats;
use crate::placement;
use crate::rejection::NotReadyCause;
use crate::rejection::Rejection;
use crate::state::State;

/// The number of failure domains from which on one VM of each watches the registry.
const MANY_DOMAINS: usize = 3;

/// How long a VM may be behind others before it asks the registry itself, in milliseconds.
const MAX_BEHIND_MS: u64 = 800;

/// The pause before the registry is asked again that did not answer, in milliseconds.
const RETRY_DELAY_MS: u64 = 150;

/// The most VMs that ask after that pause; in a larger fleet each waits longer, so that the sum stays.
const MAX_VMS_AT_BASE_DELAY: usize = 12;

impl State {
    /// Tells whether this VM watches the registry itself; the others learn changes from those that do.
    ///
    /// A VM that the registry does not answer goes on asking, and the next of its failure domain takes over.
    pub fn watches_registry(&self) -> bool {
        let watchers = if self.peers.domains() < MANY_DOMAINS { 2 } else { 1 };
        self.registry_lost_at.is_some()
            || self.must_watch_registry
            || self.peers.is_among_watchers(watchers, self.now, self.tuning.peer_timeout_ms)
            || self.behind_since.is_some_and(|since| self.now.since(since) > MAX_BEHIND_MS)
    }

    /// Returns the pause before the registry is asked again that did not answer.
    pub fn registry_retry_delay(&self) -> Duration {
        let factor = u32::try_from(self.fleet_size().div_ceil(MAX_VMS_AT_BASE_DELAY)).unwrap_or(u32::MAX);
        Duration::from_millis(RETRY_DELAY_MS).saturating_mul(factor)
    }

    /// Turns a request away as long as no routes are known; the caller has a time left.
    pub fn reject_not_ready(&mut self, remaining_ms: u64) -> Rejection {
        let cause = match self.registry_lost_at {
            None => NotReadyCause::Starting,
            Some(_) if self.is_isolated() => NotReadyCause::Isolated,
            Some(_) => NotReadyCause::RegistryUnreachable,
        };
        Rejection::not_ready(remaining_ms, cause, &mut self.rng)
    }

    /// Tells whether this VM's failure domain reaches neither the registry nor any VM elsewhere.
    pub fn is_isolated(&self) -> bool {
        self.registry_lost_at.is_some()
            && self.peers.is_domain_isolated(self.now, self.tuning.peer_timeout_ms)
    }

    /// Tells whether the balancer should send callers here.
    ///
    /// A VM that is cut off with its failure domain goes on serving as long as the domain has upstreams for all;
    /// else VMs elsewhere serve its callers better.
    pub fn is_ready(&self) -> bool {
        let has_directory = self.directory.routes.is_some() && !self.upstreams.is_empty();
        has_directory && !self.leaving && !(self.is_isolated() && self.lacks_service())
    }

    /// Tells whether all upstreams of a service are out of reach.
    fn lacks_service(&self) -> bool {
        let serves = |service: &Name| {
            let mut of_service = self.upstreams.values().filter(|u| u.registration.service == *service);
            of_service.any(|u| placement::is_usable(self, u) && u.retry_at().is_none())
        };
        !self.services().iter().all(serves)
    }
}

/// Notes that the registry did not answer.
pub fn record_failure(state: &mut State) {
    if state.registry_lost_at.is_none() {
        state.registry_lost_at = Some(state.now);
        let inputs = vec![("revision", state.directory.revision.to_string())];
        state.log(None, "registry_lost", inputs);
        // Another VM of the failure domain takes over as soon as it hears of it.
        state.heartbeat_due = state.now;
        heartbeats::tick(state);
    }
}

/// Notes that the registry answered.
pub fn record_answer(state: &mut State) {
    state.must_watch_registry = false;
    if let Some(lost_at) = state.registry_lost_at.take() {
        state.registry_restored_at = Some(state.now);
        let inputs = vec![("away_ms", state.now.since(lost_at).to_string())];
        state.log(None, "registry_back", inputs);
    }
}
