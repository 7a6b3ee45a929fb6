//! A request that crashes its engines is rejected after two crashes, while other requests are served.
//!
//! Retries and resends would carry such a request from engine to engine until all of them have crashed.

use std::time::Duration;

use jujubedoor_cli::caller::Call;
use jujubedoor_cli::local::FleetConfig;
use jujubedoor_cli::local::LocalFleet;
use jujubedoor_cli::local::MODEL;
use jujubedoor_fakes::EngineConfig;

/// A caller sends the same crashing request again and again through different VMs.
#[tokio::test]
async fn rejected_after_two_crashes() {
    let engine = EngineConfig { restart_delay_ms: 700, ..EngineConfig::default() };
    let config = FleetConfig { engines: 5, engine_config: engine, ..FleetConfig::default() };
    let fleet = LocalFleet::start(config).await.expect("the fleet starts");
    let crashing_call = Call::chat("schools", MODEL, "poison", "please CRASH now");
    let mut reasons = Vec::new();
    for entry in 0..9 {
        let response = crashing_call.send(fleet.entry_addr(entry)).await.expect("the fleet responds");
        reasons.push(response.json()["error"]["reason"].as_str().unwrap_or_default().to_owned());
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let crashes: u64 = fleet.engines.iter().map(|engine| engine.totals().crashes).sum();
    assert!(crashes <= 2, "{crashes} engines crashed: {reasons:?}");
    assert_eq!(reasons.last().map(String::as_str), Some("crashes-upstreams"), "{reasons:?}");
    let harmless_call = Call::chat("schools", MODEL, "innocent", "a question");
    for entry in 0..3 {
        let response = harmless_call.send(fleet.entry_addr(entry)).await.expect("the fleet responds");
        assert!(response.is_complete_stream(), "{}", response.text());
    }
}

/// Requests that are running on a crashing engine are suspected as well. They must still be served, which
/// clears them.
#[tokio::test]
async fn completed_requests_are_cleared() {
    let engine = EngineConfig { restart_delay_ms: 700, token_ms: 40, ..EngineConfig::default() };
    let config = FleetConfig { engines: 3, engine_config: engine, slots: (16, 8), ..FleetConfig::default() };
    let fleet = LocalFleet::start(config).await.expect("the fleet starts");
    let concurrent_calls: Vec<_> = (0..6)
        .map(|n| {
            let (call, entry) =
                (Call::chat("families", MODEL, &format!("i-{n}"), "a question"), fleet.entry_addr(n));
            tokio::spawn(async move { (call.clone(), call.send(entry).await) })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(150)).await;
    let crashing_call = Call::chat("schools", MODEL, "poison", "please CRASH now");
    let _ = crashing_call.send(fleet.entry_addr(0)).await;
    let _ = crashing_call.send(fleet.entry_addr(1)).await;
    for running_call in concurrent_calls {
        let (call, _) = running_call.await.expect("the caller's task completes");
        let resent = call.send(fleet.entry_addr(2)).await.expect("the fleet responds");
        assert!(resent.is_complete_stream(), "{}", resent.text());
    }
}
