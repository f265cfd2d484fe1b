//! Tracks the last grants that peers report, and detects from them that the quorum group is lost.

use super::granter::GRANT_INTERVAL;
use super::settings::LeaseSettings;
use crate::{FleetMicros, Micros};
use std::collections::BTreeMap;

/// How far the last grants of two balancers may differ without a fault of either, beyond the request interval and one
/// lost request: one grant interval in which the leader batches requests, and another for the log entry to be
/// applied.
const GRANT_MARGIN: Micros = 2 * GRANT_INTERVAL;

/// A pause between two reports counts as time spent listening for at most [`LeaseSettings::report_ttl`] divided by
/// this, since a stopped process receives nothing.
const MAX_PAUSE_FRACTION: Micros = 4;

/// The last report of one peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Report {
    received_at: Micros,
    granted_at: Option<FleetMicros>,
}

/// The last grants that peers reported. Its size is bounded by the roster, since the caller passes no other numbers.
///
/// A working quorum group grants leases continuously, so the newest grant stamp known from the log or from reports
/// grows. The group is lost if enough peers report and that stamp *stalls* while this balancer listens: for
/// [`LeaseSettings::max_grant_gap`], or for a whole lease if a peer was granted a lease much later than this balancer
/// (in that case the requests of this balancer failed first) or if this balancer was never granted one. Stamps are
/// compared only with stamps, since fleet time may stand still for as long as a new leader's clock is behind. The
/// stall is measured while reports arrive, so neither the time in which this process is stopped nor reports queued in
/// its socket add to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PeerGrants {
    reports: BTreeMap<u16, Report>,
    last_report_at: Micros,
    /// How long reports have arrived without growth of the newest stamp.
    stalled_for: Micros,
    newest_reported: FleetMicros,
    /// Kept apart from reported stamps, so that a wrong report cannot hide that the log advances.
    newest_logged: FleetMicros,
}

impl PeerGrants {
    pub(super) fn new(now: Micros) -> Self {
        Self {
            reports: BTreeMap::new(),
            last_report_at: now,
            stalled_for: 0,
            newest_reported: 0,
            newest_logged: 0,
        }
    }

    /// Records the last grant that a peer reported.
    pub(super) fn record_report(
        &mut self, now: Micros, number: u16, granted_at: Option<FleetMicros>, report_ttl: Micros,
    ) {
        let pause = now.saturating_sub(self.last_report_at);
        self.stalled_for = self.stalled_for.saturating_add(pause.min(report_ttl / MAX_PAUSE_FRACTION));
        if pause >= report_ttl {
            self.stalled_for = 0;
            self.reports.clear();
        }
        self.last_report_at = self.last_report_at.max(now);
        if let Some(stamp) = granted_at
            && stamp > self.newest_reported.max(self.newest_logged)
        {
            self.newest_reported = stamp;
            self.stalled_for = 0;
        }
        self.reports.insert(number, Report { received_at: now, granted_at });
    }

    /// Records that the log contains grants with this stamp, to any balancer.
    pub(super) fn record_logged_grant(&mut self, stamp: FleetMicros) {
        if stamp > self.newest_logged {
            self.newest_logged = stamp;
            self.stalled_for = 0;
        }
    }

    /// The time until which the quorum group counts as lost according to the reports so far, for a balancer that was
    /// last granted a lease at `own_grant`. If the result is not after `now`, the group does not count as lost.
    pub(super) fn orphaned_until(
        &self, now: Micros, own_grant: Option<FleetMicros>, settings: &LeaseSettings,
    ) -> Micros {
        let margin = settings.request_interval.saturating_add(GRANT_MARGIN);
        let max_expected =
            own_grant.map(|stamp| stamp.saturating_add(settings.request_interval).saturating_add(margin));
        let mut needed = settings.max_grant_gap();
        let mut expiries = Vec::with_capacity(self.reports.len());
        for report in self.current(now, settings.report_ttl) {
            if max_expected.is_none() || report.granted_at > max_expected {
                needed = needed.max(settings.max_elapsed(settings.lease));
            }
            expiries.push(report.received_at.saturating_add(settings.report_ttl));
        }
        if self.stalled_for < needed {
            return 0;
        }
        expiries.sort_unstable_by(|a, b| b.cmp(a));
        expiries.get(usize::from(settings.orphan_quorum.max(1)) - 1).copied().unwrap_or(0)
    }

    /// When the next report expires, which may change the lease state without another report.
    pub(super) fn next_expiry(&self, now: Micros, report_ttl: Micros) -> Micros {
        let expiries =
            self.current(now, report_ttl).map(|report| report.received_at.saturating_add(report_ttl));
        expiries.min().unwrap_or(Micros::MAX)
    }

    fn current(&self, now: Micros, report_ttl: Micros) -> impl Iterator<Item = &Report> {
        self.reports.values().filter(move |report| now < report.received_at.saturating_add(report_ttl))
    }
}
