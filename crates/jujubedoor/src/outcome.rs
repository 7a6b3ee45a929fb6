//! The outcome of a request as reported to the caller and, if the request failed, the reason.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request has run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request has run and its complete response is available.
    Done,
    /// The request has not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the code that is sent to callers.
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

/// Why a request failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// No document declares the workspace.
    UnknownWorkspace,
    /// No model or service of this name is declared for the workspace.
    UnknownPool,
    /// This VM has no accepted configuration, or its view of the fleet is no longer confirmed.
    NotReady,
    /// The call may run at most once, but has no ticket.
    TicketRequired,
    /// The ticket is not authentic, or was issued for another workspace or service.
    BadTicket,
    /// The ticket expired before it was used.
    TicketExpired,
    /// The VM that issued the ticket shut down and closed the ticket without running its call.
    TicketClosed,
    /// The ticket was already used for a different request.
    TicketReused,
    /// The VM that issued the ticket stopped or restarted, and its record of the ticket is lost.
    TicketVoid,
    /// The VM that issued the ticket did not respond in time.
    ExecutorSilent,
    /// The VM that issued the ticket no longer stores the response.
    AnswerForgotten,
    /// No upstream accepts new calls.
    NoUpstream,
    /// Every upstream is at its load limit.
    Overloaded,
    /// Upstreams crashed while they ran the request.
    CrashesUpstreams,
    /// The connection to the upstream was lost.
    UpstreamLost,
    /// The deadline of the call passed.
    Timeout,
}

impl Reason {
    /// Returns the code that is sent to callers.
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

    /// Returns the HTTP status code for the reason.
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

    /// Returns advice for the caller.
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

/// The error sent to a caller whose request got no response from an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestError {
    /// Whether the request has run.
    pub outcome: Outcome,
    /// Why the request failed.
    pub reason: Reason,
    /// Delay in milliseconds after which the caller may retry.
    pub retry_after_ms: Option<u64>,
    /// New ticket for a retry.
    pub ticket: Option<String>,
}

impl RequestError {
    /// Creates the error of a request that did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self { outcome: Outcome::NotRun, reason, retry_after_ms: None, ticket: None }
    }

    /// Creates the error of a request that may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self { outcome: Outcome::Unknown, ..Self::not_run(reason) }
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub fn retry_after(self, ms: u64) -> Self {
        Self { retry_after_ms: Some(ms), ..self }
    }

    /// Adds a new ticket.
    #[must_use]
    pub fn with_ticket(self, ticket: String) -> Self {
        Self { ticket: Some(ticket), ..self }
    }
}
