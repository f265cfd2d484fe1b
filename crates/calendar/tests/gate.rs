//! Which changes the gate applies and holds, and how it releases held changes.

mod support;

use calendar::*;
use proto::discovery::{EndpointList, EndpointRecord, Phase};
use support::*;

const PACE: ReleasePace = ReleasePace { endpoints_per_step: 2, interval_ms: 1_000 };
const BEFORE: &str = "2026-01-23T00:00Z";
const DURING: &str = "2026-01-25T00:00Z";
const AFTER: &str = "2026-02-02T00:00Z";

/// Returns a ready endpoint of the given weight in zone `a`.
fn endpoint(id: &str, size: f64) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        host_port: "10.0.0.1:6379".parse().unwrap(),
        locality: "a".into(),
        flavor: String::new(),
        cell: 0,
        phase: Phase::Ready,
        size,
        up_since_ms: 5,
    }
}
fn with_phase(phase: Phase, member: EndpointRecord) -> EndpointRecord {
    EndpointRecord { phase, ..member }
}
fn three_endpoints() -> Vec<EndpointRecord> {
    ["h1", "h2", "h3"].map(|it| endpoint(it, 1.0)).to_vec()
}
fn complete_list(members: Vec<EndpointRecord>) -> EndpointList {
    EndpointList { revision: 3, complete: true, members }
}
fn incremental_list(members: Vec<EndpointRecord>) -> EndpointList {
    EndpointList { revision: 4, complete: false, members }
}
/// Returns a context with a lease at a time on the owner's clock and an exactly known fleet time.
fn context(at: Millis, fleet_time: &str) -> GateContext {
    GateContext { now: at, fleet_time: exact_time(utc(fleet_time)), lease: LeaseState::Held }
}
/// Returns a calendar with a freeze of the whole fleet, which [`DURING`] is in.
fn calendar_with_frozen_week() -> Calendar {
    calendar(&[freeze("weeks", "2026-01-24T00:00", "2026-02-01T00:00", "UTC")])
}
fn gate_with_three_endpoints() -> TopologyGate {
    TopologyGate::new(Some(three_endpoints()), PACE)
}
/// Returns the accepted list as `host:weight`, with a `-` after an endpoint that is not ready.
fn listed_weights(result: &GateResult) -> String {
    let format_endpoint = |it: &EndpointRecord| {
        format!("{}:{}{}", it.id, it.size, if it.phase == Phase::Ready { "" } else { "-" })
    };
    result.list.members.iter().map(format_endpoint).collect::<Vec<_>>().join(" ")
}
fn recorded_outcome<'a>(result: &'a GateResult, host: &str) -> (ChangeKind, &'a ChangeOutcome) {
    let record =
        result.records.iter().find(|it| it.host == host).unwrap_or_else(|| panic!("{host}: {result:?}"));
    (record.kind, &record.outcome)
}

#[test]
fn freeze_applies_facts_and_losses_and_holds_planned_changes() {
    let (mut gate, calendar) = (gate_with_three_endpoints(), calendar_with_frozen_week());
    let moved = EndpointRecord { locality: "b".into(), up_since_ms: 9, ..endpoint("h2", 1.0) };
    let less = EndpointRecord { locality: "b".into(), ..endpoint("h3", 0.5) };
    let result = gate.apply_list(
        &context(1, DURING),
        &calendar,
        &complete_list(vec![endpoint("h1", 2.0), endpoint("h4", 4.0), moved, less]),
    );
    assert_eq!(listed_weights(&result), "h1:1.5 h2:1 h3:0.5", "h1 replaces what h3 lost");
    assert_eq!(recorded_outcome(&result, "h3"), (ChangeKind::WeightReduced, &ChangeOutcome::Applied));
    assert_eq!(recorded_outcome(&result, "h2"), (ChangeKind::Restarted, &ChangeOutcome::Applied));
    assert!(matches!(
        recorded_outcome(&result, "h4"),
        (ChangeKind::Join, ChangeOutcome::Held { reason: HoldReason::Freeze { .. }, .. })
    ));
    let zones: Vec<_> = gate.members().map(|it| (it.locality.as_str(), it.up_since_ms)).collect();
    assert_eq!(zones, [("a", 5), ("a", 9), ("a", 5)], "a restart is a fact, and a zone change is planned");
    assert!(result.records.iter().all(|it| it.calendar_revision == 1 && it.list_revision == 3));
    let pending: Vec<_> = gate.pending_changes().iter().map(|it| (it.0, it.1.kind)).collect();
    let expected = [
        ("h1", ChangeKind::WeightIncreased),
        ("h4", ChangeKind::Join),
        ("h2", ChangeKind::Zone),
        ("h3", ChangeKind::Zone),
    ];
    assert_eq!(pending, expected);
}

