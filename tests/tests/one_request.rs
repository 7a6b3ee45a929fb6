//! One request passes from the caller through two daemons to an engine, all separate processes.

use std::time::Duration;

use jujubedoor::fleet::VmEntry;
use jujubedoor_cli::caller::Call;
use jujubedoor_fakes::platform::Mode;
use jujubedoor_http::body;
use jujubedoor_http::client;
use jujubedoor_tests::Binary;
use jujubedoor_tests::Process;
use nix::sys::signal::Signal;
use serde_json::json;

const KEY: &str = "a key of these tests only";

/// After this time a test that hangs is given up.
const READY: Duration = Duration::from_secs(30);

/// A daemon as a process, with the settings that it was started with.
fn daemon(name: &str, platform: &Process) -> Process {
    let platform = platform.address("on");
    let file = format!("one-request-{}-{name}.yaml", platform.port());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
    let settings = format!(
        "vm: {name}\nregion: home\ndomain: a\nlisten: 127.0.0.1:0\npeer_listen: 127.0.0.1:0\n\
         admin_listen: 127.0.0.1:0\nplatform: {platform}\nkey: {KEY}\nlog: error\n"
    );
    std::fs::write(&path, settings).expect("the settings can be written");
    Process::start(Binary::Daemon, &["--settings", path.to_str().expect("the path is text")])
}

fn entry_of(name: &str, daemon: &Process) -> VmEntry {
    VmEntry {
        name: name.into(),
        peer_address: daemon.address("peers"),
        admin_address: daemon.address("admin"),
        region: "home".into(),
        domain: "a".into(),
        leaving: false,
    }
}

async fn put(platform: &Process, path: &str, text: String) {
    let address = platform.address("on");
    let request = client::request("PUT", address, path, body::full(text)).expect("the request is valid");
    client::fetch(address, request, 1_024, Duration::from_secs(2)).await.expect("the platform takes it");
}

/// Two daemons, an engine with a token time, and the platform that lists them.
struct Stage {
    platform: Process,
    engine: Process,
    daemons: [Process; 2],
}

impl Stage {
    async fn start(token_ms: &str) -> Self {
        let platform = Process::start(Binary::Fake, &["platform"]);
        let engine = Process::start(Binary::Fake, &["engine", "--token-ms", token_ms]);
        let daemons = [daemon("vm-0", &platform), daemon("vm-1", &platform)];
        let document = format!(
            "team: t\nfailure_domains:\n  - name: a\n    region: home\nmodels:\n  - name: m\nupstreams:\n  \
             - name: e\n    address: {}\n    domain: a\n    serves: [m]\nworkspaces:\n  - name: w\n",
            engine.address("on")
        );
        put(&platform, "/control/documents/t", document).await;
        let vms = [entry_of("vm-0", &daemons[0]), entry_of("vm-1", &daemons[1])];
        put(&platform, "/control/vms", json!(vms).to_string()).await;
        let stage = Self { platform, engine, daemons };
        let ready = async {
            for daemon in &stage.daemons {
                while !is_ready(daemon).await {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        };
        tokio::time::timeout(READY, ready).await.expect("the daemons get ready");
        stage
    }
}

async fn is_ready(daemon: &Process) -> bool {
    let call = Call { method: "GET".into(), path: "/readyz".into(), ..Call::default() };
    call.send(daemon.address("callers")).await.is_ok_and(|answer| answer.status == 200)
}

#[tokio::test]
async fn streams_through_processes() {
    let stage = Stage::start("5").await;
    for daemon in &stage.daemons {
        let call = Call::chat("w", "m", "chat-1", "Summarise capsule 17");
        let answer = call.send(daemon.address("callers")).await.expect("the daemon answers");
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert!(answer.is_complete_stream(), "{}", answer.text());
        let words: Vec<_> = (1..=8).map(|n| format!("Summarise capsule 17#{n}")).collect();
        assert_eq!(answer.streamed_text(), words.join(" "));
        assert_eq!(answer.header("x-jujubedoor-affinity"), "t/e");
    }
    put(&stage.platform, "/control/mode", json!(Mode::Down).to_string()).await;
    let call = Call::chat("w", "m", "chat-2", "while the platform is down");
    let answer = call.send(stage.daemons[0].address("callers")).await.expect("the daemon answers");
    assert!(answer.is_complete_stream());
}

#[tokio::test]
async fn terminates_after_stream() {
    let mut stage = Stage::start("1450").await;
    let address = stage.daemons[0].address("callers");
    let call = Call::chat("w", "m", "chat-1", "a slow answer of 10 s");
    let answer = tokio::spawn(async move { call.send(address).await });
    tokio::time::sleep(Duration::from_millis(800)).await;
    stage.daemons[0].signal(Signal::SIGTERM);
    let answer = answer.await.expect("the caller goes on").expect("the daemon answers");
    assert!(answer.is_complete_stream(), "{}", answer.text());
    assert!(stage.daemons[0].wait(), "the daemon ends with success");
    assert!(!stage.engine.first_line.is_empty());
}
