//! Serves callers on a VM whose routes and upstreams come from a registry.
//!
//! [`callers`] receives requests and passes them to the reducer of `jujubedoor-routing`, whose state [`core`]
//! holds. [`exchange`] sends the attempts that the reducer decides on over the connections of [`pool`], and
//! [`relay`] forwards streams and [`plain_response`] other responses. [`upstream_watch`] observes until when the processes of
//! upstreams are alive. [`peers`] exchanges heartbeats and the directory with other VMs. A [`Dialect`] translates between the
//! headers on the wire and the types of this crate.

pub mod callers;
pub mod core;
pub mod dialect;
pub mod event_buffer;
pub mod exchange;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod plain_response;
pub mod pool;
pub mod relay;
pub mod upstream_watch;

mod daemon;

pub use core::Edge;
pub use core::Handle;
pub use daemon::Daemon;
pub use daemon::StartError;
pub use daemon::start;
pub use dialect::Dialect;
