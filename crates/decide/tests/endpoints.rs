//! Assignment of keys to endpoints, the endpoint list, slow start, and outlier detection.

mod common;
use common::*;
use decide::api::*;
use std::collections::{BTreeMap, BTreeSet};

/// Returns the endpoint that each of `keys` is sent to. Each request is answered before the next one.
fn endpoints_by_key(
    router: &mut TestRouter, keys: std::ops::Range<u64>, first_id: u64,
) -> BTreeMap<u64, u64> {
    keys.zip(first_id..)
        .filter_map(|(key, id)| {
            let endpoint = router.endpoint_for(request(id, 0, key))?;
            router.end_attempt(id, 0, Outcome::Ok);
            Some((key, endpoint))
        })
        .collect()
}

/// Counts the keys of `a` that have a different endpoint in `b`, or none.
fn count_moved_keys(a: &BTreeMap<u64, u64>, b: &BTreeMap<u64, u64>) -> usize {
    a.iter().filter(|(key, endpoint)| b.get(key) != Some(endpoint)).count()
}

#[test]
fn independent_balancers_assign_a_key_to_the_same_endpoint() {
    let (mut a, mut b) = (TestRouter::new(settings(), 1, 9), TestRouter::new(settings(), 2, 9));
    b.apply_list(ListKind::Full, (1..=9).rev().chain([ORIGIN]).map(entry).collect()); // in another order
    let (a, b) = (endpoints_by_key(&mut a, 0..300, 1), endpoints_by_key(&mut b, 0..300, 1));
    assert_eq!(count_moved_keys(&a, &b), 0);
    assert_eq!(a.values().collect::<BTreeSet<_>>().len(), 9, "all endpoints have keys");
}

#[test]
fn only_keys_of_added_or_removed_endpoints_move() {
    let mut router = TestRouter::new(settings(), 1, 10);
    let before = endpoints_by_key(&mut router, 0..1_000, 1);
    router.apply_list(ListKind::Delta, vec![EndpointEntry { state: EndpointState::Gone, ..entry(4) }]);
    let without = endpoints_by_key(&mut router, 0..1_000, 2_000);
    let keys_of_4 = before.values().filter(|&&s| s == 4).count();
    assert_eq!(count_moved_keys(&before, &without), keys_of_4, "only the keys of the removed endpoint");
    router.apply_list(ListKind::Delta, vec![entry(11)]);
    let with = endpoints_by_key(&mut router, 0..1_000, 4_000);
    assert!(
        with.iter().all(|(key, &s)| s == 11 || without[key] == s),
        "keys move only to the added endpoint"
    );
}

#[test]
fn heavier_endpoints_have_more_keys() {
    let mut router = TestRouter::new(Settings { has_stable_weights: true, ..settings() }, 1, 2);
    router.apply_list(ListKind::Delta, vec![EndpointEntry { weight: 3.0, ..entry(2) }]);
    let share = endpoints_by_key(&mut router, 0..2_000, 1).values().filter(|&&s| s == 2).count();
    assert!((1_400..1_600).contains(&share), "three quarters: {share}");
}

#[test]
fn key_moves_only_when_its_endpoint_leaves_its_bounds() {
    let mut router = TestRouter::new(settings(), 1, 8);
    let home = router.endpoint_for(request(1, 0, 5)).unwrap();
    let first_other = (2..40).find(|&id| router.endpoint_for(request(id, 0, 5)).is_some_and(|s| s != home));
    assert!(
        first_other.is_some_and(|id| id > 2),
        "only a later request than the second moves: {first_other:?}"
    );
}

#[test]
fn only_a_hot_key_is_spread_over_several_endpoints() {
    let mut router = TestRouter::new(settings(), 1, 20);
    let mut hot = BTreeSet::new();
    let mut cool = BTreeSet::new();
    for id in 0..2_000 {
        router.now += MS;
        let key = if id % 4 == 0 { 1 } else { 100 + id % 400 };
        let endpoint = router.endpoint_for(request(id, 0, key));
        router.end_attempt(id, 0, Outcome::Ok);
        if key == 1 {
            hot.insert(endpoint);
        } else if key == 101 {
            cool.insert(endpoint);
        }
    }
    assert!(hot.len() > 2, "the key has a quarter of all reads, with twenty endpoints: {hot:?}");
    assert_eq!(cool.len(), 1, "{cool:?}");
}

