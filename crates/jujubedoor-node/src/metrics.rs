//! The metrics of a VM, exported in the Prometheus text format.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jujubedoor::event::CountedEvent;
use jujubedoor::event::Reply;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

/// The metrics of a VM.
pub struct Metrics {
    registry: Registry,
    outcomes: Family<OutcomeLabels, Counter>,
    decisions: Family<KindLabels, Counter>,
    messages: Family<KindLabels, Counter>,
    message_bytes: Family<KindLabels, Counter>,
    events: Family<KindLabels, Counter>,
    event_nanos: Family<KindLabels, Counter>,
    platform_calls: Counter,
    open_requests: Gauge,
    first_token: Histogram,
    token_gap: Histogram,
    permit_wait: Histogram,
    /// The bytes on the connections to and from other VMs.
    pub peer_traffic: Arc<PeerTraffic>,
}

/// Counts the bytes on the connections between VMs, after encryption.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    /// The number of bytes sent.
    pub sent_bytes: AtomicU64,
    /// The number of bytes received.
    pub received_bytes: AtomicU64,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct OutcomeLabels {
    outcome: &'static str,
    reason: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct KindLabels {
    kind: &'static str,
}

impl Metrics {
    /// Creates and registers the metrics.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("jujubedoor"),
            outcomes: Family::default(),
            decisions: Family::default(),
            messages: Family::default(),
            message_bytes: Family::default(),
            events: Family::default(),
            event_nanos: Family::default(),
            platform_calls: Counter::default(),
            open_requests: Gauge::default(),
            first_token: Histogram::new(exponential_buckets(0.005, 1.6, 18)),
            token_gap: Histogram::new(exponential_buckets(0.001, 1.6, 18)),
            permit_wait: Histogram::new(exponential_buckets(0.0005, 1.8, 18)),
            peer_traffic: Arc::new(PeerTraffic::default()),
        };
        metrics.register();
        metrics
    }

    /// Counts a decision.
    pub fn record_decision(&self, decision: CountedEvent) {
        let kind = match decision {
            CountedEvent::PermitGranted => "granted",
            CountedEvent::DeniedBusy => "busy",
            CountedEvent::MessageDropped => "dropped",
            CountedEvent::RequestRetried => "retried",
            CountedEvent::PermitReclaimed => "reclaimed",
            CountedEvent::UpstreamCrashed => "crashed",
        };
        self.decisions.get_or_create(&KindLabels { kind }).inc();
    }

    /// Counts a message to another VM, with its size in bytes before encryption.
    pub fn record_message(&self, kind: &'static str, bytes: u64) {
        self.messages.get_or_create(&KindLabels { kind }).inc();
        self.message_bytes.get_or_create(&KindLabels { kind }).inc_by(bytes);
    }

    /// Counts an event, with the time that the reducer took for it.
    pub fn record_event(&self, kind: &'static str, time: Duration) {
        self.events.get_or_create(&KindLabels { kind }).inc();
        let nanos = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
        self.event_nanos.get_or_create(&KindLabels { kind }).inc_by(nanos);
    }

    /// Counts the outcome of a request that ends with a reply of the core task.
    pub fn record_reply(&self, reply: &Reply) {
        match reply {
            Reply::Error(error) => self.record_outcome(error.outcome.as_str(), error.reason.as_str()),
            Reply::Answer(_) => self.record_outcome("done", ""),
            Reply::Tickets(_) => {}
        }
    }

    /// Counts the outcome of a request.
    pub fn record_outcome(&self, outcome: &'static str, reason: &'static str) {
        self.outcomes.get_or_create(&OutcomeLabels { outcome, reason }).inc();
    }

    /// Counts a call to the platform.
    pub fn record_platform_call(&self) {
        self.platform_calls.inc();
    }

    /// Sets the number of open requests.
    pub fn set_open_requests(&self, open_requests: usize) {
        self.open_requests.set(i64::try_from(open_requests).unwrap_or(i64::MAX));
    }

    /// Records the time from a request's arrival to the first chunk of its response.
    pub fn record_first_token(&self, time: Duration) {
        self.first_token.observe(time.as_secs_f64());
    }

    /// Records the time between two chunks of a response.
    pub fn record_token_gap(&self, time: Duration) {
        self.token_gap.observe(time.as_secs_f64());
    }

    /// Records the time from a request's arrival to its permit.
    pub fn record_permit_wait(&self, time: Duration) {
        self.permit_wait.observe(time.as_secs_f64());
    }

    /// Returns all metrics in the text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Cannot fail: writing to a string always succeeds.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }

    /// Returns the number of messages of a kind and their total size in bytes, for measurements.
    pub fn message_totals(&self, kind: &'static str) -> (u64, u64) {
        let labels = KindLabels { kind };
        let count = self.messages.get_or_create(&labels).get();
        let bytes = self.message_bytes.get_or_create(&labels).get();
        (count, bytes)
    }

    /// Returns the number of events of a kind and the nanoseconds that the reducer took, for measurements.
    pub fn event_totals(&self, kind: &'static str) -> (u64, u64) {
        let labels = KindLabels { kind };
        let count = self.events.get_or_create(&labels).get();
        let nanos = self.event_nanos.get_or_create(&labels).get();
        (count, nanos)
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("outcomes", "Requests by outcome and reason", self.outcomes.clone());
        r.register("decisions", "Decisions by kind", self.decisions.clone());
        r.register("messages", "Messages to other VMs by kind", self.messages.clone());
        r.register("message_bytes", "Bytes of messages to other VMs by kind", self.message_bytes.clone());
        r.register("events", "Events by kind", self.events.clone());
        r.register("event_nanos", "Nanoseconds of decisions by kind of event", self.event_nanos.clone());
        r.register("platform_calls", "Calls to the platform", self.platform_calls.clone());
        r.register("open_requests", "Requests in progress", self.open_requests.clone());
        let first_help = "Time from arrival to the first part of the answer";
        r.register_with_unit("first_token", first_help, Unit::Seconds, self.first_token.clone());
        let gap_help = "Time between two parts of an answer";
        r.register_with_unit("token_gap", gap_help, Unit::Seconds, self.token_gap.clone());
        let wait_help = "Time from arrival to the permit";
        r.register_with_unit("permit_wait", wait_help, Unit::Seconds, self.permit_wait.clone());
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl PeerTraffic {
    /// Returns the number of bytes sent and received.
    pub fn totals(&self) -> (u64, u64) {
        (self.sent_bytes.load(Ordering::Relaxed), self.received_bytes.load(Ordering::Relaxed))
    }
}
