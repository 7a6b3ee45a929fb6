//! Announcements of cached prompt parts, and the cache index to which they are added.
//!
//! After a restart of the whole fleet, a VM discovers thousands of cached parts at once, more than
//! heartbeats can carry in a second. If small parts were announced first, engines would meanwhile prefill
//! the large ones again. The number of parts that are kept and sent must remain bounded.

use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use jujubedoor_routing::Call;
use jujubedoor_routing::cache_index::CacheIndex;
use jujubedoor_routing::call::Part;
use jujubedoor_routing::pending_parts::CachedPart;
use jujubedoor_routing::pending_parts::PendingParts;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::route;
use quickcheck::quickcheck;

fn part(key: u64, tokens: u32) -> Part {
    Part { key, tokens }
}

fn cached_part(key: u64, tokens: u32) -> CachedPart {
    CachedPart { part: part(key, tokens), upstream: Name::from("llm-1"), prefill_until: None }
}

fn chat() -> Call {
    call(&route("llm", Kind::Streaming, 1), 0, 5_000, 5, 4_000)
}

quickcheck! {
    fn largest_first(sizes: Vec<u16>) -> bool {
        let mut pending = PendingParts::default();
        for (key, tokens) in (0..).zip(&sizes) {
            pending.push(cached_part(key, u32::from(*tokens)));
        }
        let (mut smallest_taken, mut count) = (u32::MAX, 0);
        while !pending.is_empty() {
            let taken = pending.take(7);
            let largest = taken.iter().map(|cached| cached.part.tokens).max().unwrap_or_default();
            if largest > smallest_taken {
                return false;
            }
            smallest_taken = taken.iter().map(|cached| cached.part.tokens).min().unwrap_or_default();
            count += taken.len();
        }
        count == sizes.len()
    }
}

#[test]
fn pending_parts_are_bounded() {
    let mut pending = PendingParts::default();
    (0..50_000).for_each(|key| pending.push(cached_part(key, 10)));
    pending.push(cached_part(50_000, 9_000));
    assert!(pending.len() < 10_000);
    assert_eq!(pending.take(1)[0].part, part(50_000, 9_000));
}

#[test]
fn cached_part_implies_preceding_ones() {
    let (mut cache_index, call, holder) = (CacheIndex::default(), chat(), Name::from("llm-1"));
    cache_index.record(call.parts[1], &holder, Time(0));
    assert_eq!(cache_index.uncached_tokens(&call, &holder, Time(1), 60_000), call.parts[2].tokens);
    assert_eq!(
        cache_index.uncached_tokens(&call, &Name::from("llm-2"), Time(1), 60_000),
        call.prompt_tokens()
    );
}

#[test]
fn listed_parts_are_the_largest() {
    let mut cache_index = CacheIndex::default();
    for key in 0..5_000 {
        cache_index.record(part(key, u32::try_from(key).expect("small")), &Name::from("llm-1"), Time(0));
    }
    let listed = cache_index.list(Time(1), 60_000);
    assert_eq!(listed.len(), 2_000);
    assert!(listed.iter().all(|entry| entry.part.tokens >= 3_000));
}