#[test]
fn endpoint_that_joins_and_leaves_while_held_is_never_listed() {
    let (mut gate, calendar) = (gate_with_three_endpoints(), calendar_with_frozen_week());
    assert_eq!(
        listed_weights(&gate.apply_list(
            &context(1, DURING),
            &calendar,
            &incremental_list(vec![endpoint("h4", 1.0)])
        )),
        ""
    );
    assert_eq!(gate.pending_changes().len(), 1);
    let drains = incremental_list(vec![with_phase(Phase::Draining, endpoint("h4", 1.0))]);
    assert_eq!(listed_weights(&gate.apply_list(&context(2, DURING), &calendar, &drains)), "");
    assert!(gate.pending_changes().is_empty());
    let list_with_draining = complete_list([three_endpoints(), drains.members].concat());
    assert_eq!(
        listed_weights(&gate.apply_list(&context(2, DURING), &calendar, &list_with_draining)),
        "h1:1 h2:1 h3:1"
    );
    assert_eq!(
        listed_weights(&gate.clone().apply_list(&context(2, AFTER), &calendar, &list_with_draining)),
        "h1:1 h2:1 h3:1 h4:1-"
    );
    gate.apply_list(&context(3, DURING), &calendar, &incremental_list(vec![endpoint("h5", 1.0)]));
    gate.apply_list(&context(4, DURING), &calendar, &complete_list(three_endpoints()));
    assert!(gate.pending_changes().is_empty());
    assert_eq!(gate.release(&context(5, AFTER), &calendar), None);
}

#[test]
fn held_changes_are_released_in_steps_in_order_and_newest_state() {
    let (mut gate, calendar) = (gate_with_three_endpoints(), calendar_with_frozen_week());
    let joins = |size| (4..9).map(|n| endpoint(&format!("h{n}"), size)).collect::<Vec<_>>();
    gate.apply_list(&context(1, DURING), &calendar, &incremental_list(joins(1.0)));
    let again = gate.apply_list(&context(2, DURING), &calendar, &incremental_list(joins(2.0)));
    assert_eq!((listed_weights(&again).as_str(), gate.pending_changes().get("h4").unwrap().since), ("", 1));
    assert_eq!(gate.release(&context(10, DURING), &calendar), None);
    assert_eq!(
        gate.next_release_at(),
        Some(1_010),
        "a review that releases nothing must not be repeated at once"
    );
    let joined_after_freeze =
        gate.apply_list(&context(1_500, AFTER), &calendar, &incremental_list(vec![endpoint("h0", 1.0)]));
    let queued = ChangeOutcome::Held { reason: HoldReason::Queued, until: None };
    assert_eq!(recorded_outcome(&joined_after_freeze, "h0"), (ChangeKind::Join, &queued));
    assert_eq!(listed_weights(&gate.release(&context(2_000, AFTER), &calendar).unwrap()), "h4:2 h5:2");
    assert_eq!(gate.release(&context(2_999, AFTER), &calendar), None);
    let loss = gate.apply_list(
        &context(2_999, AFTER),
        &calendar,
        &incremental_list(vec![with_phase(Phase::Gone, endpoint("h1", 1.0))]),
    );
    assert_eq!(listed_weights(&loss), "h1:1-", "a loss applies at once");
    assert_eq!(listed_weights(&gate.release(&context(3_000, AFTER), &calendar).unwrap()), "h6:2 h7:2");
    assert_eq!(listed_weights(&gate.release(&context(4_000, AFTER), &calendar).unwrap()), "h8:2 h0:1");
    assert_eq!(gate.next_release_at(), None);
    let next =
        gate.apply_list(&context(4_001, AFTER), &calendar, &incremental_list(vec![endpoint("h9", 1.0)]));
    assert_eq!(recorded_outcome(&next, "h9"), (ChangeKind::Join, &ChangeOutcome::Applied));
}

