//! The upstreams of replays: their slots, queues, prompt caches and faults.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;

use jujubedoor_config::Name;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::directory::Registration;
use jujubedoor_routing::event::AttemptOutcome;
use rand::Rng;

use super::Action;
use super::Replay;

/// Time of one decoding step of an engine, in microseconds.
const STEP_US: u64 = 3_000;

/// Time that a transfer of cached parts between engines takes, in microseconds.
const TRANSFER_US: u64 = 10_000;

pub(super) struct Upstream {
    pub(super) domain: usize,
    pub(super) registration: Registration,
    pub(super) is_engine: bool,
    pub(super) is_up: bool,
    /// Share of its responses that are errors.
    pub(super) failing: f64,
    pub(super) run: u64,
    pub(super) running: u32,
    pub(super) waiting: VecDeque<Job>,
    pub(super) prefilled_until_us: u64,
    pub(super) cached: HashSet<u64>,
}

#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) vm: usize,
    pub(super) request: u64,
    pub(super) cache_from: Option<SocketAddr>,
}

impl Replay {
    /// Crashes all upstreams of a domain, whose registrations end later.
    pub fn crash_domain(&mut self, domain: usize) {
        let delay_us = self.site.remote_delay_us;
        for id in self.ids_in(domain) {
            let Some(upstream) = self.upstreams.get_mut(&id) else { continue };
            upstream.is_up = false;
            upstream.run += 1;
            upstream.running = 0;
            upstream.cached.clear();
            let waiting: Vec<Job> = upstream.waiting.drain(..).collect();
            let is_there = |action: &Action| matches!(action, Action::Finish(at, ..) if *at == id);
            let lost: Vec<u64> =
                self.actions.iter().filter(|(_, action)| is_there(action)).map(|(id, _)| *id).collect();
            let mut jobs = waiting;
            for action in lost {
                if let Some(Action::Finish(_, _, job)) = self.actions.remove(&action) {
                    jobs.push(job);
                }
            }
            for Job { vm, request, .. } in jobs {
                self.schedule(delay_us, Action::Ended(vm, request, AttemptOutcome::ConnectionLost));
            }
        }
    }

    /// Ends the registrations of a domain's upstreams.
    pub fn unregister_domain(&mut self, domain: usize) {
        for id in self.ids_in(domain) {
            self.publish(&Change::Unregistered(id));
        }
    }

    /// Starts new runs of a domain's upstreams, which are cold.
    pub fn restart_domain(&mut self, domain: usize, cold_ms: u64) {
        for id in self.ids_in(domain) {
            let Some(upstream) = self.upstreams.get_mut(&id) else { continue };
            upstream.is_up = true;
            upstream.registration.started += 1;
            upstream.registration.cold_ms = if upstream.is_engine { cold_ms } else { 0 };
            let registration = upstream.registration.clone();
            self.publish(&Change::Registered(id, registration));
        }
    }

    /// Sets the share of responses of a domain's upstreams that are errors.
    pub fn set_failing(&mut self, domain: usize, failing: f64) {
        for upstream in self.upstreams.values_mut().filter(|u| u.domain == domain) {
            upstream.failing = failing;
        }
    }

    /// Returns the maximum number of requests that an engine of a domain received within a second of a period.
    pub fn max_engine_arrivals_per_second(&self, domain: usize, from_ms: u64, until_ms: u64) -> usize {
        let engines = self.upstreams.iter().filter(|(_, u)| u.is_engine && u.domain == domain);
        let peak_of = |times: &Vec<u64>| {
            let in_period = |at: &u64| (from_ms..until_ms).contains(at);
            let times: Vec<u64> = times.iter().copied().filter(in_period).collect();
            let in_second =
                |first: &u64| times.iter().filter(|t| (*first..first + 1_000).contains(t)).count();
            times.iter().map(in_second).max().unwrap_or_default()
        };
        engines.filter_map(|(id, _)| self.sent_at_ms.get(id)).map(peak_of).max().unwrap_or_default()
    }

    fn ids_in(&self, domain: usize) -> Vec<Name> {
        self.upstreams.iter().filter(|(_, u)| u.domain == domain).map(|(id, _)| id.clone()).collect()
    }

    /// Begins a job in a free slot of an upstream.
    pub(super) fn begin(&mut self, id: &Name, job: Job) {
        let from_address = |at: SocketAddr| self.upstreams.values().find(|u| u.registration.address == at);
        let source = job.cache_from.and_then(from_address);
        let offered = source.map(|u| u.cached.clone()).unwrap_or_default();
        let source_domain = source.map(|u| u.domain);
        let (low, high) = self.site.plain_work_us;
        let work_us = self.rng.random_range(low..=high);
        let (now_us, tokens_per_ms) = (self.now_us, self.site.tokens_per_ms);
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        let Some(request) = self.requests.get_mut(&job.request) else { return };
        upstream.running += 1;
        let run = upstream.run;
        let (started_us, ended_us) = if upstream.is_engine {
            let mut begin_us = now_us.max(upstream.prefilled_until_us);
            request.prefilled = 0;
            for part in &request.call.parts {
                if upstream.cached.contains(&part.key) {
                    continue;
                }
                if offered.contains(&part.key) {
                    request.transferred += part.tokens;
                    if source_domain != Some(upstream.domain) {
                        request.transferred_far += part.tokens;
                    }
                    begin_us += TRANSFER_US;
                } else {
                    request.prefilled += part.tokens;
                }
                upstream.cached.insert(part.key);
            }
            let prefill_us = u64::from(request.prefilled) * 1_000 / tokens_per_ms;
            upstream.prefilled_until_us = begin_us + prefill_us;
            let started_us = begin_us + prefill_us + STEP_US;
            (started_us, started_us + request.response_tokens * STEP_US)
        } else {
            (now_us + work_us, now_us + work_us)
        };
        let domain = upstream.domain;
        let back_us = self.delay_us(job.vm, domain);
        self.schedule(started_us - now_us + back_us, Action::Started(job.vm, job.request));
        self.schedule(ended_us - now_us, Action::Finish(id.clone(), run, job));
    }

    pub(super) fn finish(&mut self, id: &Name, run: u64, job: &Job) {
        let Some(upstream) = self.upstreams.get_mut(id).filter(|u| u.run == run) else { return };
        upstream.running -= 1;
        let (domain, failing) = (upstream.domain, upstream.failing);
        let next = upstream.waiting.pop_front();
        let back_us = self.delay_us(job.vm, domain);
        let has_failed = failing > 0.0 && self.rng.random::<f64>() < failing;
        let outcome = if has_failed { AttemptOutcome::Failed(500) } else { AttemptOutcome::Complete };
        self.schedule(back_us, Action::Ended(job.vm, job.request, outcome));
        if let Some(next) = next {
            self.begin(id, next);
        }
    }
}
