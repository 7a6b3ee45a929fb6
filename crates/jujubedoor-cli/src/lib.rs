//! The operators' command-line tool: checks documents, queries the VMs of a fleet, and runs a fleet on one
//! machine.
//!
//! [`commands`] has one module for each command. [`operator`] sends requests to the administration API of
//! one VM or of all VMs. [`local`] starts a complete fleet with fakes in one process, for the demo,
//! [experiments](experiment) and tests, and [`caller`] sends requests to it as an external caller would.

pub mod caller;
pub mod commands;
pub mod experiment;
pub mod local;
pub mod operator;
