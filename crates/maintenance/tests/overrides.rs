//! Orders laid over lists, without sockets, files or clocks.

use maintenance::{OperatorOverrides, OverriddenList, OverrideCommand, OverrideError};
use proto::discovery::{EndpointList, Phase, parse_endpoint_list};
use serde_json::json;

fn read(complete: bool, members: &[(&str, &str, u64)]) -> EndpointList {
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

fn told(list: &EndpointList) -> Vec<(&str, Phase, u64)> {
    list.members.iter().map(|it| (&it.id[..], it.phase, it.up_since_ms)).collect()
}

fn out(id: &str) -> OverrideCommand {
    OverrideCommand::Disable(id.into())
}

fn back(id: &str) -> OverrideCommand {
    OverrideCommand::Enable(id.into())
}

fn two() -> OverriddenList {
    let mut it = OverriddenList::new(Some("origin".into()), OperatorOverrides::default());
    let list = read(true, &[("origin", "ready", 0), ("a", "ready", 0), ("b", "ready", 0)]);
    assert_eq!(it.apply_list(&list), list, "nothing is ordered");
    it
}

#[test]
fn a_host_out_by_hand_reads_as_draining_whatever_discovery_says() {
    let mut it = two();
    let changed = it.apply_command(100, &out("a")).unwrap();
    assert_eq!(told(&it.current_entries(&changed)), [("a", Phase::Draining, 0)]);
    for complete in [true, false] {
        let list = it.apply_list(&read(complete, &[("a", "ready", 150), ("b", "ready", 0)]));
        assert_eq!(told(&list), [("a", Phase::Draining, 150), ("b", Phase::Ready, 0)]);
    }
    let _ = it.apply_list(&read(false, &[("a", "gone", 0)]));
    let list = it.apply_list(&read(false, &[("a", "ready", 160)]));
    assert_eq!(told(&list), [("a", Phase::Draining, 160)], "it left and returned");
}

#[test]
fn one_call_back_undoes_two_calls_out_and_the_host_is_cold_until_its_start_is_known() {
    let mut it = two();
    for now in [100, 110] {
        it.apply_command(now, &out("a")).unwrap();
    }
    let changed = it.apply_command(200, &back("a")).unwrap();
    assert_eq!(told(&it.current_entries(&changed)), [("a", Phase::Ready, 200)]);
    let list = it.apply_list(&read(true, &[("a", "ready", 0)]));
    assert_eq!(told(&list), [("a", Phase::Ready, 200)], "discovery has not heard of its start");
    let list = it.apply_list(&read(false, &[("a", "ready", 150)]));
    assert_eq!(told(&list), [("a", Phase::Ready, 150)], "it has");
    let list = it.apply_list(&read(false, &[("a", "draining", 150)]));
    assert_eq!(told(&list), [("a", Phase::Draining, 150)], "a call back is no more than that");
    assert!(it.apply_command(300, &back("a")).unwrap().is_empty(), "it is not out");

    it.apply_command(400, &out("b")).unwrap();
    let _ = it.apply_list(&read(false, &[("b", "ready", 450)]));
    let changed = it.apply_command(500, &back("b")).unwrap();
    assert_eq!(
        told(&it.current_entries(&changed)),
        [("b", Phase::Ready, 450)],
        "told of before the call back"
    );
}

#[test]
fn an_id_that_no_cache_host_has_is_owed_a_no() {
    let mut it = two();
    for order in [out("origin"), out("nadie"), back("nadie")] {
        assert!(matches!(it.apply_command(1, &order), Err(OverrideError::Unknown(_))), "{order:?}");
    }
    let _ = it.apply_list(&read(false, &[("b", "gone", 0)]));
    let changed = it.apply_command(1, &out("b")).unwrap();
    assert!(it.current_entries(&changed).members.is_empty(), "known, but not listed now");
    let list = it.apply_list(&read(false, &[("b", "ready", 5)]));
    assert_eq!(told(&list), [("b", Phase::Draining, 5)]);
}

#[test]
fn orders_go_over_to_the_next_process_and_back() {
    let mut it = two();
    it.apply_command(100, &out("a")).unwrap();
    it.apply_command(100, &out("b")).unwrap();
    it.apply_command(120, &back("b")).unwrap();
    it.apply_command(130, &OverrideCommand::Drain).unwrap();
    let kept = OperatorOverrides::from_text(&it.overrides().to_text()).unwrap();
    assert_eq!(&kept, it.overrides());
    let mut next = OverriddenList::new(Some("origin".into()), kept);
    assert!(next.overrides().draining());
    let list = next.apply_list(&read(true, &[("a", "ready", 0), ("b", "ready", 0)]));
    assert_eq!(told(&list), [("a", Phase::Draining, 0), ("b", Phase::Ready, 120)]);

    next.apply_command(140, &back("a")).unwrap();
    next.apply_command(150, &OverrideCommand::Undrain).unwrap();
    let changed = it.replace_overrides(next.overrides().clone());
    assert_eq!(
        told(&it.current_entries(&changed)),
        [("a", Phase::Ready, 140)],
        "what was ordered at the other door"
    );
    assert!(!it.overrides().draining());
}

#[test]
fn orders_that_cannot_be_read_say_why() {
    let why = |text: &str| OperatorOverrides::from_text(text).unwrap_err().to_string();
    assert!(why("{\"version\":1,\"out\":[]}").contains("not in the form"));
    assert!(why("").contains("not in the form"));
    assert_eq!(why("{\"version\":2,\"new\":{}}"), "of version 2, not 1");
}
