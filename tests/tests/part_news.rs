//! What VMs tell each other of prompt parts, after thousands became known at once.

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

fn read(key: u64, tokens: u32) -> CachedPart {
    CachedPart { part: part(key, tokens), upstream: Name::from("llm-1"), prefill_until: None }
}

fn chat() -> Call {
    call(&route("llm", Kind::Streaming, 1), 0, 5_000, 5, 4_000)
}

quickcheck! {
    fn largest_first(sizes: Vec<u16>) -> bool {
        let mut news = PendingParts::default();
        for (key, tokens) in (0..).zip(&sizes) {
            news.push(read(key, u32::from(*tokens)));
        }
        let (mut last, mut told) = (u32::MAX, 0);
        while !news.is_empty() {
            let taken = news.take(7);
            let largest = taken.iter().map(|r| r.part.tokens).max().unwrap_or_default();
            if largest > last {
                return false;
            }
            last = taken.iter().map(|r| r.part.tokens).min().unwrap_or_default();
            told += taken.len();
        }
        told == sizes.len()
    }
}

#[test]
fn news_are_bounded() {
    let mut news = PendingParts::default();
    (0..50_000).for_each(|key| news.push(read(key, 10)));
    news.push(read(50_000, 9_000));
    assert!(news.len() < 10_000);
    assert_eq!(news.take(1)[0].part, part(50_000, 9_000));
}

#[test]
fn later_part_tells_of_earlier() {
    let (mut warmth, call, home) = (CacheIndex::default(), chat(), Name::from("llm-1"));
    warmth.record(call.parts[1], &home, Time(0));
    assert_eq!(warmth.uncached_tokens(&call, &home, Time(1), 60_000), call.parts[2].tokens);
    assert_eq!(warmth.uncached_tokens(&call, &Name::from("llm-2"), Time(1), 60_000), call.prompt_tokens());
}

#[test]
fn listed_parts_are_the_largest() {
    let mut warmth = CacheIndex::default();
    for key in 0..5_000 {
        warmth.record(part(key, u32::try_from(key).expect("small")), &Name::from("llm-1"), Time(0));
    }
    let listed = warmth.list(Time(1), 60_000);
    assert_eq!(listed.len(), 2_000);
    assert!(listed.iter().all(|known| known.part.tokens >= 3_000));
}
