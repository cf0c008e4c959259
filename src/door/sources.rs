//! Limits for each source of connections: an address, or the network that it is in.
//!
//! Memory is bounded under any number of addresses. A source that holds connections is remembered for as long as it
//! does, and connections have a bound of their own. Of the sources that hold none, the [`IDLE_SOURCES_MAX`] most recently
//! seen are remembered where the rate of new connections is limited, so that a source does not regain its full allowance
//! by closing its connections.

use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;

use crate::interface::Micros;

/// Sources without a connection that are remembered: under 1 MB, and more than the new sources of a second.
pub const IDLE_SOURCES_MAX: usize = 8_192;

/// The limits for one source. A limit of `None` does not bind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SourceLimits {
    /// Concurrent connections.
    pub connections: Option<usize>,
    /// New connections per second, and the largest burst of them.
    pub arrivals: Option<(f64, f64)>,
    /// Bits of an IPv4 address that tell sources apart, 8 to 32.
    pub prefix_v4: u8,
    /// Bits of an IPv6 address that tell sources apart, 16 to 128.
    pub prefix_v6: u8,
}

impl SourceLimits {
    /// No limits; sources are told apart by full IPv4 addresses and IPv6 /64 networks.
    pub const NONE: SourceLimits =
        SourceLimits { connections: None, arrivals: None, prefix_v4: 32, prefix_v6: 64 };

    /// The source that an address belongs to.
    pub fn source(&self, address: IpAddr) -> Source {
        // An IPv4-mapped IPv6 address is the same device as the IPv4 address.
        match address.to_canonical() {
            IpAddr::V4(a) => {
                let keep = u32::MAX.checked_shl(32 - u32::from(self.prefix_v4.min(32))).unwrap_or(0);
                Source(IpAddr::V4((u32::from(a) & keep).into()))
            }
            IpAddr::V6(a) => {
                let keep = u128::MAX.checked_shl(128 - u32::from(self.prefix_v6.min(128))).unwrap_or(0);
                Source(IpAddr::V6((u128::from(a) & keep).into()))
            }
        }
    }
}

/// A source, identified by the first address of its network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Source(IpAddr);

impl std::fmt::Display for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

#[derive(Debug)]
struct SourceAccount {
    open_connections: usize,
    /// New connections that it may make at once.
    allowance: f64,
    /// When the allowance was last updated.
    updated_at: Micros,
}

/// The limit that keeps a source from a further connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceLimitExceeded {
    /// It opens connections too fast.
    Arrivals,
    /// It holds as many as it may; one of its own would have to be closed first.
    Connections,
}

/// The accounts of all sources that are remembered.
#[derive(Debug)]
pub struct Sources {
    limits: SourceLimits,
    accounts: HashMap<Source, SourceAccount>,
    /// The sources without a connection, by when they were last seen.
    idle: BTreeSet<(Micros, Source)>,
}

impl Sources {
    /// A registry without sources.
    pub fn new(limits: SourceLimits) -> Sources {
        Sources { limits, accounts: HashMap::new(), idle: BTreeSet::new() }
    }

    /// The source that an address belongs to.
    pub fn source_of(&self, address: IpAddr) -> Source {
        self.limits.source(address)
    }

    /// Number of sources that are remembered.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no source is remembered.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Checks whether a source may open a connection now. It is not counted before [`Sources::connection_opened`].
    ///
    /// # Errors
    /// The limit that the source has reached.
    pub fn check_limits(&mut self, now: Micros, source: Source) -> Result<(), SourceLimitExceeded> {
        if self.limits.arrivals.is_none() {
            return self.check_connections(source);
        }
        self.account(now, source);
        self.refill_allowance(now, source);
        let is_too_fast = self.accounts.get(&source).is_some_and(|account| account.allowance < 1.0);
        if is_too_fast { Err(SourceLimitExceeded::Arrivals) } else { self.check_connections(source) }
    }

    fn check_connections(&self, source: Source) -> Result<(), SourceLimitExceeded> {
        let open_connections = self.accounts.get(&source).map_or(0, |account| account.open_connections);
        match self.limits.connections {
            Some(most) if open_connections >= most => Err(SourceLimitExceeded::Connections),
            _ => Ok(()),
        }
    }

    /// Counts a new connection of a source.
    pub fn connection_opened(&mut self, now: Micros, source: Source) {
        self.account(now, source);
        self.refill_allowance(now, source);
        if let Some(account) = self.accounts.get_mut(&source) {
            account.open_connections += 1;
            account.allowance = (account.allowance - 1.0).max(0.0);
            self.idle.remove(&(account.updated_at, source));
        }
    }

    /// Counts out a closed connection of a source.
    pub fn connection_closed(&mut self, now: Micros, source: Source) {
        let Some(account) = self.accounts.get_mut(&source) else { return };
        account.open_connections = account.open_connections.saturating_sub(1);
        if account.open_connections == 0 && self.limits.arrivals.is_none() {
            self.accounts.remove(&source);
            return;
        }
        self.refill_allowance(now, source);
    }

    /// Refills a source's allowance up to now. A source without a connection is marked as seen now; where there are too
    /// many of these, the one seen longest ago is forgotten.
    fn refill_allowance(&mut self, now: Micros, source: Source) {
        let Some(account) = self.accounts.get_mut(&source) else { return };
        self.idle.remove(&(account.updated_at, source));
        if let Some((rate, most)) = self.limits.arrivals {
            account.allowance =
                (account.allowance + rate * (now - account.updated_at).as_secs_f64()).min(most);
        }
        account.updated_at = account.updated_at.max(now);
        if account.open_connections == 0 {
            self.idle.insert((account.updated_at, source));
        }
        while self.idle.len() > IDLE_SOURCES_MAX {
            if let Some((_, oldest)) = self.idle.pop_first() {
                self.accounts.remove(&oldest);
            }
        }
    }

    fn account(&mut self, now: Micros, source: Source) -> &mut SourceAccount {
        let most = self.limits.arrivals.map_or(0.0, |(_, burst)| burst);
        self.accounts.entry(source).or_insert(SourceAccount {
            open_connections: 0,
            allowance: most,
            updated_at: now,
        })
    }
}

#[cfg(test)]
mod tests;
