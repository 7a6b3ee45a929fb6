//! HTTP over hyper, as the daemon, the command-line tool and the stand-ins need it.
//!
//! [`body`] has the one body type that all of them use, [`client`] opens one connection for each
//! request and tells whether anything was handed to it, and [`server`] serves a listener until it is
//! told to stop, then lets the open connections finish. [`query`] reads the parameters of a request.

pub mod body;
pub mod client;
pub mod query;
pub mod server;

pub use body::Body;
pub use body::BodyError;
pub use client::FetchError;
pub use query::Query;
pub use server::Limits;
pub use server::serve;
