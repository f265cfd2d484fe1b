//! Counts the activity of this balancer under each version, and sends the counts to the fleet thread for the ledger.

use crate::fleet_link::AuditEvent;
use audit::activity_counter::{ActivityCounter, CountKind, VersionId};
use audit::lease::TimeInterval;
use audit::version::Version;
use decide::api::{Micros, Outcome};
use tokio::sync::mpsc;

/// The interval at which the counts are reported, in microseconds.
const REPORT_INTERVAL: Micros = 1_000_000;

/// The version in force when an attempt started, and whether the attempt is a write.
#[doc(hidden)]
#[derive(Debug, Clone, Copy)]
pub struct AuditedVersion {
    version: VersionId,
    is_write: bool,
}

/// The audit of this balancer's activity.
pub(super) struct ActivityAudit {
    events: mpsc::Sender<AuditEvent>,
    number: u16,
    incarnation: u64,
    /// Set once fleet time is known: without it, periods cannot be compared with those of other balancers.
    counter: Option<ActivityCounter>,
    next_report_at: Micros,
    /// The number of events lost since the last report because the fleet thread was stalled.
    lost_events: u64,
}

impl ActivityAudit {
    /// Creates an audit without counts.
    pub(super) fn new(events: mpsc::Sender<AuditEvent>, number: u16, incarnation: u64) -> Self {
        Self { events, number, incarnation, counter: None, next_report_at: 0, lost_events: 0 }
    }

    /// Sends an event to the fleet thread. The event is lost if the queue is full, because the engine must not wait.
    pub(super) fn send(&mut self, event: AuditEvent) {
        if self.events.try_send(event).is_err() {
            self.lost_events += 1;
        }
    }

    /// Counts activity under `version` from now on.
    pub(super) fn switch_version(&mut self, version: Version, now: TimeInterval) {
        let (number, incarnation) = (self.number, self.incarnation);
        let counter =
            self.counter.get_or_insert_with(|| ActivityCounter::new(number, incarnation, version, now));
        if let Some(entry) = counter.switch_version(version, now) {
            self.send(AuditEvent::Entry(entry));
        }
    }

    /// Reports the counts if a report is due and fleet time is known.
    pub(super) fn report_if_due(&mut self, now: Micros, fleet_time: Option<TimeInterval>) {
        let Some(fleet_time) = fleet_time else { return };
        if now < self.next_report_at {
            return;
        }
        self.next_report_at = now + REPORT_INTERVAL;
        if let Some(report) = self.counter.as_mut().map(|counter| counter.report(fleet_time)) {
            self.send(AuditEvent::Report(report));
        }
        let lost = std::mem::take(&mut self.lost_events);
        if lost > 0 {
            log::warn!("engine: the fleet thread is stalled: {lost} audit events are lost");
        }
    }

    /// Adds a topology change to the digest that is compared between balancers.
    pub(super) fn record_topology_change(&mut self, change: &[u8], accepted: bool) {
        if let Some(counter) = &mut self.counter {
            counter.record_topology_change(change, accepted);
        }
    }

    /// Counts a rejected request.
    pub(super) fn count_rejected(&mut self) {
        if let Some(counter) = &mut self.counter {
            counter.count(CountKind::Refused);
        }
    }

    /// Returns the version under which an attempt that starts now is counted.
    pub(super) fn current_version(&self, is_write: bool) -> Option<AuditedVersion> {
        let version = self.counter.as_ref()?.version();
        Some(AuditedVersion { version, is_write })
    }

    /// Counts an attempt that has ended.
    pub(super) fn count_attempt(&mut self, audited: AuditedVersion, at_origin: bool, outcome: Outcome) {
        if let (Some(counter), Some(kind)) =
            (&mut self.counter, count_kind(outcome, at_origin, audited.is_write))
        {
            counter.count_under(audited.version, kind);
        }
    }
}

/// Returns the kind under which an attempt is counted, or `None` if it was never sent or was cancelled by this
/// balancer.
fn count_kind(outcome: Outcome, at_origin: bool, is_write: bool) -> Option<CountKind> {
    let [ok, error, rejected, timeout, unreachable] = match (is_write, at_origin) {
        (true, _) => [
            CountKind::WriteOk,
            CountKind::WriteError,
            CountKind::WriteFull,
            CountKind::WriteTimeout,
            CountKind::WriteUnreachable,
        ],
        (false, true) => [
            CountKind::FetchOk,
            CountKind::FetchError,
            CountKind::FetchFull,
            CountKind::FetchTimeout,
            CountKind::FetchUnreachable,
        ],
        (false, false) => [
            CountKind::ReadOk,
            CountKind::ReadError,
            CountKind::ReadFull,
            CountKind::ReadTimeout,
            CountKind::ReadUnreachable,
        ],
    };
    match outcome {
        Outcome::Ok | Outcome::Miss => Some(ok),
        Outcome::Error | Outcome::Reset => Some(error),
        Outcome::Rejected => Some(rejected),
        Outcome::Timeout => Some(timeout),
        Outcome::ConnectFailed => Some(unreachable),
        Outcome::Cancelled | Outcome::NotSent => None,
    }
}