#[test]
fn one_of_100_balancers_spreads_a_hot_key_after_few_reads() {
    // With 60 endpoints and 15 reads per second, a key with a twentieth of all reads has the share of three endpoints.
    let mut router = TestRouter::new(Settings { balancers: 100, ..settings() }, 1, 60);
    let mut hot = BTreeSet::new();
    for id in 0..150 {
        router.now += 67 * MS;
        let key = if id % 20 == 0 { 1 } else { 100 + id };
        let endpoint = router.endpoint_for(request(id, 0, key));
        router.end_attempt(id, 0, Outcome::Ok);
        if key == 1 {
            hot.insert(endpoint);
        }
    }
    assert!(hot.len() > 1, "{hot:?}");
}

#[test]
fn endpoint_that_rejected_a_read_is_avoided_temporarily() {
    let mut router = TestRouter::new(settings(), 1, 5);
    let home = router.endpoint_for(request(1, 0, 5)).unwrap();
    let next = forwarded_to(&router.end_attempt(1, 0, Outcome::Rejected));
    assert!(next.len() == 1 && next[0] != home);
    assert_eq!(router.endpoint_for(request(2, 0, 5)), Some(next[0]));
    router.now += 1_000 * MS;
    assert_eq!(router.endpoint_for(request(3, 0, 5)), Some(home));
}

#[test]
fn draining_or_removed_endpoint_gets_no_reads_or_fetches() {
    for state in [EndpointState::Draining, EndpointState::Gone] {
        let mut router = TestRouter::new(settings(), 1, 3);
        router.submit_and_miss(1, 0, 11);
        let waiting = router.submit_and_miss(2, 0, 12);
        let unavailable = |id| EndpointEntry { state, ..entry(id) };
        router.apply_list(ListKind::Delta, vec![unavailable(ORIGIN), unavailable(2)]);
        let after = router.advance(1_000 * MS, &waiting);
        assert!(forwarded_to(&after).is_empty() && is_rejected(&after), "{state:?}: {after:?}");
        let homes = endpoints_by_key(&mut router, 0..200, 100);
        assert!(homes.len() == 200 && homes.values().all(|&s| s != 2), "{state:?}");
    }
}

#[test]
fn endpoint_absent_from_a_complete_list_is_removed() {
    let mut router = TestRouter::new(settings(), 1, 3);
    router.apply_list(ListKind::Full, [1, 3, ORIGIN].map(entry).to_vec());
    assert!(endpoints_by_key(&mut router, 0..100, 1).values().all(|&s| s != 2));
}

#[test]
fn slow_start_limits_a_hot_key_unless_the_endpoint_is_fast() {
    let mut router = TestRouter::new(settings(), 1, 9);
    count_reads_by_endpoint(&mut router, 20_000..20_400, |_| 30);
    let cold = EndpointEntry { started_at: router.now, ..entry(10) };
    router.apply_list(ListKind::Delta, vec![cold]);
    // Find a key whose home is the cold endpoint.
    let key = (0..10_000).find(|&key| {
        let home = router.endpoint_for(request(50_000 + key, 0, key));
        router.end_attempt(50_000 + key, 0, Outcome::Ok);
        home == Some(10)
    });
    let key = key.expect("no key below 10,000 has its home at the cold endpoint");
    let mut count_sent = |ids: std::ops::Range<u64>, latency_ms| {
        ids.filter(|&id| {
            let to = router.endpoint_for(request(id, 0, key));
            router.end_attempt_after(
                id,
                0,
                Outcome::Ok,
                if to == Some(10) { latency_ms * MS } else { 30 * MS },
            );
            to == Some(10)
        })
        .count()
    };
    let fast_count = count_sent(1_000..2_000, 10);
    assert!(fast_count > 200, "quick answers earn further permits: {fast_count}");
    let sent = count_sent(0..1_000, 40);
    // The ramped share of one endpoint in ten is a fifth of a tenth: 20 of 1,000 reads, times the slow-start rate of
    // 1.5, plus the saved permits.
    assert!((1..=34).contains(&sent), "{sent}");
}

