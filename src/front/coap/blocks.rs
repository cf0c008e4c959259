//! Request bodies received in blocks, and results sent in blocks (RFC 7959).
//!
//! Partial uploads and results not yet fetched have a lifetime and a budget of bytes each, so that devices which begin a
//! transfer and never finish it can't exhaust memory. A full budget refuses new uploads; of results, the oldest is dropped.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::message::Block;
use crate::interface::Micros;

/// How long an upload may go without a new block, and a result is kept for its blocks to be fetched.
pub const LIFETIME: Micros = Micros::from_millis(60_000);

/// The key of an upload or a result: the peer, the method with path and query, and the request tag.
pub type TransferKey = (SocketAddr, String, Vec<u8>);

/// The outcome of receiving a block of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub enum Upload {
    /// More blocks are to come.
    More,
    /// The last block: the complete body.
    Complete(Vec<u8>),
    /// The block does not follow the blocks received (4.08).
    Gap,
    /// The block does not have the size that it states (4.00).
    SizeMismatch,
    /// The body is larger than allowed (4.13).
    TooLarge,
    /// The budget for partial uploads is full (5.03).
    NoRoom,
}

#[derive(Debug)]
struct PartialUpload {
    bytes: Vec<u8>,
    until: Micros,
}

#[derive(Debug)]
struct KeptResult {
    bytes: Bytes,
    etag: u32,
    until: Micros,
}

/// Bytes of uploads, and of results, that pass to another process at most, with their keys.
pub const PASSED_BYTES_MAX: usize = 8 << 20;
/// Bytes of an upload or a result without its key and content, about.
const RECORD_OVERHEAD_BYTES: usize = 32;

/// Uploads and results as they pass to another process. Spans count from the time at which it was taken.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BlocksState {
    uploads: Vec<TransferRecord>,
    results: Vec<TransferRecord>,
    last_etag: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct TransferRecord {
    key: TransferKey,
    bytes: Vec<u8>,
    /// Of a result; 0 for an upload.
    etag: u32,
    expires_in: Micros,
}

/// Partial uploads and results not yet fetched completely.
#[derive(Debug)]
pub struct Blocks {
    body_max: usize,
    uploads_max: usize,
    results_max: usize,
    uploads: HashMap<TransferKey, PartialUpload>,
    results: HashMap<TransferKey, KeptResult>,
    uploads_held: usize,
    results_held: usize,
    /// When each expires; true marks an upload.
    expiries: BTreeSet<(Micros, bool, TransferKey)>,
    etag: u32,
}

impl Blocks {
    /// Limits, bytes: one body, all partial uploads together and all results together.
    pub fn new(body_max: usize, uploads_max: usize, results_max: usize) -> Blocks {
        Blocks {
            body_max,
            uploads_max,
            results_max,
            uploads: HashMap::new(),
            results: HashMap::new(),
            uploads_held: 0,
            results_held: 0,
            expiries: BTreeSet::new(),
            etag: 0,
        }
    }

    /// Bytes held of partial uploads, and of results.
    pub fn held_bytes(&self) -> (usize, usize) {
        (self.uploads_held, self.results_held)
    }

    /// When [`Blocks::sweep`] must be called next.
    pub fn deadline(&self) -> Option<Micros> {
        self.expiries.first().map(|d| d.0)
    }

    /// Adds a block to an upload.
    pub fn receive_block(
        &mut self,
        now: Micros,
        transfer: &TransferKey,
        block: Block,
        bytes: &[u8],
    ) -> Upload {
        if bytes.len() > block.size() || (block.more && bytes.len() != block.size()) {
            return Upload::SizeMismatch;
        }
        let at = block.offset();
        if at + bytes.len() > self.body_max {
            self.drop_upload(transfer);
            return Upload::TooLarge;
        }
        if block.num == 0 {
            // A new body replaces a partial one.
            self.drop_upload(transfer);
        }
        let received = self.uploads.get(transfer).map_or(0, |h| h.bytes.len());
        if at < received {
            // A duplicate, or a repeat because its answer was lost.
            let same = self.uploads[transfer].bytes.get(at..at + bytes.len()) == Some(bytes);
            return if same && block.more { Upload::More } else { Upload::Gap };
        }
        if at != received {
            return Upload::Gap;
        }
        if !block.more {
            let mut body = self.drop_upload(transfer);
            body.extend_from_slice(bytes);
            return Upload::Complete(body);
        }
        if self.uploads_held + bytes.len() > self.uploads_max {
            return Upload::NoRoom;
        }
        let upload =
            self.uploads.entry(transfer.clone()).or_insert(PartialUpload { bytes: Vec::new(), until: now });
        self.expiries.remove(&(upload.until, true, transfer.clone()));
        upload.bytes.extend_from_slice(bytes);
        upload.until = now + LIFETIME;
        self.expiries.insert((upload.until, true, transfer.clone()));
        self.uploads_held += bytes.len();
        Upload::More
    }

