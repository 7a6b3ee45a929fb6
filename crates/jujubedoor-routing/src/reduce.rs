//! The reducer, the only place where events change the state.

use jujubedoor::ids::StoreRevision;
use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::cache_recovery;
use crate::crash_attribution;
use crate::directory::Change;
use crate::directory::Delta;
use crate::directory::Directory;
use crate::domain_crossing;
use crate::domain_suspicion;
use crate::event::Effect;
use crate::event::Event;
use crate::health;
use crate::heartbeats;
use crate::lifecycle;
use crate::message::Heartbeat;
use crate::queue_service;
use crate::rate_limit;
use crate::registrations;
use crate::registry_outage::EndedOutage;
use crate::registry_watch;
use crate::restored_registry;
use crate::resumed_streams;
use crate::route_moves;
use crate::run_evidence;
use crate::shutdown;
use crate::software;
use crate::speed;
use crate::state::State;
use crate::stream_origins;
use crate::upstream_notices;
use crate::upstream_watch;
use crate::urgency;

/// Time for which a VM that watches the registry may lag behind another VM before it fetches the changes
/// from there, in milliseconds.
const FETCH_DELAY_MS: u64 = 300;

/// Minimum interval between two fetches of another VM's directory, in milliseconds.
const FETCH_INTERVAL_MS: u64 = 200;

/// Time within which a lost connection is attributed to a crash of the upstream, in milliseconds.
const CRASH_ATTRIBUTION_MS: u64 = 1_500;

/// Applies an event to the state and returns the effects for the I/O layer to carry out.
///
/// Time never goes backwards: if `now` is before the time of an earlier event, that time is used.
pub fn reduce(state: &mut State, now: Time, event: Event) -> Vec<Effect> {
    run_evidence::record_event(state, now);
    state.now = state.now.max(now);
    match event {
        Event::Tick => tick(state),
        Event::RequestArrived(request, call) => lifecycle::handle_arrival(state, request, *call),
        Event::ResponseStarted(request, signals) => {
            lifecycle::handle_response_start(state, request, signals);
            queue_service::serve(state);
        }
        Event::ConnectionOpened(id, round_trip_us) => {
            domain_crossing::record_round_trip(state, &id, round_trip_us);
        }
        Event::RateLimitNamed(id, per_s) => {
            rate_limit::record_named(state, &id, per_s);
            queue_service::serve(state);
        }
        Event::SpeedNamed(id, named) => speed::record_named(state, &id, named),
        Event::NoticeReceived(id, notice) => {
            upstream_notices::record(state, &id, notice);
            queue_service::serve(state);
        }
        Event::StreamBegan { request, open_ms } => stream_origins::record_begin(state, request, open_ms),
        Event::DeliveryBegan(request) => lifecycle::record_delivery(state, request),
        Event::StreamContinued { request, open_ms, quiet_ms } => {
            lifecycle::handle_stream_continued(state, request, open_ms, quiet_ms);
        }
        Event::UpstreamWatched { upstream, started, report } => {
            upstream_watch::record(state, &upstream, started, report);
            queue_service::serve(state);
        }
        Event::AttemptEnded(request, outcome) => {
            lifecycle::handle_attempt_end(state, request, outcome);
            queue_service::serve(state);
        }
        Event::RequestClosed(request) => {
            lifecycle::handle_close(state, request);
            queue_service::serve(state);
        }
        Event::ChangesPublished(revision, changes) => {
            registry_watch::record_response(state);
            apply_changes(state, revision, changes);
            if revision.epoch == state.directory.revision.epoch {
                run_evidence::record_confirmation(state, state.now);
            }
        }
        Event::DirectoryLoaded(directory) => {
            software::record_read(state, directory.revision);
            registry_watch::record_response(state);
            if replace_directory(state, *directory, "registry") {
                run_evidence::record_confirmation(state, state.now);
            }
        }
        Event::DeltaReceived(delta) => apply_delta(state, *delta),
        Event::RegistryUnreachable => registry_watch::record_failure(state),
        Event::ProbeCompleted(id, outcome) => {
            health::probe_completed(state, &id, outcome);
            queue_service::serve(state);
        }
        Event::HeartbeatReceived(heartbeat) => {
            if heartbeats::receive(state, &heartbeat) {
                let (revision, age_ms) = (heartbeat.revision, heartbeat.directory_age_ms);
                apply_pushed_changes(state, *heartbeat);
                registry_watch::record_confirmation(state, revision, age_ms);
            }
            fetch_missing_changes(state);
        }
        Event::CacheIndexReceived(records) => cache_recovery::add_received(state, records),
        Event::StreamOriginsReceived(origins) => stream_origins::add_listed(state, &origins),
        Event::StreamOriginReceived(stream, origin) => {
            resumed_streams::record_response(state, stream, origin);
        }
        Event::RegistryChecked { succeeded } => resumed_streams::record_check(state, succeeded),
        Event::SoftwareHistoryRead { period_ms, versions } => {
            software::record_history(state, period_ms, &versions);
        }
        Event::CacheListed(id, parts) => cache_recovery::add_listed(state, &id, &parts),
        Event::Leaving { exits_in_ms } => shutdown::begin(state, exits_in_ms),
    }
    std::mem::take(&mut state.effects)
}

