//! Tickets, which bind a call that may run at most once to the one daemon process that may run it.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use jujubedoor_config::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::PoolId;
use crate::ids::Time;
use crate::ids::VmRef;

/// Length of a ticket's message authentication code (MAC), in bytes.
const MAC_BYTES: usize = 16;

/// Maximum length of an encoded ticket, in bytes; longer text is rejected without decoding it.
const MAX_ENCODED_BYTES: usize = 1_024;

/// The contents of a ticket.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ticket {
    /// Daemon process that issued the ticket and is the only one that may run its call.
    pub executor: VmRef,
    /// Sequence number of the ticket within the executor's incarnation.
    pub seq: u64,
    /// Time of issue, on the executor's clock.
    pub issued_at: Time,
    /// Workspace that the ticket was issued to.
    pub workspace: Name,
    /// Service that the ticket was issued for.
    pub pool: PoolId,
}

/// Why a text was not accepted as a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TicketError {
    /// The text is not an encoded ticket.
    #[error("the text is not an encoded ticket")]
    Malformed,
    /// The MAC does not match: the ticket was not signed with the fleet's key.
    #[error("the ticket was not signed with the fleet's key")]
    Forged,
}

/// The key with which tickets are signed and verified.
#[derive(Clone)]
pub struct TicketKey([u8; 32]);

impl TicketKey {
    /// Derives the key from the fleet's secret.
    pub fn new(secret: &str) -> Self {
        Self(blake3::derive_key("jujubedoor ticket v1", secret.as_bytes()))
    }

    /// Encodes and signs a ticket as the text that is sent to a caller.
    pub fn sign(&self, ticket: &Ticket) -> String {
        let mut bytes = postcard::to_allocvec(ticket).unwrap_or_default();
        let mac = blake3::keyed_hash(&self.0, &bytes);
        bytes.extend_from_slice(&mac.as_bytes()[..MAC_BYTES]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Verifies and decodes a ticket sent by a caller.
    pub fn verify(&self, text: &str) -> Result<Ticket, TicketError> {
        if text.len() > MAX_ENCODED_BYTES {
            return Err(TicketError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| TicketError::Malformed)?;
        let body_length = bytes.len().checked_sub(MAC_BYTES).ok_or(TicketError::Malformed)?;
        let (body, mac) = bytes.split_at(body_length);
        let expected_mac = blake3::keyed_hash(&self.0, body);
        if !equal_in_constant_time(&expected_mac.as_bytes()[..MAC_BYTES], mac) {
            return Err(TicketError::Forged);
        }
        postcard::from_bytes(body).map_err(|_| TicketError::Malformed)
    }
}

/// Compares two MACs in constant time, so that response times do not reveal where they differ.
fn equal_in_constant_time(a: &[u8], b: &[u8]) -> bool {
    let difference = a.iter().zip(b).fold(0, |difference, (x, y)| difference | (x ^ y));
    a.len() == b.len() && difference == 0
}
