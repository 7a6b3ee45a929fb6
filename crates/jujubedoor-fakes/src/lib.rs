//! Fakes of the systems that a fleet works with: the platform, model engines and plain services.
//!
//! Each fake serves HTTP on loopback and can simulate failures. Tests, the demo and experiments link the
//! fakes into their process. The binary `jujubedoor-fake` runs one fake as a separate process.

pub mod engine;
pub mod platform;
pub mod service;

mod server;

pub use engine::Engine;
pub use engine::EngineConfig;
pub use platform::Platform;
pub use service::Service;
