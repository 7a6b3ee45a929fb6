//! What the tests share: daemons and stand-ins as processes of their own.

pub mod router;
pub mod simulation;

mod process;

pub use process::Binary;
pub use process::Process;
pub use process::free_address;
