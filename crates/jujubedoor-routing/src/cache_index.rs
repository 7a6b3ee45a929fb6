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
const MAX_PARTS: usize = 20_000;

/// The most upstreams that are remembered for one part.
const MAX_HOLDERS: usize = 256;

/// The most parts that one VM tells another that has just started; the largest come first.
const MAX_LISTED_PARTS: usize = 2_000;

/// Which upstream has read which prompt part lately.
#[derive(Clone, Debug)]
pub struct CacheIndex {
    parts: LruCache<u64, PartEntry>,
}

/// What is known of one part.
#[derive(Clone, Debug, Default, PartialEq)]
struct PartEntry {
    tokens: u32,
    holders: Vec<Holder>,
}

/// An upstream that has read a part.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// The upstream.
    pub upstream: Name,
    /// When the part was last used there.
    pub last_used: Time,
    /// When it will have been read, if it is being read for the first time.
    pub prefill_until: Option<Time>,
    /// When other VMs were told last.
    pub announced_at: Option<Time>,
}

/// A part that an upstream has read, as one VM tells another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CacheRecord {
    /// The part.
    pub part: Part,
    /// The short key of the upstream.
    pub upstream: u32,
    /// How long ago the part was used there, in milliseconds.
    pub age_ms: u64,
}

impl Default for CacheIndex {
    fn default() -> Self {
        Self { parts: LruCache::new(NonZeroUsize::new(MAX_PARTS).unwrap_or(NonZeroUsize::MIN)) }
    }
}

impl CacheIndex {
    /// Notes that an upstream has read a part.
    pub fn record(&mut self, part: Part, upstream: &Name, now: Time) {
        let entry = self.parts.get_or_insert_mut(part.key, PartEntry::default);
        entry.tokens = part.tokens;
        let holders = &mut entry.holders;
        if let Some(holder) = holders.iter_mut().find(|h| h.upstream == *upstream) {
            holder.last_used = holder.last_used.max(now);
            holder.prefill_until = None;
            return;
        }
        if holders.len() >= MAX_HOLDERS {
            let oldest = holders.iter().enumerate().min_by_key(|(_, h)| h.last_used).map(|(i, _)| i);
            if let Some(oldest) = oldest {
                holders.swap_remove(oldest);
            }
        }
        holders.push(Holder {
            upstream: upstream.clone(),
            last_used: now,
            prefill_until: None,
            announced_at: None,
        });
    }

    /// Returns the prompt tokens that an upstream has to read for a call.
    pub fn uncached_tokens(&self, call: &Call, upstream: &Name, now: Time, cache_lifetime_ms: u64) -> u32 {
        let is_cached = |part: &Part| {
            self.holder(part.key, upstream)
                .is_some_and(|holder| now.since(holder.last_used) < cache_lifetime_ms)
        };
        // An engine that has read a part has read all parts before it, and uses them whenever it uses that one.
        let cached = call.shared_parts().iter().rposition(is_cached).map_or(0, |last| last + 1);
        call.parts[cached..].iter().map(|p| p.tokens).sum()
    }

    /// Notes that an upstream reads a part until a time, unless it has read it before.
    pub fn record_prefill(&mut self, part: Part, upstream: &Name, now: Time, until: Time) {
        if let Some(holder) = self.holder_mut(part.key, upstream) {
            holder.last_used = holder.last_used.max(now);
            return;
        }
        self.record(part, upstream, now);
        if let Some(holder) = self.holder_mut(part.key, upstream) {
            holder.prefill_until = Some(until);
        }
    }

    /// Forgets that an upstream was to read a part, as it did not come to it.
    pub fn cancel_prefill(&mut self, part: Part, upstream: &Name) {
        if let Some(entry) = self.parts.peek_mut(&part.key) {
            entry.holders.retain(|h| h.upstream != *upstream || h.prefill_until.is_none());
        }
    }

    /// Tells whether an upstream is reading a part for the first time.
    pub fn is_prefilling(&self, part: Part, upstream: &Name, now: Time) -> bool {
        self.holder(part.key, upstream)
            .and_then(|holder| holder.prefill_until)
            .is_some_and(|until| now < until)
    }

    fn holder(&self, part: u64, upstream: &Name) -> Option<&Holder> {
        self.parts.peek(&part)?.holders.iter().find(|h| h.upstream == *upstream)
    }

    fn holder_mut(&mut self, part: u64, upstream: &Name) -> Option<&mut Holder> {
        self.parts.peek_mut(&part)?.holders.iter_mut().find(|h| h.upstream == *upstream)
    }

    /// Returns the upstreams that have read a part lately, the latest use first.
    pub fn holders(&self, part: u64, now: Time, cache_lifetime_ms: u64) -> Vec<&Name> {
        let Some(entry) = self.parts.peek(&part) else { return Vec::new() };
        let mut recently_used: Vec<&Holder> =
            entry.holders.iter().filter(|h| now.since(h.last_used) < cache_lifetime_ms).collect();
        recently_used.sort_unstable_by_key(|h| std::cmp::Reverse(h.last_used));
        recently_used.into_iter().map(|h| &h.upstream).collect()
    }

    /// Lists the largest parts that were used within a time in milliseconds.
    pub fn list(&self, now: Time, cache_lifetime_ms: u64) -> Vec<CacheRecord> {
        let all = self.parts.iter().flat_map(|(key, entry)| {
            let part = Part { key: *key, tokens: entry.tokens };
            entry.holders.iter().map(move |holder| (part, holder))
        });
        let mut recently_used: Vec<(Part, &Holder)> =
            all.filter(|(_, h)| now.since(h.last_used) < cache_lifetime_ms).collect();
        recently_used.sort_unstable_by_key(|(part, _)| std::cmp::Reverse(part.tokens));
        recently_used.truncate(MAX_LISTED_PARTS);
        let to_record = |(part, h): (Part, &Holder)| CacheRecord {
            part,
            upstream: short_key(&h.upstream),
            age_ms: now.since(h.last_used),
        };
        recently_used.into_iter().map(to_record).collect()
    }

    /// Forgets all that an upstream had read, after it started anew.
    pub fn remove_upstream(&mut self, upstream: &Name) {
        for (_, entry) in &mut self.parts {
            entry.holders.retain(|h| h.upstream != *upstream);
        }
    }

    /// Takes what other VMs should know of a part, at most once in a period.
    pub fn try_announce(&mut self, part: u64, upstream: &Name, now: Time, period_ms: u64) -> bool {
        let Some(holder) = self.holder_mut(part, upstream) else { return false };
        let is_due = holder.announced_at.is_none_or(|announced_at| now.since(announced_at) >= period_ms);
        if is_due {
            holder.announced_at = Some(now);
        }
        is_due
    }
}
