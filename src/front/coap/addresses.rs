//! Verification of addresses: which peers receive what is sent to them, and the keyed hashes that show it (RFC 9175).

use std::net::{IpAddr, SocketAddr};

use super::{Coap, Timer};
use crate::interface::Micros;

/// How long an address counts as verified after its last proof.
const VERIFIED_LIFETIME: Micros = Micros::from_millis(600_000);
/// The period of Echo values, us: a value is valid in its own period and the one after.
const ECHO_PERIOD_US: u64 = 60_000_000;
/// Bytes of the key of Echo values.
pub(super) const SECRET_BYTES: usize = blake3::KEY_LEN;
/// Bytes of an Echo value.
const ECHO_BYTES: usize = 8;

impl Coap {
    /// Marks an address as verified: its peer receives what is sent to it.
    pub(super) fn verify_address(&mut self, now: Micros, from: SocketAddr) {
        let until = now + VERIFIED_LIFETIME;
        // Bounded by the number of exchanges, as no more addresses can have an open request.
        let has_room = self.verified.len() < self.config.exchanges;
        if let Some(known) = self.verified.get_mut(&from) {
            *known = until;
        } else if has_room {
            self.verified.insert(from, until);
            self.timers.insert((until, Timer::ExpireVerification(from)));
        }
    }

    pub(super) fn echo_time(&self, now: Micros) -> Micros {
        now + self.echo_offset
    }

    /// The Echo value that an address has to return: a keyed hash that others can't guess, valid for one to two periods.
    pub(super) fn echo(&self, now: Micros, to: SocketAddr) -> Vec<u8> {
        self.echo_of(to, self.echo_time(now).0 / ECHO_PERIOD_US).to_vec()
    }

    fn echo_of(&self, to: SocketAddr, period: u64) -> [u8; ECHO_BYTES] {
        self.keyed_hash(HashUse::Echo, to, period).to_be_bytes()
    }

    pub(super) fn is_valid_echo(&self, now: Micros, from: SocketAddr, echo: &[u8]) -> bool {
        if echo.len() != ECHO_BYTES {
            return false;
        }
        let period = self.echo_time(now).0 / ECHO_PERIOD_US;
        echo == self.echo_of(from, period) || echo == self.echo_of(from, period.saturating_sub(1))
    }

    /// A hash of an address and a number that only the owners of this front can compute.
    pub(super) fn keyed_hash(&self, use_of: HashUse, address: SocketAddr, number: u64) -> u64 {
        let ip = match address.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped(),
            IpAddr::V6(ip) => ip,
        };
        let mut input = [0; 27];
        input[0] = use_of as u8;
        input[1..17].copy_from_slice(&ip.octets());
        input[17..19].copy_from_slice(&address.port().to_be_bytes());
        input[19..].copy_from_slice(&number.to_be_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&blake3::keyed_hash(&self.secret, &input).as_bytes()[..8]);
        u64::from_be_bytes(first)
    }
}

/// What a keyed hash is for, so that a hash of one use is never valid for another.
#[derive(Clone, Copy, Debug)]
pub(super) enum HashUse {
    Echo = 1,
    RefusedMessage = 2,
}
