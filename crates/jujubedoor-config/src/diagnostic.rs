//! Diagnostics: what is wrong in a text, where, and what to do about it.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A place in a text; lines and columns count from one.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Position {
    /// The line, from one.
    pub line: usize,
    /// The column, from one.
    pub column: usize,
}

/// One mistake in a text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Diagnostic {
    /// Where the mistake starts.
    pub position: Position,
    /// What is wrong.
    pub message: String,
    /// What the writer may do about it.
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

/// The error of a text that was not accepted: all its diagnostics, ordered by position.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
#[error("{} mistake(s), the first at {}", .0.len(), .0.first().map(ToString::to_string).unwrap_or_default())]
#[serde(transparent)]
pub struct ConfigError(pub Vec<Diagnostic>);
