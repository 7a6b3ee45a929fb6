//! Servers that respond to the client before they have read a long request, and reset the connection meanwhile.

use std::net::SocketAddr;
use std::time::Duration;

use jujubedoor_http::FetchError;
use jujubedoor_http::body;
use jujubedoor_http::client;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Size of the requests, of which the sockets between client and server hold a part only.
const BODY_BYTES: usize = 6 << 20;

/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

const TIMEOUT: Duration = Duration::from_secs(5);

/// How the server ends its response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Reset,
    /// It ends what it sends, and resets the connection after a pause.
    ResetLater,
    /// It reads the request completely, and closes the connection.
    ReadAndClose,
}

/// Starts a server that responds to one request when it has read its head.
async fn serve(response: &'static str, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port is available");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.expect("the head of the request"));
        }
        stream.write_all(response.as_bytes()).await.expect("the client reads");
        match end {
            End::Reset => stream.set_zero_linger().expect("a connected socket"),
            End::ResetLater => {
                stream.shutdown().await.expect("a connected socket");
                tokio::time::sleep(Duration::from_millis(50)).await;
                stream.set_zero_linger().expect("a connected socket");
            }
            End::ReadAndClose => {
                let mut body = vec![0; BODY_BYTES];
                stream.read_exact(&mut body).await.expect("the body of the request");
            }
        }
    });
    address
}

async fn upload(response: &'static str, end: End) -> Result<String, FetchError> {
    let address = serve(response, end).await;
    let request = client::request("POST", address, "/", body::full(vec![b'x'; BODY_BYTES]))?;
    let bytes = client::fetch(address, request, MAX_RESPONSE_BYTES, TIMEOUT).await?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Guards against a part of a response that counts as a complete one.
#[tokio::test]
async fn response_without_length_is_broken_off() {
    for end in [End::Reset, End::ResetLater] {
        let received = upload("HTTP/1.1 200 OK\r\n\r\na part", end).await;
        assert!(received.is_err(), "{end:?}: {received:?}");
    }
}

/// Guards against a strictness that refuses responses which are complete.
#[tokio::test]
async fn response_is_complete() {
    let with_length = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
    let without_length = "HTTP/1.1 200 OK\r\n\r\nwhole";
    for (response, end) in [
        (with_length, End::ResetLater),
        (with_length, End::ReadAndClose),
        (without_length, End::ReadAndClose),
    ] {
        let received = upload(response, end).await;
        assert_eq!(received.ok().as_deref(), Some("whole"), "{response:?}, {end:?}");
    }
}

/// Guards against a status that does not exist, which is no response.
#[tokio::test]
async fn status_is_none() {
    for response in [
        "HTTP/1.1 000 OK\r\n\r\n",
        "HTTP/1.1 099 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 101 OK\r\n\r\n",
        "HTTP/1.1 600 OK\r\ncontent-length: 0\r\n\r\n",
    ] {
        let received = upload(response, End::ReadAndClose).await;
        let is_refused = matches!(received, Err(FetchError::ConnectionLost(_) | FetchError::NoResponse(_)));
        assert!(is_refused, "{response:?}: {received:?}");
    }
}
