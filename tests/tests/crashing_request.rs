//! A request that crashes the engines that run it is found after two of them; others go on.

use std::time::Duration;

use jujubedoor_cli::caller::Call;
use jujubedoor_cli::local::FleetConfig;
use jujubedoor_cli::local::LocalFleet;
use jujubedoor_cli::local::MODEL;
use jujubedoor_fakes::EngineConfig;

#[tokio::test]
async fn found_after_two() {
    let engine = EngineConfig { restart_delay_ms: 700, ..EngineConfig::default() };
    let plan = FleetConfig { engines: 5, engine_config: engine, ..FleetConfig::default() };
    let fleet = LocalFleet::start(plan).await.expect("the fleet starts");
    let poison = Call::chat("schools", MODEL, "poison", "please CRASH now");
    let mut told = Vec::new();
    for entry in 0..9 {
        let answer = poison.send(fleet.entry_addr(entry)).await.expect("the fleet answers");
        told.push(answer.json()["error"]["reason"].as_str().unwrap_or_default().to_owned());
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let crashes: u64 = fleet.engines.iter().map(|engine| engine.totals().crashes).sum();
    assert!(crashes <= 2, "{crashes} engines crashed: {told:?}");
    assert_eq!(told.last().map(String::as_str), Some("crashes-upstreams"), "{told:?}");
    let innocent = Call::chat("schools", MODEL, "innocent", "a question");
    for entry in 0..3 {
        let answer = innocent.send(fleet.entry_addr(entry)).await.expect("the fleet answers");
        assert!(answer.is_complete_stream(), "{}", answer.text());
    }
}

#[tokio::test]
async fn innocents_are_cleared() {
    let engine = EngineConfig { restart_delay_ms: 700, token_ms: 40, ..EngineConfig::default() };
    let plan = FleetConfig { engines: 3, engine_config: engine, slots: (16, 8), ..FleetConfig::default() };
    let fleet = LocalFleet::start(plan).await.expect("the fleet starts");
    let innocents: Vec<_> = (0..6)
        .map(|n| {
            let (call, entry) =
                (Call::chat("families", MODEL, &format!("i-{n}"), "a question"), fleet.entry_addr(n));
            tokio::spawn(async move { (call.clone(), call.send(entry).await) })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(150)).await;
    let poison = Call::chat("schools", MODEL, "poison", "please CRASH now");
    let _ = poison.send(fleet.entry_addr(0)).await;
    let _ = poison.send(fleet.entry_addr(1)).await;
    for innocent in innocents {
        let (call, _) = innocent.await.expect("the caller goes on");
        let again = call.send(fleet.entry_addr(2)).await.expect("the fleet answers");
        assert!(again.is_complete_stream(), "{}", again.text());
    }
}
