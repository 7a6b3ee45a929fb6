//! Path patterns, consisting of segments separated by slashes.
//!
//! `*` matches one segment, and a final `**` matches any remaining segments, including none.

/// Returns whether a path without query matches a pattern. Leading and trailing slashes are ignored.
pub fn matches(pattern: &str, path: &str) -> bool {
    let mut pattern_segments = pattern.trim_matches('/').split('/');
    let mut path_segments = path.trim_matches('/').split('/');
    loop {
        match (pattern_segments.next(), path_segments.next()) {
            (Some("**"), _) | (None, None) => return true,
            (Some("*"), Some(_)) => {}
            (Some(expected), Some(actual)) if expected == actual => {}
            _ => return false,
        }
    }
}
