//! Conversion of YAML nodes to typed values.
//!
//! Diagnostics are collected instead of stopping at the first one, so that one pass reports all mistakes.

use std::fmt::Display;
use std::net::SocketAddr;

use saphyr::LoadableYamlNode;
use saphyr::MarkedYaml;
use saphyr::Scalar;
use saphyr::YamlData;

use crate::diagnostic::ConfigError;
use crate::diagnostic::Diagnostic;
use crate::diagnostic::Position;
use crate::name::Name;

/// Maximum time in the settings, in milliseconds.
const MAX_MILLISECONDS: f64 = 3_600_000.0;

/// Maximum edit distance between an unknown key and the known key that is suggested for it.
const MAX_SUGGESTION_DISTANCE: usize = 3;

/// Parses a text as one YAML document and converts its root node with a function.
///
/// Returns the value, or all diagnostics if there are any.
pub fn read<T, F>(text: &str, parse: F) -> Result<T, ConfigError>
where
    F: FnOnce(Node<'_>, &mut Diagnostics) -> T,
{
    let nodes = match MarkedYaml::load_from_str(text) {
        Ok(nodes) => nodes,
        Err(e) => return Err(ConfigError(vec![syntax_diagnostic(&e)])),
    };
    let mut diagnostics = Diagnostics::default();
    if nodes.len() > 1 {
        let node = Node(&nodes[1]);
        diagnostics.add(node, "a second document in the same text", Some("keep one".into()));
    }
    let Some(root) = nodes.first() else {
        return Err(ConfigError(vec![Diagnostic {
            position: Position { line: 1, column: 1 },
            message: "the text is empty".into(),
            hint: None,
        }]));
    };
    let value = parse(Node(root), &mut diagnostics);
    if diagnostics.0.is_empty() {
        return Ok(value);
    }
    diagnostics.0.sort_by_key(|d| d.position);
    Err(ConfigError(diagnostics.0))
}

fn syntax_diagnostic(e: &saphyr::ScanError) -> Diagnostic {
    let marker = e.marker();
    Diagnostic {
        position: Position { line: marker.line().max(1), column: marker.col() + 1 },
        message: format!("not valid YAML: {}", e.info()),
        hint: Some("check indentation, colons and quotes near this place".into()),
    }
}

/// The diagnostics collected so far.
#[derive(Default)]
pub struct Diagnostics(Vec<Diagnostic>);

impl Diagnostics {
    /// Adds a diagnostic at a node.
    pub fn add(&mut self, node: Node<'_>, message: impl Into<String>, hint: Option<String>) {
        self.add_at(node.position(), message, hint);
    }

    /// Adds a diagnostic at a position.
    pub fn add_at(&mut self, position: Position, message: impl Into<String>, hint: Option<String>) {
        self.0.push(Diagnostic { position, message: message.into(), hint });
    }
}

/// A YAML node with its position.
#[derive(Clone, Copy)]
pub struct Node<'a>(&'a MarkedYaml<'a>);

impl<'a> Node<'a> {
    /// Returns the position at which the node starts.
    pub fn position(self) -> Position {
        let start = self.0.span.start;
        Position { line: start.line().max(1), column: start.col() + 1 }
    }

    /// Converts a mapping to a section. Any other node gives a diagnostic and an empty section.
    pub fn section(self, diagnostics: &mut Diagnostics) -> Section<'a> {
        let mut entries = Vec::new();
        if let YamlData::Mapping(mapping) = &self.0.data {
            for (key, value) in mapping {
                match text_of(key) {
                    Some(text) => entries.push((text, Node(key), Node(value))),
                    None => diagnostics.add(Node(key), "a key must be plain text", None),
                }
            }
        } else {
            let message = format!("expected a mapping, found {}", self.kind_name());
            diagnostics.add(self, message, Some("write `key: value` lines".into()));
        }
        Section { position: self.position(), entries, requested_keys: Vec::new() }
    }

    /// Returns the items of a sequence. A node without a value counts as an empty sequence.
    pub fn items(self, diagnostics: &mut Diagnostics) -> Vec<Node<'a>> {
        match &self.0.data {
            YamlData::Sequence(items) => items.iter().map(Node).collect(),
            YamlData::Value(Scalar::Null) => Vec::new(),
            _ => {
                let message = format!("expected a list, found {}", self.kind_name());
                diagnostics.add(self, message, Some("write `- item` lines".into()));
                Vec::new()
            }
        }
    }

    /// Returns the text of a scalar. Numbers count as text.
    pub fn text(self, diagnostics: &mut Diagnostics) -> Option<String> {
        let text = text_of(self.0);
        if text.is_none() {
            diagnostics.add(self, format!("expected text, found {}", self.kind_name()), None);
        }
        text
    }

    /// Parses the node as an address of the form `IP:PORT`.
    pub fn address(self, diagnostics: &mut Diagnostics) -> Option<SocketAddr> {
        let text = self.text(diagnostics)?;
        let Ok(address) = text.parse() else {
            let hint = Some("write an IP number and a port, such as 127.0.0.1:8080".into());
            diagnostics.add(self, format!("`{text}` is not an address"), hint);
            return None;
        };
        Some(address)
    }

    fn kind_name(self) -> &'static str {
        match &self.0.data {
            YamlData::Mapping(_) => "a mapping",
            YamlData::Sequence(_) => "a list",
            YamlData::Value(Scalar::Null) => "nothing",
            YamlData::Value(Scalar::Boolean(_)) => "true or false",
            YamlData::Value(Scalar::Integer(_)) => "a whole number",
            YamlData::Value(Scalar::FloatingPoint(_)) => "a number",
            _ => "text",
        }
    }
}