#[test]
fn loss_during_a_freeze_is_replaced_up_to_its_initial_capacity() {
    let (mut gate, calendar) = (gate_with_three_endpoints(), calendar_with_frozen_week());
    gate.apply_list(
        &context(1, BEFORE),
        &calendar,
        &incremental_list(vec![endpoint("h4", 1.0), with_phase(Phase::Draining, endpoint("h3", 1.0))]),
    );
    let returned = incremental_list(vec![endpoint("h3", 1.0)]);
    assert_eq!(
        listed_weights(&gate.apply_list(&context(2, DURING), &calendar, &returned)),
        "",
        "an endpoint that drained before the freeze is not a loss during it"
    );
    let replacements = vec![
        endpoint("h5", 0.75),
        endpoint("h6", 1.5),
        with_phase(Phase::Gone, endpoint("h1", 1.0)),
        endpoint("h7", 1.0),
    ];
    let result = gate.apply_list(&context(3, DURING), &calendar, &incremental_list(replacements));
    assert_eq!(
        listed_weights(&result),
        "h1:1- h5:0.75 h6:0.25",
        "the loss is listed first, and replacements get no more weight than was lost"
    );
    assert_eq!(recorded_outcome(&result, "h5"), (ChangeKind::Join, &ChangeOutcome::Replacement));
    let weight: f64 = gate.members().filter(|it| it.phase == Phase::Ready).map(|it| it.size).sum();
    assert!((weight - 3.0).abs() < 1e-6, "{weight}");
    gate.mark_down("h2");
    assert_eq!(
        listed_weights(&gate.release(&context(5_000, DURING), &calendar).unwrap()),
        "h3:1",
        "the change that was held first is released first"
    );
    gate.mark_up("h2");
    gate.mark_down("h2");
    gate.mark_down("h2");
    assert_eq!(gate.release(&context(9_000, DURING), &calendar), None, "the same loss is not replaced twice");
}

#[test]
fn capacity_is_tracked_in_the_scope_of_each_freeze() {
    let zone = |it: &str| Scope { kinds: vec![], place: ScopeTarget::Zones(vec![it.into()]) };
    let it = freeze("a", "2026-01-24T00:00", "2026-02-01T00:00", "UTC");
    let calendar = calendar(&[
        Freeze { scope: zone("a"), ..it.clone() },
        Freeze { id: "b".into(), scope: zone("b"), ..it },
    ]);
    let mut capacity = AvailableCapacity::default();
    capacity.set_weight("h1", "a", 2.0);
    capacity.set_weight("h2", "b", 2.0);
    capacity.update_freezes(&calendar, exact_time(utc(DURING)).unwrap());
    capacity.set_weight("h1", "a", 0.0);
    assert_eq!(capacity.replacement(&Change::of_host(ChangeKind::Join, "h3", "a"), 2.0), Some(2.0));
    assert_eq!(capacity.replacement(&Change::of_host(ChangeKind::Join, "h3", "b"), 1.0), None);
    assert_eq!(capacity.replacement(&Change::of_host(ChangeKind::Join, "h3", "c"), 1.0), None);
    capacity.update_freezes(&calendar, exact_time(utc(AFTER)).unwrap());
    assert_eq!(
        capacity.replacement(&Change::of_host(ChangeKind::Join, "h3", "a"), 1.0),
        None,
        "the freeze is not tracked after its end"
    );
}