#[test]
fn fleet_in_slow_start_gets_only_its_ramped_share_of_reads() {
    let mut router = TestRouter::new(settings(), 1, 0);
    let now = router.now;
    router.apply_list(
        ListKind::Delta,
        (1..=10).map(|id| EndpointEntry { started_at: now, ..entry(id) }).collect(),
    );
    let sent = (0..1_000)
        .filter(|&id| {
            let actions = router.submit(request(id, 0, id));
            router.end_attempt_after(id, 0, Outcome::Ok, 300 * MS);
            let no_endpoint = |a: &Action| matches!(a, Action::Reject { reason: Reason::NoEndpoint, .. });
            assert!(!actions.iter().any(no_endpoint), "other reads go to the origin, as after a miss");
            forwarded_to(&actions).first().is_some_and(|&to| to != ORIGIN)
        })
        .count();
    assert!((200..=330).contains(&sent), "a fifth of the share of warm endpoints, times 1.5: {sent}");
}

#[test]
fn restarted_endpoint_warms_up_again() {
    let mut router = TestRouter::new(settings(), 1, 4);
    let before = endpoints_by_key(&mut router, 0..400, 1).values().filter(|&&s| s == 2).count();
    let again = EndpointEntry { started_at: router.now, ..entry(2) };
    router.apply_list(ListKind::Delta, vec![again]);
    let after = endpoints_by_key(&mut router, 0..400, 1_000).values().filter(|&&s| s == 2).count();
    assert!(after < before / 2, "{before} then {after}");
    router.now += 11_000 * MS;
    let warm = endpoints_by_key(&mut router, 0..400, 2_000).values().filter(|&&s| s == 2).count();
    assert_eq!(warm, before);
}

/// Ends reads at the `bad` endpoints with `outcome` a few times, and returns the endpoints that are used afterwards.
fn endpoints_used_after_failures(
    mut router: TestRouter, bad: std::ops::RangeInclusive<u64>, outcome: Outcome,
) -> (TestRouter, BTreeSet<u64>) {
    for id in 0..400 {
        let Some(to) = router.endpoint_for(request(id, 0, id)) else { continue };
        router.end_attempt(id, 0, if bad.contains(&to) { outcome } else { Outcome::Ok });
        router.handle(Event::ClientLeft(RequestId(id)));
        // End the outstanding retries.
        (1..6).for_each(|n| assert!(forwarded_to(&router.end_attempt(id, n, Outcome::Cancelled)).is_empty()));
    }
    let used = endpoints_by_key(&mut router, 1_000..1_400, 1_000).into_values().collect();
    (router, used)
}

#[test]
fn draining_endpoints_do_not_count_as_ejected() {
    let (mut router, _) =
        endpoints_used_after_failures(TestRouter::new(settings(), 1, 10), 1..=2, Outcome::ConnectFailed);
    router.apply_list(
        ListKind::Delta,
        [1, 2].map(|id| EndpointEntry { state: EndpointState::Draining, ..entry(id) }).to_vec(),
    );
    let (_, used) = endpoints_used_after_failures(router, 3..=3, Outcome::Error);
    assert!(
        !used.contains(&3) && used.len() == 7,
        "an endpoint that answers with errors is ejected: {used:?}"
    );
}

#[test]
fn failing_endpoint_is_ejected_and_tried_again_later() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::ConnectFailed] {
        let (mut router, used) =
            endpoints_used_after_failures(TestRouter::new(settings(), 1, 9), 3..=3, outcome);
        assert!(!used.contains(&3) && used.len() == 8, "{outcome:?}: {used:?}");
        router.now += 2_000 * MS;
        assert!(
            endpoints_by_key(&mut router, 2_000..2_400, 3_000).values().any(|&s| s == 3),
            "{outcome:?}: used again after a trial"
        );
    }
}

