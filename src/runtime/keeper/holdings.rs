//! The configuration behind the book in a snapshot: the oldest version kept, packed, and the changes since.
//!
//! A keeper that has none writes nothing at all, so that its snapshot is what it was before there was any; and one written
//! then is read as a configuration without records.

use serde::{Deserialize, Serialize};

use super::store::DiskError;
use crate::catalog::{Assembly, Catalog, Change, History, Progress, Revision, Snapshot};
use crate::fleet::keeper::KEEPS;

#[derive(Serialize, Deserialize)]
struct Holdings {
    chunks: Vec<Vec<u8>>,
    changes: Vec<Vec<u8>>,
}

fn bad(e: impl std::fmt::Display) -> DiskError {
    DiskError::Catalog(e.to_string())
}

/// The bytes with the configuration behind them.
///
/// # Errors
/// It can't be written.
pub(super) fn close(bytes: Vec<u8>, history: &History) -> Result<Vec<u8>, DiskError> {
    if history.now().revision() == Revision::default() {
        return Ok(bytes);
    }
    let changes: Result<_, _> = history.changes().map(Change::encode).collect();
    let snapshot = Snapshot::of(history.oldest());
    let chunks = snapshot.chunks.iter().map(|c| c.to_vec()).collect();
    Ok(postcard::to_extend(&Holdings { chunks, changes: changes.map_err(bad)? }, bytes)?)
}

/// The configuration of these bytes.
///
/// # Errors
/// What is wrong with them.
pub(super) fn open(bytes: &[u8]) -> Result<History, DiskError> {
    if bytes.is_empty() {
        return Ok(History::new(Catalog::default(), KEEPS));
    }
    let holdings: Holdings = postcard::from_bytes(bytes)?;
    let (mut assembly, mut oldest) = (Assembly::new(), None);
    for chunk in &holdings.chunks {
        if let Progress::Whole(catalog) = assembly.take(chunk).map_err(bad)? {
            oldest = Some(*catalog);
        }
    }
    let mut history = History::new(oldest.ok_or_else(|| bad("it is not whole"))?, KEEPS);
    for bytes in &holdings.changes {
        history.apply(&Change::decode(bytes).map_err(bad)?).map_err(bad)?;
    }
    Ok(history)
}

#[cfg(test)]
mod tests;
