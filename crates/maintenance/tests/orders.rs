//! Orders laid over lists, without sockets, files or clocks.

use maintenance::{Maintenance, Order, OrderError, Orders};
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

fn out(id: &str) -> Order {
    Order::Disable(id.into())
}

fn back(id: &str) -> Order {
    Order::Enable(id.into())
}

fn two() -> Maintenance {
    let mut it = Maintenance::new(Some("origin".into()), Orders::default());
    let list = read(true, &[("origin", "ready", 0), ("a", "ready", 0), ("b", "ready", 0)]);
    assert_eq!(it.hear(&list), list, "nothing is ordered");
    it
}

#[test]
fn a_host_out_by_hand_reads_as_draining_whatever_discovery_says() {
    let mut it = two();
    let changed = it.carry_out(100, &out("a")).unwrap();
    assert_eq!(told(&it.tell(&changed)), [("a", Phase::Draining, 0)]);
    for complete in [true, false] {
        let list = it.hear(&read(complete, &[("a", "ready", 150), ("b", "ready", 0)]));
        assert_eq!(told(&list), [("a", Phase::Draining, 150), ("b", Phase::Ready, 0)]);
    }
    let _ = it.hear(&read(false, &[("a", "gone", 0)]));
    let list = it.hear(&read(false, &[("a", "ready", 160)]));
    assert_eq!(told(&list), [("a", Phase::Draining, 160)], "it left and returned");
}

#[test]
fn one_call_back_undoes_two_calls_out_and_the_host_is_cold_until_its_start_is_known() {
    let mut it = two();
    for now in [100, 110] {
        it.carry_out(now, &out("a")).unwrap();
    }
    let changed = it.carry_out(200, &back("a")).unwrap();
    assert_eq!(told(&it.tell(&changed)), [("a", Phase::Ready, 200)]);
    let list = it.hear(&read(true, &[("a", "ready", 0)]));
    assert_eq!(told(&list), [("a", Phase::Ready, 200)], "discovery has not heard of its start");
    let list = it.hear(&read(false, &[("a", "ready", 150)]));
    assert_eq!(told(&list), [("a", Phase::Ready, 150)], "it has");
    let list = it.hear(&read(false, &[("a", "draining", 150)]));
    assert_eq!(told(&list), [("a", Phase::Draining, 150)], "a call back is no more than that");
    assert!(it.carry_out(300, &back("a")).unwrap().is_empty(), "it is not out");

    it.carry_out(400, &out("b")).unwrap();
    let _ = it.hear(&read(false, &[("b", "ready", 450)]));
    let changed = it.carry_out(500, &back("b")).unwrap();
    assert_eq!(told(&it.tell(&changed)), [("b", Phase::Ready, 450)], "told of before the call back");
}

#[test]
fn an_id_that_no_cache_host_has_is_owed_a_no() {
    let mut it = two();
    for order in [out("origin"), out("nadie"), back("nadie")] {
        assert!(matches!(it.carry_out(1, &order), Err(OrderError::Unknown(_))), "{order:?}");
    }
    let _ = it.hear(&read(false, &[("b", "gone", 0)]));
    let changed = it.carry_out(1, &out("b")).unwrap();
    assert!(it.tell(&changed).members.is_empty(), "known, but not listed now");
    let list = it.hear(&read(false, &[("b", "ready", 5)]));
    assert_eq!(told(&list), [("b", Phase::Draining, 5)]);
}

#[test]
fn orders_go_over_to_the_next_process_and_back() {
    let mut it = two();
    it.carry_out(100, &out("a")).unwrap();
    it.carry_out(100, &out("b")).unwrap();
    it.carry_out(120, &back("b")).unwrap();
    it.carry_out(130, &Order::Drain).unwrap();
    let kept = Orders::from_text(&it.orders().to_text()).unwrap();
    assert_eq!(&kept, it.orders());
    let mut next = Maintenance::new(Some("origin".into()), kept);
    assert!(next.orders().draining());
    let list = next.hear(&read(true, &[("a", "ready", 0), ("b", "ready", 0)]));
    assert_eq!(told(&list), [("a", Phase::Draining, 0), ("b", Phase::Ready, 120)]);

    next.carry_out(140, &back("a")).unwrap();
    next.carry_out(150, &Order::Undrain).unwrap();
    let changed = it.adopt(next.orders().clone());
    assert_eq!(told(&it.tell(&changed)), [("a", Phase::Ready, 140)], "what was ordered at the other door");
    assert!(!it.orders().draining());
}

#[test]
fn orders_that_cannot_be_read_say_why() {
    let why = |text: &str| Orders::from_text(text).unwrap_err().to_string();
    assert!(why("{\"version\":1,\"out\":[]}").contains("not in the form"));
    assert!(why("").contains("not in the form"));
    assert_eq!(why("{\"version\":2,\"new\":{}}"), "of version 2, not 1");
}
