//! Support for the integration tests: daemons and fakes as separate processes, and a fleet of routing states
//! in virtual time.

pub mod router;
pub mod simulation;

mod process;

pub use process::Binary;
pub use process::Process;
pub use process::free_address;
