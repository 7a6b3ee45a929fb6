//! The daemon: a thin shell around the reducer.
//!
//! [`start`] opens the ports of a VM and starts its tasks. The [`core`] task owns the state; all else
//! sends it events and carries out its effects. [`callers`] serves callers and streams between them
//! and upstreams, [`peers`] carries messages between VMs, [`platform`] watches the platform, and
//! [`admin`] serves operators. [`metrics`], [`timeline`] and [`logs`] show what happens.

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
