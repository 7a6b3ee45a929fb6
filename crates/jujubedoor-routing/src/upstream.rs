//! What this VM knows of one upstream: its registration, load and health.

use std::collections::HashMap;

use jujubedoor::ids::Incarnation;
use jujubedoor::ids::Time;
use jujubedoor::rendezvous;
use jujubedoor_config::Name;

use crate::directory::Registration;
use crate::pace::Pace;

/// The weight of the newest outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.2;

/// The time in which the share of failures halves without new outcomes, in milliseconds.
const HALF_LIFE_MS: f64 = 2_500.0;

/// How long a load report counts, in milliseconds.
const REPORT_MS: u64 = 400;

/// What this VM knows of one upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its short key in messages between VMs.
    pub key: u32,
    /// How it registered itself.
    pub registration: Registration,
    /// The requests that this VM has running there.
    pub running: u32,
    /// The prompt tokens of this VM's requests there that have not begun to answer.
    pub unread: u32,
    /// Until when it is cold.
    pub cold_until: Time,
    /// The requests that this VM sent while it was cold.
    pub pace: Pace,
    /// When a connection to it was last tried after a request broke.
    pub probed_at: Option<Time>,
    /// Tells that a new connection to it is being tried, before which nothing is sent there.
    pub doubted: bool,
    /// Until when it is kept although its registration ended.
    pub lapses_at: Option<Time>,
    told: HashMap<Incarnation, Told>,
    all: HashMap<Incarnation, Told>,
    far: Option<Told>,
    report: Option<Report>,
    down: Option<Down>,
    failures: f64,
    judged: Time,
}

/// Returns a short key of an upstream for messages between VMs.
pub fn short_key(id: &Name) -> u32 {
    u32::try_from(rendezvous::key_of(id) >> 32).unwrap_or(u32::MAX)
}

/// What another VM told of requests at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Told {
    /// The requests that are running there.
    pub running: u32,
    /// The prompt tokens of those that have not begun to answer.
    pub unread: u32,
    /// When it was told.
    pub at: Time,
}

/// The load that an upstream reported with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// The requests that ran and waited there.
    pub load: u32,
    /// When the answer came.
    pub at: Time,
}

/// An upstream that could not be reached.
#[derive(Clone, Copy, Debug)]
struct Down {
    since: Time,
    until: Time,
    pause_ms: u64,
    trial: bool,
}

impl Upstream {
    /// Starts to know an upstream.
    pub fn new(id: &Name, registration: Registration, now: Time) -> Self {
        Self {
            key: short_key(id),
            cold_until: now.after(registration.cold_ms),
            registration,
            running: 0,
            unread: 0,
            pace: Pace::default(),
            probed_at: None,
            doubted: false,
            lapses_at: None,
            told: HashMap::new(),
            all: HashMap::new(),
            far: None,
            report: None,
            down: None,
            failures: 0.0,
            judged: now,
        }
    }

    /// Returns the requests that are known to be there, of all VMs.
    pub fn load(&self, now: Time, told_ms: u64) -> u32 {
        let others = self.others(now, told_ms).running;
        let reported = self.report.filter(|r| now.since(r.at) < REPORT_MS).map_or(0, |r| r.load);
        (self.running + others).max(reported)
    }

    /// Returns the prompt tokens that wait to be read there, of all VMs.
    pub fn waiting_tokens(&self, now: Time, told_ms: u64) -> u32 {
        self.unread + self.others(now, told_ms).unread
    }

    /// Sums the requests of other VMs: as a relay told of all, or as each VM told of its own.
    fn others(&self, now: Time, told_ms: u64) -> Told {
        let is_fresh = |t: &Told| now.since(t.at) < told_ms;
        // A relay that has just become one knows of some VMs only, so the highest sum counts.
        if let Some(all) = self.all.values().copied().filter(is_fresh).max_by_key(|t| t.running) {
            return all;
        }
        let far = self.far.filter(is_fresh).unwrap_or_default();
        self.told(now, told_ms).fold(far, |sum, (_, t)| Told {
            running: sum.running + t.running,
            unread: sum.unread + t.unread,
            at: now,
        })
    }

