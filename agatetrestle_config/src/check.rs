//! Checks of single values, with the line that holds an offending one.

use std::time::Duration;

use crate::error::ConfigError;

/// Checks values of one file or document.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Checker<'a> {
    /// Name of the file or document.
    pub(crate) origin: &'a str,
    /// Its text.
    pub(crate) text: &'a str,
}

impl Checker<'_> {
    /// Refuses the value of `key`, a dotted path, unless it is as expected.
    pub(crate) fn require(&self, met: bool, key: &str, expected: &str) -> Result<(), ConfigError> {
        if met {
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

    pub(crate) fn lasting(&self, value: Duration, key: &str) -> Result<(), ConfigError> {
        self.require(!value.is_zero(), key, "a duration above 0")
    }

    pub(crate) fn named(&self, name: &str, key: &str) -> Result<(), ConfigError> {
        let usable = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
        let met = !name.is_empty() && name.len() <= 64 && name.bytes().all(usable);
        self.require(met, key, "a name of 1 to 64 letters, digits, dots, hyphens or underscores")
    }
}

/// Finds the line of a dotted path in block style by indentation; where a part of the path is written
/// in flow style, the line of the innermost part that was found, or else the first line.
fn line_of(text: &str, key: &str) -> usize {
    let mut wanted = key.split('.').peekable();
    let mut found = 1;
    let mut depth = None;
    for (at, line) in text.lines().enumerate() {
        let indent = line.len() - line.trim_start().len();
        let content = line.trim_start().trim_start_matches("- ");
        if content.is_empty() || content.starts_with('#') || depth.is_some_and(|depth| indent <= depth) {
            continue;
        }
        let Some(part) = wanted.peek() else {
            break;
        };
        let name = content.split(':').next().unwrap_or_default().trim_matches(['"', '\'']);
        if name == *part {
            found = at + 1;
            depth = Some(indent);
            wanted.next();
        }
    }
    found
}

#[cfg(test)]
mod tests;
