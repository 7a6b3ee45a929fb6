//! Metrics of a VM in the Prometheus text format.

use std::time::Duration;

use jujubedoor::ids::StoreRevision;
use jujubedoor_http::Budget;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

/// Metrics of a VM.
pub struct Metrics {
    registry: Registry,
    responses: Family<StatusLabels, Counter>,
    decisions: Family<EventLabels, Counter>,
    domain_crossings: Family<CrossingLabels, Counter>,
    time_to_head: Histogram,
    registry_calls: Family<EventLabels, Counter>,
    urgent_requests: Family<UrgencyLabels, Counter>,
    open_requests: Gauge,
    directory_revision: Gauge,
    registry_epoch: Gauge,
    slow_upstreams: Gauge,
    refused_bodies: Family<EventLabels, Counter>,
    held_bytes: Gauge,
    connections: Gauge,
    evictions: Family<EventLabels, Gauge>,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct StatusLabels {
    status: u16,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct EventLabels {
    event: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct UrgencyLabels {
    urgency: u8,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct CrossingLabels {
    outcome: &'static str,
    reason: &'static str,
}

impl Metrics {
    /// Creates and registers the metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("jujubedoor");
        let responses = Family::<StatusLabels, Counter>::default();
        let decisions = Family::<EventLabels, Counter>::default();
        let domain_crossings = Family::<CrossingLabels, Counter>::default();
        let time_to_head = Histogram::new(exponential_buckets(0.001, 2.0, 15));
        let registry_calls = Family::<EventLabels, Counter>::default();
        let urgent_requests = Family::<UrgencyLabels, Counter>::default();
        let (open_requests, directory_revision) = (Gauge::default(), Gauge::default());
        let registry_epoch = Gauge::default();
        let slow_upstreams = Gauge::default();
        registry.register("answers", "Answers to callers by status", responses.clone());
        registry.register("decisions", "Decisions by what was decided", decisions.clone());
        let help = "Requests that stayed in their failure domain or left it, by reason";
        registry.register("domain_crossings", help, domain_crossings.clone());
        let help = "Time from a request's head to the head of its answer";
        registry.register_with_unit("answer_head", help, Unit::Seconds, time_to_head.clone());
        registry.register("registry_calls", "Calls to the registry by outcome", registry_calls.clone());
        let help = "Requests sent to upstreams with an urgency, by urgency";
        registry.register("urgency_sent", help, urgent_requests.clone());
        registry.register("open_requests", "Requests that are open", open_requests.clone());
        registry.register("directory_revision", "Revision of the directory", directory_revision.clone());
        let help = "Epoch of the registry, incremented when it is restored from an older copy";
        registry.register("registry_epoch", help, registry_epoch.clone());
        let help = "Upstreams where work takes at least a quarter longer than usual now";
        registry.register("slow_upstreams", help, slow_upstreams.clone());
        let (refused_bodies, evictions) = (Family::<EventLabels, Counter>::default(), Family::default());
        let (held_bytes, connections) = (Gauge::default(), Gauge::default());
        registry.register(
            "refused_bodies",
            "Request bodies that were refused, by reason",
            refused_bodies.clone(),
        );
        registry.register("held_bytes", "Memory that is held for callers", held_bytes.clone());
        registry.register("connections", "Connections that others opened to this VM", connections.clone());
        let help =
            "Callers that waited for memory, or lost their memory or connection to others, since the start";
        registry.register("caller_evictions", help, evictions.clone());
        Self {
            registry,
            responses,
            decisions,
            domain_crossings,
            time_to_head,
            registry_calls,
            urgent_requests,
            open_requests,
            directory_revision,
            registry_epoch,
            slow_upstreams,
            refused_bodies,
            held_bytes,
            connections,
            evictions,
        }
    }

    /// Counts a response and records the time until its head was ready.
    pub fn record_response(&self, status: u16, elapsed: Duration) {
        self.responses.get_or_create(&StatusLabels { status }).inc();
        self.time_to_head.observe(elapsed.as_secs_f64());
    }

    /// Counts a decision of the reducer.
    pub fn record_decision(&self, event: &'static str) {
        self.decisions.get_or_create(&EventLabels { event }).inc();
    }

    /// Counts a request that stayed in its failure domain or left it.
    pub fn record_crossing(&self, left: bool, reason: &'static str) {
        let outcome = if left { "left" } else { "stayed" };
        self.domain_crossings.get_or_create(&CrossingLabels { outcome, reason }).inc();
    }

    /// Counts a call to the registry by its outcome.
    pub fn record_registry_call(&self, event: &'static str) {
        self.registry_calls.get_or_create(&EventLabels { event }).inc();
    }

    /// Sets the number of upstreams that are slow now.
    pub fn set_slow_upstreams(&self, count: usize) {
        self.slow_upstreams.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a request that is sent to an upstream with an urgency.
    pub fn record_urgency(&self, urgency: u8) {
        self.urgent_requests.get_or_create(&UrgencyLabels { urgency }).inc();
    }

    /// Counts a request body that was refused, by reason.
    pub fn record_refused_body(&self, event: &'static str) {
        self.refused_bodies.get_or_create(&EventLabels { event }).inc();
    }

    /// Sets the gauges of what is held for callers.
    pub fn set_held(&self, budget: &Budget) {
        self.held_bytes.set(i64::try_from(budget.used()).unwrap_or(i64::MAX));
        self.connections.set(i64::try_from(budget.connections()).unwrap_or(i64::MAX));
        let counts = budget.counts();
        let events = [
            ("waited", counts.waits),
            ("stalled_body", counts.stalled_bodies),
            ("waiting_body", counts.rejected_waits),
            ("idle_connection", counts.idle_connections),
            ("unfinished_head", counts.unfinished_heads),
            ("unread_response", counts.unread_responses),
            ("refused_head", counts.refused_heads),
        ];
        for (event, count) in events {
            let gauge = self.evictions.get_or_create(&EventLabels { event });
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Sets the gauges and returns all metrics as text.
    pub fn render(&self, open_requests: usize, directory_revision: StoreRevision) -> String {
        self.open_requests.set(i64::try_from(open_requests).unwrap_or(i64::MAX));
        self.directory_revision.set(i64::try_from(directory_revision.number).unwrap_or(i64::MAX));
        self.registry_epoch.set(i64::try_from(directory_revision.epoch).unwrap_or(i64::MAX));
        let mut text = String::new();
        if let Err(e) = prometheus_client::encoding::text::encode(&mut text, &self.registry) {
            log::error!("cannot encode the metrics: {e}");
        }
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
