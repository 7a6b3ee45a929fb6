//! Operators see what happens; strangers see nothing; bad input gets a clear error.

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

async fn fleet() -> LocalFleet {
    LocalFleet::start(FleetConfig { engines: 2, ..FleetConfig::default() }).await.expect("the fleet starts")
}

#[tokio::test]
async fn timeline_merges() {
    let fleet = fleet().await;
    for chat in 0..12 {
        let call = Call::chat("schools", MODEL, &format!("chat-{chat}"), "a question");
        let answer = call.send(fleet.entry_addr(0)).await.expect("the fleet answers");
        let request = answer.header("x-jujubedoor-request").to_owned();
        let entries = timeline::merge(&fleet.operator(), &request, None).await.expect("the VMs answer");
        let events: Vec<_> = entries.iter().map(|entry| entry.event.as_str()).collect();
        assert_eq!(events, ["arrived", "asked", "granted", "sent", "ended"], "{entries:?}");
        let upstream = entries[3].upstream.as_deref().expect("the upstream is named");
        assert_eq!(upstream, answer.header("x-jujubedoor-affinity"));
    }
}

#[tokio::test]
async fn status_shows_rejection() {
    let fleet = fleet().await;
    // The store numbers all that it holds together; the document that is in force is the first.
    let rejected = fleet.platform.publish_document(TEAM, "team: local\nmodles: []\n");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let answers = fleet.operator().send_to_all::<Status>("/v1/status").await.expect("the platform answers");
    assert_eq!(answers.len(), 3);
    for (_, status) in answers {
        let status = status.expect("the VM answers");
        assert!(status.ready);
        assert_eq!((status.documents[0].revision, status.documents[0].rejected), (1, Some(rejected)));
        assert!(status.documents[0].diagnostics[0].starts_with("2:1: unknown key `modles`"));
    }
}

#[tokio::test]
async fn strangers_get_nothing() {
    let fleet = fleet().await;
    let stranger = Operator::new(fleet.platform.address(), "another key of sixteen bytes");
    let admin = fleet.daemons[0].admin_addr;
    assert!(stranger.send_request::<Status>("GET", admin, "/v1/status").await.is_err());
    assert!(stranger.send_request::<String>("POST", admin, "/v1/drain").await.is_err());
    let mut stream =
        tokio::net::TcpStream::connect(fleet.daemons[0].peers_addr).await.expect("the port is open");
    stream.write_all(&[0, 0, 0, 4, 1, 2, 3, 4]).await.expect("the bytes leave");
    let mut answer = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "the connection is closed");
    assert!(answer.is_empty(), "a stranger gets no byte");
    let call = Call::chat("schools", MODEL, "c", "still serving");
    assert!(call.send(fleet.entry_addr(0)).await.expect("the fleet answers").is_complete_stream());
}

#[tokio::test]
async fn bad_input_is_told() {
    let fleet = fleet().await;
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
        let answer = call.send(fleet.entry_addr(0)).await.expect("the fleet answers");
        let error = &answer.json()["error"];
        assert_eq!((answer.status, error["reason"].as_str()), (status, Some(reason)), "{}", answer.text());
        assert_eq!(error["outcome"], "not-run");
        assert!(error["hint"].as_str().is_some_and(|hint| !hint.is_empty()));
    }
    assert!(chat.send(fleet.entry_addr(0)).await.expect("the fleet answers").is_complete_stream());
}
