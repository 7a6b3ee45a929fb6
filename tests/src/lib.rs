//! What the tests share: daemons and stand-ins as processes of their own.

pub mod net;
pub mod router;

mod process;

pub use process::Binary;
pub use process::Process;
pub use process::free_address;
