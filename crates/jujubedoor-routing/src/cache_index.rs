//! Index of the prompt parts that upstreams have in their prompt caches.

use std::num::NonZeroUsize;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use lru::LruCache;
use serde::Deserialize;
use serde::Serialize;

use crate::call::Call;
use crate::call::Part;
use crate::upstream::short_key;

/// Maximum number of prompt parts in the index.
const MAX_PARTS: usize = 20_000;

/// Maximum number of upstreams recorded for one part.
const MAX_HOLDERS: usize = 256;

/// Maximum number of entries that are sent to a VM that has just started, the largest parts first.
const MAX_LISTED_PARTS: usize = 2_000;

/// Index of the prompt parts that upstreams have in their prompt caches.
#[derive(Clone, Debug)]
pub struct CacheIndex {
    parts: LruCache<u64, PartEntry>,
}

/// Index entry of one part.
#[derive(Clone, Debug, Default, PartialEq)]
struct PartEntry {
    tokens: u32,
    holders: Vec<Holder>,
}

/// An upstream that has a part cached or is prefilling it.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// Identifier of the upstream.
    pub upstream: Name,
    /// Time of the part's last use there.
    pub last_used: Time,
    /// Expected end of the prefill, while the part is prefilled for the first time.
    pub prefill_until: Option<Time>,
    /// Time at which other VMs were last informed.
    pub announced_at: Option<Time>,
}

/// A cached part, as one VM reports it to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CacheRecord {
    /// The part.
    pub part: Part,
    /// Short key of the upstream.
    pub upstream: u32,
    /// Time since the part's last use there, in milliseconds.
    pub age_ms: u64,
}

impl Default for CacheIndex {
    fn default() -> Self {
        Self { parts: LruCache::new(NonZeroUsize::new(MAX_PARTS).unwrap_or(NonZeroUsize::MIN)) }
    }
}

impl CacheIndex {
    /// Records that an upstream has a part cached.
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

    /// Returns the number of prompt tokens of a call that an upstream does not have cached.
    pub fn uncached_tokens(&self, call: &Call, upstream: &Name, now: Time, cache_lifetime_ms: u64) -> u32 {
        let is_cached = |part: &Part| {
            self.holder(part.key, upstream)
                .is_some_and(|holder| now.since(holder.last_used) < cache_lifetime_ms)
        };
        // An engine that has a part cached also has all preceding parts cached, and uses them together
        // with it.
        let cached = call.shared_parts().iter().rposition(is_cached).map_or(0, |last| last + 1);
        call.parts[cached..].iter().map(|p| p.tokens).sum()
    }

    /// Records that an upstream prefills a part until a time, unless it is already a holder of the part.
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

    /// Removes an upstream from the holders of a part if it is only recorded as prefilling the part.
    pub fn cancel_prefill(&mut self, part: Part, upstream: &Name) {
        if let Some(entry) = self.parts.peek_mut(&part.key) {
            entry.holders.retain(|h| h.upstream != *upstream || h.prefill_until.is_none());
        }
    }

    /// Returns whether an upstream is prefilling a part for the first time.
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

    /// Returns the upstreams that have used a part within the cache lifetime, the latest use first.
    pub fn holders(&self, part: u64, now: Time, cache_lifetime_ms: u64) -> Vec<&Name> {
        let Some(entry) = self.parts.peek(&part) else { return Vec::new() };
        let mut recently_used: Vec<&Holder> =
            entry.holders.iter().filter(|h| now.since(h.last_used) < cache_lifetime_ms).collect();
        recently_used.sort_unstable_by_key(|h| std::cmp::Reverse(h.last_used));
        recently_used.into_iter().map(|h| &h.upstream).collect()
    }

    /// Returns the largest parts that were used within the cache lifetime.
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

    /// Removes an upstream from the holders of all parts, because its cache was lost in a restart.
    pub fn remove_upstream(&mut self, upstream: &Name) {
        for (_, entry) in &mut self.parts {
            entry.holders.retain(|h| h.upstream != *upstream);
        }
    }

    /// Returns whether it is time to inform other VMs that an upstream holds a part, which is at most once
    /// per period. If so, records that they are informed now.
    pub fn try_announce(&mut self, part: u64, upstream: &Name, now: Time, period_ms: u64) -> bool {
        let Some(holder) = self.holder_mut(part, upstream) else { return false };
        let is_due = holder.announced_at.is_none_or(|announced_at| now.since(announced_at) >= period_ms);
        if is_due {
            holder.announced_at = Some(now);
        }
        is_due
    }
}