    /// Returns how old the newest word of another VM about it is, in milliseconds.
    pub fn news_age(&self, now: Time) -> Option<u64> {
        let all = self.told.values().chain(self.all.values()).chain(&self.far);
        all.map(|t| now.since(t.at)).min()
    }

    /// Lists what other VMs told lately.
    pub fn told(&self, now: Time, told_ms: u64) -> impl Iterator<Item = (Incarnation, Told)> {
        self.told.iter().map(|(vm, t)| (*vm, *t)).filter(move |(_, t)| now.since(t.at) < told_ms)
    }

    /// Takes what a relay told of all other VMs.
    pub fn hear_all(&mut self, relay: Incarnation, told: Told) {
        self.all.insert(relay, told);
    }

    /// Takes the sum of what the relays of other failure domains told.
    pub fn hear_far(&mut self, told: Told) {
        self.far = Some(told);
    }

    /// Takes what another VM told.
    pub fn hear(&mut self, vm: Incarnation, told: Told) {
        self.told.insert(vm, told);
    }

    /// Forgets what other VMs told before a time.
    pub fn forget_told(&mut self, before: Time) {
        self.told.retain(|_, t| t.at >= before);
        self.all.retain(|_, t| t.at >= before);
    }

    /// Takes the load that came with an answer.
    pub fn take_report(&mut self, report: Report) {
        self.report = Some(report);
    }

    /// Tells whether it is cold.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Tells whether a request may be sent there as far as its health goes.
    ///
    /// An upstream that could not be reached gets one trial request after each pause.
    pub fn is_reachable(&self, now: Time) -> bool {
        !self.doubted && self.down.is_none_or(|d| now >= d.until && !d.trial)
    }

    /// Returns when it may be tried again, if it could not be reached.
    pub fn tried_again_at(&self) -> Option<Time> {
        self.down.map(|d| d.until)
    }

    /// Notes that a request is sent there.
    pub fn sent(&mut self, unread: u32) {
        self.running += 1;
        self.unread += unread;
        if let Some(down) = &mut self.down {
            down.trial = true;
        }
    }

    /// Notes that a request there began to answer.
    pub fn began(&mut self, unread: u32) {
        self.unread = self.unread.saturating_sub(unread);
    }

    /// Notes that a request there ended.
    pub fn ended(&mut self) {
        self.running = self.running.saturating_sub(1);
        if let Some(down) = &mut self.down {
            down.trial = false;
        }
    }

    /// Notes that it answered; returns for how long it was out of reach, in milliseconds.
    pub fn answered(&mut self, now: Time) -> Option<u64> {
        self.down.take().map(|d| now.since(d.since))
    }

    /// Notes that it could not be reached and leaves it alone for a pause that doubles each time.
    pub fn unreachable(&mut self, now: Time, first_ms: u64, most_ms: u64) {
        let before = self.down;
        let pause_ms = before
            .map_or(first_ms, |d| if now >= d.until { (d.pause_ms * 2).min(most_ms) } else { d.pause_ms });
        let since = before.map_or(now, |d| d.since);
        self.down = Some(Down { since, until: now.after(pause_ms), pause_ms, trial: false });
    }

    /// Takes the outcome of a request into the share of failures.
    pub fn judge(&mut self, failed: bool, now: Time) {
        let outcome = f64::from(u8::from(failed));
        self.failures = self.failure_share(now) * (1.0 - OUTCOME_WEIGHT) + outcome * OUTCOME_WEIGHT;
        self.judged = now;
    }

    /// Returns the share of its requests that failed lately.
    pub fn failure_share(&self, now: Time) -> f64 {
        let age = f64::from(u32::try_from(now.since(self.judged)).unwrap_or(u32::MAX));
        self.failures * 0.5_f64.powf(age / HALF_LIFE_MS)
    }
}
