//! The operators' tool: checks documents, asks VMs, and runs a fleet on one machine.
//!
//! [`commands`] has one module for each command. [`operator`] asks the administration API of all VMs.
//! [`local`] starts a whole fleet with stand-ins in one process, for the demo, experiments and tests,
//! and [`caller`] calls it as an outside caller would.

pub mod caller;
pub mod commands;
pub mod experiment;
pub mod local;
pub mod operator;
