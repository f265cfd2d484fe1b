//! The difference between an endpoint's accepted and listed state, split into facts and planned changes.

use crate::ChangeKind;
use proto::discovery::{EndpointRecord, Phase};

/// Returns the weight that an endpoint serves with: 0 unless it is ready.
pub(crate) fn serving_weight(member: &EndpointRecord) -> f64 {
    if member.phase == Phase::Ready { member.size.max(0.0) } else { 0.0 }
}

fn placement_differs(old: &EndpointRecord, new: &EndpointRecord) -> bool {
    (&old.locality, &old.flavor, old.cell) != (&new.locality, &new.flavor, new.cell)
}

/// Returns the planned changes from `old` to `new`, which a freeze may hold.
pub(crate) fn planned_changes(old: Option<&EndpointRecord>, new: &EndpointRecord) -> Vec<ChangeKind> {
    if new.phase != Phase::Ready {
        return Vec::new();
    }
    let Some(old) = old else { return vec![ChangeKind::Join] };
    let mut kinds = Vec::new();
    if old.phase != Phase::Ready || new.size > old.size {
        kinds.push(ChangeKind::WeightIncreased);
    }
    if placement_differs(old, new) {
        kinds.push(ChangeKind::Zone);
    }
    kinds
}

/// Returns the fact in the change from `old` to `new`, if any. No freeze holds a fact.
pub(crate) fn factual_change(old: Option<&EndpointRecord>, new: &EndpointRecord) -> Option<ChangeKind> {
    let Some(old) = old else {
        return match new.phase {
            Phase::Ready => None,
            Phase::Gone => Some(ChangeKind::Gone),
            Phase::Draining => Some(ChangeKind::Drain),
        };
    };
    match new.phase {
        Phase::Gone => Some(ChangeKind::Gone),
        Phase::Draining if old.phase != Phase::Draining => Some(ChangeKind::Drain),
        _ if new.size < old.size => Some(ChangeKind::WeightReduced),
        _ if new.up_since_ms != old.up_since_ms => Some(ChangeKind::Restarted),
        _ if new.host_port != old.host_port => Some(ChangeKind::WeightReduced),
        _ => None,
    }
}

/// Returns `old` with the facts of `new` applied.
pub(crate) fn with_facts(old: &EndpointRecord, new: &EndpointRecord) -> EndpointRecord {
    let phase = if new.phase == Phase::Ready { old.phase } else { new.phase };
    let size = old.size.min(new.size);
    EndpointRecord { host_port: new.host_port, up_since_ms: new.up_since_ms, phase, size, ..old.clone() }
}

/// Returns `old` with one planned change of `new` applied. A join or an increase of weight is applied at `size`.
pub(crate) fn with_planned(
    old: Option<&EndpointRecord>, new: &EndpointRecord, kind: ChangeKind, size: f64,
) -> EndpointRecord {
    match (old, kind) {
        (None, _) => EndpointRecord { size, ..new.clone() },
        (Some(old), ChangeKind::WeightIncreased) => EndpointRecord { phase: new.phase, size, ..old.clone() },
        (Some(old), _) => EndpointRecord {
            locality: new.locality.clone(),
            flavor: new.flavor.clone(),
            cell: new.cell,
            ..old.clone()
        },
    }
}
