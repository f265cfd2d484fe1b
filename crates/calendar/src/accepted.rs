//! The accepted endpoints, and the check of an endpoint's planned changes.

use crate::list_delta::{planned_changes, serving_weight, with_planned};
use crate::records::{ChangeOutcome, ChangeRecord, GateContext};
use crate::{AvailableCapacity, Calendar, Change, ChangeKind, HoldReason, Verdict};
use hashlink::LinkedHashMap;
use proto::discovery::{EndpointRecord, Phase};

/// Maximum number of accepted endpoints: several times the longest list.
pub const MAX_ACCEPTED_ENDPOINTS: usize = 65_536;

/// The calendar and the context that a change is checked against.
#[derive(Clone, Copy)]
pub(crate) struct CheckInput<'a> {
    pub(crate) context: &'a GateContext,
    pub(crate) calendar: &'a Calendar,
}

/// Whether a new change must queue behind held changes that are being released in steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Queueing {
    /// No queued change could be applied now, so new changes may be applied at once.
    NotNeeded,
    /// Queued changes are being released, so new changes queue behind them.
    Required,
}

/// The approval of a change that may be applied now.
struct Approval {
    /// The granted weight.
    size: f64,
    outcome: ChangeOutcome,
}

/// A planned change that was not applied.
pub(crate) struct HeldChange {
    pub(crate) kind: ChangeKind,
    pub(crate) outcome: ChangeOutcome,
}

/// The result of applying the planned changes of one endpoint.
#[derive(Default)]
pub(crate) struct PlannedResult {
    /// Whether any planned change was applied.
    pub(crate) applied: bool,
    /// The first planned change that was not applied.
    pub(crate) held: Option<HeldChange>,
}

impl PlannedResult {
    fn hold(&mut self, kind: ChangeKind, outcome: ChangeOutcome) {
        self.held.get_or_insert(HeldChange { kind, outcome });
    }
}

/// The accepted endpoints, and the state for checking their changes.
#[derive(Debug, Clone, Default)]
pub(crate) struct AcceptedEndpoints {
    pub(crate) members: LinkedHashMap<String, EndpointRecord>,
    pub(crate) capacity: AvailableCapacity,
    pub(crate) records: Vec<ChangeRecord>,
    /// The revision of the endpoint list that is being applied.
    pub(crate) list_revision: u64,
}

impl AcceptedEndpoints {
    /// Replaces the accepted state of an endpoint.
    pub(crate) fn insert(&mut self, member: EndpointRecord) {
        self.capacity.set_weight(&member.id, &member.locality, serving_weight(&member));
        if member.phase == Phase::Gone {
            self.members.remove(&member.id);
            return;
        }
        // Replaced in place, because an insert would move the endpoint to the end of the map.
        match self.members.get_mut(&member.id) {
            Some(known) => *known = member,
            None => drop(self.members.insert(member.id.clone(), member)),
        }
    }

    /// Records the outcome of a change.
    pub(crate) fn record(
        &mut self, calendar: &Calendar, host: &str, kind: ChangeKind, outcome: ChangeOutcome,
    ) {
        let (list_revision, calendar_revision) = (self.list_revision, calendar.revision());
        self.records.push(ChangeRecord {
            host: host.to_owned(),
            kind,
            list_revision,
            outcome,
            calendar_revision,
        });
    }

    /// Returns whether a change would be applied now.
    pub(crate) fn is_allowed(&self, input: CheckInput<'_>, new: &EndpointRecord, kind: ChangeKind) -> bool {
        self.check(input, new, kind).is_ok()
    }

    /// Checks one change of an endpoint against the calendar. A change that a freeze covers is approved as far as it
    /// replaces weight lost during the freeze.
    fn check(
        &self, input: CheckInput<'_>, new: &EndpointRecord, kind: ChangeKind,
    ) -> Result<Approval, ChangeOutcome> {
        let old = self.members.get(&new.id);
        let old_zone = old.map(|it| it.locality.as_str());
        let left_zone = old_zone.filter(|zone| *zone != new.locality && kind == ChangeKind::Zone);
        // Additional weight counts for the zone in which the endpoint is accepted. A change of zone affects both zones.
        let zone = old_zone.filter(|_| kind == ChangeKind::WeightIncreased).unwrap_or(&new.locality);
        let change = Change { kind, host: Some(&new.id), zones: [Some(zone), left_zone] };
        let GateContext { fleet_time, lease, .. } = *input.context;
        let (reason, until) = match input.calendar.check(fleet_time, lease, &change) {
            Verdict::Allow { override_id, .. } => {
                let outcome = override_id.map_or(ChangeOutcome::Applied, ChangeOutcome::Override);
                return Ok(Approval { size: new.size, outcome });
            }
            Verdict::Hold { reason, until } => (reason, until),
        };
        let replaceable = matches!(kind, ChangeKind::Join | ChangeKind::WeightIncreased)
            && matches!(reason, HoldReason::Freeze { .. });
        let current = old.map_or(0.0, serving_weight);
        let replacement =
            replaceable.then(|| self.capacity.replacement(&change, serving_weight(new) - current)).flatten();
        match replacement {
            Some(more) => Ok(Approval { size: current + more, outcome: ChangeOutcome::Replacement }),
            None => Err(ChangeOutcome::Held { reason, until }),
        }
    }

    /// Applies the planned changes in an endpoint's new state, as far as they may be applied now.
    pub(crate) fn apply_planned(
        &mut self, input: CheckInput<'_>, new: &EndpointRecord, queueing: Queueing,
    ) -> PlannedResult {
        let mut result = PlannedResult::default();
        for kind in planned_changes(self.members.get(&new.id), new) {
            match self.check(input, new, kind) {
                Ok(Approval { outcome: ChangeOutcome::Applied, .. }) if queueing == Queueing::Required => {
                    result.hold(kind, ChangeOutcome::Held { reason: HoldReason::Queued, until: None });
                }
                Ok(_) if kind == ChangeKind::Join && self.members.len() >= MAX_ACCEPTED_ENDPOINTS => {
                    result.hold(kind, ChangeOutcome::QueueFull);
                }
                Ok(Approval { size, outcome }) => {
                    self.insert(with_planned(self.members.get(&new.id), new, kind, size));
                    self.record(input.calendar, &new.id, kind, outcome);
                    result.applied = true;
                    if size < new.size
                        && let Err(rest) = self.check(input, new, ChangeKind::WeightIncreased)
                    {
                        result.hold(ChangeKind::WeightIncreased, rest);
                    }
                }
                Err(outcome) => result.hold(kind, outcome),
            }
        }
        result
    }
}
