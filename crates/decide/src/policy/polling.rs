//! The backoff between polls of discovery after a failed poll or a cached list.

use super::context::Context;
use crate::api::{Discovery, ListKind, Micros};

const FIRST_DELAY_DIVISOR: Micros = 8; // the first delay is at most the longest poll interval divided by this
const MAX_DOUBLINGS: u32 = 3; // times that the delay doubles: up to the longest poll interval

/// Exponential backoff between polls of discovery.
#[derive(Debug, Default)]
pub(super) struct PollBackoff {
    failed_polls: u32,
}

impl PollBackoff {
    /// Records a received list or a failed poll. Returns the delay until the next poll, or `None` when no
    /// poll is needed.
    ///
    /// The delay is jittered so that instances whose polls failed together do not poll again together.
    pub(super) fn record(&mut self, kind: ListKind, context: &mut Context) -> Option<Micros> {
        let failed = kind == ListKind::Failed;
        let must_poll = context.settings.discovery == Discovery::Poll && (failed || kind == ListKind::Cached);
        let delay_us = must_poll.then(|| {
            let first_delay_us = context.settings.max_poll_interval_us / FIRST_DELAY_DIVISOR;
            let max_delay_us = first_delay_us << self.failed_polls.min(MAX_DOUBLINGS);
            let min_delay_us = if failed { max_delay_us / 2 } else { 0 };
            min_delay_us + context.rng.u64(0..=max_delay_us / 2)
        });
        self.failed_polls = if failed { self.failed_polls + 1 } else { 0 };
        delay_us
    }
}
