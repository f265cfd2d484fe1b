//! Overrides applied to endpoint lists.

use maintenance::{OperatorOverrides, OverriddenList, OverrideCommand, OverrideError};
use proto::discovery::{EndpointList, Phase, parse_endpoint_list};
use serde_json::json;

/// Returns an endpoint list with members given as id, phase and start time.
fn endpoint_list(complete: bool, members: &[(&str, &str, u64)]) -> EndpointList {
    let member = |(id, phase, since): &(&str, &str, u64)| {
        let flavor = if *id == "origin" { "origin" } else { "m" };
        json!({"id": id, "host_port": "127.0.0.1:1", "flavor": flavor, "phase": phase, "up_since_ms": since})
    };
    let members: Vec<_> = members.iter().map(member).collect();
    parse_endpoint_list(
        json!({"revision": 1, "complete": complete, "members": members}).to_string().as_bytes(),
    )
    .unwrap()
}

/// Returns the id, phase and start time of each member.
fn entries(list: &EndpointList) -> Vec<(&str, Phase, u64)> {
    list.members.iter().map(|entry| (&entry.id[..], entry.phase, entry.up_since_ms)).collect()
}

fn disable(id: &str) -> OverrideCommand {
    OverrideCommand::Disable(id.into())
}

fn enable(id: &str) -> OverrideCommand {
    OverrideCommand::Enable(id.into())
}

fn two_endpoints() -> OverriddenList {
    let mut overridden = OverriddenList::new(Some("origin".into()), OperatorOverrides::default());
    let list = endpoint_list(true, &[("origin", "ready", 0), ("a", "ready", 0), ("b", "ready", 0)]);
    assert_eq!(overridden.apply_list(&list), list, "no override is in force");
    overridden
}

#[test]
fn disabled_endpoint_is_listed_as_draining_in_every_list() {
    let mut overridden = two_endpoints();
    let changed = overridden.apply_command(100, &disable("a")).unwrap();
    assert_eq!(entries(&overridden.current_entries(&changed)), [("a", Phase::Draining, 0)]);
    for complete in [true, false] {
        let list = overridden.apply_list(&endpoint_list(complete, &[("a", "ready", 150), ("b", "ready", 0)]));
        assert_eq!(entries(&list), [("a", Phase::Draining, 150), ("b", Phase::Ready, 0)]);
    }
    let _ = overridden.apply_list(&endpoint_list(false, &[("a", "gone", 0)]));
    let list = overridden.apply_list(&endpoint_list(false, &[("a", "ready", 160)]));
    assert_eq!(entries(&list), [("a", Phase::Draining, 160)], "the endpoint left the list and returned");
}

#[test]
fn enable_undoes_repeated_disables_and_counts_as_a_start() {
    let mut overridden = two_endpoints();
    for now in [100, 110] {
        overridden.apply_command(now, &disable("a")).unwrap();
    }
    let changed = overridden.apply_command(200, &enable("a")).unwrap();
    assert_eq!(entries(&overridden.current_entries(&changed)), [("a", Phase::Ready, 200)]);
    let list = overridden.apply_list(&endpoint_list(true, &[("a", "ready", 0)]));
    assert_eq!(entries(&list), [("a", Phase::Ready, 200)], "discovery does not list its start yet");
    let list = overridden.apply_list(&endpoint_list(false, &[("a", "ready", 150)]));
    assert_eq!(entries(&list), [("a", Phase::Ready, 150)], "discovery lists its new start");
    let list = overridden.apply_list(&endpoint_list(false, &[("a", "draining", 150)]));
    assert_eq!(entries(&list), [("a", Phase::Draining, 150)], "an enabled endpoint can still drain");
    assert!(overridden.apply_command(300, &enable("a")).unwrap().is_empty(), "the endpoint is not disabled");

    overridden.apply_command(400, &disable("b")).unwrap();
    let _ = overridden.apply_list(&endpoint_list(false, &[("b", "ready", 450)]));
    let changed = overridden.apply_command(500, &enable("b")).unwrap();
    assert_eq!(
        entries(&overridden.current_entries(&changed)),
        [("b", Phase::Ready, 450)],
        "discovery listed its new start before it was enabled"
    );
}

#[test]
fn command_for_an_unknown_endpoint_is_rejected() {
    let mut overridden = two_endpoints();
    for command in [disable("origin"), disable("nadie"), enable("nadie")] {
        assert!(
            matches!(overridden.apply_command(1, &command), Err(OverrideError::Unknown(_))),
            "{command:?}"
        );
    }
    let _ = overridden.apply_list(&endpoint_list(false, &[("b", "gone", 0)]));
    let changed = overridden.apply_command(1, &disable("b")).unwrap();
    assert!(
        overridden.current_entries(&changed).members.is_empty(),
        "the endpoint is known, but not listed now"
    );
    let list = overridden.apply_list(&endpoint_list(false, &[("b", "ready", 5)]));
    assert_eq!(entries(&list), [("b", Phase::Draining, 5)]);
}

#[test]
fn overrides_pass_to_the_next_process_and_back() {
    let mut overridden = two_endpoints();
    overridden.apply_command(100, &disable("a")).unwrap();
    overridden.apply_command(100, &disable("b")).unwrap();
    overridden.apply_command(120, &enable("b")).unwrap();
    overridden.apply_command(130, &OverrideCommand::Drain).unwrap();
    let persisted = OperatorOverrides::from_text(&overridden.overrides().to_text()).unwrap();
    assert_eq!(&persisted, overridden.overrides());
    let mut next = OverriddenList::new(Some("origin".into()), persisted);
    assert!(next.overrides().is_draining());
    let list = next.apply_list(&endpoint_list(true, &[("a", "ready", 0), ("b", "ready", 0)]));
    assert_eq!(entries(&list), [("a", Phase::Draining, 0), ("b", Phase::Ready, 120)]);

    next.apply_command(140, &enable("a")).unwrap();
    next.apply_command(150, &OverrideCommand::Undrain).unwrap();
    let changed = overridden.replace_overrides(next.overrides().clone());
    assert_eq!(
        entries(&overridden.current_entries(&changed)),
        [("a", Phase::Ready, 140)],
        "the command of the other process is in force"
    );
    assert!(!overridden.overrides().is_draining());
}

#[test]
fn unreadable_overrides_report_the_reason() {
    let error_text = |text: &str| OperatorOverrides::from_text(text).unwrap_err().to_string();
    assert!(error_text("{\"version\":1,\"out\":[]}").contains("not in the form"));
    assert!(error_text("").contains("not in the form"));
    assert_eq!(error_text("{\"version\":2,\"new\":{}}"), "of version 2, not 1");
}
