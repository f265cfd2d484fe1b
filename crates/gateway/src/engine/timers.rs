//! The timers of the engine.

use decide::api::{RequestId, Token};
use std::future::{pending, poll_fn};
use std::time::Duration;
use tokio_util::time::DelayQueue;
use tokio_util::time::delay_queue::Key;

/// The event that an expired timer causes.
#[derive(Debug)]
pub(super) enum TimerEvent {
    /// Publish load reports to the other balancers.
    PublishLoad,
    /// Report an expired timer to the decision module.
    Decision(Token),
    /// Check whether a request has been answered.
    RequestOverdue(RequestId),
}

/// An expired timer. Its key may be reused by the next timer.
#[derive(Debug)]
pub(super) struct ExpiredTimer {
    pub(super) key: Key,
    pub(super) event: TimerEvent,
}

/// The pending timers.
#[derive(Debug, Default)]
pub(super) struct Timers(DelayQueue<TimerEvent>);

impl Timers {
    /// Starts a timer, and returns its key.
    pub(super) fn schedule(&mut self, event: TimerEvent, delay: Duration) -> Key {
        self.0.insert(event, delay)
    }

    /// Cancels a timer, which must not have expired.
    pub(super) fn cancel(&mut self, key: &Key) {
        self.0.remove(key);
    }

    /// Returns the number of pending timers.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Waits for the next timer to expire; forever if none is pending. Cancel safe.
    pub(super) async fn next(&mut self) -> ExpiredTimer {
        if self.0.is_empty() {
            return pending().await;
        }
        match poll_fn(|cx| self.0.poll_expired(cx)).await {
            Some(expired) => ExpiredTimer { key: expired.key(), event: expired.into_inner() },
            None => pending().await,
        }
    }
}
