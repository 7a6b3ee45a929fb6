//! The prefill rate of engines is learned from response times, so that placement weighs a prefill correctly
//! on engines of any speed.

use jujubedoor::ids::Time;
use jujubedoor_routing::Event;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::event::ResponseSignals;
use jujubedoor_routing::prefill_rate::PrefillRate;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;

/// Time that every response takes, in milliseconds.
const BASE_MS: u64 = 30;

/// Returns the rate learned from prompts at engines with a rate, of which each `slow_every`-th is five times
/// slower and each `cached_every`-th had the prompt cached.
fn learned_rate(tokens_per_ms: u32, slow_every: u32, cached_every: u32) -> f64 {
    let mut rate = PrefillRate::default();
    for n in 1..=120 {
        rate.record(100, BASE_MS + 2);
        let tokens = 4_000 + n * 50;
        let mut prefill_ms = u64::from(tokens / tokens_per_ms);
        if n % slow_every == 0 {
            prefill_ms *= 5;
        }
        if n % cached_every == 0 {
            prefill_ms = 1;
        }
        rate.record(tokens, BASE_MS + prefill_ms);
    }
    rate.tokens_per_ms().expect("enough measurements")
}

#[test]
fn rates_of_any_engine() {
    for tokens_per_ms in [20, 68, 157, 400] {
        let expected = f64::from(tokens_per_ms);
        let learned = learned_rate(tokens_per_ms, u32::MAX, u32::MAX);
        assert!((learned - expected).abs() < expected * 0.25, "{learned} for {tokens_per_ms}");
    }
}

#[test]
fn slow_and_cached_prompts_matter_little() {
    let learned = learned_rate(157, 4, 5);
    assert!((learned - 157.0).abs() < 157.0 * 0.25, "{learned}");
}

#[test]
fn few_measurements_change_nothing() {
    let mut rate = PrefillRate::default();
    (0..4).for_each(|_| rate.record(10_000, 1));
    assert_eq!(rate.tokens_per_ms(), None);
}

#[test]
fn placement_uses_learned_rate() {
    let mut fleet = Fleet::new(1, Tuning::default(), 4);
    set_up(&mut fleet, "llm", 3);
    let route = route("llm", Kind::Streaming, 1);
    for id in 0..60 {
        let tokens = if id % 2 == 0 { 8_000 } else { 0 };
        // Each prompt is new, so that its tokens are not cached.
        let mut prompt = call(&route, fleet.now, 5_000, id, tokens);
        prompt.parts.truncate(2);
        prompt.parts[0].key = id + 50_000;
        prompt.parts[0].tokens = 10;
        fleet.prefill_ms = BASE_MS + u64::from(tokens) / 157;
        fleet.call(0, id, prompt);
        fleet.run(400);
    }
    let state = fleet.vms[0].as_ref().expect("the VM is up");
    let learned = state.prefill_tokens_per_ms(&"llm".into());
    assert!((learned - 157.0).abs() < 40.0, "{learned}");
}

#[test]
fn unknown_requests_are_ignored() {
    let mut fleet = Fleet::new(1, Tuning::default(), 4);
    set_up(&mut fleet, "llm", 1);
    fleet.send_event(0, Event::ResponseStarted(77, ResponseSignals::default()));
    let state = fleet.vms[0].as_ref().expect("the VM is up");
    assert_eq!(state.now, Time(fleet.now));
    assert!(state.prefill_rates.is_empty());
}
