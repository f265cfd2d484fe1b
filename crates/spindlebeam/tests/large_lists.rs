//! Endpoint lists of the largest supported size: a drain in such a list is in force within the grace period.

use rstest::rstest;
use serde_json::json;
use std::time::Duration;
use testfleet::discovery::{ListEncoding, Phase};
use testfleet::fleet::Fleet;

/// Cache nodes, and the ids under which each is listed: 3,200 endpoints, the largest number that is tested regularly.
const CACHE_NODES: usize = 16;
const IDS_PER_NODE: usize = 200;
/// Requests per second, and in total: about two seconds.
const RATE: f64 = 400.0;
const REQUESTS: usize = 900;

/// A list on the open watch marks a quarter of the endpoints as draining. 0.25 s after its last byte, no request may be
/// sent to them; the test allows 0.3 s.
#[rstest]
fn a_drain_in_a_list_of_3_200_endpoints_is_in_force_within_the_grace(
    #[values(true, false)] whole: bool, #[values(true, false)] indented: bool,
    #[values(None, Some(256))] piece: Option<usize>,
) {
    let fleet =
        Fleet::builder(env!("CARGO_BIN_EXE_spindlebeam")).folder(env!("CARGO_TARGET_TMPDIR")).seed(39);
    let fleet = fleet.balancers(1).cache_nodes(CACHE_NODES).ids_per_cache_node(IDS_PER_NODE);
    let fleet = fleet.overrides(json!({"limits": {"sockets": 256}})).start().unwrap();
    fleet.clients().start_load(fleet.load(&["read"], RATE, REQUESTS));
    fleet.clients().await_sent(100);
    fleet.balancer(0).agent.set_encoding(ListEncoding { indented, whole, piece });
    let drained = CACHE_NODES / 4;
    fleet.set_phases(0..drained, Phase::Draining);
    let notified = fleet.await_notification(0, drained - 1, Phase::Draining);
    fleet.clients().await_answered(REQUESTS);
    let verdict = fleet.verdict();
    let sent_to = |nodes: std::ops::Range<usize>| {
        let names: Vec<&str> = nodes.map(|number| fleet.cache_node(number).name()).collect();
        let deadline = notified + Duration::from_millis(300);
        fleet.attempts().with_entries(|all| {
            all.iter()
                .filter(|attempt| attempt.received > deadline && names.contains(&&attempt.endpoint[..]))
                .count()
        })
    };
    assert_eq!(
        sent_to(0..drained),
        0,
        "requests sent to draining endpoints more than 0.3 s after the list: {verdict}"
    );
    verdict.assert_clean();
    assert!(sent_to(drained..CACHE_NODES) > 100, "other endpoints are used after the list: {verdict}");
}
