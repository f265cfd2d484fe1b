//! Which changes the gate applies and holds, and how it releases held changes.

mod support;

use calendar::*;
use proto::discovery::{EndpointList, EndpointRecord, Phase};
use support::*;

const PACE: ReleasePace = ReleasePace { hosts: 2, pause: 1_000 };
const BEFORE: &str = "2026-01-23T00:00Z";
const DURING: &str = "2026-01-25T00:00Z";
const AFTER: &str = "2026-02-02T00:00Z";

fn host(id: &str, size: f64) -> EndpointRecord {
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
fn phase(phase: Phase, member: EndpointRecord) -> EndpointRecord {
    EndpointRecord { phase, ..member }
}
fn three_hosts() -> Vec<EndpointRecord> {
    ["h1", "h2", "h3"].map(|it| host(it, 1.0)).to_vec()
}
fn complete(members: Vec<EndpointRecord>) -> EndpointList {
    EndpointList { revision: 3, complete: true, members }
}
fn changes(members: Vec<EndpointRecord>) -> EndpointList {
    EndpointList { revision: 4, complete: false, members }
}
fn now(at: Millis, fleet_time: &str) -> GateContext {
    GateContext { now: at, fleet_time: instant(utc(fleet_time)), lease: LeaseState::Held }
}
fn frozen_week() -> Calendar {
    calendar(&[freeze("weeks", "2026-01-24T00:00", "2026-02-01T00:00", "UTC")])
}
fn gate() -> TopologyGate {
    TopologyGate::new(Some(three_hosts()), PACE)
}
/// Returns the accepted list as `host:weight`, with a `-` after an endpoint that is not ready.
fn listed_weights(result: &GateResult) -> String {
    let one = |it: &EndpointRecord| {
        format!("{}:{}{}", it.id, it.size, if it.phase == Phase::Ready { "" } else { "-" })
    };
    result.list.members.iter().map(one).collect::<Vec<_>>().join(" ")
}
fn outcome<'a>(result: &'a GateResult, host: &str) -> (ChangeKind, &'a ChangeOutcome) {
    let record =
        result.records.iter().find(|it| it.host == host).unwrap_or_else(|| panic!("{host}: {result:?}"));
    (record.kind, &record.outcome)
}

#[test]
fn freeze_applies_facts_and_losses_and_holds_planned_changes() {
    let (mut gate, calendar) = (gate(), frozen_week());
    let moved = EndpointRecord { locality: "b".into(), up_since_ms: 9, ..host("h2", 1.0) };
    let less = EndpointRecord { locality: "b".into(), ..host("h3", 0.5) };
    let result = gate.apply_list(
        &now(1, DURING),
        &calendar,
        &complete(vec![host("h1", 2.0), host("h4", 4.0), moved, less]),
    );
    assert_eq!(listed_weights(&result), "h1:1.5 h2:1 h3:0.5", "h1 replaces what h3 lost");
    assert_eq!(outcome(&result, "h3"), (ChangeKind::Less, &ChangeOutcome::Applied));
    assert_eq!(outcome(&result, "h2"), (ChangeKind::Cold, &ChangeOutcome::Applied));
    assert!(matches!(
        outcome(&result, "h4"),
        (ChangeKind::Join, ChangeOutcome::Held { reason: HoldReason::Freeze { .. }, .. })
    ));
    let zones: Vec<_> = gate.members().map(|it| (it.locality.as_str(), it.up_since_ms)).collect();
    assert_eq!(zones, [("a", 5), ("a", 9), ("a", 5)], "a restart is a fact, and a zone change is planned");
    assert!(result.records.iter().all(|it| it.revision == 1 && it.list == 3));
    let waits: Vec<_> = gate.held_changes().iter().map(|it| (it.0, it.1.kind)).collect();
    let wanted = [
        ("h1", ChangeKind::More),
        ("h4", ChangeKind::Join),
        ("h2", ChangeKind::Zone),
        ("h3", ChangeKind::Zone),
    ];
    assert_eq!(waits, wanted);
}

