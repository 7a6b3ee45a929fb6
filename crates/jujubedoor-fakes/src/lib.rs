//! Small stand-ins for what surrounds the fleet: the platform, model engines and plain services.
//!
//! Each stand-in serves HTTP on loopback and can be told to fail. Tests, the demo and experiments
//! link them; the binary `jujubedoor-fake` runs one as a process of its own.

pub mod engine;
pub mod platform;
pub mod service;

mod listen;

pub use engine::Engine;
pub use engine::EngineConfig;
pub use platform::Platform;
pub use service::Service;
