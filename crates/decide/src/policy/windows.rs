//! The time constants over which events are counted.

/// Reads, by key and of all keys.
pub(super) const READS_WINDOW_US: f64 = 10e6;

/// Answers, fetches and tenants' requests, where they are used as rates.
pub(super) const RATE_WINDOW_US: f64 = 1e6;