#[test]
fn endpoint_that_joins_and_leaves_while_held_is_never_listed() {
    let (mut gate, calendar) = (gate(), frozen_week());
    assert_eq!(
        listed_weights(&gate.apply_list(&now(1, DURING), &calendar, &changes(vec![host("h4", 1.0)]))),
        ""
    );
    assert_eq!(gate.held_changes().len(), 1);
    let drains = changes(vec![phase(Phase::Draining, host("h4", 1.0))]);
    assert_eq!(listed_weights(&gate.apply_list(&now(2, DURING), &calendar, &drains)), "");
    assert!(gate.held_changes().is_empty());
    let complete_list = complete([three_hosts(), drains.members].concat());
    assert_eq!(
        listed_weights(&gate.apply_list(&now(2, DURING), &calendar, &complete_list)),
        "h1:1 h2:1 h3:1"
    );
    assert_eq!(
        listed_weights(&gate.clone().apply_list(&now(2, AFTER), &calendar, &complete_list)),
        "h1:1 h2:1 h3:1 h4:1-"
    );
    gate.apply_list(&now(3, DURING), &calendar, &changes(vec![host("h5", 1.0)]));
    gate.apply_list(&now(4, DURING), &calendar, &complete(three_hosts()));
    assert!(gate.held_changes().is_empty());
    assert_eq!(gate.release(&now(5, AFTER), &calendar), None);
}

#[test]
fn held_changes_are_released_in_steps_in_their_newest_state_and_in_order() {
    let (mut gate, calendar) = (gate(), frozen_week());
    let joins = |size| (4..9).map(|n| host(&format!("h{n}"), size)).collect::<Vec<_>>();
    gate.apply_list(&now(1, DURING), &calendar, &changes(joins(1.0)));
    let again = gate.apply_list(&now(2, DURING), &calendar, &changes(joins(2.0)));
    assert_eq!((listed_weights(&again).as_str(), gate.held_changes().get("h4").unwrap().since), ("", 1));
    assert_eq!(gate.release(&now(10, DURING), &calendar), None);
    assert_eq!(
        gate.next_release_at(),
        Some(1_010),
        "a review that releases nothing must not be repeated at once"
    );
    let late = gate.apply_list(&now(1_500, AFTER), &calendar, &changes(vec![host("h0", 1.0)]));
    let queued = ChangeOutcome::Held { reason: HoldReason::Queued, until: None };
    assert_eq!(outcome(&late, "h0"), (ChangeKind::Join, &queued));
    assert_eq!(listed_weights(&gate.release(&now(2_000, AFTER), &calendar).unwrap()), "h4:2 h5:2");
    assert_eq!(gate.release(&now(2_999, AFTER), &calendar), None);
    let loss =
        gate.apply_list(&now(2_999, AFTER), &calendar, &changes(vec![phase(Phase::Gone, host("h1", 1.0))]));
    assert_eq!(listed_weights(&loss), "h1:1-", "a loss applies at once");
    assert_eq!(listed_weights(&gate.release(&now(3_000, AFTER), &calendar).unwrap()), "h6:2 h7:2");
    assert_eq!(listed_weights(&gate.release(&now(4_000, AFTER), &calendar).unwrap()), "h8:2 h0:1");
    assert_eq!(gate.next_release_at(), None);
    let next = gate.apply_list(&now(4_001, AFTER), &calendar, &changes(vec![host("h9", 1.0)]));
    assert_eq!(outcome(&next, "h9"), (ChangeKind::Join, &ChangeOutcome::Applied));
}

#[test]
fn loss_during_a_freeze_is_replaced_up_to_the_capacity_at_its_start() {
    let (mut gate, calendar) = (gate(), frozen_week());
    gate.apply_list(
        &now(1, BEFORE),
        &calendar,
        &changes(vec![host("h4", 1.0), phase(Phase::Draining, host("h3", 1.0))]),
    );
    let back = changes(vec![host("h3", 1.0)]);
    assert_eq!(
        listed_weights(&gate.apply_list(&now(2, DURING), &calendar, &back)),
        "",
        "an endpoint that drained before the freeze is not a loss during it"
    );
    let replacements =
        vec![host("h5", 0.75), host("h6", 1.5), phase(Phase::Gone, host("h1", 1.0)), host("h7", 1.0)];
    let result = gate.apply_list(&now(3, DURING), &calendar, &changes(replacements));
    assert_eq!(
        listed_weights(&result),
        "h1:1- h5:0.75 h6:0.25",
        "the loss is listed first, and replacements get no more weight than was lost"
    );
    assert_eq!(outcome(&result, "h5"), (ChangeKind::Join, &ChangeOutcome::Replacement));
    let weight: f64 = gate.members().filter(|it| it.phase == Phase::Ready).map(|it| it.size).sum();
    assert!((weight - 3.0).abs() < 1e-6, "{weight}");
    gate.mark_down("h2");
    assert_eq!(
        listed_weights(&gate.release(&now(5_000, DURING), &calendar).unwrap()),
        "h3:1",
        "the change that was held first is released first"
    );
    gate.mark_up("h2");
    gate.mark_down("h2");
    gate.mark_down("h2");
    assert_eq!(gate.release(&now(9_000, DURING), &calendar), None, "the same loss is not replaced twice");
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
    capacity.update_freezes(&calendar, instant(utc(DURING)).unwrap());
    capacity.set_weight("h1", "a", 0.0);
    assert_eq!(capacity.replacement(&Change::of_host(ChangeKind::Join, "h3", "a"), 2.0), Some(2.0));
    assert_eq!(capacity.replacement(&Change::of_host(ChangeKind::Join, "h3", "b"), 1.0), None);
    assert_eq!(capacity.replacement(&Change::of_host(ChangeKind::Join, "h3", "c"), 1.0), None);
    capacity.update_freezes(&calendar, instant(utc(AFTER)).unwrap());
    assert_eq!(
        capacity.replacement(&Change::of_host(ChangeKind::Join, "h3", "a"), 1.0),
        None,
        "the freeze is not tracked after its end"
    );
}

