//! Support for the integration tests: programs as separate processes, and two simulations in virtual time.
//!
//! [`simulation`] drives the states of the `jujubedoor` crate, and [`router`] those of `jujubedoor-routing`.

pub mod router;
pub mod samples;
pub mod simulation;

mod process;

pub use process::Binary;
pub use process::Process;
pub use process::free_address;
