//! Requests pass from a caller through two daemons to an engine, with all programs as separate processes.
//!
//! Other tests run daemons within their own process, and so miss faults of the programs themselves: in their
//! arguments, settings, signals and exit.

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

/// Time after which a fleet that does not become ready fails the test.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Writes the settings of a daemon and starts it as a process.
fn start_daemon(name: &str, platform: &Process) -> Process {
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

fn vm_entry(name: &str, daemon: &Process) -> VmEntry {
    VmEntry {
        name: name.into(),
        peer_address: daemon.address("peers"),
        admin_address: daemon.address("admin"),
        region: "home".into(),
        domain: "a".into(),
        leaving: false,
    }
}

async fn put_to_platform(platform: &Process, path: &str, text: String) {
    let address = platform.address("on");
    let request = client::request("PUT", address, path, body::full(text)).expect("the request is valid");
    client::fetch(address, request, 1_024, Duration::from_secs(2))
        .await
        .expect("the platform accepts the request");
}

/// Two daemons, an engine, and the platform that lists them, as processes.
struct ProcessFleet {
    platform: Process,
    engine: Process,
    daemons: [Process; 2],
}

impl ProcessFleet {
    async fn start(token_ms: &str) -> Self {
        let platform = Process::start(Binary::Fake, &["platform"]);
        let engine = Process::start(Binary::Fake, &["engine", "--token-ms", token_ms]);
        let daemons = [start_daemon("vm-0", &platform), start_daemon("vm-1", &platform)];
        let document = format!(
            "team: t\nfailure_domains:\n  - name: a\n    region: home\nmodels:\n  - name: m\nupstreams:\n  \
             - name: e\n    address: {}\n    domain: a\n    serves: [m]\nworkspaces:\n  - name: w\n",
            engine.address("on")
        );
        put_to_platform(&platform, "/control/documents/t", document).await;
        let vms = [vm_entry("vm-0", &daemons[0]), vm_entry("vm-1", &daemons[1])];
        put_to_platform(&platform, "/control/vms", json!(vms).to_string()).await;
        let fleet = Self { platform, engine, daemons };
        let ready = async {
            for daemon in &fleet.daemons {
                while !is_ready(daemon).await {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready).await.expect("the daemons become ready");
        fleet
    }
}

async fn is_ready(daemon: &Process) -> bool {
    let call = Call { method: "GET".into(), path: "/readyz".into(), ..Call::default() };
    call.send(daemon.address("callers")).await.is_ok_and(|response| response.status == 200)
}

/// Each daemon must stream the complete response, also while the platform is down.
#[tokio::test]
async fn streams_through_processes() {
    let fleet = ProcessFleet::start("5").await;
    for daemon in &fleet.daemons {
        let call = Call::chat("w", "m", "chat-1", "Summarise capsule 17");
        let response = call.send(daemon.address("callers")).await.expect("the daemon responds");
        assert_eq!(response.status, 200, "{}", response.text());
        assert!(response.is_complete_stream(), "{}", response.text());
        let words: Vec<_> = (1..=8).map(|n| format!("Summarise capsule 17#{n}")).collect();
        assert_eq!(response.streamed_text(), words.join(" "));
        assert_eq!(response.header("x-jujubedoor-affinity"), "t/e");
    }
    put_to_platform(&fleet.platform, "/control/mode", json!(Mode::Down).to_string()).await;
    let call = Call::chat("w", "m", "chat-2", "while the platform is down");
    let response = call.send(fleet.daemons[0].address("callers")).await.expect("the daemon responds");
    assert!(response.is_complete_stream());
}

/// A daemon receives SIGTERM while it streams a response. It must complete the stream and then exit with
/// success.
#[tokio::test]
async fn sigterm_waits_for_stream() {
    let mut fleet = ProcessFleet::start("1450").await;
    let address = fleet.daemons[0].address("callers");
    let call = Call::chat("w", "m", "chat-1", "a slow answer of 10 s");
    let response = tokio::spawn(async move { call.send(address).await });
    tokio::time::sleep(Duration::from_millis(800)).await;
    fleet.daemons[0].signal(Signal::SIGTERM);
    let response = response.await.expect("the caller's task completes").expect("the daemon responds");
    assert!(response.is_complete_stream(), "{}", response.text());
    assert!(fleet.daemons[0].wait(), "the daemon should exit with success");
    assert!(!fleet.engine.first_line.is_empty());
}
