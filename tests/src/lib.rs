//! Support for the integration tests: programs as separate processes, and simulations in virtual time.
//!
//! [`simulation`] drives the states of the `jujubedoor` crate, and [`router`] those of `jujubedoor-routing`.
//! [`streams`] has streams of several software versions for the latter. [`replay`] drives the same states under the
//! load of several failure domains, with upstreams that queue.

pub mod replay;
pub mod router;
pub mod samples;
pub mod shared_hosts;
pub mod simulation;
pub mod streams;

mod process;

pub use process::Binary;
pub use process::Process;
pub use process::free_address;
