//! Every caller gets the whole answer to its own request, or an explicit end.

use std::time::Duration;

use jujubedoor_cli::caller::Call;
use jujubedoor_cli::local::FleetConfig;
use jujubedoor_cli::local::LocalFleet;
use jujubedoor_cli::local::MODEL;
use jujubedoor_cli::local::SERVICE;
use jujubedoor_fakes::EngineConfig;

async fn fleet(token_ms: u64, engines: usize) -> LocalFleet {
    let engine = EngineConfig { token_ms, default_tokens: 40, ..EngineConfig::default() };
    // A busy machine makes calls slow; none of these cases is about giving up.
    let model = "queue_ms: 30000".into();
    LocalFleet::start(FleetConfig {
        engines,
        engine_config: engine,
        model_settings: model,
        ..FleetConfig::default()
    })
    .await
    .expect("the fleet starts")
}

fn words(marker: &str) -> String {
    (1..=40).map(|n| format!("{marker}#{n}")).collect::<Vec<_>>().join(" ")
}

#[tokio::test]
async fn everyone_gets_own() {
    let fleet = fleet(5, 4).await;
    let calls = (0..60).map(|n| {
        let entry = fleet.entry_addr(n);
        async move {
            let marker = format!("question {n}");
            let call = Call::chat("schools", MODEL, &format!("chat-{}", n % 20), &marker);
            (marker, call.send(entry).await.expect("the fleet answers"))
        }
    });
    for (marker, answer) in futures::future::join_all(calls).await {
        assert!(answer.is_complete_stream(), "{}", answer.text());
        assert_eq!(answer.streamed_text(), words(&marker));
    }
}

#[tokio::test]
async fn cut_stream_resumes() {
    let fleet = fleet(20, 2).await;
    let entry = fleet.entry_addr(0);
    let answer = tokio::spawn(async move { Call::chat("schools", MODEL, "c", "cut me").send(entry).await });
    tokio::time::sleep(Duration::from_millis(400)).await;
    for engine in &fleet.engines {
        engine.disconnect_streams();
    }
    let answer = answer.await.expect("the caller goes on").expect("the fleet answers");
    assert!(answer.is_complete_stream(), "{}", answer.text());
    assert_eq!(answer.streamed_text(), words("cut me"));
    let calls: u64 = fleet.engines.iter().map(|engine| engine.totals().calls).sum();
    assert_eq!(calls, 1, "the stream went on, it was not started again");
}

#[tokio::test]
async fn crash_ends_explicitly() {
    let fleet = fleet(20, 1).await;
    let entry = fleet.entry_addr(0);
    let answer = tokio::spawn(async move { Call::chat("schools", MODEL, "c", "crash").send(entry).await });
    tokio::time::sleep(Duration::from_millis(400)).await;
    fleet.engines[0].crash();
    let answer = answer.await.expect("the caller goes on").expect("the fleet answers");
    let text = answer.text();
    assert!(!answer.is_complete_stream());
    assert!(text.contains("event: error") && text.contains("\"outcome\":\"unknown\""), "{text}");
    assert!(text.contains("\"reason\":\"upstream-lost\""), "{text}");
    assert!(!text.contains("[DONE]"));
}

#[tokio::test]
async fn broken_body_breaks() {
    let fleet = fleet(5, 1).await;
    let call = Call::service("schools", SERVICE, "GET", "/catalogue/1?break=1", "");
    let answer = call.send(fleet.entry_addr(0)).await.expect("the head arrives");
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert!(!answer.complete, "half an answer does not look complete");
}

#[tokio::test]
async fn leaving_caller_cancels() {
    let fleet = fleet(50, 1).await;
    let entry = fleet.entry_addr(0);
    let gone = tokio::spawn(async move { Call::chat("schools", MODEL, "gone", "gone").send(entry).await });
    let stays = tokio::spawn(async move { Call::chat("schools", MODEL, "stays", "stays").send(entry).await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    gone.abort();
    let stays = stays.await.expect("the caller goes on").expect("the fleet answers");
    assert!(stays.is_complete_stream());
    // The engine counts the end of a call a moment after its last token.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let totals = fleet.engines[0].totals();
    assert_eq!((totals.cancelled, totals.completed), (1, 1));
}

#[tokio::test]
async fn tickets_run_once() {
    let fleet = fleet(5, 1).await;
    let seal = Call::service("schools", SERVICE, "POST", "/seal/17?delay_ms=300", "sealed");
    let refused = seal.send(fleet.entry_addr(0)).await.expect("the fleet answers");
    assert_eq!((refused.status, refused.outcome()), (428, "not-run"));
    assert!(fleet.services[0].history().is_empty());
    let seal = seal.with_header("x-jujubedoor-ticket", refused.ticket());
    let both = futures::future::join(seal.send(fleet.entry_addr(1)), seal.send(fleet.entry_addr(2))).await;
    let (first, second) = (both.0.expect("answered"), both.1.expect("answered"));
    assert_eq!((first.outcome(), second.outcome()), ("done", "done"));
    assert_eq!(first.body, second.body);
    assert_eq!(fleet.services[0].history().len(), 1);
    let note = Call::service("schools", SERVICE, "POST", "/note/1", "once");
    assert_eq!(note.send(fleet.entry_addr(0)).await.expect("answered").status, 200);
}
