//! An HTTP client and server on top of hyper, shared by the daemons, the command-line tool and the fakes.
//!
//! [`body`] defines the body type of all requests and responses. [`client`] opens a new connection for each request
//! and reports whether a failed request may have been sent. [`abortive_stream`] resets the connection of a request
//! that is given up, and [`limited_stream`] bounds what is read from a faulty server. [`server`] serves a listener
//! until it is stopped, then waits until the open connections have finished. [`query`] parses the query parameters of
//! a request.
//!
//! [`memory_budget`] bounds what callers can make a process hold, as [`budget_ledger`] decides. [`reception`] receives
//! the bodies of requests into the segments of [`held_body`], and [`caller_stream`] reports what connections do. [`bounded_read`] keeps
//! the read buffers of connections small.

pub mod abortive_stream;
pub mod body;
pub mod bounded_read;
pub mod budget_ledger;
pub mod caller_stream;
pub mod client;
pub mod held_body;
pub mod limited_stream;
pub mod memory_budget;
pub mod query;
pub mod reception;
pub mod server;

pub use body::Body;
pub use body::BodyError;
pub use budget_ledger::BudgetLimits;
pub use client::FetchError;
pub use held_body::HeldBody;
pub use memory_budget::Account;
pub use memory_budget::Budget;
pub use query::Query;
pub use server::Limits;
pub use server::serve;
