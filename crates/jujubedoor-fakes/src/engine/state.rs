//! The state of a fake engine.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::Instant;

use lru::LruCache;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use super::EngineConfig;

/// The mutable state of a fake engine.
pub struct EngineState {
    /// Random number that identifies the last start of the engine.
    pub start_id: u64,
    /// Counters since the engine was created.
    pub totals: Totals,
    /// Free batch slots.
    pub slots: Arc<Semaphore>,
    /// Streams that can be resumed, by request id.
    pub streams: BTreeMap<String, Stream>,
    cache: LruCache<String, ()>,
    completed: u64,
    active_calls: u32,
    load_history: VecDeque<(Instant, u32)>,
}

/// Counters of an engine since it was created.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Number of calls that arrived.
    pub calls: u64,
    /// Number of calls whose chat was cached.
    pub cache_hits: u64,
    /// Maximum number of simultaneous calls.
    pub max_active: u32,
    /// Maximum number of simultaneous calls during cold start.
    pub max_active_cold: u32,
    /// Number of calls that ended before their response was complete.
    pub cancelled: u64,
    /// Number of calls whose response was generated completely.
    pub completed: u64,
    /// Number of crashes.
    pub crashes: u64,
}

/// A stream that can be resumed.
#[derive(Clone)]
pub struct Stream {
    /// Number of events generated so far.
    pub generated: watch::Sender<u64>,
    /// Number of events of the complete response.
    pub total_events: u64,
    /// Becomes true when the stream is cancelled.
    pub cancelled: watch::Sender<bool>,
    /// Number of times the connections of the stream were closed on purpose.
    pub disconnects: watch::Sender<u64>,
    /// Text that each event repeats, followed by the number of the event.
    pub marker: String,
}

impl EngineState {
    /// Creates the state of an engine in cold start.
    pub fn new(config: &EngineConfig) -> Self {
        let capacity = NonZeroUsize::new(config.max_cached_chats).unwrap_or(NonZeroUsize::MIN);
        Self {
            start_id: rand::random(),
            totals: Totals::default(),
            slots: Arc::new(Semaphore::new(config.slots)),
            streams: BTreeMap::new(),
            cache: LruCache::new(capacity),
            completed: 0,
            active_calls: 0,
            load_history: VecDeque::new(),
        }
    }

    /// Clears the cache, returns to cold start and draws a new start number.
    ///
    /// The state of active calls and streams is kept.
    pub fn restart(&mut self, config: &EngineConfig) {
        let active_calls = self.active_calls;
        let streams = std::mem::take(&mut self.streams);
        *self = Self { totals: self.totals, active_calls, streams, ..Self::new(config) };
    }

    /// Returns the number of calls that are running or waiting for a batch slot.
    pub fn active_calls(&self) -> u32 {
        self.active_calls
    }

    /// Records the arrival of a call.
    pub fn record_arrival(&mut self, config: &EngineConfig) {
        self.active_calls += 1;
        self.totals.calls += 1;
        self.totals.max_active = self.totals.max_active.max(self.active_calls);
        if self.completed < config.warm_after_calls {
            self.totals.max_active_cold = self.totals.max_active_cold.max(self.active_calls);
        }
        self.record_load();
    }

    /// Records the end of a call. `start_id` identifies the start after which the call arrived.
    ///
    /// A call from before the last restart does not count towards the end of the cold start.
    pub fn record_end(&mut self, start_id: u64, complete: bool) {
        self.active_calls = self.active_calls.saturating_sub(1);
        if complete {
            self.totals.completed += 1;
            self.completed += u64::from(start_id == self.start_id);
        } else {
            self.totals.cancelled += 1;
        }
        self.record_load();
    }

    /// Adds a chat to the cache. Returns whether it was cached before.
    pub fn prefill(&mut self, chat: &str) -> bool {
        let hit = self.cache.put(chat.to_owned(), ()).is_some();
        self.totals.cache_hits += u64::from(hit);
        hit
    }

    /// Returns a load report with the number of active calls `report_lag_ms` ago.
    pub fn load_report(&mut self, config: &EngineConfig) -> Value {
        let lag = std::time::Duration::from_millis(config.report_lag_ms);
        let now = Instant::now();
        while self.load_history.len() > 1 && now.duration_since(self.load_history[1].0) >= lag {
            self.load_history.pop_front();
        }
        let delayed =
            self.load_history.front().filter(|(recorded_at, _)| now.duration_since(*recorded_at) >= lag);
        let active_calls = delayed.map_or(0, |(_, load)| *load);
        json!({
            "running": active_calls,
            "age_ms": config.report_lag_ms,
            "completed": self.completed,
            "start": self.start_id,
        })
    }

    /// Cancels a stream.
    pub fn cancel_stream(&mut self, id: &str) {
        if let Some(stream) = self.streams.get(id) {
            stream.cancelled.send_replace(true);
        }
    }

    /// Closes the connections of all streams.
    pub fn disconnect_streams(&mut self) {
        for stream in self.streams.values() {
            stream.disconnects.send_modify(|disconnects| *disconnects += 1);
        }
    }

    fn record_load(&mut self) {
        self.load_history.push_back((Instant::now(), self.active_calls));
    }
}
