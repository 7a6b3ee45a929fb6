//! Receives the bodies of callers' requests within the limits of the process.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::held_body::HeldBody;
use crate::held_body::SegmentBuffer;
use crate::memory_budget::Account;
use crate::memory_budget::Refusal;

/// Shortest time after which a caller may try again whose request found no memory, in milliseconds, if its own time
/// allows that. The actual time is up to twice as long, so that callers do not return together.
const NO_ROOM_RETRY_MS: u64 = 1_000;

/// Divides a caller's time into the longest value of the shortest delay. The longest delay is twice that, so two thirds of
/// the time are left for the retry.
const CALLER_TIME_DIVISOR: u64 = 6;

/// Why a body was not received.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ReceiveError {
    /// The body is longer than the limit, in bytes.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// The connection was lost, or the caller sent malformed data.
    #[error("the body did not arrive whole: {0}")]
    Incomplete(String),
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// The body was evicted in favor of others, or there was no memory for it in time.
    #[error("there is no memory for the body at the moment")]
    NoRoom,
}

/// Returns the time after which a caller may try again whose request found no memory, in milliseconds: at most a third of
/// the time that it waits. `drawn` is a random number.
pub fn no_room_retry_ms(caller_timeout_ms: Option<u64>, drawn: u64) -> u64 {
    let allowed_ms = caller_timeout_ms.map_or(u64::MAX, |timeout_ms| timeout_ms / CALLER_TIME_DIVISOR);
    let shortest_ms = NO_ROOM_RETRY_MS.min(allowed_ms).max(1);
    shortest_ms + drawn % shortest_ms
}

/// Receives the body of a request. After an error, the caller has to close the connection once the response is written,
/// since the rest of the body may still arrive.
pub async fn receive(
    mut incoming: Incoming,
    max_bytes: usize,
    timeout: Duration,
    account: &Account,
) -> Result<HeldBody, ReceiveError> {
    if incoming.is_end_stream() {
        return Ok(HeldBody::default());
    }
    let deadline = Instant::now() + timeout;
    let reception = Reception::begin(account, max_bytes);
    let received = if usize::try_from(incoming.size_hint().lower()).is_ok_and(|bytes| bytes <= max_bytes) {
        tokio::select! {
            received = receive_frames(&mut incoming, max_bytes, deadline, account) => received,
            () = account.rejected() => Err(ReceiveError::NoRoom),
        }
    } else {
        Err(ReceiveError::TooLong(max_bytes))
    };
    reception.end(received)
}

async fn receive_frames(
    incoming: &mut Incoming,
    max_bytes: usize,
    deadline: Instant,
    account: &Account,
) -> Result<HeldBody, ReceiveError> {
    let mut buffer = SegmentBuffer::new(account.clone(), incoming.size_hint().exact());
    loop {
        let frame = match tokio::time::timeout_at(deadline, incoming.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(e))) => return Err(ReceiveError::Incomplete(e.to_string())),
            Ok(None) => return Ok(buffer.finish()),
            Err(_) => return Err(ReceiveError::TooSlow),
        };
        let Ok(data) = frame.into_data() else { continue };
        if buffer.len() + data.len() > max_bytes {
            return Err(ReceiveError::TooLong(max_bytes));
        }
        account.with_ledger(|ledger, id, now| ledger.record_body(id, data.len(), now));
        let pushed = buffer.push(data, deadline).await;
        pushed.map_err(|(Refusal::Evicted | Refusal::NoRoom)| ReceiveError::NoRoom)?;
    }
}

/// A body that is being received. The ledger is informed when this value is dropped.
struct Reception<'a> {
    account: &'a Account,
    has_ended: bool,
}

impl<'a> Reception<'a> {
    fn begin(account: &'a Account, max_bytes: usize) -> Self {
        account.with_ledger(|ledger, id, now| ledger.begin_body(id, account.owner(), max_bytes, now));
        Self { account, has_ended: false }
    }

    /// Records the end. The body may have been evicted just before it was complete.
    fn end(mut self, received: Result<HeldBody, ReceiveError>) -> Result<HeldBody, ReceiveError> {
        self.has_ended = true;
        let may_be_served = self.account.with_ledger(|ledger, id, _| ledger.end_body(id));
        let received = if may_be_served { received } else { received.and(Err(ReceiveError::NoRoom)) };
        if received.is_err() {
            self.account.mark_unread_body();
        }
        received
    }
}

impl Drop for Reception<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.account.with_ledger(|ledger, id, _| ledger.end_body(id));
        }
    }
}
