//! An operators' whole file as records.
//!
//! So far that is the settings' own form (`classes` and `accounts`, beside `domain`'s lists of what each class calls), as the
//! platform's file has it too; all else in it is passed over.

use std::collections::HashMap;

use thiserror::Error;

use super::record::Record;
use super::refusal::Refused;
use super::{Key, Kind};

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: {reason}")]
pub struct Misread {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// What is wrong, and what would be right.
    pub reason: String,
}

/// A file's records.
#[derive(Clone, Debug)]
pub struct Whole {
    /// The file.
    pub file: String,
    /// All records, in the file's order.
    pub records: Vec<Record>,
    /// The kinds that it speaks of: what it does not name of these is to go.
    pub covers: Vec<Kind>,
    /// The line of each record, from 1.
    pub lines: HashMap<Key, usize>,
}

impl Whole {
    /// What a version refuses of it, with the line where it stands.
    #[must_use]
    pub fn place(&self, refused: &Refused) -> Misread {
        let _ = refused;
        todo!()
    }
}

/// Reads the text of a file.
///
/// # Errors
/// What is wrong, in which line, and what would be right.
pub fn whole(file: &str, text: &str) -> Result<Whole, Misread> {
    let _ = (file, text);
    todo!()
}
