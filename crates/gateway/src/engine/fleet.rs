//! This balancer as a member of the fleet: its lease, the gate that checks topology changes, and the audit of its
//! activity.

mod activity;

pub use activity::AuditedVersion;

use crate::fleet_link::{AuditEvent, ChangeCheckError, FleetLink, FleetUpdate};
use crate::topology_text::{change_kind_name, outcome_text};
use activity::ActivityAudit;
use audit::lease::{self, Lease};
use audit::version::Version;
use calendar::{
    Calendar, Change, ChangeKind, ChangeOutcome, ChangeRecord, GateContext, GateResult, LeaseState,
    ReleasePace, TopologyGate, Verdict,
};
use decide::api::{Micros, Outcome};
use proto::discovery::{EndpointList, EndpointRecord};
use std::sync::Arc;
use std::time::Duration;

/// The interval at which the engine checks whether the lease has ended and whether pending changes may be applied. In
/// addition, the lease is checked for each request.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// After a freeze, pending changes are applied in steps, so that only a few cold endpoints are added at a time.
const RELEASE_PACE: ReleasePace = ReleasePace { endpoints_per_step: 8, interval_ms: 1_000 };
/// The `host` in the record of a change that concerns the whole fleet.
const WHOLE_FLEET: &str = "*";

/// Whether the inputs of the gate, its calendar and lease state, have changed since the last poll. If so, pending
/// changes are checked again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GateInputs {
    Unchanged,
    Changed,
}

/// The result of a poll of the fleet state.
pub(super) struct FleetPoll {
    /// Requests are accepted until this time.
    pub(super) serve_until: Micros,
    /// Pending changes that the gate has released and that must be applied now.
    pub(super) released: Option<EndpointList>,
}

/// The state of this balancer in its fleet.
pub(super) struct FleetMember {
    link: FleetLink,
    lease: Option<Lease>,
    calendar: Arc<Calendar>,
    gate: TopologyGate,
    audit: ActivityAudit,
    /// The revision of the last list received.
    list_revision: u64,
    /// The lease state at the last poll that was not caused by a new calendar.
    last_lease_state: LeaseState,
    /// Whether requests were accepted at the last poll.
    was_serving: bool,
}

impl FleetMember {
    /// Creates a member without a lease. `known` contains the endpoints known before the start.
    pub(super) fn new(link: FleetLink, known: Option<Vec<EndpointRecord>>) -> Self {
        Self {
            lease: None,
            calendar: Arc::new(Calendar::new(0)),
            gate: TopologyGate::new(known, RELEASE_PACE),
            audit: ActivityAudit::new(link.audit_events.clone(), link.number, link.incarnation),
            list_revision: 0,
            last_lease_state: LeaseState::Fenced,
            was_serving: false,
            link,
        }
    }

    /// Waits for the next update from the fleet thread. Returns `None` once the fleet thread has ended.
    pub(super) async fn next_update(&mut self) -> Option<FleetUpdate> {
        self.link.updates.recv().await
    }

    /// Returns the time until which requests are accepted; 0 without a lease.
    pub(super) fn serve_until(&self, now: Micros) -> Micros {
        self.lease.as_ref().map_or(0, |lease| lease.serve_until(now))
    }

    /// Applies an update that the fleet has agreed on, and polls the fleet state.
    pub(super) fn apply_update(&mut self, now: Micros, update: FleetUpdate) -> FleetPoll {
        match update {
            FleetUpdate::Lease(lease) => {
                self.lease = Some(*lease);
                self.poll_with(now, GateInputs::Unchanged)
            }
            FleetUpdate::Calendar(calendar) => {
                self.calendar = calendar;
                self.poll_with(now, GateInputs::Changed)
            }
        }
    }

    /// Checks the lease, releases the pending changes that the gate allows now, and reports the activity.
    pub(super) fn poll(&mut self, now: Micros) -> FleetPoll {
        self.poll_with(now, GateInputs::Unchanged)
    }

    fn poll_with(&mut self, now: Micros, gate_inputs: GateInputs) -> FleetPoll {
        let serve_until = self.serve_until(now);
        self.log_serving(now < serve_until);
        let lease_state = self.gate_context(now).lease;
        let gate_inputs = match gate_inputs {
            GateInputs::Changed => GateInputs::Changed,
            GateInputs::Unchanged => self.record_lease_state(lease_state),
        };
        self.audit_current_version(now);
        let fleet_time = self.fleet_time(now);
        self.audit.report_if_due(now, fleet_time);
        FleetPoll { serve_until, released: self.release_pending(now, gate_inputs) }
    }

    fn record_lease_state(&mut self, state: LeaseState) -> GateInputs {
        match std::mem::replace(&mut self.last_lease_state, state) == state {
            true => GateInputs::Unchanged,
            false => GateInputs::Changed,
        }
    }

    fn log_serving(&mut self, serving: bool) {
        if std::mem::replace(&mut self.was_serving, serving) == serving {
            return;
        }
        if serving {
            log::info!("engine: the lease is held; accepting requests");
        } else {
            log::warn!("engine: fenced; rejecting new requests");
        }
    }

