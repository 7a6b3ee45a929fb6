//! Prompt parts suspected of crashing the engines that respond to them.
//!
//! When an engine crashes, every part of every request that was there may be the cause. What tells the cause
//! from the other parts is that no request with it survives:
//!
//! - A request that survives clears its parts of all crashes of requests that were sent before its response
//!   began.
//! - Crashes only count in sequence, each of a request that was sent after the crash before, and not if upstreams
//!   without such a request crash at the same moment, which has another reason.
//! - Crashes that a blocked part explains don't count for others, so that parts which merely accompany it are
//!   spared. Parts that only occurred together are blocked as a combination.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::num::NonZeroUsize;

use jujubedoor::ids::Time;
use lru::LruCache;

use crate::call::Part;
use crate::part_blocks::Combination;

/// Number of crashes in sequence after which a part is blocked that is not known to have survived.
const MIN_CRASHES: usize = 3;

/// The same for a part that survived before.
const MIN_CRASHES_OF_SURVIVOR: usize = 5;

/// Minimum number of these that no other blocked part explains.
const MIN_UNEXPLAINED: usize = 2;

/// Time from the first crash until a part is blocked, in milliseconds. Within it, requests with a harmless
/// part survive and other VMs report that.
const SETTLE_MS: u64 = 2_000;

/// Time after a crash in which all VMs report the requests that it affected, in milliseconds. Until then, the
/// request that explains the crash may not be known yet.
const REPORT_DELAY_MS: u64 = 1_000;

/// Time after its last crash for which a part is suspected, in milliseconds.
const SUSPICION_LIFETIME_MS: u64 = 60_000;

/// Maximum number of suspected parts, and of parts whose last survival is kept.
const MAX_PARTS: usize = 4_096;

/// Maximum number of crashes that are kept for a part.
const MAX_CRASHES: usize = 32;

/// Maximum number of parts that are blocked together.
const MAX_COMBINATION: usize = 8;

/// Time between the crashes of several upstreams up to which they have a common reason, in milliseconds. It
/// exceeds the time within which VMs notice the same crash.
const COINCIDENCE_MS: u64 = 80;

/// Maximum number of crashes whose times are kept.
const MAX_CRASH_TIMES: usize = 256;

/// Minimum interval at which survivals of a suspected part are announced, in milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 1_000;

/// The crash of an upstream that was serving a request with a certain part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartCrash {
    /// Identifies the crash. It is the same for all requests and VMs.
    pub crash: u64,
    /// Time of the crash.
    pub crashed_at: Time,
    /// Time at which the request was sent; of several, the last one.
    pub sent_at: Time,
}

/// The suspected parts that this VM knows.
#[derive(Clone, Debug)]
pub struct PartSuspects {
    suspects: LruCache<u64, Suspect>,
    /// For each part, the latest time at which a response began that survived.
    survivals: LruCache<u64, Time>,
    /// The latest crashes of upstreams and their times.
    crash_times: VecDeque<(u64, Time)>,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// The crashes in order of time, without those of which a survival has cleared the part.
    crashes: Vec<PartCrash>,
    announced_at: Option<Time>,
}

impl Default for PartSuspects {
    fn default() -> Self {
        let capacity = NonZeroUsize::new(MAX_PARTS).unwrap_or(NonZeroUsize::MIN);
        Self {
            suspects: LruCache::new(capacity),
            survivals: LruCache::new(capacity),
            crash_times: VecDeque::new(),
        }
    }
}

impl PartSuspects {
    /// Records a crash for the parts of a request. Returns those that are known to have survived before,
    /// with the time of that, if it should be announced to the other VMs.
    pub fn record_crash(&mut self, parts: &[u64], crash: PartCrash, now: Time) -> Vec<(u64, Time)> {
        self.record_time(crash);
        let mut to_announce = Vec::new();
        for part in parts {
            let survived_at = self.survivals.peek(part).copied();
            if survived_at.is_none_or(|at| at < crash.sent_at) {
                let suspect = self.suspects.get_or_insert_mut(*part, Suspect::default);
                suspect.add(crash);
            }
            to_announce
                .extend(survived_at.filter(|_| self.should_announce(*part, now)).map(|at| (*part, at)));
        }
        to_announce
    }

    /// Records that a response that began at a time survived. Returns the suspected parts for which this
    /// should be announced to the other VMs.
    pub fn record_survival(&mut self, parts: &[Part], began_at: Time, now: Time) -> Vec<(u64, Time)> {
        for part in parts {
            self.clear_until(part.key, began_at);
        }
        let keys = parts.iter().map(|part| part.key);
        keys.filter(|key| self.should_announce(*key, now)).map(|key| (key, began_at)).collect()
    }

