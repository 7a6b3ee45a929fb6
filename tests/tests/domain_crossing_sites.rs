//! Replays of whole sites, with the cost of leaving a failure domain weighed and not.

// Counts of tokens and times are far below the limit up to which floating-point numbers are exact.
#![allow(clippy::cast_precision_loss)]

use jujubedoor_routing::Tuning;
use jujubedoor_tests::replay::Replay;
use jujubedoor_tests::replay::Site;
use jujubedoor_tests::replay::Source;
use jujubedoor_tests::replay::Summary;

/// Cost of crossing in these replays, in milliseconds.
const COST_MS: f64 = 10.0;

/// The same with the round trip.
const CROSSING_MS: f64 = COST_MS + 2.8;

/// Returns the requests of each route in the last eight seconds of a replay.
fn summaries(site: Site, cost_ms: Option<f64>, load: &[Source]) -> Vec<Summary> {
    let tuning = Tuning { domain_crossing_cost_ms: cost_ms, ..Tuning::default() };
    let mut replay = Replay::new(site, tuning, 5);
    replay.run(3_000);
    replay.set_load(load);
    replay.run(16_000);
    let until_ms = replay.now_us / 1_000;
    assert!(replay.unserved.is_empty(), "{:?}", replay.unserved);
    load.iter().map(|source| replay.summary(&source.route.name, until_ms - 8_000, until_ms)).collect()
}

/// Returns load with rates that are divided among domains in proportion.
fn with_rates(source: Source, per_s: f64, shares: &[f64]) -> Source {
    let total: f64 = shares.iter().sum();
    Source { per_s: shares.iter().map(|share| per_s * share / total).collect(), ..source }
}

/// Load of a site with four domains, 90 VMs and 90 engines.
fn survey(shares: &[f64]) -> Vec<Source> {
    vec![
        with_rates(Source::lookup([0.0; 3]), 105.0, shares),
        with_rates(Source::chat([0.0; 3]), 230.0, shares),
        with_rates(Source::tag([0.0; 3]), 182.0, shares),
        with_rates(Source::desk([0.0; 3]), 181.0, shares),
    ]
}

/// Load of a site with three domains, 32 VMs and 140 engines.
fn catalogue(shares: &[f64]) -> Vec<Source> {
    vec![
        with_rates(Source::lookup([0.0; 3]), 166.0, shares),
        with_rates(Source::chat([0.0; 3]), 114.0, shares),
        with_rates(Source::tag([0.0; 3]), 304.0, shares),
        with_rates(Source::desk([0.0; 3]), 204.0, shares),
    ]
}

/// Compares a load with the part off and on. What crossings and prefills cost together must not rise, and requests start
/// well within their targets, also under one-sided demand.
fn compare(name: &str, site: Site, load: &[Source]) {
    let [off, on] = [None, Some(COST_MS)].map(|cost_ms| summaries(site, cost_ms, load));
    for ((source, off), on) in load.iter().zip(&off).zip(&on) {
        let route = &source.route.name;
        println!("{name}, {route}, off: {off:.3?}\n{name}, {route}, on: {on:.3?}");
        let cost_ms = |s: &Summary| s.crossed * CROSSING_MS + s.prefilled / site.tokens_per_ms as f64;
        assert!(cost_ms(on) <= cost_ms(off) * 1.01, "{name}, {route}: {off:?}, {on:?}");
        let target_ms = source.route.target_ms as f64;
        assert!(on.p95_ms < target_ms / 4.0, "{name}, {route}: {off:?}, {on:?}");
        if &**route == "desk" {
            assert!(on.crossed < 0.02 && off.crossed > 0.5, "{name}, {route}: {off:?}, {on:?}");
        }
    }
}

/// Guards against crossings that cost more than they save at a site whose engines are busy.
#[test]
fn survey_site() {
    let site =
        Site { vms: 88, domains: 4, engines: 90, engine_slots: 32, tokens_per_ms: 62, ..Site::default() };
    compare("survey, even", site, &survey(&[1.0; 4]));
    compare("survey, one-sided", site, &survey(&[5.0, 1.0, 1.0, 1.0]));
}

/// Guards against the same at a site with many engines and few VMs.
#[test]
fn catalogue_site() {
    let site = Site { vms: 33, engines: 140, ..Site::default() };
    compare("catalogue, even", site, &catalogue(&[1.0; 3]));
    compare("catalogue, one-sided", site, &catalogue(&[5.0, 1.0, 1.0]));
}