fn text_of(node: &MarkedYaml<'_>) -> Option<String> {
    match &node.data {
        YamlData::Value(Scalar::String(text)) => Some(text.to_string()),
        YamlData::Value(Scalar::Integer(n)) => Some(n.to_string()),
        YamlData::Value(Scalar::FloatingPoint(n)) => Some(n.to_string()),
        _ => None,
    }
}

/// A mapping that is read key by key, and then reports the keys that were never requested as unknown.
pub struct Section<'a> {
    position: Position,
    entries: Vec<(String, Node<'a>, Node<'a>)>,
    requested_keys: Vec<&'static str>,
}

impl<'a> Section<'a> {
    /// Returns the position at which the section starts.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the value of a key, if the key is present. The key counts as known from then on.
    pub fn node(&mut self, key: &'static str) -> Option<Node<'a>> {
        self.requested_keys.push(key);
        self.entries.iter().find(|entry| entry.0 == key).map(|entry| entry.2)
    }

    /// Returns the position of a key's value, or of the section if the key is missing.
    pub fn position_of(&self, key: &str) -> Position {
        self.entries.iter().find(|entry| entry.0 == key).map_or(self.position, |entry| entry.2.position())
    }

    /// Returns a required name.
    pub fn name(&mut self, key: &'static str, diagnostics: &mut Diagnostics) -> Name {
        let Some(node) = self.node(key) else {
            let hint = Some(format!("add `{key}: …`"));
            diagnostics.add_at(self.position, format!("`{key}` is missing"), hint);
            return Name::default();
        };
        let text = node.text(diagnostics).unwrap_or_default();
        if text.is_empty() || text.contains(['/', ' ', '\n']) {
            let hint = Some("use letters, digits, dots and hyphens".into());
            diagnostics.add(node, format!("`{key}` is not a usable name"), hint);
        }
        Name::from(text)
    }

    /// Returns the text of an optional key.
    pub fn text(&mut self, key: &'static str, diagnostics: &mut Diagnostics) -> Option<String> {
        self.node(key).and_then(|node| node.text(diagnostics))
    }

    /// Returns an optional address of the form `IP:PORT`.
    pub fn address(&mut self, key: &'static str, diagnostics: &mut Diagnostics) -> Option<SocketAddr> {
        self.node(key)?.address(diagnostics)
    }

    /// Returns a required address of the form `IP:PORT`.
    pub fn required_address(&mut self, key: &'static str, diagnostics: &mut Diagnostics) -> SocketAddr {
        let present = self.node(key).is_some();
        if !present {
            let hint = Some(format!("add `{key}: IP:PORT`"));
            diagnostics.add_at(self.position, format!("`{key}` is missing"), hint);
        }
        self.address(key, diagnostics).unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// Returns a number within a range, or the default if the key is missing or the value is invalid.
    pub fn number<T>(
        &mut self,
        key: &'static str,
        default: T,
        min_value: T,
        max_value: T,
        diagnostics: &mut Diagnostics,
    ) -> T
    where
        T: Copy + Display + PartialOrd + std::str::FromStr,
    {
        let Some(node) = self.node(key) else { return default };
        let Some(text) = node.text(diagnostics) else { return default };
        match text.parse::<T>() {
            Ok(n) if n >= min_value && n <= max_value => n,
            Ok(n) => {
                let hint = Some(format!("choose a value from {min_value} to {max_value}"));
                diagnostics.add(node, format!("`{key}` is {n}, out of range"), hint);
                default
            }
            Err(_) => {
                let hint = Some(format!("write a number from {min_value} to {max_value}"));
                diagnostics.add(node, format!("`{key}` is `{text}`, not a fitting number"), hint);
                default
            }
        }
    }

    /// Returns a number within a range, or `None` if the key is missing or the value is invalid.
    pub fn optional_number<T>(
        &mut self,
        key: &'static str,
        min_value: T,
        max_value: T,
        diagnostics: &mut Diagnostics,
    ) -> Option<T>
    where
        T: Copy + Display + PartialOrd + std::str::FromStr,
    {
        self.node(key)?;
        Some(self.number(key, min_value, min_value, max_value, diagnostics))
    }

    /// Returns a time in milliseconds. A fraction of a millisecond is cut off.
    pub fn milliseconds(
        &mut self,
        key: &'static str,
        default: u64,
        min_ms: u32,
        diagnostics: &mut Diagnostics,
    ) -> u64 {
        // These are exact and at most an hour.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let to_ms = |number: f64| number as u64;
        #[allow(clippy::cast_precision_loss)]
        let default = default as f64;
        to_ms(self.number(key, default, f64::from(min_ms), MAX_MILLISECONDS, diagnostics))
    }

    /// Returns the choice that the text of a key names, or the default if the key is missing or the text
    /// names none.
    pub fn choice<T>(
        &mut self,
        key: &'static str,
        default: T,
        choices: &[(&str, T)],
        diagnostics: &mut Diagnostics,
    ) -> T
    where
        T: Clone,
    {
        let Some(node) = self.node(key) else { return default };
        let Some(text) = node.text(diagnostics) else { return default };
        if let Some((_, value)) = choices.iter().find(|(word, _)| *word == text) {
            return value.clone();
        }
        let words: Vec<_> = choices.iter().map(|(word, _)| format!("`{word}`")).collect();
        let hint = Some(format!("choose one of {}", words.join(", ")));
        diagnostics.add(node, format!("`{key}` cannot be `{text}`"), hint);
        default
    }

    /// Returns a boolean, or the default if the key is missing or the value is invalid.
    pub fn flag(&mut self, key: &'static str, default: bool, diagnostics: &mut Diagnostics) -> bool {
        let Some(node) = self.node(key) else { return default };
        if let YamlData::Value(Scalar::Boolean(value)) = &node.0.data {
            return *value;
        }
        let message = format!("`{key}` must be true or false, found {}", node.kind_name());
        diagnostics.add(node, message, None);
        default
    }

    /// Converts each item of a list with a function. A missing key counts as an empty list.
    pub fn list<T, F>(&mut self, key: &'static str, diagnostics: &mut Diagnostics, mut parse: F) -> Vec<T>
    where
        F: FnMut(Node<'a>, &mut Diagnostics) -> T,
    {
        let Some(node) = self.node(key) else { return Vec::new() };
        let items = node.items(diagnostics);
        items.iter().map(|item| parse(*item, diagnostics)).collect()
    }

    /// Reports every key that was never requested as unknown, and suggests the most similar known key.
    pub fn finish(self, diagnostics: &mut Diagnostics) {
        for (key, node, _) in &self.entries {
            if self.requested_keys.contains(&key.as_str()) {
                continue;
            }
            let nearest = self.requested_keys.iter().min_by_key(|known| strsim::levenshtein(known, key));
            let hint = match nearest {
                Some(known) if strsim::levenshtein(known, key) <= MAX_SUGGESTION_DISTANCE => {
                    format!("did you mean `{known}`?")
                }
                _ => format!("known keys are {}", self.requested_keys.join(", ")),
            };
            diagnostics.add(*node, format!("unknown key `{key}`"), Some(hint));
        }
    }
}