    /// Records a survival that another VM announced. Returns whether it is news about a suspected part.
    pub fn record_announced(&mut self, part: u64, began_at: Time) -> bool {
        let known = self.survivals.peek(&part).copied();
        let is_news = known.is_none_or(|known| began_at.since(known) >= ANNOUNCE_INTERVAL_MS / 2);
        self.clear_until(part, began_at);
        is_news && self.suspects.contains(&part)
    }

    /// Discards all crashes recorded for some parts.
    pub fn discard(&mut self, parts: &[u64]) {
        for part in parts {
            self.suspects.pop(part);
        }
    }

    /// Returns whether any part is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns whether a part is suspected, or was until a survival cleared it.
    pub fn contains(&self, part: u64) -> bool {
        self.suspects.contains(&part)
    }

    /// Returns whether any of some parts is suspected.
    pub fn contains_any(&self, parts: &[Part]) -> bool {
        parts.iter().any(|part| self.suspects.contains(&part.key))
    }

    /// Returns the number of crashes in sequence that are recorded for a part.
    pub fn crashes(&self, part: u64) -> usize {
        self.suspects.peek(&part).map_or(0, |suspect| sequence(suspect.crashes.iter()))
    }

    /// Returns the number of crashes in sequence that are recorded for a part, without those that have another reason.
    pub fn independent_crashes(&self, part: u64) -> usize {
        let Some(suspect) = self.suspects.peek(&part) else { return 0 };
        sequence(
            suspect.crashes.iter().filter(|c| self.was_sent_before(c) && !self.has_other_reason(c, suspect)),
        )
    }

    /// Returns whether a request was sent before the upstream crashed, as far as any report shows.
    fn was_sent_before(&self, crash: &PartCrash) -> bool {
        let first = self.crash_times.iter().find(|(id, _)| *id == crash.crash);
        first.is_none_or(|(_, crashed_at)| crash.sent_at <= *crashed_at)
    }

    /// Returns whether a request with a part that was sent at a time or later crashed an upstream.
    pub fn has_crashed_since(&self, part: u64, sent_at: Time) -> bool {
        self.suspects.peek(&part).is_some_and(|s| s.crashes.iter().any(|c| c.sent_at >= sent_at))
    }

    /// Removes parts that were not involved in a crash for a long time.
    pub fn remove_expired(&mut self, now: Time) {
        let is_old = |s: &Suspect| s.last_crash_at().is_none_or(|at| now.since(at) > SUSPICION_LIFETIME_MS);
        let old: Vec<u64> = self.suspects.iter().filter(|(_, s)| is_old(s)).map(|(part, _)| *part).collect();
        for part in old {
            self.suspects.pop(&part);
        }
    }

    /// Returns the combinations of parts that are to be blocked in addition to those that are. Each caused
    /// several crashes, mostly as a single part.
    pub fn culprits(&self, blocked: &[Combination], now: Time) -> Vec<Combination> {
        let mut explained: HashSet<u64> = HashSet::new();
        for combination in blocked {
            explained.extend(self.crashes_of_all(combination));
        }
        let mut candidates = self.candidates(blocked, now);
        let mut culprits = Vec::new();
        while let Some(combination) = self.most_suspect(&candidates, &explained, blocked, now) {
            candidates.retain(|candidate| !combination.contains(candidate));
            explained.extend(self.crashes_of_all(&combination));
            culprits.push(combination);
        }
        culprits
    }

    /// Returns the parts that are suspected enough, except those that are blocked by themselves.
    fn candidates(&self, blocked: &[Combination], now: Time) -> Vec<u64> {
        let is_candidate = |part: &u64, suspect: &Suspect| {
            let has_survived = self.survivals.contains(part);
            let min_crashes = if has_survived { MIN_CRASHES_OF_SURVIVOR } else { MIN_CRASHES };
            // After an outage, most suspects have one crash each.
            if suspect.crashes.len() < min_crashes {
                return false;
            }
            let crashes = sequence(suspect.crashes.iter().filter(|c| !self.has_other_reason(c, suspect)));
            let is_settled = suspect.crashes.first().is_some_and(|c| now.since(c.crashed_at) >= SETTLE_MS);
            is_settled && crashes >= min_crashes && !blocked.iter().any(|b| **b == [*part])
        };
        let suspects = self.suspects.iter().filter(|(part, suspect)| is_candidate(part, suspect));
        suspects.map(|(part, _)| *part).collect()
    }

