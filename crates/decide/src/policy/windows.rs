//! Time constants of the decaying event counters.

/// Time constant of the read counters, per key and over all keys.
pub(super) const READS_WINDOW_US: f64 = 10e6;

/// Time constant of the counters that are used as rates: answers, fetches, and requests per tenant.
pub(super) const RATE_WINDOW_US: f64 = 1e6;
