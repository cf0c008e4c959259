//! The output buffer of a connection, which holds large answers by reference.

use std::collections::VecDeque;

use bytes::{Buf, Bytes, BytesMut};

/// Bytes from which on an answer is held by reference, so that peers which wait for the same answer share it.
const SHARED_FROM_BYTES: usize = 2 << 10;
/// An empty buffer with a larger capacity than this, bytes, frees its memory.
const IDLE_CAPACITY_MAX_BYTES: usize = 8 << 10;

/// Bytes to be sent to a peer, in order. Bounded by the `unsent_max` of connection admission and the answers to the
/// open requests.
#[derive(Debug, Default)]
pub struct OutputBuffer {
    chunks: VecDeque<Bytes>,
    tail: BytesMut,
    /// Bytes appended and bytes sent since the connection began.
    appended: u64,
    sent: u64,
    /// The end offsets, in appended bytes, of the answers that are not completely sent.
    answer_ends: VecDeque<u64>,
}

impl OutputBuffer {
    /// An empty buffer.
    pub fn new() -> OutputBuffer {
        OutputBuffer::default()
    }

    /// Bytes not yet sent.
    pub fn len(&self) -> usize {
        usize::try_from(self.appended - self.sent).unwrap_or(usize::MAX)
    }

    /// Whether all bytes are sent.
    pub fn is_empty(&self) -> bool {
        self.appended == self.sent
    }

    /// Bytes sent since the connection began.
    pub fn sent_bytes(&self) -> u64 {
        self.sent
    }

    /// Appends what `f` writes to the end of the buffer it is given.
    pub fn write(&mut self, f: impl FnOnce(&mut BytesMut)) {
        let before = self.tail.len();
        f(&mut self.tail);
        self.appended += (self.tail.len() - before) as u64;
    }

    /// Appends a copy of `bytes`.
    pub fn extend_from_slice(&mut self, bytes: &[u8]) {
        self.write(|tail| tail.extend_from_slice(bytes));
    }

    /// Appends bytes that other connections may send too; large ones are not copied.
    pub fn push(&mut self, bytes: Bytes) {
        if bytes.len() < SHARED_FROM_BYTES {
            return self.extend_from_slice(&bytes);
        }
        if !self.tail.is_empty() {
            self.chunks.push_back(self.tail.split().freeze());
        }
        self.appended += bytes.len() as u64;
        self.chunks.push_back(bytes);
    }

    /// Marks the end of an answer at the current end of the buffer.
    pub fn mark_answer_end(&mut self) {
        self.answer_ends.push_back(self.appended);
    }

    /// Answers that are not completely sent.
    pub fn undelivered(&self) -> u64 {
        self.answer_ends.len() as u64
    }

    /// The next contiguous bytes to send.
    pub fn chunk(&self) -> &[u8] {
        self.chunks.front().map_or(&self.tail[..], |b| &b[..])
    }

    /// Removes `n` bytes that were sent from the front of [`OutputBuffer::chunk`].
    pub fn advance(&mut self, n: usize) {
        self.sent += n as u64;
        match self.chunks.front_mut() {
            Some(b) if b.len() > n => b.advance(n),
            Some(_) => _ = self.chunks.pop_front(),
            None => self.tail.advance(n),
        }
        while self.answer_ends.front().is_some_and(|end| *end <= self.sent) {
            self.answer_ends.pop_front();
        }
        if self.is_empty() && self.tail.capacity() > IDLE_CAPACITY_MAX_BYTES {
            self.tail = BytesMut::new();
        }
    }
}

#[cfg(test)]
mod tests;
