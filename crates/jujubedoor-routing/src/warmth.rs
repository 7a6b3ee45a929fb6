//! Which upstream has read which prompt part lately.

use std::num::NonZeroUsize;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use lru::LruCache;
use serde::Deserialize;
use serde::Serialize;

use crate::call::Call;
use crate::call::Part;

/// The most prompt parts that are remembered.
const PARTS: usize = 20_000;

/// The most upstreams that are remembered for one part.
const HOMES: usize = 256;

/// Which upstream has read which prompt part lately.
#[derive(Clone, Debug)]
pub struct Warmth {
    parts: LruCache<u64, Vec<Home>>,
}

/// An upstream that has read a part.
#[derive(Clone, Debug, PartialEq)]
pub struct Home {
    /// The upstream.
    pub upstream: Name,
    /// When the part was last used there.
    pub used: Time,
    /// When other VMs were told last.
    pub told: Option<Time>,
}

/// A part that an upstream has read, as one VM tells another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Known {
    /// The part.
    pub part: u64,
    /// The upstream.
    pub upstream: Name,
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
    pub fn note(&mut self, part: u64, upstream: &Name, now: Time) {
        let homes = self.parts.get_or_insert_mut(part, Vec::new);
        if let Some(home) = homes.iter_mut().find(|h| h.upstream == *upstream) {
            home.used = home.used.max(now);
            return;
        }
        if homes.len() >= HOMES {
            let oldest = homes.iter().enumerate().min_by_key(|(_, h)| h.used).map(|(i, _)| i);
            if let Some(oldest) = oldest {
                homes.swap_remove(oldest);
            }
        }
        homes.push(Home { upstream: upstream.clone(), used: now, told: None });
    }

    /// Returns the prompt tokens that an upstream has to read for a call.
    pub fn unread_tokens(&self, call: &Call, upstream: &Name, now: Time, warm_ms: u64) -> u32 {
        let is_warm = |part: &&Part| {
            let homes = self.parts.peek(&part.key);
            homes.is_some_and(|h| h.iter().any(|h| h.upstream == *upstream && now.since(h.used) < warm_ms))
        };
        // An engine uses a cached part only if it has all parts before it.
        let cached = call.shared_parts().iter().take_while(is_warm).count();
        call.parts[cached..].iter().map(|p| p.tokens).sum()
    }

    /// Returns the upstreams that have read a part lately, the latest use first.
    pub fn homes(&self, part: u64, now: Time, warm_ms: u64) -> Vec<&Name> {
        let Some(homes) = self.parts.peek(&part) else { return Vec::new() };
        let mut warm: Vec<&Home> = homes.iter().filter(|h| now.since(h.used) < warm_ms).collect();
        warm.sort_unstable_by_key(|h| std::cmp::Reverse(h.used));
        warm.into_iter().map(|h| &h.upstream).collect()
    }

    /// Lists what was used within a time: part, upstream and how long ago in milliseconds.
    pub fn list(&self, now: Time, warm_ms: u64) -> Vec<Known> {
        let all = self.parts.iter().flat_map(|(part, homes)| homes.iter().map(move |h| (*part, h)));
        let warm = all.filter(|(_, h)| now.since(h.used) < warm_ms);
        warm.map(|(part, h)| Known { part, upstream: h.upstream.clone(), age_ms: now.since(h.used) })
            .collect()
    }

    /// Forgets all that an upstream had read, after it started anew.
    pub fn forget(&mut self, upstream: &Name) {
        for (_, homes) in &mut self.parts {
            homes.retain(|h| h.upstream != *upstream);
        }
    }

    /// Takes what other VMs should know of a part, at most once in a period.
    pub fn tell(&mut self, part: u64, upstream: &Name, now: Time, period_ms: u64) -> bool {
        let Some(homes) = self.parts.peek_mut(&part) else { return false };
        let Some(home) = homes.iter_mut().find(|h| h.upstream == *upstream) else { return false };
        let due = home.told.is_none_or(|told| now.since(told) >= period_ms);
        if due {
            home.told = Some(now);
        }
        due
    }
}
