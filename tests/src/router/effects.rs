//! Effects of VMs and what follows from them at upstreams and other VMs.

use jujubedoor::ids::Incarnation;
use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use jujubedoor_routing::Effect;
use jujubedoor_routing::Event;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Dispatch;
use jujubedoor_routing::event::ProbeOutcome;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::event::ResponseSignals;
use jujubedoor_routing::upstream_notices::Notice;
use jujubedoor_routing::upstream_watch::WatchReport;
use rand::Rng;

use super::Action;
use super::DOMAINS;
use super::Fleet;
use super::PEER_DELAY_MS;
use super::TICK_INTERVAL_MS;
use super::UPSTREAM_DELAY_MS;
use super::Watch;

/// Interval at which a VM checks a connection that watches an upstream, in milliseconds.
const WATCH_CHECK_INTERVAL_MS: u64 = 100;

impl Fleet {
    pub(super) fn apply_effect(&mut self, vm: usize, effect: Effect) {
        match effect {
            Effect::Dispatch(id, dispatch) => {
                let incarnation = self.incarnation_of(vm);
                let call = id;
                if let Some(urgency) = dispatch.urgency {
                    self.urgencies.insert(call, urgency);
                }
                self.schedule(UPSTREAM_DELAY_MS, Action::Arrive(vm, incarnation, id, call, dispatch));
            }
            Effect::Reply(id, reply) => {
                self.replies.insert(id, Some(reply));
                self.send_event(vm, Event::RequestClosed(id));
            }
            Effect::Probe(id, _) => {
                *self.probes.entry(vm).or_default() += 1;
                let outcome =
                    if (self.reachable)(vm, &id) { ProbeOutcome::Opened } else { self.probe_failure };
                self.schedule(UPSTREAM_DELAY_MS, Action::Deliver(vm, Event::ProbeCompleted(id, outcome)));
            }
            Effect::Heartbeat(to, heartbeat) => {
                *self.heartbeats.entry(vm).or_default() += 1;
                self.speed_reports += heartbeat.speeds.len();
                let Some(to) = self.vm_at(to) else { return };
                if vm % DOMAINS != to % DOMAINS {
                    let announced = heartbeat.streams.iter().map(|group| group.streams.len());
                    self.remote_announcements += announced.sum::<usize>();
                }
                if (self.linked)(vm, to) {
                    self.schedule(
                        self.heartbeat_delay_ms,
                        Action::Deliver(to, Event::HeartbeatReceived(Box::new((*heartbeat).clone()))),
                    );
                }
            }
            Effect::FetchDirectory { from, after, needs_all } => {
                self.fetches += 1;
                let Some(from) = self.vm_at(from).filter(|from| (self.linked)(vm, *from)) else { return };
                if let Some(state) = &self.vms[from] {
                    let delta = Box::new(state.delta(after, needs_all));
                    self.schedule(2 * PEER_DELAY_MS, Action::Deliver(vm, Event::DeltaReceived(delta)));
                }
            }
            Effect::FetchCacheIndex(from) => {
                let Some(from) = self.vm_at(from).filter(|from| (self.linked)(vm, *from)) else { return };
                if let Some(state) = &self.vms[from] {
                    let records = state.cache_index.list(state.now, state.tuning.cache_lifetime_ms);
                    self.schedule(2 * PEER_DELAY_MS, Action::Deliver(vm, Event::CacheIndexReceived(records)));
                }
            }
            Effect::FetchStreamOrigins(from) => {
                let Some(from) = self.vm_at(from).filter(|from| (self.linked)(vm, *from)) else { return };
                if let Some(state) = &self.vms[from] {
                    let event = Event::StreamOriginsReceived(state.stream_origins.list(state.now));
                    self.schedule(2 * PEER_DELAY_MS, Action::Deliver(vm, event));
                }
            }
            Effect::FetchStreamOrigin(from, stream) => {
                let from = self.vm_at(from).filter(|from| (self.linked)(vm, *from));
                let Some(state) = from.and_then(|from| self.vms[from].as_ref()) else { return };
                let origin = state.stream_origins.record_of(stream, state.now);
                let event = Event::StreamOriginReceived(stream, origin);
                self.schedule(2 * PEER_DELAY_MS, Action::Deliver(vm, event));
            }
            Effect::CheckRegistry => self.check_registry(vm),
            Effect::WatchUpstream { upstream, started, open_ms, report_ms, trust_ms, .. } => {
                let opened_at = self.now + UPSTREAM_DELAY_MS;
                let closes_at = self.idle_timeout_ms.map(|timeout_ms| opened_at + timeout_ms);
                let (ends_at, trusted_until) = (opened_at + open_ms, opened_at + trust_ms);
                let watch =
                    Watch { upstream, started, opened_at, closes_at, ends_at, report_ms, trusted_until };
                self.watch(vm, watch);
            }
            Effect::ListCache(id, _) => self.events.push((vm, if id.is_empty() { "" } else { "list_cache" })),
            Effect::Decision(decision) => {
                self.searches += usize::from(decision.event == "run_sought");
                self.events.push((vm, decision.event));
            }
        }
    }

