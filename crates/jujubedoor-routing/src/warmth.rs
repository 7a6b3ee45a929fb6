//! Which upstream has read which prompt part lately.

use std::num::NonZeroUsize;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use lru::LruCache;
use serde::Deserialize;
use serde::Serialize;

use crate::call::Call;
use crate::call::Part;
use crate::upstream::short_key;

/// The most prompt parts that are remembered.
const PARTS: usize = 20_000;

/// The most upstreams that are remembered for one part.
const HOMES: usize = 256;

/// The most parts that one VM tells another that has just started; the largest come first.
const LISTED: usize = 2_000;

/// Which upstream has read which prompt part lately.
#[derive(Clone, Debug)]
pub struct Warmth {
    parts: LruCache<u64, Entry>,
}

/// What is known of one part.
#[derive(Clone, Debug, Default, PartialEq)]
struct Entry {
    tokens: u32,
    homes: Vec<Home>,
}

/// An upstream that has read a part.
#[derive(Clone, Debug, PartialEq)]
pub struct Home {
    /// The upstream.
    pub upstream: Name,
    /// When the part was last used there.
    pub used: Time,
    /// When it will have been read, if it is being read for the first time.
    pub reading: Option<Time>,
    /// When other VMs were told last.
    pub told: Option<Time>,
}

/// A part that an upstream has read, as one VM tells another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Known {
    /// The part.
    pub part: Part,
    /// The short key of the upstream.
    pub upstream: u32,
    /// How long ago the part was used there, in milliseconds.
    pub age_ms: u64,
}

impl Default for Warmth {
    fn default() -> Self {
        Self { parts: LruCache::new(NonZeroUsize::new(PARTS).unwrap_or(NonZeroUsize::MIN)) }
    }
}

impl Warmth {
    /// Notes that an upstream has read a part.
    pub fn note(&mut self, part: Part, upstream: &Name, now: Time) {
        let entry = self.parts.get_or_insert_mut(part.key, Entry::default);
        entry.tokens = part.tokens;
        let homes = &mut entry.homes;
        if let Some(home) = homes.iter_mut().find(|h| h.upstream == *upstream) {
            home.used = home.used.max(now);
            home.reading = None;
            return;
        }
        if homes.len() >= HOMES {
            let oldest = homes.iter().enumerate().min_by_key(|(_, h)| h.used).map(|(i, _)| i);
            if let Some(oldest) = oldest {
                homes.swap_remove(oldest);
            }
        }
        homes.push(Home { upstream: upstream.clone(), used: now, reading: None, told: None });
    }

    /// Returns the prompt tokens that an upstream has to read for a call.
    pub fn unread_tokens(&self, call: &Call, upstream: &Name, now: Time, warm_ms: u64) -> u32 {
        let is_warm =
            |part: &Part| self.home(part.key, upstream).is_some_and(|home| now.since(home.used) < warm_ms);
        // An engine that has read a part has read all parts before it, and uses them whenever it uses that one.
        let cached = call.shared_parts().iter().rposition(is_warm).map_or(0, |last| last + 1);
        call.parts[cached..].iter().map(|p| p.tokens).sum()
    }

    /// Notes that an upstream reads a part until a time, unless it has read it before.
    pub fn note_reading(&mut self, part: Part, upstream: &Name, now: Time, until: Time) {
        if let Some(home) = self.home_mut(part.key, upstream) {
            home.used = home.used.max(now);
            return;
        }
        self.note(part, upstream, now);
        if let Some(home) = self.home_mut(part.key, upstream) {
            home.reading = Some(until);
        }
    }

    /// Forgets that an upstream was to read a part, as it did not come to it.
    pub fn abandon(&mut self, part: Part, upstream: &Name) {
        if let Some(entry) = self.parts.peek_mut(&part.key) {
            entry.homes.retain(|h| h.upstream != *upstream || h.reading.is_none());
        }
    }

    /// Tells whether an upstream is reading a part for the first time.
    pub fn is_reading(&self, part: Part, upstream: &Name, now: Time) -> bool {
        self.home(part.key, upstream).and_then(|home| home.reading).is_some_and(|until| now < until)
    }

    fn home(&self, part: u64, upstream: &Name) -> Option<&Home> {
        self.parts.peek(&part)?.homes.iter().find(|h| h.upstream == *upstream)
    }

    fn home_mut(&mut self, part: u64, upstream: &Name) -> Option<&mut Home> {
        self.parts.peek_mut(&part)?.homes.iter_mut().find(|h| h.upstream == *upstream)
    }

    /// Returns the upstreams that have read a part lately, the latest use first.
    pub fn homes(&self, part: u64, now: Time, warm_ms: u64) -> Vec<&Name> {
        let Some(entry) = self.parts.peek(&part) else { return Vec::new() };
        let mut warm: Vec<&Home> = entry.homes.iter().filter(|h| now.since(h.used) < warm_ms).collect();
        warm.sort_unstable_by_key(|h| std::cmp::Reverse(h.used));
        warm.into_iter().map(|h| &h.upstream).collect()
    }

    /// Lists the largest parts that were used within a time in milliseconds.
    pub fn list(&self, now: Time, warm_ms: u64) -> Vec<Known> {
        let all = self.parts.iter().flat_map(|(key, entry)| {
            let part = Part { key: *key, tokens: entry.tokens };
            entry.homes.iter().map(move |home| (part, home))
        });
        let mut warm: Vec<(Part, &Home)> = all.filter(|(_, h)| now.since(h.used) < warm_ms).collect();
        warm.sort_unstable_by_key(|(part, _)| std::cmp::Reverse(part.tokens));
        warm.truncate(LISTED);
        let known = |(part, h): (Part, &Home)| Known {
            part,
            upstream: short_key(&h.upstream),
            age_ms: now.since(h.used),
        };
        warm.into_iter().map(known).collect()
    }

    /// Forgets all that an upstream had read, after it started anew.
    pub fn forget(&mut self, upstream: &Name) {
        for (_, entry) in &mut self.parts {
            entry.homes.retain(|h| h.upstream != *upstream);
        }
    }

    /// Takes what other VMs should know of a part, at most once in a period.
    pub fn tell(&mut self, part: u64, upstream: &Name, now: Time, period_ms: u64) -> bool {
        let Some(home) = self.home_mut(part, upstream) else { return false };
        let due = home.told.is_none_or(|told| now.since(told) >= period_ms);
        if due {
            home.told = Some(now);
        }
        due
    }
}
