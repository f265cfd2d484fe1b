//! Limits on the connections that one client address opens without sending a command on them.

use crate::Micros;
use hashlink::LruCache;
use rustc_hash::FxBuildHasher;
use std::net::IpAddr;

/// Maximum number of tracked addresses; above it the least recently used one is dropped. This bounds memory to about
/// 400 KB, whatever the number of addresses that open connections.
pub const MAX_ADDRESSES: usize = 4_096;
/// One address may hold the number of slots divided by this with connections that have sent no command.
const SILENT_DIVISOR: usize = 4;
/// The token bucket of one address holds the number of slots divided by this: the connections that it may open before
/// it sends a command.
const TOKENS_DIVISOR: f64 = 2.0;
/// Minimum capacity of an address's token bucket, for fronts with few slots.
const MIN_TOKENS: f64 = 2.0;

/// The silent connections and the token bucket of one address.
#[derive(Debug, Clone, Copy)]
struct AddressState {
    /// Number of open connections that have sent no command.
    silent: usize,
    /// Number of connections that the address may open before it sends a command.
    tokens: f64,
    refilled_at: Micros,
}

/// Limits the silent connections of each address, and the rate at which it opens connections: a token bucket that is
/// refilled by time and by commands.
#[derive(Debug)]
pub struct AddressLimiter {
    addresses: LruCache<IpAddr, AddressState, FxBuildHasher>,
    max_silent: usize,
    /// The capacity of each bucket, and the number of tokens added each second.
    max_tokens: f64,
}

impl AddressLimiter {
    /// Creates a limiter for a front with `slots` connection slots. An address may hold a quarter of them with silent
    /// connections, and may open connections for half of them before it sends a command.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        Self {
            addresses: LruCache::with_hasher(MAX_ADDRESSES, FxBuildHasher),
            max_silent: (slots / SILENT_DIVISOR).max(1),
            max_tokens: (slots as f64 / TOKENS_DIVISOR).max(MIN_TOKENS),
        }
    }

    /// Refills the token bucket of an address up to now, and returns the state of the address.
    fn refill(&mut self, now: Micros, address: IpAddr) -> &mut AddressState {
        let max_tokens = self.max_tokens;
        if self.addresses.get(&address).is_none() {
            let state = AddressState { silent: 0, tokens: max_tokens, refilled_at: now };
            self.addresses.insert(address, state);
        }
        let state = self.addresses.get_mut(&address).expect("the address was inserted above");
        let elapsed_s = now.saturating_sub(state.refilled_at) as f64 / 1e6;
        state.tokens = (state.tokens + elapsed_s * max_tokens).min(max_tokens);
        state.refilled_at = now;
        state
    }

    /// Records that a connection was opened. Returns false if the address has no token left, or has too many silent
    /// connections.
    pub fn record_open(&mut self, now: Micros, address: IpAddr) -> bool {
        let max_silent = self.max_silent;
        let state = self.refill(now, address);
        state.silent += 1;
        let has_token = state.tokens >= 1.0;
        if has_token {
            state.tokens -= 1.0;
        }
        has_token && state.silent <= max_silent
    }

    /// Records the first command of a connection, which returns the token of its opening.
    pub fn record_first_command(&mut self, now: Micros, address: IpAddr) {
        let max_tokens = self.max_tokens;
        let state = self.refill(now, address);
        state.silent = state.silent.saturating_sub(1);
        state.tokens = (state.tokens + 1.0).min(max_tokens);
    }

    /// Records the end of a connection that never sent a command.
    pub fn record_silent_close(&mut self, now: Micros, address: IpAddr) {
        let state = self.refill(now, address);
        state.silent = state.silent.saturating_sub(1);
    }

    /// The number of tracked addresses.
    #[must_use]
    pub fn address_count(&self) -> usize {
        self.addresses.len()
    }
}
