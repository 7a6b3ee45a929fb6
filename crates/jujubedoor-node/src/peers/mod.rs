//! Messages between VMs: one RPC service over TCP connections that are encrypted with the fleet's key.
//!
//! Each VM keeps one link to every VM that it sends to. Messages that are queued for the same VM
//! are sent in one call. A connection starts with a handshake that proves to each peer that the
//! other has the key and uses the same protocol version; without it no message is sent or accepted.

mod link;
mod noise;
mod server;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;

use jujubedoor::Message;
use jujubedoor::ids::VmRef;
use jujubedoor_config::Name;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::core::Handle;

pub use noise::PeerKey;
pub use server::serve;

/// The service that VMs provide to each other.
#[tarpc::service]
pub trait Peer {
    /// Delivers messages of another VM.
    async fn deliver(envelope: Envelope);
}

/// A batch of messages from one VM to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Envelope {
    /// The VM that sends the messages.
    pub from: VmRef,
    /// The sender's hybrid timestamp.
    pub stamp: u64,
    /// The messages, in the order in which they were sent.
    pub messages: Vec<Message>,
}

/// The links of a VM to other VMs.
pub struct Peers {
    key: PeerKey,
    links: Mutex<HashMap<(Name, SocketAddr), mpsc::UnboundedSender<Message>>>,
}

impl Peers {
    /// Creates an empty set of links for the fleet with a secret.
    pub fn new(secret: &str) -> Self {
        Self { key: PeerKey::new(secret), links: Mutex::default() }
    }

    /// Returns the key that encrypts connections.
    pub fn key(&self) -> &PeerKey {
        &self.key
    }

    /// Closes all links.
    pub fn close(&self) {
        self.links.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Queues a message on the link to a VM. The link is created when it is first used.
    pub fn send(&self, handle: &Handle, to: &Name, address: SocketAddr, message: Message) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry((to.clone(), address)).or_insert_with(|| link::start(handle, to, address));
        // Cannot fail: a link runs until its sender is dropped.
        let _ = link.send(message);
    }
}