    /// Returns the candidate that most likely is the cause of the crashes that are not explained yet: one that
    /// never survived, then the one with most of these crashes, then the one that survived least recently.
    ///
    /// Candidates that never survived and were always together can't be told apart, and are returned together.
    fn most_suspect(
        &self,
        candidates: &[u64],
        explained: &HashSet<u64>,
        blocked: &[Combination],
        now: Time,
    ) -> Option<Combination> {
        let is_unexplained = |crash: &&PartCrash| {
            now.since(crash.crashed_at) >= REPORT_DELAY_MS && !explained.contains(&crash.crash)
        };
        let unexplained = |part: u64| self.recorded(part).iter().filter(is_unexplained).count();
        let is_enough = |part: u64| {
            let is_in_combination = blocked.iter().any(|combination| combination.contains(&part));
            unexplained(part) >= if is_in_combination { 1 } else { MIN_UNEXPLAINED }
        };
        let rank = |part: u64| {
            let survived_at = self.survivals.peek(&part).copied();
            (survived_at.is_none(), unexplained(part), Reverse(survived_at), part)
        };
        let (never_survived, .., first) =
            candidates.iter().filter(|c| is_enough(**c)).map(|c| rank(*c)).max()?;
        if !never_survived {
            return Some(vec![first]);
        }
        let crashes: HashSet<u64> = self.crashes_of(first).collect();
        let is_alike = |part: u64| {
            !self.survivals.contains(&part) && self.crashes_of(part).collect::<HashSet<u64>>() == crashes
        };
        let mut combination: Combination = candidates.iter().copied().filter(|c| is_alike(*c)).collect();
        combination.sort_unstable();
        combination.truncate(MAX_COMBINATION);
        Some(combination)
    }

    fn crashes_of(&self, part: u64) -> impl Iterator<Item = u64> {
        self.recorded(part).iter().map(|c| c.crash)
    }

    fn recorded(&self, part: u64) -> &[PartCrash] {
        self.suspects.peek(&part).map(|s| s.crashes.as_slice()).unwrap_or_default()
    }

    /// Returns the crashes in which all of some parts were involved.
    fn crashes_of_all(&self, parts: &[u64]) -> HashSet<u64> {
        let sets = parts.iter().map(|part| self.crashes_of(*part).collect::<HashSet<u64>>());
        sets.reduce(|common, set| &common & &set).unwrap_or_default()
    }

    fn record_time(&mut self, crash: PartCrash) {
        if let Some((_, first_at)) = self.crash_times.iter_mut().find(|(id, _)| *id == crash.crash) {
            *first_at = crash.crashed_at.min(*first_at);
            return;
        }
        if self.crash_times.len() >= MAX_CRASH_TIMES {
            self.crash_times.pop_front();
        }
        self.crash_times.push_back((crash.crash, crash.crashed_at));
    }

    /// Returns whether upstreams crashed at the moment of a crash that had no request with the suspected part.
    fn has_other_reason(&self, crash: &PartCrash, suspect: &Suspect) -> bool {
        let distance_ms = |at: Time| at.since(crash.crashed_at) + crash.crashed_at.since(at);
        let mut coincident = self.crash_times.iter().filter(|(_, at)| distance_ms(*at) < COINCIDENCE_MS);
        coincident.any(|(id, _)| !suspect.crashes.iter().any(|c| c.crash == *id))
    }

    /// Clears a part of the crashes of requests that were sent until a time.
    fn clear_until(&mut self, part: u64, began_at: Time) {
        let latest = self.survivals.get_or_insert_mut(part, Time::default);
        *latest = began_at.max(*latest);
        let Some(suspect) = self.suspects.peek_mut(&part) else { return };
        suspect.crashes.retain(|c| c.sent_at > began_at);
    }

    fn should_announce(&mut self, part: u64, now: Time) -> bool {
        let Some(suspect) = self.suspects.peek_mut(&part) else { return false };
        let is_due = suspect.announced_at.is_none_or(|at| now.since(at) >= ANNOUNCE_INTERVAL_MS);
        if is_due {
            suspect.announced_at = Some(now);
        }
        is_due
    }
}

impl Suspect {
    fn add(&mut self, crash: PartCrash) {
        if let Some(known) = self.crashes.iter_mut().find(|c| c.crash == crash.crash) {
            known.sent_at = known.sent_at.max(crash.sent_at);
            return;
        }
        let position = self.crashes.partition_point(|c| c.crashed_at <= crash.crashed_at);
        self.crashes.insert(position, crash);
        if self.crashes.len() > MAX_CRASHES {
            // The first one shows for how long the part has been suspected.
            self.crashes.remove(1);
        }
    }

    fn last_crash_at(&self) -> Option<Time> {
        self.crashes.last().map(|c| c.crashed_at)
    }
}

/// Returns the number of crashes of requests that were each sent after the crash before.
fn sequence<'a, I>(crashes: I) -> usize
where
    I: Iterator<Item = &'a PartCrash>,
{
    let mut count = 0;
    let mut last_crash_at = None;
    for crash in crashes {
        if last_crash_at.is_none_or(|at| crash.sent_at >= at) {
            count += 1;
            last_crash_at = Some(crash.crashed_at);
        }
    }
    count
}
