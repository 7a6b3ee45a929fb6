//! Callers that try to make the daemon `jujubedoord` hold more than it can. `platform/tests/untrusted_callers.rs` has the
//! same cases for the other daemon.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use jujubedoor_cli::caller::Call;
use jujubedoor_tests::Binary;
use jujubedoor_tests::Process;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// Maximum resident memory of the daemon, in megabytes; its settings name as much.
const MAX_MEMORY_MB: u64 = 64;

/// Maximum number of the daemon's open files: its connections, 64 of operators, and others.
const MAX_OPEN_FILES: usize = 300;

/// Default limit of the size of a body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Number of callers that send bodies, all at once.
const CROWD: usize = 24;

/// Number of idle connections or unfinished heads.
const CONNECTIONS: usize = 800;

/// Time after which a caller gives up sending; its connection stays open.
const SEND_TIMEOUT: Duration = Duration::from_secs(4);

/// Time that a test waits for an ordinary request to be answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs these tests one at a time.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Starts the platform and a daemon with low limits.
fn start(name: &str) -> (Process, Process) {
    let platform = Process::start(Binary::Fake, &["platform"]);
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("untrusted-calls-{name}.yaml"));
    let settings = format!(
        "vm: vm-0\nregion: home\ndomain: a\nlisten: 127.0.0.1:0\npeer_listen: 127.0.0.1:0\n\
         admin_listen: 127.0.0.1:0\nplatform: {}\nkey: a key of these tests only\nlog: error\n\
         connections: 100\nmemory_mb: {MAX_MEMORY_MB}\n",
        platform.address("on")
    );
    std::fs::write(&path, settings).expect("the settings can be written");
    let daemon = Process::start(Binary::Daemon, &["--settings", path.to_str().expect("the path is text")]);
    (platform, daemon)
}

/// Opens a connection for each caller, sends all requests at the same time, and leaves the connections open.
async fn send_all<F>(address: SocketAddr, callers: usize, write: F) -> Vec<TcpStream>
where
    F: AsyncFn(&mut TcpStream) -> std::io::Result<()>,
{
    let send = async || {
        let mut stream = TcpStream::connect(address).await.ok()?;
        // The daemon may close the connection, or stop reading from it.
        let _ = tokio::time::timeout(SEND_TIMEOUT, write(&mut stream)).await;
        Some(stream)
    };
    join_all((0..callers).map(|_| send())).await.into_iter().flatten().collect()
}

/// Waits until a request to an address is answered.
async fn wait_answered(address: SocketAddr, path: &str) {
    let answered = async {
        let call = Call { method: "GET".into(), path: path.into(), ..Call::default() };
        while call.send(address).await.is_err() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(ANSWER_TIMEOUT, answered).await.expect("an ordinary request is answered");
}

/// Checks the daemon while the connections of the crowd are still open.
async fn check(daemon: &mut Process, crowd: Vec<TcpStream>) {
    let address = daemon.address("callers");
    wait_answered(address, "/healthz").await;
    assert!(!daemon.has_exited(), "the process has ended");
    let (memory_mb, files) = (daemon.peak_memory_mb(), daemon.open_files());
    println!("peak memory {memory_mb} MB, {files} open files");
    assert!(memory_mb <= MAX_MEMORY_MB, "{memory_mb} MB");
    assert!(files <= MAX_OPEN_FILES, "{files} open files");
    drop(crowd);
}

fn head(framing: &str) -> String {
    format!("POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-workspace: w\r\n{framing}\r\n")
}

/// Guards against legal bodies that stop one byte short and hold their memory.
#[tokio::test]
async fn bodies_one_byte_short() {
    let _alone = ALONE.lock().await;
    let (_platform, mut daemon) = start("short");
    let text = head(&format!("content-length: {MAX_BODY_BYTES}\r\n")) + &"x".repeat(MAX_BODY_BYTES - 1);
    let crowd =
        send_all(daemon.address("callers"), CROWD, async |stream| stream.write_all(text.as_bytes()).await)
            .await;
    check(&mut daemon, crowd).await;
}

/// Guards against bodies in chunks that never end.
#[tokio::test]
async fn endless_chunks() {
    let _alone = ALONE.lock().await;
    let (_platform, mut daemon) = start("chunks");
    let chunk = format!("{:x}\r\n{}\r\n", 64 << 10, "x".repeat(64 << 10));
    let text = head("transfer-encoding: chunked\r\n") + &chunk.repeat(MAX_BODY_BYTES / (64 << 10) - 1);
    let crowd =
        send_all(daemon.address("callers"), CROWD, async |stream| stream.write_all(text.as_bytes()).await)
            .await;
    check(&mut daemon, crowd).await;
}

/// Guards against unfinished heads that use up memory and connections.
#[tokio::test]
async fn unfinished_heads() {
    let _alone = ALONE.lock().await;
    let (_platform, mut daemon) = start("heads");
    let text = head("").trim_end().to_owned() + "\r\nx-more: " + &"x".repeat(48 << 10);
    let crowd = send_all(daemon.address("callers"), CONNECTIONS, async |stream| {
        stream.write_all(text.as_bytes()).await
    });
    let crowd = crowd.await;
    check(&mut daemon, crowd).await;
}

/// Guards against idle connections that keep callers or operators from being accepted.
#[tokio::test]
async fn idle_connections() {
    let _alone = ALONE.lock().await;
    let (_platform, mut daemon) = start("idle");
    for word in ["callers", "admin"] {
        let crowd = send_all(daemon.address(word), CONNECTIONS, async |_| Ok(())).await;
        wait_answered(daemon.address("admin"), "/metrics").await;
        check(&mut daemon, crowd).await;
    }
}

/// Guards against a body of legal size whose parsed form takes many times its memory.
#[tokio::test]
async fn many_small_values() {
    let _alone = ALONE.lock().await;
    let (_platform, mut daemon) = start("values");
    let values = "0,".repeat(MAX_BODY_BYTES / 2 - 100);
    let body = format!("{{\"model\":\"m\",\"prompt\":\"p\",\"messages\":[{values}0]}}");
    let text = head(&format!("content-length: {}\r\n", body.len())) + &body;
    let crowd = send_all(daemon.address("callers"), 1, async |stream| {
        stream.write_all(text.as_bytes()).await?;
        stream.read_u8().await.map(drop)
    });
    let crowd = crowd.await;
    check(&mut daemon, crowd).await;
}

/// Guards against a rejection that comes only after the body was sent.
#[tokio::test]
async fn announced_length_is_rejected_at_once() {
    let _alone = ALONE.lock().await;
    let (_platform, daemon) = start("announced");
    let mut stream = TcpStream::connect(daemon.address("callers")).await.expect("a connection");
    let text = head(&format!("content-length: {}\r\n", MAX_BODY_BYTES + 1));
    stream.write_all(text.as_bytes()).await.expect("the head is sent");
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.expect("a response before the body is sent");
    assert_eq!(&status, b"HTTP/1.1 413");
}
