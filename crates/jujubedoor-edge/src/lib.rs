//! Serves callers on a VM whose routes and upstreams come from a registry.
//!
//! [`callers`] receives a request and hands it to the reducer of `jujubedoor-routing`, which [`core`]
//! owns. [`exchange`] carries out what the reducer decides over the connections of [`pool`], and
//! [`relay`] passes streams on. [`peers`] speaks with other VMs. How requests and answers name things
//! on the wire is told by a [`Dialect`].

pub mod callers;
pub mod core;
pub mod dialect;
pub mod event_buffer;
pub mod exchange;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod pool;
pub mod relay;

mod daemon;

pub use core::Edge;
pub use core::Handle;
pub use daemon::Daemon;
pub use daemon::StartError;
pub use daemon::start;
pub use dialect::Dialect;
