//! Files of features that are off unless their file says `enabled = true`: the agreement's and the fleet's.

use super::{ConfigError, operators_file, unreadable};

/// Reads the file that `variable` names, or the one at `path`. `None`: there is no file at `path`, or it says that the
/// feature is off.
pub(super) fn from_environment<T>(
    variable: &str,
    path: &str,
    read: impl FnOnce(&str) -> Result<Option<T>, ConfigError>,
) -> Result<Option<T>, ConfigError> {
    match operators_file(variable, path)? {
        Some(text) => read(&text),
        None => Ok(None),
    }
}

/// A rule that a key's value has to keep.
pub(super) struct Rule {
    pub(super) key: &'static str,
    pub(super) holds: bool,
    /// What the value has to be, for the error.
    pub(super) expected: &'static str,
}

/// Fails with the first rule that does not hold, as `FILE: KEY`.
pub(super) fn check(file: &str, rules: impl IntoIterator<Item = Rule>) -> Result<(), ConfigError> {
    match rules.into_iter().find(|rule| !rule.holds) {
        Some(rule) => Err(unreadable(format!("{file}: {}", rule.key), rule.expected)),
        None => Ok(()),
    }
}
