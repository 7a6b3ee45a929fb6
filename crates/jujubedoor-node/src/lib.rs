//! The daemon: the I/O layer around the reducer.
//!
//! [`start`] opens the ports of a VM and starts its tasks. The [`core`] task owns the state; all other
//! tasks send it events, and [`effects`] applies the effects that it returns. [`callers`] serves callers
//! and relays the responses of upstreams, [`peers`] exchanges messages with other VMs, [`platform`]
//! watches the platform for changes, and [`admin`] serves operators. [`metrics`], [`timeline`] and
//! [`logs`] provide observability.

pub mod admin;
pub mod callers;
pub mod clock;
pub mod core;
pub mod effects;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod platform;
pub mod poll;
pub mod timeline;

mod daemon;

pub use daemon::Daemon;
pub use daemon::StartError;
pub use daemon::start;
