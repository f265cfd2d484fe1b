//! When discovery is polled again after a poll that failed or brought a cached list.

use super::context::Context;
use crate::api::{Discovery, ListKind, Micros};

const INTERVAL_DIVISOR: Micros = 8; // the first delay is at most this part of the longest poll interval ...
const MAX_DOUBLINGS: u32 = 3; // ... and doubles this many times, up to all of it

/// Exponential backoff between polls of discovery.
#[derive(Debug, Default)]
pub(super) struct PollBackoff {
    failed_polls: u32,
}

impl PollBackoff {
    /// Returns the delay until the next poll, if the module has to ask for one.
    ///
    /// The delay is jittered: instances whose polls failed together must not repeat them together.
    pub(super) fn record(&mut self, kind: ListKind, context: &mut Context) -> Option<Micros> {
        let failed = kind == ListKind::Failed;
        let must_poll = context.settings.discovery == Discovery::Poll && (failed || kind == ListKind::Cached);
        let delay_us = must_poll.then(|| {
            let first_us = context.settings.max_poll_interval_us / INTERVAL_DIVISOR;
            let longest_us = first_us << self.failed_polls.min(MAX_DOUBLINGS);
            let least_us = if failed { longest_us / 2 } else { 0 };
            least_us + context.rng.u64(0..=longest_us / 2)
        });
        self.failed_polls = if failed { self.failed_polls + 1 } else { 0 };
        delay_us
    }
}
