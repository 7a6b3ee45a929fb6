//! Path patterns: segments separated by slashes, `*` for one segment, a last `**` for any rest.

/// Tells whether a path without its query matches a pattern.
pub fn matches(pattern: &str, path: &str) -> bool {
    let mut parts = pattern.trim_matches('/').split('/');
    let mut segments = path.trim_matches('/').split('/');
    loop {
        match (parts.next(), segments.next()) {
            (Some("**"), _) | (None, None) => return true,
            (Some("*"), Some(_)) => {}
            (Some(part), Some(segment)) if part == segment => {}
            _ => return false,
        }
    }
}
