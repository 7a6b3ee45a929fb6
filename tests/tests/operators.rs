//! Operators see the state and the events of all VMs, clients without the fleet's key see nothing, and
//! invalid requests get clear errors.

use std::time::Duration;

use jujubedoor_cli::caller::Call;
use jujubedoor_cli::commands::timeline;
use jujubedoor_cli::local::FleetConfig;
use jujubedoor_cli::local::LocalFleet;
use jujubedoor_cli::local::MODEL;
use jujubedoor_cli::local::TEAM;
use jujubedoor_cli::operator::Operator;
use jujubedoor_node::admin::Status;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

async fn start_fleet() -> LocalFleet {
    LocalFleet::start(FleetConfig { engines: 2, ..FleetConfig::default() }).await.expect("the fleet starts")
}

/// The events of a request are recorded on several VMs. The merged timeline must have them in causal order.
#[tokio::test]
async fn timeline_merges() {
    let fleet = start_fleet().await;
    for chat in 0..12 {
        let call = Call::chat("schools", MODEL, &format!("chat-{chat}"), "a question");
        let response = call.send(fleet.entry_addr(0)).await.expect("the fleet responds");
        let request = response.header("x-jujubedoor-request").to_owned();
        let entries = timeline::merge(&fleet.operator(), &request, None).await.expect("the VMs respond");
        let events: Vec<_> = entries.iter().map(|entry| entry.event.as_str()).collect();
        assert_eq!(events, ["arrived", "asked", "granted", "sent", "ended"], "{entries:?}");
        let upstream = entries[3].upstream.as_deref().expect("the upstream is named");
        assert_eq!(upstream, response.header("x-jujubedoor-affinity"));
    }
}

/// A document with a mistake is published. Every VM must report the mistake and keep the previous document.
#[tokio::test]
async fn status_shows_rejection() {
    let fleet = start_fleet().await;
    // The store has one revision counter for all that it holds, and the active document was stored first.
    let rejected_revision = fleet.platform.publish_document(TEAM, "team: local\nmodles: []\n");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let responses =
        fleet.operator().send_to_all::<Status>("/v1/status").await.expect("the platform responds");
    assert_eq!(responses.len(), 3);
    for (_, status) in responses {
        let status = status.expect("the VM responds");
        assert!(status.ready);
        assert_eq!(
            (status.documents[0].revision, status.documents[0].rejected),
            (1, Some(rejected_revision))
        );
        assert!(status.documents[0].diagnostics[0].starts_with("2:1: unknown key `modles`"));
    }
}

/// Clients without the key use the admin and the peer port. They get no data, and the daemon continues to
/// serve.
#[tokio::test]
async fn unauthenticated_clients_get_nothing() {
    let fleet = start_fleet().await;
    let unauthenticated = Operator::new(fleet.platform.address(), "another key of sixteen bytes");
    let admin = fleet.daemons[0].admin_addr;
    assert!(unauthenticated.send_request::<Status>("GET", admin, "/v1/status").await.is_err());
    assert!(unauthenticated.send_request::<String>("POST", admin, "/v1/drain").await.is_err());
    let mut stream =
        tokio::net::TcpStream::connect(fleet.daemons[0].peers_addr).await.expect("the port is open");
    stream.write_all(&[0, 0, 0, 4, 1, 2, 3, 4]).await.expect("the bytes can be sent");
    let mut response = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut response)).await;
    assert!(read.is_ok(), "the connection should be closed");
    assert!(response.is_empty(), "a client without the key should get no byte");
    let call = Call::chat("schools", MODEL, "c", "still serving");
    assert!(call.send(fleet.entry_addr(0)).await.expect("the fleet responds").is_complete_stream());
}

/// Each invalid request gets a status, a reason, a hint and the outcome that it did not run. The daemon
/// continues to serve.
#[tokio::test]
async fn invalid_requests_get_errors() {
    let fleet = start_fleet().await;
    let chat = Call::chat("schools", MODEL, "c", "text");
    let cases = [
        (Call { body: "{".into(), ..chat.clone() }, 400, "bad-request"),
        (Call { body: "{\"model\":\"m\"}".into(), ..chat.clone() }, 400, "bad-request"),
        (Call::chat("nobody", MODEL, "c", "text"), 400, "unknown-workspace"),
        (Call::chat("schools", "no-model", "c", "text"), 404, "unknown-pool"),
        (Call { path: "/nothing".into(), ..chat.clone() }, 400, "bad-request"),
        (Call { body: "x".repeat(9 << 20), ..chat.clone() }, 413, "bad-request"),
        (
            Call::service("schools", "registry", "POST", "/seal/1", "")
                .with_header("x-jujubedoor-ticket", "x"),
            422,
            "bad-ticket",
        ),
    ];
    for (call, status, reason) in cases {
        let response = call.send(fleet.entry_addr(0)).await.expect("the fleet responds");
        let error = &response.json()["error"];
        assert_eq!(
            (response.status, error["reason"].as_str()),
            (status, Some(reason)),
            "{}",
            response.text()
        );
        assert_eq!(error["outcome"], "not-run");
        assert!(error["hint"].as_str().is_some_and(|hint| !hint.is_empty()));
    }
    assert!(chat.send(fleet.entry_addr(0)).await.expect("the fleet responds").is_complete_stream());
}
