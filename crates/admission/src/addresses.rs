//! Limits on the connections that one client address opens without sending a command.

use crate::Micros;
use hashlink::LruCache;
use rustc_hash::FxBuildHasher;
use std::net::IpAddr;

/// Addresses that are remembered; beyond it the least recently used one is forgotten. Bounds memory to some 400 KB,
/// whatever number of addresses open a connection each.
pub const MAX_ADDRESSES: usize = 4_096;
/// An address may hold one slot in so many without a command.
const SILENT_DIVISOR: usize = 4;
/// An address may open one slot in so many ahead of its commands.
const UNEARNED_DIVISOR: f64 = 2.0;
/// But at least this many.
const MIN_UNEARNED: f64 = 2.0;

/// What one address has opened.
#[derive(Debug, Clone, Copy)]
struct Address {
    /// Open connections that have sent no command.
    silent: usize,
    /// Connections that it may open ahead of its commands.
    tokens: f64,
    refilled_at: Micros,
}

/// Counts silent connections by address, and limits openings by a token bucket that commands refill.
#[derive(Debug)]
pub struct AddressLimiter {
    addresses: LruCache<IpAddr, Address, FxBuildHasher>,
    max_silent: usize,
    /// The capacity of each bucket, and the tokens that return each second.
    max_tokens: f64,
}

impl AddressLimiter {
    /// Creates a limiter for a front with `slots` connection slots: an address may hold a quarter of them silent, and open
    /// half as many ahead of its commands.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        Self {
            addresses: LruCache::with_hasher(MAX_ADDRESSES, FxBuildHasher),
            max_silent: (slots / SILENT_DIVISOR).max(1),
            max_tokens: (slots as f64 / UNEARNED_DIVISOR).max(MIN_UNEARNED),
        }
    }

    /// The record of an address, with its bucket refilled up to now.
    fn refilled(&mut self, now: Micros, address: IpAddr) -> &mut Address {
        let max_tokens = self.max_tokens;
        if self.addresses.get(&address).is_none() {
            let new = Address { silent: 0, tokens: max_tokens, refilled_at: now };
            self.addresses.insert(address, new);
        }
        let known = self.addresses.get_mut(&address).expect("it was inserted above");
        let elapsed_s = now.saturating_sub(known.refilled_at) as f64 / 1e6;
        known.tokens = (known.tokens + elapsed_s * max_tokens).min(max_tokens);
        known.refilled_at = now;
        known
    }

    /// Records a connection that was opened. Returns false if the address has opened or holds more than it may without
    /// a command.
    pub fn record_open(&mut self, now: Micros, address: IpAddr) -> bool {
        let max_silent = self.max_silent;
        let known = self.refilled(now, address);
        known.silent += 1;
        let has_token = known.tokens >= 1.0;
        if has_token {
            known.tokens -= 1.0;
        }
        has_token && known.silent <= max_silent
    }

    /// Records the first command of a connection, which returns the token of its opening.
    pub fn record_first_command(&mut self, now: Micros, address: IpAddr) {
        let max_tokens = self.max_tokens;
        let known = self.refilled(now, address);
        known.silent = known.silent.saturating_sub(1);
        known.tokens = (known.tokens + 1.0).min(max_tokens);
    }

    /// Records the end of a connection that never sent a command.
    pub fn record_silent_close(&mut self, now: Micros, address: IpAddr) {
        let known = self.refilled(now, address);
        known.silent = known.silent.saturating_sub(1);
    }

    /// The number of addresses that are remembered.
    #[must_use]
    pub fn remembered(&self) -> usize {
        self.addresses.len()
    }
}
