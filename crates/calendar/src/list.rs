//! What of a member's new state is a fact, and what is by plan.

use crate::ChangeKind;
use proto::discovery::{EndpointRecord, Phase};

/// The weight that a member serves with.
pub(crate) fn weight(member: &EndpointRecord) -> f64 {
    if member.phase == Phase::Ready { member.size.max(0.0) } else { 0.0 }
}

fn moved(old: &EndpointRecord, new: &EndpointRecord) -> bool {
    (&old.locality, &old.flavor, old.cell) != (&new.locality, &new.flavor, new.cell)
}

/// The planned kinds that the new state needs leave for.
pub(crate) fn planned(old: Option<&EndpointRecord>, new: &EndpointRecord) -> Vec<ChangeKind> {
    let Some(old) = old else {
        return if new.phase == Phase::Ready { vec![ChangeKind::Join] } else { Vec::new() };
    };
    if new.phase != Phase::Ready {
        return Vec::new();
    }
    let more = old.phase != Phase::Ready || new.size > old.size;
    [(more, ChangeKind::More), (moved(old, new), ChangeKind::Zone)]
        .iter()
        .filter(|it| it.0)
        .map(|it| it.1)
        .collect()
}

/// The facts in the new state, that pass whatever is frozen.
pub(crate) fn facts(old: Option<&EndpointRecord>, new: &EndpointRecord) -> Option<ChangeKind> {
    let before = old.map(|it| it.phase);
    let left = if new.phase == Phase::Gone { ChangeKind::Gone } else { ChangeKind::Drain };
    let Some(old) = old else { return (new.phase != Phase::Ready).then_some(left) };
    match new.phase {
        Phase::Gone => Some(ChangeKind::Gone),
        Phase::Draining if before != Some(Phase::Draining) => Some(ChangeKind::Drain),
        _ if new.size < old.size => Some(ChangeKind::Less),
        _ if new.up_since_ms != old.up_since_ms => Some(ChangeKind::Cold),
        _ if new.host_port != old.host_port => Some(ChangeKind::Less),
        _ => None,
    }
}

/// The old state with the new one's facts.
pub(crate) fn with_facts(old: &EndpointRecord, new: &EndpointRecord) -> EndpointRecord {
    let phase = if new.phase == Phase::Ready { old.phase } else { new.phase };
    let size = old.size.min(new.size);
    EndpointRecord { host_port: new.host_port, up_since_ms: new.up_since_ms, phase, size, ..old.clone() }
}

/// The state with what one kind of change brings, at most so much weight of it.
pub(crate) fn with(
    old: Option<&EndpointRecord>, new: &EndpointRecord, kind: ChangeKind, size: f64,
) -> EndpointRecord {
    match (old, kind) {
        (None, _) => EndpointRecord { size, ..new.clone() },
        (Some(old), ChangeKind::More) => EndpointRecord { phase: new.phase, size, ..old.clone() },
        (Some(old), _) => EndpointRecord {
            locality: new.locality.clone(),
            flavor: new.flavor.clone(),
            cell: new.cell,
            ..old.clone()
        },
    }
}
