//! Tickets: they bind a call that may run at most once to the one run of the daemon that may run it.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use jujubedoor_config::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::PoolId;
use crate::ids::Time;
use crate::ids::VmRef;

/// The length of a ticket's authentication code, in bytes.
const CODE_BYTES: usize = 16;

/// The longest text that is looked at as a ticket, in bytes.
const TEXT_BYTES: usize = 1_024;

/// What a ticket says.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ticket {
    /// The run of the daemon that issued the ticket and may run its call.
    pub executor: VmRef,
    /// The number of the ticket within the run.
    pub seq: u64,
    /// When it was issued, on the executor's clock.
    pub issued_at: Time,
    /// The workspace that it was issued to.
    pub workspace: Name,
    /// The service that it was issued for.
    pub pool: PoolId,
}

/// Why a text is not a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TicketError {
    /// The text is not of a ticket's form.
    #[error("the text is not a ticket")]
    Malformed,
    /// The text was not sealed with the fleet's key.
    #[error("the ticket is not authentic")]
    Forged,
}

/// The key that seals tickets.
#[derive(Clone)]
pub struct TicketKey([u8; 32]);

impl TicketKey {
    /// Derives the key from the fleet's secret.
    pub fn new(secret: &str) -> Self {
        Self(blake3::derive_key("jujubedoor ticket v1", secret.as_bytes()))
    }

    /// Turns a ticket into the text that a caller gets.
    pub fn sign(&self, ticket: &Ticket) -> String {
        let mut bytes = postcard::to_allocvec(ticket).unwrap_or_default();
        let code = blake3::keyed_hash(&self.0, &bytes);
        bytes.extend_from_slice(&code.as_bytes()[..CODE_BYTES]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Turns a caller's text into a ticket.
    pub fn verify(&self, text: &str) -> Result<Ticket, TicketError> {
        if text.len() > TEXT_BYTES {
            return Err(TicketError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| TicketError::Malformed)?;
        let length = bytes.len().checked_sub(CODE_BYTES).ok_or(TicketError::Malformed)?;
        let (body, code) = bytes.split_at(length);
        let expected = blake3::keyed_hash(&self.0, body);
        if !equal(&expected.as_bytes()[..CODE_BYTES], code) {
            return Err(TicketError::Forged);
        }
        postcard::from_bytes(body).map_err(|_| TicketError::Malformed)
    }
}

/// Compares two codes in a time that does not depend on where they differ.
fn equal(a: &[u8], b: &[u8]) -> bool {
    let difference = a.iter().zip(b).fold(0, |difference, (x, y)| difference | (x ^ y));
    a.len() == b.len() && difference == 0
}