/// Submits reads one after the other, each answered after its endpoint's latency. Returns the number of reads by
/// endpoint.
fn count_reads_by_endpoint(
    router: &mut TestRouter, ids: std::ops::Range<u64>, latency_ms: impl Fn(u64) -> Micros,
) -> BTreeMap<u64, usize> {
    let mut sent = BTreeMap::new();
    for id in ids {
        let to = router.endpoint_for(request(id, 0, id)).unwrap();
        router.now += 5 * MS;
        router.end_attempt_after(id, 0, Outcome::Ok, latency_ms(to) * MS);
        *sent.entry(to).or_default() += 1;
    }
    sent
}

#[test]
fn slow_endpoint_is_ejected_until_it_is_fast_again() {
    let mut router = TestRouter::new(settings(), 1, 9);
    count_reads_by_endpoint(&mut router, 0..400, |_| 30);
    count_reads_by_endpoint(&mut router, 400..800, |to| if to == 3 { 280 } else { 30 });
    let out = count_reads_by_endpoint(&mut router, 800..1_200, |to| if to == 3 { 280 } else { 30 });
    assert!(out.get(&3).copied().unwrap_or(0) < 5, "only trials: {out:?}");
    router.now += 20_000 * MS;
    count_reads_by_endpoint(&mut router, 1_200..1_600, |_| 30);
    let back = count_reads_by_endpoint(&mut router, 1_600..2_000, |_| 30);
    assert!(back[&3] > 20, "it has its keys again: {back:?}");
}

#[test]
fn slowness_ejects_only_outliers_and_at_most_a_fifth() {
    let mut router = TestRouter::new(settings(), 1, 9);
    count_reads_by_endpoint(&mut router, 0..400, |_| 180);
    let all_slow = count_reads_by_endpoint(&mut router, 400..800, |to| if to == 3 { 600 } else { 180 });
    assert!(all_slow[&3] > 20, "three times the median is beyond the latency objective: {all_slow:?}");
    let mut router = TestRouter::new(settings(), 1, 9);
    count_reads_by_endpoint(&mut router, 0..400, |_| 2);
    let all_fast = count_reads_by_endpoint(&mut router, 400..800, |to| if to == 3 { 20 } else { 2 });
    assert!(all_fast[&3] > 20, "ten times the median is far within the latency objective: {all_fast:?}");
    let mut router = TestRouter::new(settings(), 1, 1);
    count_reads_by_endpoint(&mut router, 0..400, |_| 30);
    let only = count_reads_by_endpoint(&mut router, 400..800, |_| 280);
    assert_eq!(only[&1], 400, "the only endpoint is never ejected");
    let mut router = TestRouter::new(settings(), 1, 9);
    count_reads_by_endpoint(&mut router, 0..400, |_| 30);
    count_reads_by_endpoint(&mut router, 400..1_200, |to| if to <= 4 { 280 } else { 30 });
    let many = count_reads_by_endpoint(&mut router, 1_200..1_600, |to| if to <= 4 { 280 } else { 30 });
    assert!((1..=4).filter(|slow| many.get(slow).is_some_and(|n| *n > 20)).count() >= 2, "{many:?}");
}

#[test]
fn failing_majority_is_ejected_only_if_unreachable() {
    let (_, used) = endpoints_used_after_failures(TestRouter::new(settings(), 1, 9), 1..=8, Outcome::Timeout);
    assert!(
        used.len() >= 5,
        "timeouts at most endpoints suggest a fault of the origin or the network: {used:?}"
    );
    let (_, used) =
        endpoints_used_after_failures(TestRouter::new(settings(), 1, 9), 1..=8, Outcome::ConnectFailed);
    assert_eq!(
        used.into_iter().collect::<Vec<_>>(),
        [9],
        "unreachable endpoints are ejected without a limit"
    );
}

