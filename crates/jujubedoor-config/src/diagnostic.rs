//! Diagnostics: mistakes in a file, with their positions and hints for correcting them.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A position in a text.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Position {
    /// Line number, starting at one.
    pub line: usize,
    /// Column number, starting at one.
    pub column: usize,
}

/// A mistake in a text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Diagnostic {
    /// Position at which the mistake starts.
    pub position: Position,
    /// Description of the mistake.
    pub message: String,
    /// Suggested correction.
    pub hint: Option<String>,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.position;
        write!(f, "{line}:{column}: {}", self.message)?;
        match &self.hint {
            Some(hint) => write!(f, " (hint: {hint})"),
            None => Ok(()),
        }
    }
}

/// The error for a text with mistakes: all its diagnostics, ordered by position.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
#[error("{} mistake(s), the first at {}", .0.len(), .0.first().map(ToString::to_string).unwrap_or_default())]
#[serde(transparent)]
pub struct ConfigError(pub Vec<Diagnostic>);
