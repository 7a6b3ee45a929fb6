//! Parsing and validation of the YAML files that operators write: the service document of a team and the
//! settings of a VM.
//!
//! A file is processed in three steps. `reader` parses the YAML into nodes with line and column numbers.
//! [`document`], [`settings`] or [`edge`] converts the nodes into typed values and collects a [`Diagnostic`]
//! for each mistake. Checks across sections, such as for references to undeclared failure domains, run last.
//! The result is either a value or all diagnostics at once, so that an operator can correct all mistakes
//! together.

pub mod diagnostic;
pub mod document;
pub mod edge;
pub mod name;
pub mod pattern;
mod reader;
pub mod settings;

pub use diagnostic::ConfigError;
pub use diagnostic::Diagnostic;
pub use diagnostic::Position;
pub use document::Admission;
pub use document::Affinity;
pub use document::Document;
pub use document::DomainState;
pub use document::FailureDomain;
pub use document::Fencing;
pub use document::NonRepeatable;
pub use document::Pool;
pub use document::PoolKind;
pub use document::Upstream;
pub use document::WithoutTicket;
pub use document::Workspace;
pub use name::Name;
pub use settings::Settings;
