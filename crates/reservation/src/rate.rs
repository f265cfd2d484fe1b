//! Rates, and parts of a rate, for reads and for fetches.

use crate::limits::{MAX_RATE, TOTAL_PARTS};
use serde::{Deserialize, Serialize};

/// The kind of a request, which determines the resource that it uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// A read from the cache nodes.
    Read,
    /// A fetch from the origin.
    Fetch,
}

/// One value for reads and one for fetches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PerKind<T> {
    /// The value for reads.
    pub reads: T,
    /// The value for fetches.
    pub fetches: T,
}

/// A rate in thousandths of a request a second.
pub type Rate = PerKind<u64>;
/// A number of parts of a booking, out of [`TOTAL_PARTS`].
pub type Parts = PerKind<u32>;

impl<T: Copy> PerKind<T> {
    /// The same value for both kinds.
    pub fn uniform(value: T) -> Self {
        Self { reads: value, fetches: value }
    }

    /// The value for `kind`.
    pub fn get(self, kind: RequestKind) -> T {
        match kind {
            RequestKind::Read => self.reads,
            RequestKind::Fetch => self.fetches,
        }
    }

    /// A mutable reference to the value for `kind`.
    pub fn get_mut(&mut self, kind: RequestKind) -> &mut T {
        match kind {
            RequestKind::Read => &mut self.reads,
            RequestKind::Fetch => &mut self.fetches,
        }
    }

    /// Applies a function to both values.
    pub fn map<V>(self, function: impl Fn(T) -> V) -> PerKind<V> {
        PerKind { reads: function(self.reads), fetches: function(self.fetches) }
    }

    /// Combines both values with those of `other`.
    pub fn zip_with<U: Copy, V>(self, other: PerKind<U>, combine: impl Fn(T, U) -> V) -> PerKind<V> {
        PerKind { reads: combine(self.reads, other.reads), fetches: combine(self.fetches, other.fetches) }
    }
}

impl Rate {
    /// Whether neither value is above that of `limit`.
    pub fn fits(self, limit: Rate) -> bool {
        self.reads <= limit.reads && self.fetches <= limit.fetches
    }

    /// The rate of `parts`, rounded down so that the sum over several holders never exceeds this rate.
    pub fn part(self, parts: Parts) -> Rate {
        self.zip_with(parts, |rate, parts| rate.min(MAX_RATE) * u64::from(parts) / u64::from(TOTAL_PARTS))
    }

    pub(crate) fn is_valid(self) -> bool {
        self.fits(PerKind::uniform(MAX_RATE))
    }
}

impl Parts {
    pub(crate) fn is_zero(self) -> bool {
        self == Parts::default()
    }
}
