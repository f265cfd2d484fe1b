//! Timeouts of connections without a connection slot, which keep a descriptor while their commands are rejected.
//!
//! A client may write a batch one command at a time. Closing the connection after the first rejection would lose the
//! rest of the batch, so an answered connection stays open until its input has paused. Other connections wait for its
//! descriptor meanwhile, and their requests have deadlines too: the timeouts are shorter when many connections have no
//! slot, and shorter still when the newest of them has waited for long.

use crate::shutdown::{BATCH_GAP, FIRST_COMMAND_TIMEOUT};
use std::time::Duration;

/// The most connections without a slot that are open at a time. Their descriptors are reserved.
pub(crate) const MAX_SLOTLESS: usize = 16;
/// The load is low up to this many open connections without a slot.
const MAX_LOW_LOAD: usize = MAX_SLOTLESS / 2;
/// The timeout for the first command under high load. A usual client writes it as soon as it is connected.
const HIGH_LOAD_FIRST_COMMAND_TIMEOUT: Duration = Duration::from_millis(50);
/// The timeout for the first command when the newest connection is overdue.
const OVERDUE_FIRST_COMMAND_TIMEOUT: Duration = Duration::from_millis(10);
/// The shortest timeout for the first command, however short the deadlines of requests are.
const MIN_FIRST_COMMAND_TIMEOUT: Duration = Duration::from_millis(3);
/// The timeout for the next command of a batch when the newest connection is overdue.
const OVERDUE_BATCH_GAP: Duration = Duration::from_millis(5);
/// How long batches may continue when the newest connection is overdue. The connection closes after the answer to a
/// later command.
const OVERDUE_BATCH_SPAN: Duration = Duration::from_millis(25);
/// Batches may continue for the longest wait for a slot divided by this; when few connections have no slot, the timeout
/// for the first command is added.
const BATCH_SPAN_DIVISOR: u32 = 4;
/// The timeout for the next command of a batch is at most the longest wait for a slot divided by this.
const BATCH_GAP_DIVISOR: u32 = 10;

/// The load by connections without a slot: how many are open, and how long the newest has waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotlessLoad {
    /// Few are open: each may use the long timeouts.
    Low,
    /// Many are open.
    High,
    /// Many are open, and the newest has waited so long that its requests may be rejected too late for a retry.
    Overdue,
}

impl SlotlessLoad {
    /// Returns the load when `slotless` connections without a slot are open, the newest of which has waited for
    /// `waited`. `slot_wait` is the longest wait for a slot.
    #[must_use]
    pub fn assess(slotless: usize, waited: Duration, slot_wait: Duration) -> Self {
        // The wait for a slot takes a quarter of the shortest deadline; a rejection within half of the deadline is
        // early enough.
        let latest = slot_wait + slot_wait / 2;
        match () {
            () if waited >= latest && slotless > MAX_LOW_LOAD => Self::Overdue,
            () if slotless > MAX_LOW_LOAD => Self::High,
            () => Self::Low,
        }
    }
}

/// The timeouts that bound how long a connection without a slot is kept open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotlessTimeouts {
    /// The timeout for the first command.
    pub first_command: Duration,
    /// The timeout for the next command of a batch.
    pub batch_gap: Duration,
    /// How long batches may continue after the connection was opened.
    pub batch_span: Duration,
}

impl SlotlessTimeouts {
    /// Returns the timeouts for this load. `slot_wait` is the longest wait for a slot, which is derived from the
    /// shortest deadline of requests: short deadlines give short timeouts.
    #[must_use]
    pub fn new(load: SlotlessLoad, slot_wait: Duration) -> Self {
        let gap = BATCH_GAP.min(slot_wait / BATCH_GAP_DIVISOR);
        let span = slot_wait / BATCH_SPAN_DIVISOR;
        match load {
            SlotlessLoad::Low => Self {
                first_command: FIRST_COMMAND_TIMEOUT,
                batch_gap: gap,
                batch_span: FIRST_COMMAND_TIMEOUT + span,
            },
            SlotlessLoad::High => Self {
                first_command: HIGH_LOAD_FIRST_COMMAND_TIMEOUT.min(gap).max(MIN_FIRST_COMMAND_TIMEOUT),
                batch_gap: gap,
                batch_span: span,
            },
            SlotlessLoad::Overdue => Self {
                first_command: OVERDUE_FIRST_COMMAND_TIMEOUT.min(gap).max(MIN_FIRST_COMMAND_TIMEOUT),
                batch_gap: OVERDUE_BATCH_GAP.min(gap),
                batch_span: OVERDUE_BATCH_SPAN.min(span),
            },
        }
    }
}
