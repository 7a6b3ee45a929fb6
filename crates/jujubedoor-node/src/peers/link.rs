//! The link to one VM: gathers the messages that wait and delivers them in one call.

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
use super::noise::SealError;
use crate::core::Handle;

/// How long a connection may take to open.
const CONNECT: Duration = Duration::from_millis(500);

/// How long a call may take.
const CALL: Duration = Duration::from_secs(1);

/// The most messages in one call.
const BATCH: usize = 256;

/// How long a message that is not urgent waits for others to the same VM.
const HOLD: Duration = Duration::from_millis(25);

/// The pause after a failure, during which messages are dropped.
const PAUSE: Duration = Duration::from_millis(100);

/// Why messages were not delivered.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Seal(#[from] SealError),
    #[error("the call failed: {0}")]
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
    while rx.recv_many(&mut messages, BATCH).await > 0 {
        gather(&mut rx, &mut messages).await;
        let batch = std::mem::take(&mut messages);
        if let Err(e) = deliver(&handle, address, &mut client, batch).await {
            log::info!("VM {to} did not take messages: {e}");
            client = None;
            handle.submit(Event::PeerUnreachable(to.clone()));
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Waits a moment for more messages when none of those that are there is urgent.
async fn gather(rx: &mut mpsc::UnboundedReceiver<Message>, messages: &mut Vec<Message>) {
    let deadline = tokio::time::Instant::now() + HOLD;
    while messages.len() < BATCH && !messages.iter().any(Message::is_urgent) {
        let room = BATCH - messages.len();
        match tokio::time::timeout_at(deadline, rx.recv_many(messages, room)).await {
            Ok(received) if received > 0 => {}
            _ => return,
        }
    }
}

async fn deliver(
    handle: &Handle,
    address: SocketAddr,
    client: &mut Option<PeerClient>,
    messages: Vec<Message>,
) -> Result<(), LinkError> {
    let connected = match client.take() {
        Some(connected) => connected,
        None => connect(handle, address).await?,
    };
    for message in &messages {
        let bytes = postcard::experimental::serialized_size(message).unwrap_or_default();
        handle.metrics.record_message(message.kind(), bytes as u64);
    }
    let envelope = Envelope { from: handle.me.clone(), stamp: handle.clock.stamp(), messages };
    let mut cx = context::current();
    cx.deadline = std::time::Instant::now() + CALL;
    // Requests carry their own ids; without a trace the context takes a few bytes only.
    cx.trace_context = trace::Context::default();
    connected.deliver(cx, envelope).await?;
    *client = Some(connected);
    Ok(())
}

async fn connect(handle: &Handle, address: SocketAddr) -> Result<PeerClient, LinkError> {
    let elapsed = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await.map_err(elapsed)??;
    let transport = handle.peers.key().initiate(stream, handle.metrics.peer_traffic.clone()).await?;
    Ok(PeerClient::new(client::Config::default(), transport).spawn())
}