    pub(super) fn perform(&mut self, action: Action) {
        match action {
            Action::Tick(vm, incarnation) => {
                if self.incarnation_of(vm) == incarnation && self.vms[vm].is_some() {
                    self.send_event(vm, Event::Tick);
                    self.schedule(TICK_INTERVAL_MS, Action::Tick(vm, incarnation));
                }
            }
            Action::Deliver(vm, event) => self.send_event(vm, event),
            Action::Arrive(vm, incarnation, id, call, dispatch) => {
                self.arrive(vm, incarnation, id, call, dispatch);
            }
            Action::Continue(vm, incarnation, id, upstream) => {
                if self.incarnation_of(vm) == incarnation && self.serves(vm, id, &upstream) {
                    self.send_event(
                        vm,
                        Event::StreamContinued {
                            request: id,
                            open_ms: self.registration_delay_ms(),
                            quiet_ms: 0,
                        },
                    );
                }
            }
            Action::ReportWatch(vm, incarnation, watch) => {
                if self.incarnation_of(vm) == incarnation {
                    self.report_watch(vm, watch);
                }
            }
            Action::Finish(vm, incarnation, id, upstream, outcome) => {
                *self.running.entry(upstream).or_default() -= 1;
                if self.incarnation_of(vm) != incarnation {
                    return;
                }
                self.send_event(vm, Event::AttemptEnded(id, outcome));
                if outcome == AttemptOutcome::Complete && self.replies.get(&id) == Some(&None) {
                    self.replies.insert(id, Some(Reply::ForwardResponse));
                    self.send_event(vm, Event::RequestClosed(id));
                }
            }
        }
    }

