//! The metrics of a VM, in the Prometheus text format.

use std::time::Duration;

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
    answers: Family<StatusLabels, Counter>,
    decisions: Family<EventLabels, Counter>,
    head: Histogram,
    registry_calls: Family<EventLabels, Counter>,
    open: Gauge,
    revision: Gauge,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct StatusLabels {
    status: u16,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct EventLabels {
    event: &'static str,
}

impl Metrics {
    /// Creates the metrics and names them.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("jujubedoor");
        let answers = Family::<StatusLabels, Counter>::default();
        let decisions = Family::<EventLabels, Counter>::default();
        let head = Histogram::new(exponential_buckets(0.001, 2.0, 15));
        let registry_calls = Family::<EventLabels, Counter>::default();
        let (open, revision) = (Gauge::default(), Gauge::default());
        registry.register("answers", "Answers to callers by status", answers.clone());
        registry.register("decisions", "Decisions by what was decided", decisions.clone());
        let help = "Time from a request's head to the head of its answer";
        registry.register_with_unit("answer_head", help, Unit::Seconds, head.clone());
        registry.register("registry_calls", "Calls to the registry by outcome", registry_calls.clone());
        registry.register("open_requests", "Requests that are open", open.clone());
        registry.register("directory_revision", "Revision of the directory", revision.clone());
        Self { registry, answers, decisions, head, registry_calls, open, revision }
    }

    /// Counts an answer and the time until its head.
    pub fn note_answer(&self, status: u16, after: Duration) {
        self.answers.get_or_create(&StatusLabels { status }).inc();
        self.head.observe(after.as_secs_f64());
    }

    /// Counts a decision.
    pub fn note_decision(&self, event: &'static str) {
        self.decisions.get_or_create(&EventLabels { event }).inc();
    }

    /// Counts a call to the registry by its outcome.
    pub fn note_registry_call(&self, event: &'static str) {
        self.registry_calls.get_or_create(&EventLabels { event }).inc();
    }

    /// Returns all metrics as text.
    pub fn text(&self, open: usize, revision: u64) -> String {
        self.open.set(i64::try_from(open).unwrap_or(i64::MAX));
        self.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
        let mut text = String::new();
        if let Err(e) = prometheus_client::encoding::text::encode(&mut text, &self.registry) {
            log::error!("the metrics cannot be encoded: {e}");
        }
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