    /// Passes an endpoint list through the gate. Returns the list of what may be applied now.
    pub(super) fn filter_list(&mut self, now: Micros, list: &EndpointList) -> EndpointList {
        self.list_revision = list.revision;
        self.audit_current_version(now);
        let result = self.gate.apply_list(&self.gate_context(now), &self.calendar, list);
        self.record_result(result)
    }

    /// Checks whether a change that concerns the whole fleet may be made now, and records the change if it may.
    pub(super) fn check_change(&mut self, now: Micros, kind: ChangeKind) -> Result<(), ChangeCheckError> {
        let context = self.gate_context(now);
        match self.calendar.check(context.fleet_time, context.lease, &Change::of_fleet(kind)) {
            Verdict::Hold { reason, until } => Err(ChangeCheckError::Held { reason, until }),
            Verdict::Allow { revision, override_id } => {
                let outcome = override_id.map_or(ChangeOutcome::Applied, ChangeOutcome::Override);
                let list_revision = self.list_revision;
                self.record(ChangeRecord {
                    host: WHOLE_FLEET.into(),
                    kind,
                    list_revision,
                    outcome,
                    calendar_revision: revision,
                });
                Ok(())
            }
        }
    }

    /// Counts a rejected request.
    pub(super) fn count_rejected(&mut self) {
        self.audit.count_rejected();
    }

    /// Returns the version under which an attempt that starts now is counted.
    pub(super) fn audited_version(&self, is_write: bool) -> Option<AuditedVersion> {
        self.audit.current_version(is_write)
    }

    /// Counts an attempt that has ended.
    pub(super) fn count_attempt(&mut self, version: AuditedVersion, at_origin: bool, outcome: Outcome) {
        self.audit.count_attempt(version, at_origin, outcome);
    }

    fn fleet_time(&self, now: Micros) -> Option<lease::TimeInterval> {
        self.lease.as_ref().and_then(|lease| lease.fleet_time(now))
    }

    /// Returns the time and lease state for the gate. Computed for each change, because the lease may have expired
    /// while the process was suspended.
    fn gate_context(&self, now: Micros) -> GateContext {
        let lease = match self.lease.as_ref().map(|lease| lease.state(now).0) {
            Some(lease::LeaseState::Held) => LeaseState::Held,
            Some(lease::LeaseState::Orphaned) => LeaseState::Orphaned,
            Some(lease::LeaseState::Fenced) | None => LeaseState::Fenced,
        };
        let fleet_time = self.fleet_time(now).map(to_millis);
        GateContext { now: now / 1_000, fleet_time, lease }
    }

    /// Switches the audit to the version that is in force now.
    fn audit_current_version(&mut self, now: Micros) {
        let Some(fleet_time) = self.fleet_time(now) else { return };
        let version = Version {
            program: self.link.program,
            configuration: self.link.configuration,
            list_revision: self.list_revision,
            calendar: self.calendar.revision(),
            ..Version::default()
        };
        self.audit.switch_version(version, fleet_time);
    }

    /// Releases the pending changes that the gate allows now. Does nothing unless the next release step is due or the
    /// gate's inputs have changed.
    fn release_pending(&mut self, now: Micros, gate_inputs: GateInputs) -> Option<EndpointList> {
        let release_at = self.gate.next_release_at()?;
        if gate_inputs == GateInputs::Unchanged && release_at > now / 1_000 {
            return None;
        }
        let result = self.gate.release(&self.gate_context(now), &self.calendar)?;
        Some(self.record_result(result))
    }

    fn record_result(&mut self, result: GateResult) -> EndpointList {
        let is_initial = |record: &&ChangeRecord| record.outcome == ChangeOutcome::InitialList;
        let initial = result.records.iter().filter(is_initial).count();
        if initial > 0 {
            log::info!("topology: {initial} endpoints of the first list are applied unchecked");
        }
        for record in result.records {
            self.record(record);
        }
        result.list
    }

    fn record(&mut self, record: ChangeRecord) {
        let kind = change_kind_name(record.kind);
        let ChangeRecord { host, list_revision, outcome, calendar_revision, .. } = &record;
        if *outcome == ChangeOutcome::InitialList {
            log::debug!(
                "topology: {host} {kind} applied from the first list (calendar revision {calendar_revision})"
            );
        } else {
            log::info!(
                "topology: {host} {kind} {} (calendar revision {calendar_revision})",
                outcome_text(outcome)
            );
        }
        let accepted = !matches!(outcome, ChangeOutcome::Held { .. } | ChangeOutcome::QueueFull);
        let digest_input = format!("{host}\n{kind}\n{list_revision}");
        self.audit.record_topology_change(digest_input.as_bytes(), accepted);
        self.audit.send(AuditEvent::Record(record));
    }
}

/// Converts a fleet time interval to milliseconds. Rounds outwards, so that the result contains the original interval.
fn to_millis(time: lease::TimeInterval) -> calendar::TimeInterval {
    calendar::TimeInterval { earliest: time.earliest / 1_000, latest: time.latest.div_ceil(1_000) }
}
