//! Query parameters of a request.

/// The query parameters of a request, in order. Values are not percent-decoded.
#[derive(Clone, Debug, Default)]
pub struct Query(Vec<(String, String)>);

impl Query {
    /// Parses the part of a URI after the question mark.
    pub fn parse(text: &str) -> Self {
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        Self(pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect())
    }

    /// Returns the first value of a parameter, or an empty string if there is none.
    pub fn param(&self, key: &str) -> &str {
        self.0.iter().find(|(name, _)| name == key).map_or("", |(_, value)| value)
    }
}
