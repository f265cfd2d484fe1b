//! The timers of the engine.

use decide::api::{RequestId, Token};
use std::future::{pending, poll_fn};
use std::time::Duration;
use tokio_util::time::DelayQueue;
use tokio_util::time::delay_queue::Key;

/// What a timer is for.
#[derive(Debug)]
pub(super) enum TimerEvent {
    /// Load is published to the other balancers.
    PublishLoad,
    /// A timer of the decision module.
    Decision(Token),
    /// A request should have been answered by now.
    RequestOverdue(RequestId),
}

/// A timer that has expired. Its key may be reused from now on.
#[derive(Debug)]
pub(super) struct ExpiredTimer {
    pub(super) key: Key,
    pub(super) event: TimerEvent,
}

/// Pending timers.
#[derive(Debug, Default)]
pub(super) struct Timers(DelayQueue<TimerEvent>);

impl Timers {
    /// Starts a timer.
    pub(super) fn schedule(&mut self, event: TimerEvent, delay: Duration) -> Key {
        self.0.insert(event, delay)
    }

    /// Cancels a timer that has not expired.
    pub(super) fn cancel(&mut self, key: &Key) {
        self.0.remove(key);
    }

    /// How many timers are pending.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// The next timer to expire; waits for ever if there is none. Cancel safe.
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