    fn drop_upload(&mut self, transfer: &TransferKey) -> Vec<u8> {
        let Some(upload) = self.uploads.remove(transfer) else { return Vec::new() };
        self.expiries.remove(&(upload.until, true, transfer.clone()));
        self.uploads_held -= upload.bytes.len();
        upload.bytes
    }

    /// Stores a result for its blocks to be fetched, and returns its ETag.
    pub fn store_result(&mut self, now: Micros, transfer: &TransferKey, bytes: Bytes) -> u32 {
        self.etag = self.etag.wrapping_add(1);
        self.insert_result(transfer, bytes, self.etag, now + LIFETIME);
        self.etag
    }

    fn insert_result(&mut self, transfer: &TransferKey, bytes: Bytes, etag: u32, until: Micros) {
        self.drop_result(transfer);
        while self.results_held + bytes.len() > self.results_max {
            let oldest = self.expiries.iter().find(|(_, is_upload, _)| !is_upload).map(|d| d.2.clone());
            let Some(oldest) = oldest else { break };
            self.drop_result(&oldest);
        }
        self.results_held += bytes.len();
        self.expiries.insert((until, false, transfer.clone()));
        self.results.insert(transfer.clone(), KeptResult { bytes, etag, until });
    }

    /// A stored result and its ETag, if it has not expired.
    pub fn result(&self, transfer: &TransferKey) -> Option<(Bytes, u32)> {
        self.results.get(transfer).map(|r| (r.bytes.clone(), r.etag))
    }

    fn drop_result(&mut self, transfer: &TransferKey) {
        if let Some(r) = self.results.remove(transfer) {
            self.expiries.remove(&(r.until, false, transfer.clone()));
            self.results_held -= r.bytes.len();
        }
    }

    /// The uploads and results to pass to another process, in the order of their expiry. Beyond [`PASSED_BYTES_MAX`] the ones that
    /// expire first are left out.
    pub fn export(&self, now: Micros) -> BlocksState {
        let mut state = BlocksState { last_etag: self.etag, ..BlocksState::default() };
        let (mut upload_bytes, mut result_bytes) = (0, 0);
        for (until, is_upload, key) in self.expiries.iter().rev() {
            let (bytes, etag, held, records) = if *is_upload {
                let Some(upload) = self.uploads.get(key) else { continue };
                (&upload.bytes[..], 0, &mut upload_bytes, &mut state.uploads)
            } else {
                let Some(result) = self.results.get(key) else { continue };
                (&result.bytes[..], result.etag, &mut result_bytes, &mut state.results)
            };
            *held += RECORD_OVERHEAD_BYTES + key.1.len() + key.2.len() + bytes.len();
            if *held <= PASSED_BYTES_MAX {
                let (key, bytes) = (key.clone(), bytes.to_vec());
                records.push(TransferRecord { key, bytes, etag, expires_in: *until - now });
            }
        }
        state.uploads.reverse();
        state.results.reverse();
        state
    }

    /// Takes over the uploads and results of another process, as far as the budgets here allow: of results the ones that expire
    /// last are kept.
    pub fn import(&mut self, now: Micros, state: BlocksState) {
        for TransferRecord { key, bytes, expires_in, .. } in state.uploads {
            if self.uploads_held + bytes.len() <= self.uploads_max {
                let until = now + expires_in;
                self.uploads_held += bytes.len();
                self.expiries.insert((until, true, key.clone()));
                self.uploads.insert(key, PartialUpload { bytes, until });
            }
        }
        for TransferRecord { key, bytes, etag, expires_in } in state.results {
            self.insert_result(&key, bytes.into(), etag, now + expires_in);
        }
        self.etag = state.last_etag;
    }

    /// Drops the uploads and results that have expired.
    pub fn sweep(&mut self, now: Micros) {
        while let Some((_, is_upload, transfer)) = self.expiries.first().filter(|d| d.0 <= now).cloned() {
            if is_upload {
                self.drop_upload(&transfer);
            } else {
                self.drop_result(&transfer);
            }
        }
    }
}