fn tick(state: &mut State) {
    let now = state.now;
    state.started.get_or_insert(now);
    registrations::remove_expired(state);
    registrations::end_unconfirmed_evacuations(state);
    state.connection_losses.retain(|loss| now.since(loss.at) < CRASH_ATTRIBUTION_MS);
    domain_crossing::tick(state);
    queue_service::serve(state);
    heartbeats::tick(state);
    domain_suspicion::tick(state);
    crash_attribution::tick(state);
    fetch_missing_changes(state);
    cache_recovery::tick(state);
    stream_origins::tick(state);
    upstream_watch::tick(state);
    run_evidence::tick(state);
    resumed_streams::tick(state);
}

/// Applies the changes of the directory in a heartbeat, unless there are earlier ones that this VM lacks.
fn apply_pushed_changes(state: &mut State, heartbeat: Heartbeat) {
    let known = state.directory.revision;
    let Some(recent) = heartbeat.changes.filter(|recent| recent.after <= known) else { return };
    if heartbeat.revision > known {
        record_reported_outage(state, recent.last_outage);
        apply_changes(state, heartbeat.revision, recent.changes);
    }
}

/// Fetches missing changes of the directory from a VM that has a higher revision, or that knows changes which the
/// registry has lost.
fn fetch_missing_changes(state: &mut State) {
    let now = state.now;
    let Some(ahead) = state.peers.ahead_of(state.directory.revision, now, state.tuning.peer_timeout_ms)
    else {
        state.behind_since = None;
        fetch_lost_changes(state);
        return;
    };
    let since = *state.behind_since.get_or_insert(now);
    let is_watching = state.watches_registry() && !state.registry_outages.is_lost();
    let wait_ms = if is_watching { FETCH_DELAY_MS } else { 0 };
    if now.since(since) >= wait_ms && now >= state.directory_fetch_due {
        state.directory_fetch_due = now.after(FETCH_INTERVAL_MS);
        let needs_all = state.registry_outages.is_lost();
        state.effects.push(Effect::FetchDirectory {
            from: ahead,
            after: state.directory.revision,
            needs_all,
        });
    }
}

/// Fetches the directory of a VM that knows changes which the registry has lost, once in each epoch.
fn fetch_lost_changes(state: &mut State) {
    let now = state.now;
    if now < state.directory_fetch_due || !restored_registry::needs_combination(state) {
        return;
    }
    let revision = state.directory.revision;
    let Some(from) = state.peers.with_lost_changes(revision, now, state.tuning.peer_timeout_ms) else {
        return;
    };
    state.directory_fetch_due = now.after(FETCH_INTERVAL_MS);
    let after = StoreRevision::default();
    state.effects.push(Effect::FetchDirectory { from, after, needs_all: true });
}

/// Applies the changes that another VM sent.
fn apply_delta(state: &mut State, delta: Delta) {
    match delta {
        Delta::TooLarge => {
            state.must_watch_registry = true;
            return;
        }
        Delta::Changes { revision, changes, last_outage } => {
            record_reported_outage(state, last_outage);
            apply_changes(state, revision, changes);
        }
        Delta::Full { directory, last_outage } => {
            record_reported_outage(state, last_outage);
            software::record_read(state, directory.revision);
            let knows_lost_changes = directory.contains_lost_changes();
            if replace_directory(state, directory, "peer") && knows_lost_changes {
                restored_registry::record_combination(state);
            }
        }
    }
    fetch_missing_changes(state);
}

/// Records the registry's last outage, as reported by another VM together with its changes.
fn record_reported_outage(state: &mut State, last_outage: Option<EndedOutage>) {
    if let Some(outage) = last_outage {
        state.registry_outages.record_report(outage, state.now);
    }
}

