//! Messages between VMs: one service over TCP, sealed with the fleet's key.
//!
//! Each VM keeps one [link](link) to every VM that it sends to. Messages that wait for the same VM
//! travel in one call. A connection starts with a [handshake](noise) that proves on both sides that
//! the other knows the key and speaks the same version; a stranger gets nothing.

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

/// What a VM offers to others.
#[tarpc::service]
pub trait Peer {
    /// Takes the messages of another VM.
    async fn deliver(envelope: Envelope);
}

/// Messages of one VM to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Envelope {
    /// The sender.
    pub from: VmRef,
    /// The sender's hybrid time.
    pub stamp: u64,
    /// The messages.
    pub messages: Vec<Message>,
}

/// The links of a VM to others.
pub struct Peers {
    key: PeerKey,
    links: Mutex<HashMap<(Name, SocketAddr), mpsc::UnboundedSender<Message>>>,
}

impl Peers {
    /// Creates links for a fleet with a secret.
    pub fn new(secret: &str) -> Self {
        Self { key: PeerKey::new(secret), links: Mutex::default() }
    }

    /// Returns the key that seals connections.
    pub fn key(&self) -> &PeerKey {
        &self.key
    }

    /// Closes all links.
    pub fn close(&self) {
        self.links.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Sends a message to a VM over its link, which is made when it is first needed.
    pub fn send(&self, handle: &Handle, to: &Name, address: SocketAddr, message: Message) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry((to.clone(), address)).or_insert_with(|| link::start(handle, to, address));
        // A link ends only with the process.
        let _ = link.send(message);
    }
}
