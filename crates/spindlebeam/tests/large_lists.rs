//! Lists of as many endpoints as the largest fleets have: what they say of drains is in force within the grace.

use rstest::rstest;
use serde_json::json;
use std::time::Duration;
use testfleet::discovery::{ListEncoding, Phase};
use testfleet::fleet::Fleet;

/// Cache hosts, and the ids under which each is listed: 3,200 endpoints, the most of the standing test.
const HOSTS: usize = 16;
const IDS: usize = 200;
/// Requests a second, and in all: some two seconds of them.
const RATE: f64 = 400.0;
const REQUESTS: usize = 900;

/// A whole list on the open watch has a quarter of the endpoints drain; nothing new goes there 0.25 s behind its last byte.
#[rstest]
fn a_drain_in_a_list_of_3_200_endpoints_is_in_force_within_the_grace(
    #[values(true, false)] whole: bool, #[values(true, false)] indented: bool,
    #[values(None, Some(256))] piece: Option<usize>,
) {
    let fleet =
        Fleet::builder(env!("CARGO_BIN_EXE_spindlebeam")).folder(env!("CARGO_TARGET_TMPDIR")).seed(39);
    let fleet = fleet.balancers(1).cache_nodes(HOSTS).ids(IDS);
    let fleet = fleet.overrides(json!({"limits": {"sockets": 256}})).start().unwrap();
    fleet.clients().start_load(fleet.load(&["read"], RATE, REQUESTS));
    fleet.clients().await_sent(100);
    fleet.balancer(0).agent.set_encoding(ListEncoding { indented, whole, piece });
    let drained = HOSTS / 4;
    fleet.set_phases(0..drained, Phase::Draining);
    let told = fleet.await_notification(0, drained - 1, Phase::Draining);
    fleet.clients().await_answered(REQUESTS);
    let verdict = fleet.verdict();
    let sent_to = |hosts: std::ops::Range<usize>| {
        let names: Vec<&str> = hosts.map(|number| fleet.cache_node(number).name()).collect();
        let behind = told + Duration::from_millis(300);
        fleet.attempts().with_entries(|all| {
            all.iter().filter(|it| it.at > behind && names.contains(&&it.endpoint[..])).count()
        })
    };
    assert_eq!(sent_to(0..drained), 0, "sent to draining endpoints 0.3 s behind the list: {verdict}");
    verdict.assert_clean();
    assert!(sent_to(drained..HOSTS) > 100, "others are used behind it: {verdict}");
}