#[test]
fn gate_without_known_list_accepts_first_and_holds_later_joins() {
    let (mut gate, calendar) = (TopologyGate::new(None, PACE), calendar_with_frozen_week());
    let fenced = GateContext { fleet_time: None, lease: LeaseState::Fenced, ..context(1, DURING) };
    let first = gate.apply_list(&fenced, &calendar, &complete_list(three_endpoints()));
    assert_eq!(first.list, complete_list(three_endpoints()));
    assert!(
        first.records.len() == 3 && first.records.iter().all(|it| it.outcome == ChangeOutcome::InitialList)
    );
    let next = gate.apply_list(&context(2, DURING), &calendar, &incremental_list(vec![endpoint("h4", 1.0)]));
    assert!(matches!(recorded_outcome(&next, "h4"), (ChangeKind::Join, ChangeOutcome::Held { .. })));
    let with_known_list = gate_with_three_endpoints().apply_list(
        &context(1, DURING),
        &calendar,
        &complete_list(vec![endpoint("h1", 1.0), endpoint("h4", 1.0)]),
    );
    assert_eq!(
        listed_weights(&with_known_list),
        "h1:1 h4:1",
        "h4 replaces the endpoints that left the known list"
    );
    assert_eq!(recorded_outcome(&with_known_list, "h4"), (ChangeKind::Join, &ChangeOutcome::Replacement));
}

#[test]
fn planned_changes_need_a_lease_unless_there_is_no_fleet() {
    let calendar = Calendar::new(ACTIVATION_DELAY);
    let list = incremental_list(vec![endpoint("h4", 1.0), with_phase(Phase::Gone, endpoint("h1", 1.0))]);
    for lease in [LeaseState::Fenced, LeaseState::Orphaned] {
        let mut gate = gate_with_three_endpoints();
        let result = gate.apply_list(&GateContext { lease, ..context(1, DURING) }, &calendar, &list);
        assert_eq!(listed_weights(&result), "h1:1-");
        assert_eq!(
            recorded_outcome(&result, "h4").1,
            &ChangeOutcome::Held { reason: HoldReason::NoLease, until: None }
        );
        assert_eq!(listed_weights(&gate.release(&context(2_000, DURING), &calendar).unwrap()), "h4:1");
    }
    let without_fleet = GateContext { now: 1, fleet_time: None, lease: LeaseState::NoFleet };
    let list = complete_list(vec![
        endpoint("h9", 3.0),
        EndpointRecord { locality: "b".into(), ..endpoint("h1", 7.0) },
    ]);
    assert_eq!(gate_with_three_endpoints().apply_list(&without_fleet, &calendar, &list).list, list);
}

#[test]
fn override_releases_a_held_endpoint() {
    let (mut gate, mut calendar) = (gate_with_three_endpoints(), calendar_with_frozen_week());
    gate.apply_list(
        &context(1, DURING),
        &calendar,
        &incremental_list(vec![endpoint("h4", 1.0), endpoint("h5", 1.0)]),
    );
    let place = ScopeTarget::Group { name: "new".into(), hosts: vec!["h5".into()] };
    calendar.apply(
        2,
        utc(DURING),
        &override_proposal("rack", "2026-01-27T00:00", Scope { kinds: vec![], place }),
    );
    let result = gate.release(&context(2, DURING), &calendar).unwrap();
    assert_eq!(listed_weights(&result), "h5:1");
    assert_eq!(recorded_outcome(&result, "h5").1, &ChangeOutcome::Override("rack".into()));
    assert_eq!((result.records[0].calendar_revision, gate.pending_changes().len()), (2, 1));
}

#[test]
fn queue_of_held_changes_is_bounded() {
    let mut queue = PendingChanges::new(PACE);
    let change = |state| PendingChange {
        reason: HoldReason::NoLease,
        kind: ChangeKind::Configuration,
        since: 0,
        state,
        until: None,
    };
    for n in 0..MAX_PENDING_CHANGES {
        assert_eq!(queue.hold(&n.to_string(), change(n)), Ok(true));
    }
    assert!(queue.hold("one more", change(0)).is_err());
    assert_eq!((queue.hold("0", change(0)), queue.hold("0", change(7))), (Ok(false), Ok(true)));
    assert_eq!(
        queue
            .release_due(5, |subject, _| subject != "1")
            .iter()
            .map(|it| it.change.state)
            .collect::<Vec<_>>(),
        [7, 2]
    );
}
