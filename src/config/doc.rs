//! An operator's TOML file: deserializes it and finds the line of a value for error messages.

use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use toml::de::{DeTable, DeValue};

use super::{ConfigError, read_text};

/// Limit on the names that one message lists.
const NAMES_MAX: usize = 8;

/// Lists the first names and the count of the rest, so that a message doesn't grow with the size of a site.
pub fn few<'a>(names: impl IntoIterator<Item = &'a str>) -> String {
    let mut names = names.into_iter();
    let mut listed = names.by_ref().take(NAMES_MAX).collect::<Vec<_>>().join(", ");
    let more = names.count();
    if more > 0 {
        listed.push_str(&format!(" and {more} more"));
    }
    listed
}

/// The text of one TOML file.
#[derive(Clone, Debug)]
pub struct Doc {
    /// Path of the file, for messages.
    pub path: PathBuf,
    text: String,
}

impl Doc {
    /// Reads the file.
    ///
    /// # Errors
    /// The operating system's error, where the file can't be read.
    pub fn open(path: &Path) -> Result<Doc, ConfigError> {
        Ok(Doc { path: path.to_owned(), text: read_text(path)? })
    }

    /// Wraps text that is already in memory; messages show `path` as its name.
    pub fn of(path: &Path, text: &str) -> Doc {
        Doc { path: path.to_owned(), text: text.to_owned() }
    }

    /// Deserializes the file.
    ///
    /// # Errors
    /// A syntax error, or a value that the type does not allow, with its line.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, ConfigError> {
        toml::from_str(&self.text).map_err(|e| {
            let at = e.span().map_or(0, |s| s.start);
            self.at(self.line_at(at), e.message().trim_end())
        })
    }

    fn line_at(&self, byte: usize) -> usize {
        let before = self.text.as_bytes().get(..byte).unwrap_or(self.text.as_bytes());
        1 + before.iter().filter(|b| **b == b'\n').count()
    }

    /// The line of the value at this key path, from 1; within an array, a path segment is an index from 0.
    pub fn line(&self, key_path: &[&str]) -> Option<usize> {
        let table = DeTable::parse(&self.text).ok()?;
        let (first, rest) = key_path.split_first()?;
        let mut value = table.get_ref().get(*first)?;
        for segment in rest {
            value = match value.get_ref() {
                DeValue::Table(t) => t.get(*segment)?,
                DeValue::Array(a) => a.get(segment.parse::<usize>().ok()?)?,
                _ => return None,
            };
        }
        Some(self.line_at(value.span().start))
    }

    fn at(&self, line: usize, reason: &str) -> ConfigError {
        ConfigError::At { path: self.path.display().to_string(), line, reason: reason.replace('\n', "; ") }
    }

    /// An error about the value at this key path. Where the file lacks the value, the line is that of the nearest enclosing table.
    pub fn bad(&self, key_path: &[&str], reason: impl AsRef<str>) -> ConfigError {
        let near = (1..=key_path.len()).rev().find_map(|n| self.line(&key_path[..n]));
        let name = key_path.join(".");
        self.at(near.unwrap_or(1), &format!("{name}: {}", reason.as_ref()))
    }
}

#[cfg(test)]
mod tests;
