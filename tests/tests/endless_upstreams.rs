//! Upstreams that send bytes without end to the daemon `jujubedoord`, in many responses at once.
//! `platform/tests/endless_everywhere.rs` has the same cases for the other daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;
use jujubedoor::fleet::VmEntry;
use jujubedoor_cli::caller::Call;
use jujubedoor_cli::local::any_loopback_addr;
use jujubedoor_fakes::Platform;
use jujubedoor_tests::Binary;
use jujubedoor_tests::Process;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// Maximum resident memory of the daemon, in megabytes; its settings name as much.
const MAX_MEMORY_MB: u64 = 64;

/// Number of calls of each kind that are made at once.
const CALLS: usize = 40;

/// Number of calls that an upstream completes before it floods.
const WARM_UP_CALLS: usize = 60;

/// Time that the daemon spends on a call, in milliseconds.
const CALL_MS: u64 = 1_500;

/// Pause between the writes of a slow flood.
const SLOW_PAUSE: Duration = Duration::from_millis(20);

/// Time that a caller waits for its response. It reads slower than the upstream writes.
const CALLER_TIME: Duration = Duration::from_secs(3);

/// Runs these tests one at a time.
static ALONE: Mutex<()> = Mutex::const_new(());

/// What an upstream sends before a flood, and the bytes that it repeats.
type Endless = (&'static str, &'static str);

/// How an upstream responds, and how many responses without end it has begun.
#[derive(Default)]
struct Behavior {
    floods: AtomicBool,
    begun: AtomicUsize,
}

/// Starts an upstream that floods once it is told to.
async fn start_upstream(endless: Endless, pause: Duration, behavior: Arc<Behavior>) -> SocketAddr {
    let listener = TcpListener::bind(any_loopback_addr()).await.expect("a free port is available");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, endless, pause, behavior.clone()));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, (before, repeated): Endless, pause: Duration, behavior: Arc<Behavior>) {
    let mut buf = vec![0; 16 << 10];
    let _ = stream.read(&mut buf).await;
    if !behavior.floods.load(Ordering::Relaxed) {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
        return;
    }
    behavior.begun.fetch_add(1, Ordering::Relaxed);
    let repeated = repeated.repeat(if pause.is_zero() { 2_048 } else { 256 });
    let mut written = stream.write_all(before.as_bytes()).await;
    while written.is_ok() {
        written = stream.write_all(repeated.as_bytes()).await;
        tokio::time::sleep(pause).await;
    }
}

/// Starts a daemon whose model and plain service have one flooding upstream.
async fn start_daemon(name: &str, upstream: SocketAddr) -> (Platform, Process) {
    let platform = Platform::start(any_loopback_addr()).await.expect("the platform starts");
    let document = format!(
        "team: tests\nfailure_domains:\n  - name: a\n    region: home\nmodels:\n  - name: m\nservices:\n  - name: s\n\
         upstreams:\n  - name: e\n    address: {upstream}\n    domain: a\n    serves: [m, s]\n    slots: 200\n    \
         cold_slots: 200\n    reports: false\nworkspaces:\n  - name: w\n"
    );
    platform.publish_document("tests", &document);
    let path =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("endless-upstreams-{name}.yaml"));
    let settings = format!(
        "vm: vm-0\nregion: home\ndomain: a\nlisten: 127.0.0.1:0\npeer_listen: 127.0.0.1:0\nadmin_listen: 127.0.0.1:0\n\
         platform: {}\nkey: a key of these tests only\nlog: error\ncall_ms: {CALL_MS}\nmemory_mb: {MAX_MEMORY_MB}\n",
        platform.address()
    );
    std::fs::write(&path, settings).expect("the settings can be written");
    let daemon = Process::start(Binary::Daemon, &["--settings", path.to_str().expect("the path is text")]);
    platform.publish_vm_list(&[VmEntry {
        name: "vm-0".into(),
        peer_address: daemon.address("peers"),
        admin_address: daemon.address("admin"),
        region: "home".into(),
        domain: "a".into(),
        leaving: false,
    }]);
    (platform, daemon)
}

/// Waits until the daemon places calls.
async fn wait_ready(daemon: &Process) {
    let ready = async {
        loop {
            let call = Call { method: "GET".into(), path: "/readyz".into(), ..Call::default() };
            if call.send(daemon.address("callers")).await.is_ok_and(|response| response.status == 200) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), ready).await.expect("the daemon is ready");
}

/// Makes calls of all kinds at once, and checks the memory of the daemon.
async fn check(name: &str, endless: Endless, pause: Duration) {
    let behavior = Arc::new(Behavior::default());
    let upstream = start_upstream(endless, pause, behavior.clone()).await;
    let (_platform, mut daemon) = start_daemon(name, upstream).await;
    wait_ready(&daemon).await;
    let address = daemon.address("callers");
    // An upstream that has just started gets few calls at once.
    for _ in 0..WARM_UP_CALLS {
        let _ = Call::service("w", "s", "GET", "/a", "").send(address).await;
    }
    behavior.floods.store(true, Ordering::Relaxed);
    let calls = (0..3 * CALLS).map(|n| {
        let call = match n % 3 {
            0 => Call::chat("w", "m", &format!("chat-{n}"), "a"),
            1 => {
                let body = format!("{{\"model\":\"m\",\"chat_id\":\"chat-{n}\",\"messages\":[]}}");
                Call { path: "/v1/chat/completions".into(), body, ..Call::default() }
                    .with_header("x-workspace", "w")
            }
            _ => Call::service("w", "s", "GET", "/a", ""),
        };
        async move {
            // Dropping the call closes the caller's connection.
            tokio::time::timeout(CALLER_TIME, call.send(address)).await.ok()
        }
    });
    join_all(calls).await;
    assert!(!daemon.has_exited(), "{endless:?}, {pause:?}: the process has ended");
    let memory_mb = daemon.peak_memory_mb();
    let begun = behavior.begun.load(Ordering::Relaxed);
    println!("{endless:?}, {pause:?}: {begun} floods, {memory_mb} MB");
    assert!(begun >= CALLS, "{begun} floods");
    assert!(memory_mb <= MAX_MEMORY_MB, "{endless:?}, {pause:?}: {memory_mb} MB");
}

/// Guards against heads that are kept without a limit.
#[tokio::test]
async fn heads() {
    let _alone = ALONE.lock().await;
    for pause in [Duration::ZERO, SLOW_PAUSE] {
        check("heads", ("HTTP/1.1 200 OK\r\n", "x-a: b\r\n"), pause).await;
        check("interim", ("", "HTTP/1.1 100 Continue\r\n\r\n"), pause).await;
    }
}

/// Guards against events without end that are kept for each call.
#[tokio::test]
async fn events() {
    let _alone = ALONE.lock().await;
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    for pause in [Duration::ZERO, SLOW_PAUSE] {
        check("events", (head, "data: rubbish, "), pause).await;
    }
}

/// Guards against bodies in chunks, and trailers, that are kept for each call.
#[tokio::test]
async fn chunks() {
    let _alone = ALONE.lock().await;
    let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n";
    for pause in [Duration::ZERO, SLOW_PAUSE] {
        check("chunks", (head, "9\r\nrubbish, \r\n"), pause).await;
        check(
            "trailers",
            ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n[]\r\n0\r\n", "x-a: b\r\n"),
            pause,
        )
        .await;
    }
}