/// Applies changes, unless they are of a later epoch: those are based on a directory that this VM has to read
/// first.
fn apply_changes(state: &mut State, revision: StoreRevision, changes: Vec<(StoreRevision, Change)>) {
    if revision.epoch > state.directory.revision.epoch {
        return;
    }
    let old_version = version(state);
    let old_revision = state.directory.revision;
    for (at, change) in changes {
        if at <= state.directory.revision {
            continue;
        }
        let change = change.published_at(at);
        if let Change::Registered(id, registration) = &change
            && state.directory.is_outdated(id, registration)
        {
            let inputs = vec![("upstream", id.to_string()), ("revision", at.number.to_string())];
            state.log(None, "registration_outdated", inputs);
            continue;
        }
        log_change(state, at, &change);
        state.directory.apply(at, change.clone());
        state.recent_changes.push(at, change.clone());
        match change {
            Change::Registered(id, registration) => registrations::register(state, &id, registration),
            Change::Unregistered(id) => registrations::unregister(state, &id),
            Change::Evacuated(domain) => {
                state.evacuated_at.insert(domain, state.now);
            }
            Change::Routes(_) => {}
            Change::Restored(domain) => registrations::end_evacuation(state, &domain),
        }
    }
    state.directory.revision = state.directory.revision.max(revision);
    restored_registry::update(state);
    handle_new_routes(state, old_version);
    advance_revision(state, old_revision);
    queue_service::serve(state);
}

/// Records that the directory advanced, if it has a new revision. VMs that others rely on for changes send
/// heartbeats at once.
fn advance_revision(state: &mut State, previous_revision: StoreRevision) {
    if state.directory.revision > previous_revision {
        state.registry_outages.record_advance(state.now);
        if !state.peers.is_mesh() && !state.watches_registry() && !heartbeats::is_forwarder(state) {
            return;
        }
        state.heartbeat_due = state.now;
        heartbeats::tick(state);
    }
}

/// Replaces the directory by a complete one that was read later, but keeps what a restored registry has lost. Returns
/// whether the directory was replaced.
fn replace_directory(state: &mut State, mut directory: Directory, source: &'static str) -> bool {
    let old_revision = state.directory.revision;
    if directory.revision < state.directory.revision {
        let inputs = vec![
            ("source", source.to_owned()),
            ("epoch", directory.revision.epoch.to_string()),
            ("revision", directory.revision.number.to_string()),
            ("known_epoch", old_revision.epoch.to_string()),
            ("known_revision", old_revision.number.to_string()),
        ];
        state.log(None, "directory_discarded", inputs);
        return false;
    }
    restored_registry::drop_unconfirmed_from(&mut directory, state);
    restored_registry::record_epoch(state, directory.revision);
    let old_version = version(state);
    let directory = state.directory.combined_with(directory);
    let removed: Vec<Name> =
        state.upstreams.keys().filter(|id| !directory.upstreams.contains_key(*id)).cloned().collect();
    let is_in_use = |domain: &&Name| !directory.evacuated.contains_key(*domain);
    let restored: Vec<Name> = state.directory.evacuated.keys().filter(is_in_use).cloned().collect();
    state.recent_changes.reset(directory.revision);
    state.directory = directory;
    restored_registry::update(state);
    for id in removed {
        registrations::unregister(state, &id);
    }
    for (id, registration) in state.directory.upstreams.clone() {
        registrations::register(state, &id, registration);
    }
    for domain in restored {
        registrations::end_evacuation(state, &domain);
    }
    let inputs = vec![
        ("source", source.to_owned()),
        ("epoch", state.directory.revision.epoch.to_string()),
        ("revision", state.directory.revision.number.to_string()),
        ("upstreams", state.directory.upstreams.len().to_string()),
    ];
    state.log(None, "directory_read", inputs);
    handle_new_routes(state, old_version);
    advance_revision(state, old_revision);
    queue_service::serve(state);
    true
}

fn version(state: &State) -> Option<u64> {
    state.directory.routes.as_ref().map(|r| r.version)
}

/// Updates what is derived from the routes if they have another version, and logs that.
fn handle_new_routes(state: &mut State, old_version: Option<u64>) {
    urgency::update(state);
    let new_version = version(state);
    if new_version != old_version {
        software::update_stream_lifetime(state);
        upstream_watch::update_services(state);
        route_moves::record_routes(state);
        let inputs = vec![
            ("version", new_version.unwrap_or_default().to_string()),
            ("before", old_version.unwrap_or_default().to_string()),
            ("revision", state.directory.revision.number.to_string()),
        ];
        state.log(None, "routes_in_force", inputs);
    }
}

fn log_change(state: &mut State, at: StoreRevision, change: &Change) {
    let (event_name, subject) = match change {
        Change::Routes(_) => return,
        Change::Registered(id, r) if r.draining => ("upstream_draining", id.to_string()),
        Change::Registered(id, _) => ("upstream_registered", id.to_string()),
        Change::Unregistered(id) => ("upstream_unregistered", id.to_string()),
        Change::Evacuated(domain) => ("domain_evacuated", domain.to_string()),
        Change::Restored(domain) => ("domain_restored", domain.to_string()),
    };
    state.log(None, event_name, vec![("subject", subject), ("revision", at.number.to_string())]);
}
