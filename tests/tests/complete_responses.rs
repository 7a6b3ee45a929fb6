//! Every caller gets the complete response to its own request, or an explicit error.
//!
//! Otherwise a caller could take a part of a response, or the response to another request, for its own.

use std::time::Duration;

use jujubedoor_cli::caller::Call;
use jujubedoor_cli::local::FleetConfig;
use jujubedoor_cli::local::LocalFleet;
use jujubedoor_cli::local::MODEL;
use jujubedoor_cli::local::SERVICE;
use jujubedoor_fakes::EngineConfig;

async fn start_fleet(token_ms: u64, engines: usize) -> LocalFleet {
    let engine = EngineConfig { token_ms, default_tokens: 40, ..EngineConfig::default() };
    // Calls are slow on a busy machine. They may be queued for long, since no test here is about the queue
    // timeout.
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

fn expected_text(marker: &str) -> String {
    (1..=40).map(|n| format!("{marker}#{n}")).collect::<Vec<_>>().join(" ")
}

/// 60 concurrent calls of 20 chats arrive at all VMs. No caller may get the response to another call.
#[tokio::test]
async fn callers_get_own_responses() {
    let fleet = start_fleet(5, 4).await;
    let calls = (0..60).map(|n| {
        let entry = fleet.entry_addr(n);
        async move {
            let marker = format!("question {n}");
            let call = Call::chat("schools", MODEL, &format!("chat-{}", n % 20), &marker);
            (marker, call.send(entry).await.expect("the fleet responds"))
        }
    });
    for (marker, response) in futures::future::join_all(calls).await {
        assert!(response.is_complete_stream(), "{}", response.text());
        assert_eq!(response.streamed_text(), expected_text(&marker));
    }
}

/// The connection to the engine is lost in the middle of a stream. The stream must be resumed without a gap
/// and without a second call.
#[tokio::test]
async fn interrupted_stream_resumes() {
    let fleet = start_fleet(20, 2).await;
    let entry = fleet.entry_addr(0);
    let response = tokio::spawn(async move { Call::chat("schools", MODEL, "c", "cut me").send(entry).await });
    tokio::time::sleep(Duration::from_millis(400)).await;
    for engine in &fleet.engines {
        engine.disconnect_streams();
    }
    let response = response.await.expect("the caller's task completes").expect("the fleet responds");
    assert!(response.is_complete_stream(), "{}", response.text());
    assert_eq!(response.streamed_text(), expected_text("cut me"));
    let calls: u64 = fleet.engines.iter().map(|engine| engine.totals().calls).sum();
    assert_eq!(calls, 1, "the stream should be resumed, not started again");
}

/// The engine crashes in the middle of a stream, which can then not be resumed. The stream must end with an
/// error event and without the end marker.
#[tokio::test]
async fn crash_ends_stream_with_error() {
    let fleet = start_fleet(20, 1).await;
    let entry = fleet.entry_addr(0);
    let response = tokio::spawn(async move { Call::chat("schools", MODEL, "c", "crash").send(entry).await });
    tokio::time::sleep(Duration::from_millis(400)).await;
    fleet.engines[0].crash();
    let response = response.await.expect("the caller's task completes").expect("the fleet responds");
    let text = response.text();
    assert!(!response.is_complete_stream());
    assert!(text.contains("event: error") && text.contains("\"outcome\":\"unknown\""), "{text}");
    assert!(text.contains("\"reason\":\"upstream-lost\""), "{text}");
    assert!(!text.contains("[DONE]"));
}

/// A service closes the connection in the middle of a body. The connection to the caller must be closed as
/// well.
#[tokio::test]
async fn incomplete_body_is_visible() {
    let fleet = start_fleet(5, 1).await;
    let call = Call::service("schools", SERVICE, "GET", "/catalogue/1?break=1", "");
    let response = call.send(fleet.entry_addr(0)).await.expect("the response head arrives");
    assert_eq!(response.status, 200, "{}", response.text());
    assert!(!response.complete, "an incomplete response should not look complete");
}

/// A caller disconnects while its call is running. The engine must stop that call, and only that one.
#[tokio::test]
async fn disconnect_cancels_call() {
    let fleet = start_fleet(50, 1).await;
    let entry = fleet.entry_addr(0);
    let disconnecting =
        tokio::spawn(async move { Call::chat("schools", MODEL, "gone", "gone").send(entry).await });
    let remaining =
        tokio::spawn(async move { Call::chat("schools", MODEL, "stays", "stays").send(entry).await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    disconnecting.abort();
    let remaining = remaining.await.expect("the caller's task completes").expect("the fleet responds");
    assert!(remaining.is_complete_stream());
    // The engine counts a call as completed shortly after it has sent the last token.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let totals = fleet.engines[0].totals();
    assert_eq!((totals.cancelled, totals.completed), (1, 1));
}

/// A call that must not run twice is rejected without a ticket. Two requests with the same ticket, sent to
/// different VMs, get the response of a single run. A repeatable call needs no ticket.
#[tokio::test]
async fn tickets_run_once() {
    let fleet = start_fleet(5, 1).await;
    let seal = Call::service("schools", SERVICE, "POST", "/seal/17?delay_ms=300", "sealed");
    let rejected = seal.send(fleet.entry_addr(0)).await.expect("the fleet responds");
    assert_eq!((rejected.status, rejected.outcome()), (428, "not-run"));
    assert!(fleet.services[0].history().is_empty());
    let seal = seal.with_header("x-jujubedoor-ticket", rejected.ticket());
    let both = futures::future::join(seal.send(fleet.entry_addr(1)), seal.send(fleet.entry_addr(2))).await;
    let (first, second) = (both.0.expect("the fleet responds"), both.1.expect("the fleet responds"));
    assert_eq!((first.outcome(), second.outcome()), ("done", "done"));
    assert_eq!(first.body, second.body);
    assert_eq!(fleet.services[0].history().len(), 1);
    let repeatable_call = Call::service("schools", SERVICE, "POST", "/note/1", "once");
    assert_eq!(repeatable_call.send(fleet.entry_addr(0)).await.expect("the fleet responds").status, 200);
}
