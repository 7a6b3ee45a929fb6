//! Accepts connections of other VMs.

use futures::StreamExt;
use jujubedoor::Event;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::Envelope;
use super::Peer;
use crate::core::Handle;

/// Serves the peer port for as long as the daemon runs.
pub async fn serve(handle: Handle, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_peer(handle.clone(), stream));
            }
            Err(e) => {
                log::warn!("cannot accept a connection on the peer port: {e}");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_peer(handle: Handle, stream: TcpStream) {
    let peer = stream.peer_addr();
    match handle.peers.key().respond(stream, handle.metrics.peer_traffic.clone()).await {
        Ok(transport) => {
            let channel = BaseChannel::with_defaults(transport);
            // Calls are executed one after the other, so that the messages of a VM stay in order.
            channel.execute(PeerServer(handle).serve()).for_each(|call| call).await;
        }
        Err(e) => log::warn!("closed a connection from {peer:?}: {e}"),
    }
}

#[derive(Clone)]
struct PeerServer(Handle);

impl Peer for PeerServer {
    async fn deliver(self, _: Context, envelope: Envelope) {
        self.0.clock.observe(envelope.stamp);
        for message in envelope.messages {
            self.0.submit(Event::Received(envelope.from.clone(), message));
        }
    }
}
