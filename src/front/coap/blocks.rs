//! Bodies that come in blocks, and results that go out in blocks (RFC 7959).
//!
//! It guards against devices that begin and never end: half uploads and results that are not fetched have an age and a budget
//! of bytes each. A full budget turns new uploads away; of results the eldest goes.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use bytes::Bytes;

use super::message::Block;
use crate::interface::Micros;

/// How long an upload may stand still, and a result wait for its next block to be fetched.
pub const LIFETIME: Micros = Micros::from_millis(60_000);

/// What a body or a result belongs to: a peer, and what it asks of.
pub type Place = (SocketAddr, String, Vec<u8>);

/// What a block of a body leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub enum Upload {
    /// More are awaited.
    More,
    /// This was the last one.
    Whole(Vec<u8>),
    /// It does not follow what is there (4.08).
    Hole,
    /// It is not of the size that it says (4.00).
    Uneven,
    /// The body is larger than allowed (4.13).
    TooLarge,
    /// There is no room for more half uploads now (5.03).
    NoRoom,
}

#[derive(Debug)]
struct Half {
    bytes: Vec<u8>,
    until: Micros,
}

#[derive(Debug)]
struct Whole {
    bytes: Bytes,
    etag: u32,
    until: Micros,
}

/// Half uploads and unfetched results.
#[derive(Debug)]
pub struct Blocks {
    body_max: usize,
    uploads_max: usize,
    results_max: usize,
    uploads: HashMap<Place, Half>,
    results: HashMap<Place, Whole>,
    uploads_held: usize,
    results_held: usize,
    due: BTreeSet<(Micros, bool, Place)>,
    etag: u32,
}

impl Blocks {
    /// With the largest body, and the bytes of all half uploads and of all results.
    pub fn new(body_max: usize, uploads_max: usize, results_max: usize) -> Blocks {
        Blocks {
            body_max,
            uploads_max,
            results_max,
            uploads: HashMap::new(),
            results: HashMap::new(),
            uploads_held: 0,
            results_held: 0,
            due: BTreeSet::new(),
            etag: 0,
        }
    }

    /// Bytes held: of half uploads, and of results.
    pub fn held(&self) -> (usize, usize) {
        (self.uploads_held, self.results_held)
    }

    /// When [`Blocks::sweep`] is to be called.
    pub fn deadline(&self) -> Option<Micros> {
        self.due.first().map(|d| d.0)
    }

    /// Takes a block of a body.
    pub fn upload(&mut self, now: Micros, place: &Place, block: Block, bytes: &[u8]) -> Upload {
        if bytes.len() > block.size() || (block.more && bytes.len() != block.size()) {
            return Upload::Uneven;
        }
        let at = block.offset();
        if at + bytes.len() > self.body_max {
            self.drop_upload(place);
            return Upload::TooLarge;
        }
        if block.num == 0 {
            // A new body; what was there of a former one is of no use.
            self.drop_upload(place);
        }
        let there = self.uploads.get(place).map_or(0, |h| h.bytes.len());
        if at < there {
            // It came before, or its answer was lost.
            let same = self.uploads[place].bytes.get(at..at + bytes.len()) == Some(bytes);
            return if same && block.more { Upload::More } else { Upload::Hole };
        }
        if at != there {
            return Upload::Hole;
        }
        if !block.more {
            let mut whole = self.drop_upload(place);
            whole.extend_from_slice(bytes);
            return Upload::Whole(whole);
        }
        if self.uploads_held + bytes.len() > self.uploads_max {
            return Upload::NoRoom;
        }
        let half = self.uploads.entry(place.clone()).or_insert(Half { bytes: Vec::new(), until: now });
        self.due.remove(&(half.until, true, place.clone()));
        half.bytes.extend_from_slice(bytes);
        half.until = now + LIFETIME;
        self.due.insert((half.until, true, place.clone()));
        self.uploads_held += bytes.len();
        Upload::More
    }

    fn drop_upload(&mut self, place: &Place) -> Vec<u8> {
        let Some(half) = self.uploads.remove(place) else { return Vec::new() };
        self.due.remove(&(half.until, true, place.clone()));
        self.uploads_held -= half.bytes.len();
        half.bytes
    }

    /// Keeps a result to be fetched; its tag.
    pub fn keep(&mut self, now: Micros, place: &Place, bytes: Bytes) -> u32 {
        self.drop_result(place);
        while self.results_held + bytes.len() > self.results_max {
            let eldest = self.due.iter().find(|(_, upload, _)| !upload).map(|d| d.2.clone());
            let Some(eldest) = eldest else { break };
            self.drop_result(&eldest);
        }
        self.etag = self.etag.wrapping_add(1);
        let until = now + LIFETIME;
        self.results_held += bytes.len();
        self.due.insert((until, false, place.clone()));
        self.results.insert(place.clone(), Whole { bytes, etag: self.etag, until });
        self.etag
    }

    /// A result and its tag, if it is still there.
    pub fn result(&self, place: &Place) -> Option<(Bytes, u32)> {
        self.results.get(place).map(|r| (r.bytes.clone(), r.etag))
    }

    fn drop_result(&mut self, place: &Place) {
        if let Some(r) = self.results.remove(place) {
            self.due.remove(&(r.until, false, place.clone()));
            self.results_held -= r.bytes.len();
        }
    }

    /// Drops what has been waited for long enough.
    pub fn sweep(&mut self, now: Micros) {
        while let Some((_, upload, place)) = self.due.first().filter(|d| d.0 <= now).cloned() {
            if upload {
                self.drop_upload(&place);
            } else {
                self.drop_result(&place);
            }
        }
    }
}
