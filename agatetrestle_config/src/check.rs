//! Checks of single values; an error names the line of the rejected value.

use std::time::Duration;

use crate::error::ConfigError;

/// Validates values of one file or document.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Checker<'a> {
    pub(crate) origin: &'a str,
    /// Source text in which the line of a rejected value is looked up.
    pub(crate) text: &'a str,
}

impl Checker<'_> {
    /// Rejects the value of `key`, a dotted path, unless `valid` is true.
    pub(crate) fn require(&self, valid: bool, key: &str, expected: &str) -> Result<(), ConfigError> {
        if valid {
            return Ok(());
        }
        Err(ConfigError::Invalid {
            origin: self.origin.into(),
            line: line_of(self.text, key),
            key: key.into(),
            expected: expected.into(),
        })
    }

    pub(crate) fn positive(&self, value: u64, key: &str) -> Result<(), ConfigError> {
        self.require(value > 0, key, "a number above 0")
    }

    pub(crate) fn positive_duration(&self, value: Duration, key: &str) -> Result<(), ConfigError> {
        self.require(!value.is_zero(), key, "a duration above 0")
    }

    pub(crate) fn valid_name(&self, name: &str, key: &str) -> Result<(), ConfigError> {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
        let valid = !name.is_empty() && name.len() <= 64 && name.bytes().all(allowed);
        self.require(valid, key, "a name of 1 to 64 letters, digits, dots, hyphens or underscores")
    }
}

/// Returns the line of a dotted path, found by the indentation of block style. Parts in flow style are not found; the
/// result is then the line of the innermost part that was found, or 1.
fn line_of(text: &str, key: &str) -> usize {
    let mut parts = key.split('.').peekable();
    let mut found = 1;
    let mut depth = None;
    for (index, line) in text.lines().enumerate() {
        let indent = line.len() - line.trim_start().len();
        let content = line.trim_start().trim_start_matches("- ");
        if content.is_empty() || content.starts_with('#') || depth.is_some_and(|depth| indent <= depth) {
            continue;
        }
        let Some(part) = parts.peek() else {
            break;
        };
        let name = content.split(':').next().unwrap_or_default().trim_matches(['"', '\'']);
        if name == *part {
            found = index + 1;
            depth = Some(indent);
            parts.next();
        }
    }
    found
}

#[cfg(test)]
mod tests;