#[test]
fn expensive_cross_zone_attempts_keep_keys_in_the_zone() {
    let zoned = Settings { zones: 2, cross_zone_price: 0.2, ..settings() };
    let mut router = TestRouter::new(zoned, 1, 0);
    let zone = |id: u64| EndpointEntry { zone: ZoneId((id % 2) as u8), ..entry(id) };
    router.apply_list(ListKind::Full, (1..=8).chain([ORIGIN]).map(zone).collect());
    assert!(endpoints_by_key(&mut router, 0..300, 1).values().all(|s| s % 2 == 0));
}

#[test]
fn failed_discovery_poll_is_repeated_with_backoff() {
    let polled = Settings { discovery: Discovery::Poll, max_poll_interval_us: 8_000 * MS, ..settings() };
    let mut router = TestRouter::new(polled, 1, 0);
    let mut actions = router.apply_list(ListKind::Cached, vec![entry(1)]);
    let mut waits = Vec::new();
    for _ in 0..8 {
        let [Action::Timer { delay_us, .. }] = actions[..] else { panic!("expected one timer: {actions:?}") };
        waits.push(delay_us);
        assert_eq!(router.advance(delay_us, &actions), [Action::WatchEndpoints]);
        actions = router.apply_list(ListKind::Failed, vec![]);
    }
    assert!(
        waits[0] < 8_000 * MS && waits.iter().all(|&w| w < 4 * 8_000 * MS),
        "within the poll interval: {waits:?}"
    );
    assert!(waits[4] > waits[1]);
    assert_eq!(router.apply_list(ListKind::Delta, vec![entry(2)]), [], "a successful poll needs no other");
    assert!(
        endpoints_by_key(&mut router, 0..50, 1).values().any(|&s| s == 1),
        "a failed poll keeps the list"
    );
}

#[test]
fn same_events_and_seed_give_the_same_actions() {
    let run = || {
        let mut router = TestRouter::new(settings(), 42, 7);
        let mut log = Vec::new();
        for id in 0..500 {
            router.now += 3 * MS;
            log.extend(router.submit(request(id, 0, id % 37)));
            log.extend(router.end_attempt(id, 0, if id % 5 == 0 { Outcome::Miss } else { Outcome::Ok }));
        }
        log
    };
    assert_eq!(run(), run());
}

#[test]
fn load_is_reported_once_and_weight_factors_move_keys() {
    let mut router = TestRouter::new(settings(), 1, 9);
    let before = endpoints_by_key(&mut router, 0..600, 1);
    router.handle(Event::PublishLoad);
    let home = router.endpoint_for(request(9_000, 0, 5)).unwrap();
    router.now += 100 * MS;
    router.end_attempt(9_000, 0, Outcome::Error);
    router.now += 100 * MS;
    let load_reports = |actions: Vec<Action>| match actions.into_iter().next() {
        Some(Action::PublishLoad(loads)) => loads,
        other => panic!("expected a load report: {other:?}"),
    };
    let loads = load_reports(router.handle(Event::PublishLoad));
    assert_eq!(loads.len(), 9, "every cache endpoint and not the origin");
    let load = loads.iter().find(|l| l.endpoint == EndpointId(home)).unwrap();
    assert!((load.in_flight - 0.5).abs() < 1e-9 && load.failed == 1, "in flight for half the time: {load:?}");
    router.now += 100 * MS;
    let again = load_reports(router.handle(Event::PublishLoad));
    let load = again.iter().find(|l| l.endpoint == EndpointId(home)).unwrap();
    assert_eq!((load.answered, load.failed), (0, 0), "each end is reported once");

    let mut router = TestRouter::new(settings(), 1, 9);
    router.handle(Event::WeightFactors(vec![(EndpointId(3), 0.1), (EndpointId(77), 0.1)])); // 77 is not listed
    let after = endpoints_by_key(&mut router, 0..600, 1);
    let keys_of_3 = |homes: &BTreeMap<u64, u64>| homes.values().filter(|s| **s == 3).count();
    assert!(keys_of_3(&after) * 4 < keys_of_3(&before), "{} of {}", keys_of_3(&after), keys_of_3(&before));
    let moved = before.iter().filter(|(key, endpoint)| **endpoint != 3 && after[key] != **endpoint).count();
    assert_eq!(moved, 0, "keys of other endpoints do not move");
}