#[test]
fn process_without_a_known_list_accepts_its_first_list_and_holds_later_joins() {
    let (mut gate, calendar) = (TopologyGate::new(None, PACE), frozen_week());
    let fenced = GateContext { fleet_time: None, lease: LeaseState::Fenced, ..now(1, DURING) };
    let first = gate.apply_list(&fenced, &calendar, &complete(three_hosts()));
    assert_eq!(first.list, complete(three_hosts()));
    assert!(
        first.records.len() == 3 && first.records.iter().all(|it| it.outcome == ChangeOutcome::InitialList)
    );
    let next = gate.apply_list(&now(2, DURING), &calendar, &changes(vec![host("h4", 1.0)]));
    assert!(matches!(outcome(&next, "h4"), (ChangeKind::Join, ChangeOutcome::Held { .. })));
    let beyond = self::gate().apply_list(
        &now(1, DURING),
        &calendar,
        &complete(vec![host("h1", 1.0), host("h4", 1.0)]),
    );
    assert_eq!(listed_weights(&beyond), "h1:1 h4:1", "h4 replaces the endpoints that left the known list");
    assert_eq!(outcome(&beyond, "h4"), (ChangeKind::Join, &ChangeOutcome::Replacement));
}

#[test]
fn planned_changes_are_held_without_a_lease_and_applied_without_a_fleet() {
    let calendar = Calendar::new(BINDING);
    let list = changes(vec![host("h4", 1.0), phase(Phase::Gone, host("h1", 1.0))]);
    for lease in [LeaseState::Fenced, LeaseState::Orphaned] {
        let mut gate = gate();
        let result = gate.apply_list(&GateContext { lease, ..now(1, DURING) }, &calendar, &list);
        assert_eq!(listed_weights(&result), "h1:1-");
        assert_eq!(
            outcome(&result, "h4").1,
            &ChangeOutcome::Held { reason: HoldReason::NoLease, until: None }
        );
        assert_eq!(listed_weights(&gate.release(&now(2_000, DURING), &calendar).unwrap()), "h4:1");
    }
    let alone = GateContext { now: 1, fleet_time: None, lease: LeaseState::NoFleet };
    let list = complete(vec![host("h9", 3.0), EndpointRecord { locality: "b".into(), ..host("h1", 7.0) }]);
    assert_eq!(gate().apply_list(&alone, &calendar, &list).list, list);
}

#[test]
fn override_releases_a_held_endpoint() {
    let (mut gate, mut calendar) = (gate(), frozen_week());
    gate.apply_list(&now(1, DURING), &calendar, &changes(vec![host("h4", 1.0), host("h5", 1.0)]));
    let place = ScopeTarget::Group { name: "new".into(), hosts: vec!["h5".into()] };
    calendar.apply(2, utc(DURING), &leave("rack", "2026-01-27T00:00", Scope { kinds: vec![], place }));
    let result = gate.release(&now(2, DURING), &calendar).unwrap();
    assert_eq!(listed_weights(&result), "h5:1");
    assert_eq!(outcome(&result, "h5").1, &ChangeOutcome::Override("rack".into()));
    assert_eq!((result.records[0].revision, gate.held_changes().len()), (2, 1));
}

#[test]
fn queue_of_held_changes_is_bounded() {
    let mut queue = PendingChanges::new(PACE);
    let one = |state| PendingChange {
        reason: HoldReason::NoLease,
        kind: ChangeKind::Configuration,
        since: 0,
        state,
        until: None,
    };
    for n in 0..MAX_PENDING_CHANGES {
        assert_eq!(queue.hold(&n.to_string(), one(n)), Ok(true));
    }
    assert!(queue.hold("one more", one(0)).is_err());
    assert_eq!((queue.hold("0", one(0)), queue.hold("0", one(7))), (Ok(false), Ok(true)));
    assert_eq!(
        queue
            .release_due(5, |subject, _| subject != "1")
            .iter()
            .map(|it| it.change.state)
            .collect::<Vec<_>>(),
        [7, 2]
    );
}
