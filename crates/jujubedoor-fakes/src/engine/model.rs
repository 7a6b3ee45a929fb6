//! The state of a stand-in engine.

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

/// The state of a stand-in engine.
pub struct Model {
    /// The number drawn at the last start.
    pub start: u64,
    /// What was counted since the engine was created.
    pub totals: Totals,
    /// The batch slots.
    pub slots: Arc<Semaphore>,
    /// The streams that can be resumed.
    pub streams: BTreeMap<String, Stream>,
    cache: LruCache<String, ()>,
    completed: u64,
    running: u32,
    loads: VecDeque<(Instant, u32)>,
}

/// What an engine counted since it was created.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// The calls that arrived.
    pub calls: u64,
    /// The calls whose chat was cached.
    pub cache_hits: u64,
    /// The most calls at once.
    pub max_active: u32,
    /// The most calls at once in cold start.
    pub max_active_cold: u32,
    /// The calls that were cancelled.
    pub cancelled: u64,
    /// The calls that ran to their end.
    pub completed: u64,
    /// The crashes.
    pub crashes: u64,
}

/// A stream that can be resumed.
#[derive(Clone)]
pub struct Stream {
    /// How many events were generated.
    pub generated: watch::Sender<u64>,
    /// How many events the answer has.
    pub length: u64,
    /// Turns true when the stream is cancelled.
    pub cancelled: watch::Sender<bool>,
    /// Counts the times that connections were cut.
    pub cuts: watch::Sender<u64>,
    /// The text that each event repeats.
    pub marker: String,
}

impl Model {
    /// Creates a model in cold start.
    pub fn new(config: &EngineConfig) -> Self {
        let chats = NonZeroUsize::new(config.max_cached_chats).unwrap_or(NonZeroUsize::MIN);
        Self {
            start: rand::random(),
            totals: Totals::default(),
            slots: Arc::new(Semaphore::new(config.slots)),
            streams: BTreeMap::new(),
            cache: LruCache::new(chats),
            completed: 0,
            running: 0,
            loads: VecDeque::new(),
        }
    }

    /// Forgets the cache and draws a new start number; calls that run go on.
    pub fn restart(&mut self, config: &EngineConfig) {
        let running = self.running;
        let streams = std::mem::take(&mut self.streams);
        *self = Self { totals: self.totals, running, streams, ..Self::new(config) };
    }

    /// Returns the calls that are running or wait for a slot.
    pub fn active_calls(&self) -> u32 {
        self.running
    }

    /// Notes the arrival of a call.
    pub fn arrive(&mut self, config: &EngineConfig) {
        self.running += 1;
        self.totals.calls += 1;
        self.totals.max_active = self.totals.max_active.max(self.running);
        if self.completed < config.warm_after_calls {
            self.totals.max_active_cold = self.totals.max_active_cold.max(self.running);
        }
        self.note_load();
    }

    /// Notes the end of a call that arrived after a start.
    pub fn end(&mut self, start: u64, whole: bool) {
        self.running = self.running.saturating_sub(1);
        if whole {
            self.totals.completed += 1;
            self.completed += u64::from(start == self.start);
        } else {
            self.totals.cancelled += 1;
        }
        self.note_load();
    }

    /// Looks a chat up in the cache and caches it.
    pub fn prefill(&mut self, chat: &str) -> bool {
        let hit = self.cache.put(chat.to_owned(), ()).is_some();
        self.totals.cache_hits += u64::from(hit);
        hit
    }

    /// Returns the load report of a while ago.
    pub fn report(&mut self, config: &EngineConfig) -> Value {
        let lag = std::time::Duration::from_millis(config.report_lag_ms);
        let now = Instant::now();
        while self.loads.len() > 1 && now.duration_since(self.loads[1].0) >= lag {
            self.loads.pop_front();
        }
        let old = self.loads.front().filter(|(at, _)| now.duration_since(*at) >= lag);
        let running = old.map_or(0, |(_, load)| *load);
        json!({
            "running": running,
            "age_ms": config.report_lag_ms,
            "completed": self.completed,
            "start": self.start,
        })
    }

    /// Cancels a stream.
    pub fn cancel(&mut self, id: &str) {
        if let Some(stream) = self.streams.get(id) {
            stream.cancelled.send_replace(true);
        }
    }

    /// Breaks the connections of all streams.
    pub fn disconnect_streams(&mut self) {
        for stream in self.streams.values() {
            stream.cuts.send_modify(|cuts| *cuts += 1);
        }
    }

    fn note_load(&mut self) {
        self.loads.push_back((Instant::now(), self.running));
    }
}
