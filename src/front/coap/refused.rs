//! A set of fixed size of the messages that were refused: the sender of a refused message may repeat its request under
//! another message id, and a late duplicate of the refused message must not run beside that request.
//!
//! A message stays in the set for its whole span. The set is a Bloom filter (B. H. Bloom, "Space/time trade-offs in hash
//! coding with allowable errors", 1970), so a few other messages match by mistake; they are refused too, which is safe.

use serde::{Deserialize, Serialize};

use crate::interface::Micros;

/// Bits of each generation: with 10,000 messages in it, 1 of 2,700 other messages matches by mistake.
const GENERATION_BITS: usize = 1 << 20;

/// The set: two generations of `span`, so that each message is known for at least one span and at most two.
#[derive(Debug)]
pub struct RefusedMessages {
    span: Micros,
    since: Micros,
    current: Vec<u64>,
    previous: Vec<u64>,
}

/// The set as it passes to another process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RefusedState {
    age: Micros,
    current: Vec<u64>,
    previous: Vec<u64>,
}

impl RefusedMessages {
    /// The set, with the age of its current generation.
    pub fn export(&self, now: Micros) -> RefusedState {
        let age = if self.current.is_empty() { Micros(0) } else { now - self.since };
        RefusedState { age, current: self.current.clone(), previous: self.previous.clone() }
    }

    /// Takes over the set of another process. Generations of another size are ignored.
    pub fn import(&mut self, now: Micros, state: RefusedState) {
        let has_size = |words: &Vec<u64>| words.is_empty() || words.len() == GENERATION_BITS / 64;
        if has_size(&state.current) && has_size(&state.previous) {
            self.since = now - state.age;
            (self.current, self.previous) = (state.current, state.previous);
        }
    }

    /// An empty set whose messages are known for at least `span`.
    pub fn new(span: Micros) -> RefusedMessages {
        RefusedMessages { span, since: Micros(0), current: Vec::new(), previous: Vec::new() }
    }

    fn rotate_generations(&mut self, now: Micros) {
        if now < self.since + self.span {
            return;
        }
        let former = std::mem::take(&mut self.current);
        // After two spans without a rotation the last generation has expired too.
        self.previous = if now < self.since + self.span + self.span { former } else { Vec::new() };
        self.since = now;
    }

    fn bit_positions(hash: u64) -> [usize; 2] {
        [hash as usize % GENERATION_BITS, (hash >> 32) as usize % GENERATION_BITS]
    }

    /// Adds a refused message.
    pub fn insert(&mut self, now: Micros, hash: u64) {
        self.rotate_generations(now);
        // Allocated on first use, as most nodes never refuse a message this way.
        self.current.resize(GENERATION_BITS / 64, 0);
        for position in Self::bit_positions(hash) {
            self.current[position / 64] |= 1 << (position % 64);
        }
    }

    /// Whether the message was refused at most one span ago; may be true up to two spans, and for a few others.
    pub fn contains(&mut self, now: Micros, hash: u64) -> bool {
        self.rotate_generations(now);
        let within = |all: &Vec<u64>| {
            !all.is_empty() && Self::bit_positions(hash).into_iter().all(|p| all[p / 64] & 1 << (p % 64) != 0)
        };
        within(&self.current) || within(&self.previous)
    }
}

#[cfg(test)]
mod tests;
