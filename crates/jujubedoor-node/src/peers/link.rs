//! The link to one VM: collects queued messages into batches and delivers each batch in one call.

use std::net::SocketAddr;
use std::time::Duration;

use jujubedoor::Event;
use jujubedoor::Message;
use jujubedoor_config::Name;
use tarpc::client;
use tarpc::context;
use tarpc::trace;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::Envelope;
use super::PeerClient;
use super::noise::HandshakeError;
use crate::core::Handle;

/// Maximum time to open a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of messages in one call.
const MAX_BATCH_MESSAGES: usize = 256;

/// Maximum delay of a message that is not urgent, so that later messages to the same VM join its batch.
const BATCH_DELAY: Duration = Duration::from_millis(25);

/// Delay after a failed call. The messages of that call are dropped; messages queued during the delay are sent
/// after it.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// An error that prevented the delivery of messages.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Handshake(#[from] HandshakeError),
    #[error("call failed: {0}")]
    Call(#[from] client::RpcError),
}

/// Starts the link to a VM.
pub fn start(handle: &Handle, to: &Name, address: SocketAddr) -> mpsc::UnboundedSender<Message> {
    let (tx, rx) = mpsc::unbounded_channel();
    tokio::spawn(run(handle.clone(), to.clone(), address, rx));
    tx
}

async fn run(handle: Handle, to: Name, address: SocketAddr, mut rx: mpsc::UnboundedReceiver<Message>) {
    let mut client = None;
    let mut messages = Vec::new();
    while rx.recv_many(&mut messages, MAX_BATCH_MESSAGES).await > 0 {
        collect_batch(&mut rx, &mut messages).await;
        let batch = std::mem::take(&mut messages);
        if let Err(e) = send_batch(&handle, address, &mut client, batch).await {
            log::info!("cannot deliver messages to VM {to}: {e}");
            client = None;
            handle.submit(Event::PeerUnreachable(to.clone()));
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Waits up to the batch delay for more messages, as long as no message in the batch is urgent.
async fn collect_batch(rx: &mut mpsc::UnboundedReceiver<Message>, messages: &mut Vec<Message>) {
    let deadline = tokio::time::Instant::now() + BATCH_DELAY;
    while messages.len() < MAX_BATCH_MESSAGES && !messages.iter().any(Message::is_urgent) {
        let free = MAX_BATCH_MESSAGES - messages.len();
        match tokio::time::timeout_at(deadline, rx.recv_many(messages, free)).await {
            Ok(received) if received > 0 => {}
            _ => return,
        }
    }
}

async fn send_batch(
    handle: &Handle,
    address: SocketAddr,
    client: &mut Option<PeerClient>,
    messages: Vec<Message>,
) -> Result<(), LinkError> {
    let connection = match client.take() {
        Some(connection) => connection,
        None => connect(handle, address).await?,
    };
    for message in &messages {
        let bytes = postcard::experimental::serialized_size(message).unwrap_or_default();
        handle.metrics.record_message(message.kind(), bytes as u64);
    }
    let envelope = Envelope { from: handle.local_vm.clone(), stamp: handle.clock.stamp(), messages };
    let mut cx = context::current();
    cx.deadline = std::time::Instant::now() + CALL_TIMEOUT;
    // Requests have their own ids; without trace ids the encoded context is only a few bytes.
    cx.trace_context = trace::Context::default();
    connection.deliver(cx, envelope).await?;
    *client = Some(connection);
    Ok(())
}

async fn connect(handle: &Handle, address: SocketAddr) -> Result<PeerClient, LinkError> {
    let timed_out = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream =
        tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.map_err(timed_out)??;
    let transport = handle.peers.key().initiate(stream, handle.metrics.peer_traffic.clone()).await?;
    Ok(PeerClient::new(client::Config::default(), transport).spawn())
}
