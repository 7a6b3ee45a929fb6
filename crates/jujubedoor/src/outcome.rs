//! What a caller is told about a request: its outcome and, without an answer, the reason.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran and its whole answer is here.
    Done,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the word that callers see.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The workspace is not declared.
    UnknownWorkspace,
    /// The model or service is not declared for the workspace.
    UnknownPool,
    /// This VM has no accepted configuration or has lost touch with the fleet.
    NotReady,
    /// The call may run at most once and brought no ticket.
    TicketRequired,
    /// The ticket is not authentic, or was issued for something else.
    BadTicket,
    /// The ticket expired before it was used.
    TicketExpired,
    /// The ticket was closed without running.
    TicketClosed,
    /// The ticket was used for another request.
    TicketReused,
    /// The VM that issued the ticket is gone.
    TicketVoid,
    /// The VM that issued the ticket did not answer in time.
    ExecutorSilent,
    /// The VM that issued the ticket no longer keeps its answer.
    AnswerForgotten,
    /// No upstream takes new work.
    NoUpstream,
    /// Every upstream is at its bound.
    Overloaded,
    /// The request was lost with the upstreams that ran it.
    CrashesUpstreams,
    /// The connection to the upstream broke.
    UpstreamLost,
    /// The time for the call ran out.
    Timeout,
}

impl Reason {
    /// Returns the word that callers see.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::UnknownWorkspace => "unknown-workspace",
            Self::UnknownPool => "unknown-pool",
            Self::NotReady => "not-ready",
            Self::TicketRequired => "ticket-required",
            Self::BadTicket => "bad-ticket",
            Self::TicketExpired => "ticket-expired",
            Self::TicketClosed => "ticket-closed",
            Self::TicketReused => "ticket-reused",
            Self::TicketVoid => "ticket-void",
            Self::ExecutorSilent => "executor-silent",
            Self::AnswerForgotten => "answer-forgotten",
            Self::NoUpstream => "no-upstream",
            Self::Overloaded => "overloaded",
            Self::CrashesUpstreams => "crashes-upstreams",
            Self::UpstreamLost => "upstream-lost",
            Self::Timeout => "timeout",
        }
    }

    /// Returns the HTTP status that goes with the reason.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::UnknownWorkspace => 400,
            Self::UnknownPool => 404,
            Self::TicketRequired => 428,
            Self::BadTicket | Self::TicketReused | Self::CrashesUpstreams => 422,
            Self::TicketExpired | Self::TicketClosed => 410,
            Self::TicketVoid | Self::AnswerForgotten | Self::UpstreamLost => 502,
            Self::ExecutorSilent | Self::Timeout => 504,
            Self::NotReady | Self::NoUpstream | Self::Overloaded => 503,
        }
    }

    /// Returns what the caller may do.
    pub fn hint(self) -> &'static str {
        match self {
            Self::BadRequest => "mend the request",
            Self::UnknownWorkspace => "send x-workspace with a declared workspace",
            Self::UnknownPool => "use a model or service that the document declares",
            Self::NotReady | Self::NoUpstream | Self::Overloaded => "send it again after the stated time",
            Self::TicketRequired => "send it again with the ticket of this answer",
            Self::BadTicket => "fetch a ticket for this workspace and service",
            Self::TicketExpired | Self::TicketClosed => "send it again with the fresh ticket of this answer",
            Self::TicketReused => "use one ticket for one request",
            Self::TicketVoid | Self::ExecutorSilent | Self::AnswerForgotten => {
                "look up whether the action took effect before you repeat it"
            }
            Self::CrashesUpstreams => "do not send this request again; ask an operator",
            Self::UpstreamLost | Self::Timeout => "check whether it took effect, then send it again",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A reply without an answer of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestError {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Why there is no answer.
    pub reason: Reason,
    /// After how many milliseconds a resend makes sense.
    pub retry_after_ms: Option<u64>,
    /// A fresh ticket.
    pub ticket: Option<String>,
}

impl RequestError {
    /// Refuses a request that did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self { outcome: Outcome::NotRun, reason, retry_after_ms: None, ticket: None }
    }

    /// Gives up on a request that may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self { outcome: Outcome::Unknown, ..Self::not_run(reason) }
    }

    /// Adds the time after which a resend makes sense.
    #[must_use]
    pub fn retry_after(self, ms: u64) -> Self {
        Self { retry_after_ms: Some(ms), ..self }
    }

    /// Adds a fresh ticket.
    #[must_use]
    pub fn with_ticket(self, ticket: String) -> Self {
        Self { ticket: Some(ticket), ..self }
    }
}
