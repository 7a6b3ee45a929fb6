//! The parameters of a request's query.

/// The parameters of a request's query.
#[derive(Clone, Debug, Default)]
pub struct Query(Vec<(String, String)>);

impl Query {
    /// Reads the part of a URI behind the question mark.
    pub fn parse(text: &str) -> Self {
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        Self(pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect())
    }

    /// Returns a parameter, or an empty text.
    pub fn param(&self, key: &str) -> &str {
        self.0.iter().find(|(known, _)| known == key).map_or("", |(_, value)| value)
    }
}
