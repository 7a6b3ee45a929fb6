//! Which VMs watch the registry, how often one that got no answer asks again, and what is said of an outage.
//!
//! Answers the load of a whole fleet that starts while the registry is away: all VMs ask until one is answered,
//! which tells the others, so that a larger fleet needs fewer calls of each VM.

use std::time::Duration;

use jujubedoor_config::Name;

use crate::exchange;
use crate::placement;
use crate::refusal::Outlook;
use crate::refusal::Refusal;
use crate::state::State;

/// The number of failure domains from which on one VM of each watches the registry.
const MANY_DOMAINS: usize = 3;

/// How long a VM may be behind others before it asks the registry itself, in milliseconds.
const BEHIND_MOST_MS: u64 = 800;

/// The pause before the registry is asked again that did not answer, in milliseconds.
const TRIAL_PAUSE_MS: u64 = 150;

/// The most VMs that ask after that pause; in a larger fleet each waits longer, so that the sum stays.
const TRIAL_VMS: usize = 12;

impl State {
    /// Tells whether this VM watches the registry itself; the others learn changes from those that do.
    ///
    /// A VM that the registry does not answer goes on asking, and the next of its failure domain takes over.
    pub fn is_reader(&self) -> bool {
        let readers = if self.peers.domains() < MANY_DOMAINS { 2 } else { 1 };
        self.registry_lost.is_some()
            || self.told_to_read
            || self.peers.is_among_readers(readers, self.now, self.tuning.silent_ms)
            || self.behind_since.is_some_and(|since| self.now.since(since) > BEHIND_MOST_MS)
    }

    /// Returns the pause before the registry is asked again that did not answer.
    pub fn trial_pause(&self) -> Duration {
        let times = u32::try_from(self.fleet_size().div_ceil(TRIAL_VMS)).unwrap_or(u32::MAX);
        Duration::from_millis(TRIAL_PAUSE_MS).saturating_mul(times)
    }

    /// Turns a request away as long as no routes are known; the caller has a time left.
    pub fn refuse_unready(&mut self, left_ms: u64) -> Refusal {
        let outlook = match self.registry_lost {
            None => Outlook::Starting,
            Some(_) if self.is_cut_off() => Outlook::CutOff,
            Some(_) => Outlook::Waiting,
        };
        Refusal::not_ready(left_ms, outlook, &mut self.rng)
    }

    /// Tells whether this VM's failure domain reaches neither the registry nor any VM elsewhere.
    pub fn is_cut_off(&self) -> bool {
        self.registry_lost.is_some() && self.peers.is_domain_alone(self.now, self.tuning.silent_ms)
    }

    /// Tells whether the balancer should send callers here.
    ///
    /// A VM that is cut off with its failure domain goes on serving as long as the domain has upstreams for all;
    /// else VMs elsewhere serve its callers better.
    pub fn is_ready(&self) -> bool {
        let known = self.directory.routes.is_some() && !self.upstreams.is_empty();
        known && !self.leaving && !(self.is_cut_off() && self.misses_service())
    }

    /// Tells whether all upstreams of a service are out of reach.
    fn misses_service(&self) -> bool {
        let serves = |service: &Name| {
            let mut of_service = self.upstreams.values().filter(|u| u.registration.service == *service);
            of_service.any(|u| placement::is_usable(self, u) && u.tried_again_at().is_none())
        };
        !self.services().iter().all(serves)
    }
}

/// Notes that the registry did not answer.
pub fn lost(state: &mut State) {
    if state.registry_lost.is_none() {
        state.registry_lost = Some(state.now);
        let inputs = vec![("revision", state.directory.revision.to_string())];
        state.note(None, "registry_lost", inputs);
        // Another VM of the failure domain takes over as soon as it hears of it.
        state.beat_due = state.now;
        exchange::tick(state);
    }
}

/// Notes that the registry answered.
pub fn answered(state: &mut State) {
    state.told_to_read = false;
    if let Some(lost) = state.registry_lost.take() {
        state.registry_back = Some(state.now);
        let inputs = vec![("away_ms", state.now.since(lost).to_string())];
        state.note(None, "registry_back", inputs);
    }
}