    fn arrive(&mut self, vm: usize, incarnation: Incarnation, id: u64, call: u64, dispatch: Dispatch) {
        let behavior = (self.upstream_behavior)(&dispatch.upstream, call, self.rng.random());
        let reached = !matches!(
            behavior.outcome,
            AttemptOutcome::Unreachable | AttemptOutcome::Refused | AttemptOutcome::Unsent
        );
        if reached {
            self.arrivals.entry(dispatch.upstream.clone()).or_default().push((self.now, call));
        }
        if behavior.runs {
            *self.runs.entry(call).or_default() += 1;
        }
        let upstreams = u32::try_from(self.directory.upstreams.len()).expect("few");
        let mean = f64::from(self.running.values().sum::<u32>()) / f64::from(upstreams.max(1));
        let running = self.running.entry(dispatch.upstream.clone()).or_default();
        self.overloaded_at_arrival.push(f64::from(*running) > 2.0 * mean + 3.0);
        *running += 1;
        let peak = self.peaks.entry(dispatch.upstream.clone()).or_default();
        *peak = (*peak).max(*running);
        let prefill_time = self.prefill_time.as_ref();
        let prefill_ms =
            prefill_time.map_or(self.prefill_ms, |time| time(&dispatch.upstream, call, self.now));
        let begins = behavior.runs && self.incarnation_of(vm) == incarnation;
        if begins {
            let rate_limit = (self.rate_limit)(&dispatch.upstream, self.now);
            let named = Event::RateLimitNamed(dispatch.upstream.clone(), rate_limit);
            self.schedule(prefill_ms + UPSTREAM_DELAY_MS, Action::Deliver(vm, named));
        }
        if begins {
            let is_stream = self.streams.contains(&id);
            self.opened_at.insert(id, self.now.saturating_sub(self.connection_age_ms));
            let began =
                is_stream.then_some(Event::StreamBegan { request: id, open_ms: self.connection_age_ms });
            let load = (self.load)(&dispatch.upstream, self.now + prefill_ms);
            let speed = load.and_then(|load| load.speed);
            let named = speed.map(|speed| Event::SpeedNamed(dispatch.upstream.clone(), speed));
            let started = Event::ResponseStarted(id, ResponseSignals { load });
            for event in began.into_iter().chain(named).chain([started]) {
                if prefill_ms == 0 {
                    self.send_event(vm, event);
                } else {
                    self.schedule(prefill_ms, Action::Deliver(vm, event));
                }
            }
        }
        let notice = Notice { started: dispatch.started, ..(self.notice)(&dispatch.upstream, self.now) };
        if reached && self.incarnation_of(vm) == incarnation && notice != silent(dispatch.started) {
            let event = Event::NoticeReceived(dispatch.upstream.clone(), notice);
            self.schedule(prefill_ms, Action::Deliver(vm, event));
        }
        let work_ms = prefill_ms + behavior.work_ms;
        let shown_in_ms = self.registration_delay_ms().saturating_sub(self.connection_age_ms);
        if begins && self.streams.contains(&id) && (1..work_ms).contains(&shown_in_ms) {
            let upstream = dispatch.upstream.clone();
            self.schedule(shown_in_ms, Action::Continue(vm, incarnation, id, upstream));
        }
        self.schedule(work_ms, Action::Finish(vm, incarnation, id, dispatch.upstream, behavior.outcome));
    }

    /// Returns whether an upstream still serves a request of a VM.
    fn serves(&self, vm: usize, id: u64, upstream: &Name) -> bool {
        let is_served = |action: &Action| match action {
            Action::Finish(by, _, request, at, outcome) => {
                (*by, *request) == (vm, id) && at == upstream && *outcome != AttemptOutcome::ConnectionLost
            }
            _ => false,
        };
        self.actions.values().any(is_served)
    }

    /// Opens a connection that watches an upstream, unless the VM cannot reach it.
    fn watch(&mut self, vm: usize, watch: Watch) {
        self.watches += 1;
        if (self.reachable)(vm, &watch.upstream) {
            let incarnation = self.incarnation_of(vm);
            self.schedule(UPSTREAM_DELAY_MS, Action::ReportWatch(vm, incarnation, watch));
        } else {
            self.schedule(UPSTREAM_DELAY_MS, Action::Deliver(vm, watch.event(WatchReport::Failed)));
        }
    }

    /// Reports that a connection which watches an upstream is open, and goes on until its end.
    fn report_watch(&mut self, vm: usize, watch: Watch) {
        let opened_at = Time(watch.opened_at);
        if watch.closes_at.is_some_and(|at| at <= self.now) {
            let open_at = Time(self.now.saturating_sub(WATCH_CHECK_INTERVAL_MS)).max(opened_at);
            self.send_event(vm, watch.event(WatchReport::Closed { opened_at, open_at }));
            return;
        }
        let open_at = Time(self.now);
        if self.now <= watch.trusted_until {
            self.send_event(vm, watch.event(WatchReport::Open { opened_at, open_at }));
        }
        if self.now < watch.ends_at {
            let incarnation = self.incarnation_of(vm);
            let ends_at = watch.closes_at.map_or(watch.ends_at, |at| at.min(watch.ends_at));
            let delay_ms = watch.report_ms.min(ends_at - self.now);
            self.schedule(delay_ms, Action::ReportWatch(vm, incarnation, watch));
        }
    }
}

/// Returns the notice of a run of an upstream that says nothing about itself.
pub(super) fn silent(started: u64) -> Notice {
    Notice { started, ..Notice::default() }
}
