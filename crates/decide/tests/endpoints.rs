//! The key table, the server list, and the servers' health.

mod common;
use common::*;
use decide::api::*;
use std::collections::{BTreeMap, BTreeSet};

/// Where each of `keys` is sent when each request is answered before the next.
fn homes(rig: &mut Rig, keys: std::ops::Range<u64>, first_id: u64) -> BTreeMap<u64, u64> {
    keys.zip(first_id..)
        .filter_map(|(key, id)| {
            let server = rig.sent_to(request(id, 0, key))?;
            rig.end(id, 0, Outcome::Ok);
            Some((key, server))
        })
        .collect()
}

fn moved(a: &BTreeMap<u64, u64>, b: &BTreeMap<u64, u64>) -> usize {
    a.iter().filter(|(key, server)| b.get(key) != Some(server)).count()
}

#[test]
fn balancers_that_share_nothing_choose_the_same_endpoint_for_a_key() {
    let (mut a, mut b) = (Rig::new(settings(), 1, 9), Rig::new(settings(), 2, 9));
    b.list(ListKind::Full, (1..=9).rev().chain([ORIGIN]).map(server).collect()); // in another order
    let (a, b) = (homes(&mut a, 0..300, 1), homes(&mut b, 0..300, 1));
    assert_eq!(moved(&a, &b), 0);
    assert_eq!(a.values().collect::<BTreeSet<_>>().len(), 9, "and all servers have keys");
}

#[test]
fn few_keys_move_when_the_endpoints_change() {
    let mut rig = Rig::new(settings(), 1, 10);
    let before = homes(&mut rig, 0..1_000, 1);
    rig.list(ListKind::Delta, vec![EndpointEntry { presence: Presence::Gone, ..server(4) }]);
    let without = homes(&mut rig, 0..1_000, 2_000);
    let of_four = before.values().filter(|&&s| s == 4).count();
    assert_eq!(moved(&before, &without), of_four, "only the keys of the server that left");
    rig.list(ListKind::Delta, vec![server(11)]);
    let with = homes(&mut rig, 0..1_000, 4_000);
    assert!(
        with.iter().all(|(key, &s)| s == 11 || without[key] == s),
        "the new one takes keys, none change besides"
    );
}

#[test]
fn heavier_endpoints_have_more_keys() {
    let mut rig = Rig::new(Settings { weights_are_lasting: true, ..settings() }, 1, 2);
    rig.list(ListKind::Delta, vec![EndpointEntry { weight: 3.0, ..server(2) }]);
    let share = homes(&mut rig, 0..2_000, 1).values().filter(|&&s| s == 2).count();
    assert!((1_400..1_600).contains(&share), "three quarters: {share}");
}

#[test]
fn key_moves_only_when_its_endpoint_leaves_its_bounds() {
    let mut rig = Rig::new(settings(), 1, 8);
    let home = rig.sent_to(request(1, 0, 5)).unwrap();
    let first_other = (2..40).find(|&id| rig.sent_to(request(id, 0, 5)).is_some_and(|s| s != home));
    assert!(first_other.is_some_and(|id| id > 2), "it stays for a second one, then spills: {first_other:?}");
}

#[test]
fn hot_key_is_spread_over_several_endpoints_and_another_is_not() {
    let mut rig = Rig::new(settings(), 1, 20);
    let mut hot = BTreeSet::new();
    let mut cool = BTreeSet::new();
    for id in 0..2_000 {
        rig.now += MS;
        let key = if id % 4 == 0 { 1 } else { 100 + id % 400 };
        let server = rig.sent_to(request(id, 0, key));
        rig.end(id, 0, Outcome::Ok);
        if key == 1 {
            hot.insert(server);
        } else if key == 101 {
            cool.insert(server);
        }
    }
    assert!(hot.len() > 2, "a quarter of all reads on one key of twenty servers: {hot:?}");
    assert_eq!(cool.len(), 1, "{cool:?}");
}

#[test]
fn one_of_a_hundred_balancers_spreads_a_key_that_it_sees_a_few_times() {
    // Sixty servers, fifteen reads a second: a key with a twentieth of all reads is worth three servers' part.
    let mut rig = Rig::new(Settings { balancers: 100, ..settings() }, 1, 60);
    let mut hot = BTreeSet::new();
    for id in 0..150 {
        rig.now += 67 * MS;
        let key = if id % 20 == 0 { 1 } else { 100 + id };
        let server = rig.sent_to(request(id, 0, key));
        rig.end(id, 0, Outcome::Ok);
        if key == 1 {
            hot.insert(server);
        }
    }
    assert!(hot.len() > 1, "{hot:?}");
}

#[test]
fn endpoint_that_rejected_a_read_is_avoided_for_a_moment() {
    let mut rig = Rig::new(settings(), 1, 5);
    let home = rig.sent_to(request(1, 0, 5)).unwrap();
    let next = sends(&rig.end(1, 0, Outcome::Rejected));
    assert!(next.len() == 1 && next[0] != home);
    assert_eq!(rig.sent_to(request(2, 0, 5)), Some(next[0]));
    rig.now += 1_000 * MS;
    assert_eq!(rig.sent_to(request(3, 0, 5)), Some(home));
}

#[test]
fn nothing_is_sent_to_an_endpoint_that_drains_or_is_gone_waiting_fetches_included() {
    for presence in [Presence::Draining, Presence::Gone] {
        let mut rig = Rig::new(settings(), 1, 3);
        rig.miss(1, 0, 11);
        let held = rig.miss(2, 0, 12);
        let gone = |id| EndpointEntry { presence, ..server(id) };
        rig.list(ListKind::Delta, vec![gone(ORIGIN), gone(2)]);
        let after = rig.pass(1_000 * MS, &held);
        assert!(sends(&after).is_empty() && refused(&after), "{presence:?}: {after:?}");
        let homes = homes(&mut rig, 0..200, 100);
        assert!(homes.len() == 200 && homes.values().all(|&s| s != 2), "{presence:?}");
    }
}

#[test]
fn endpoint_absent_from_a_complete_list_is_gone() {
    let mut rig = Rig::new(settings(), 1, 3);
    rig.list(ListKind::Full, [1, 3, ORIGIN].map(server).to_vec());
    assert!(homes(&mut rig, 0..100, 1).values().all(|&s| s != 2));
}

#[test]
fn endpoint_in_slow_start_gets_its_ramped_share_even_of_one_hot_key_and_more_only_while_it_is_quick() {
    let mut rig = Rig::new(settings(), 1, 9);
    timed(&mut rig, 20_000..20_400, |_| 30);
    let cold = EndpointEntry { online_since: rig.now, ..server(10) };
    rig.list(ListKind::Delta, vec![cold]);
    // A key whose home is the cold server.
    let key = (0..10_000).find(|&key| {
        let home = rig.sent_to(request(50_000 + key, 0, key));
        rig.end(50_000 + key, 0, Outcome::Ok);
        home == Some(10)
    });
    let key = key.expect("some key has its home there");
    let mut sent = |ids: std::ops::Range<u64>, ms| {
        ids.filter(|&id| {
            let to = rig.sent_to(request(id, 0, key));
            rig.end_after(id, 0, Outcome::Ok, if to == Some(10) { ms * MS } else { 30 * MS });
            to == Some(10)
        })
        .count()
    };
    let quick = sent(1_000..2_000, 10);
    assert!(quick > 200, "what it answers sooner than the others clocks what it is sent: {quick}");
    let sent = sent(0..1_000, 40);
    // It can do a fifth of a tenth of the fleet's work: 20 in 1,000, times the budget of 1.5, and what was saved.
    assert!((1..=34).contains(&sent), "{sent}");
}

#[test]
fn endpoints_all_in_slow_start_are_not_sent_everything() {
    let mut rig = Rig::new(settings(), 1, 0);
    let now = rig.now;
    rig.list(ListKind::Delta, (1..=10).map(|id| EndpointEntry { online_since: now, ..server(id) }).collect());
    let sent = (0..1_000)
        .filter(|&id| {
            let actions = rig.ask(request(id, 0, id));
            rig.end_after(id, 0, Outcome::Ok, 300 * MS);
            let no_server = |a: &Action| matches!(a, Action::Reject { reason: Reason::NoEndpoint, .. });
            assert!(!actions.iter().any(no_server), "the rest goes to the origin, as after a miss");
            sends(&actions).first().is_some_and(|&to| to != ORIGIN)
        })
        .count();
    assert!((200..=330).contains(&sent), "a fifth of what warm servers do, times 1.5: {sent}");
}

#[test]
fn restarted_endpoint_warms_up_again() {
    let mut rig = Rig::new(settings(), 1, 4);
    let before = homes(&mut rig, 0..400, 1).values().filter(|&&s| s == 2).count();
    let again = EndpointEntry { online_since: rig.now, ..server(2) };
    rig.list(ListKind::Delta, vec![again]);
    let after = homes(&mut rig, 0..400, 1_000).values().filter(|&&s| s == 2).count();
    assert!(after < before / 2, "{before} then {after}");
    rig.now += 11_000 * MS;
    let warm = homes(&mut rig, 0..400, 2_000).values().filter(|&&s| s == 2).count();
    assert_eq!(warm, before);
}

/// The servers in use after `outcome` came back from each of `bad` a few times.
fn after_failures(
    mut rig: Rig, bad: std::ops::RangeInclusive<u64>, outcome: Outcome,
) -> (Rig, BTreeSet<u64>) {
    for id in 0..400 {
        let Some(to) = rig.sent_to(request(id, 0, id)) else { continue };
        rig.end(id, 0, if bad.contains(&to) { outcome } else { Outcome::Ok });
        rig.feed(Event::ClientLeft(RequestId(id)));
        (1..6).for_each(|n| assert!(sends(&rig.end(id, n, Outcome::Cancelled)).is_empty())); // repeats still out
    }
    let used = homes(&mut rig, 1_000..1_400, 1_000).into_values().collect();
    (rig, used)
}

#[test]
fn draining_endpoints_do_not_count_as_ejected() {
    let (mut rig, _) = after_failures(Rig::new(settings(), 1, 10), 1..=2, Outcome::ConnectFailed);
    rig.list(
        ListKind::Delta,
        [1, 2].map(|id| EndpointEntry { presence: Presence::Draining, ..server(id) }).to_vec(),
    );
    let (_, used) = after_failures(rig, 3..=3, Outcome::Error);
    assert!(!used.contains(&3) && used.len() == 7, "a host that answers errors is taken out: {used:?}");
}

#[test]
fn failing_endpoint_is_ejected_and_tried_again_later() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::ConnectFailed] {
        let (mut rig, used) = after_failures(Rig::new(settings(), 1, 9), 3..=3, outcome);
        assert!(!used.contains(&3) && used.len() == 8, "{outcome:?}: {used:?}");
        rig.now += 2_000 * MS;
        assert!(
            homes(&mut rig, 2_000..2_400, 3_000).values().any(|&s| s == 3),
            "{outcome:?}: back after a trial"
        );
    }
}

/// Reads one after the other, each answered after its server's time; how many each server got.
fn timed(rig: &mut Rig, ids: std::ops::Range<u64>, ms: impl Fn(u64) -> Micros) -> BTreeMap<u64, usize> {
    let mut sent = BTreeMap::new();
    for id in ids {
        let to = rig.sent_to(request(id, 0, id)).unwrap();
        rig.now += 5 * MS;
        rig.end_after(id, 0, Outcome::Ok, ms(to) * MS);
        *sent.entry(to).or_default() += 1;
    }
    sent
}

#[test]
fn endpoint_far_slower_than_the_others_is_ejected_until_it_is_quick_again() {
    let mut rig = Rig::new(settings(), 1, 9);
    timed(&mut rig, 0..400, |_| 30);
    timed(&mut rig, 400..800, |to| if to == 3 { 280 } else { 30 });
    let out = timed(&mut rig, 800..1_200, |to| if to == 3 { 280 } else { 30 });
    assert!(out.get(&3).copied().unwrap_or(0) < 5, "trials alone: {out:?}");
    rig.now += 20_000 * MS;
    timed(&mut rig, 1_200..1_600, |_| 30);
    let back = timed(&mut rig, 1_600..2_000, |_| 30);
    assert!(back[&3] > 20, "it has its keys again: {back:?}");
}

#[test]
fn slowness_ejects_none_where_all_are_slow_and_a_fifth_at_most_where_many_are() {
    let mut rig = Rig::new(settings(), 1, 9);
    timed(&mut rig, 0..400, |_| 180);
    let jammed = timed(&mut rig, 400..800, |to| if to == 3 { 600 } else { 180 });
    assert!(jammed[&3] > 20, "three times the median is beyond the aim: {jammed:?}");
    let mut rig = Rig::new(settings(), 1, 9);
    timed(&mut rig, 0..400, |_| 2);
    let swift = timed(&mut rig, 400..800, |to| if to == 3 { 20 } else { 2 });
    assert!(swift[&3] > 20, "ten times the median is still far within the aim: {swift:?}");
    let mut rig = Rig::new(settings(), 1, 1);
    timed(&mut rig, 0..400, |_| 30);
    let only = timed(&mut rig, 400..800, |_| 280);
    assert_eq!(only[&1], 400, "the only one is better than none");
    let mut rig = Rig::new(settings(), 1, 9);
    timed(&mut rig, 0..400, |_| 30);
    timed(&mut rig, 400..1_200, |to| if to <= 4 { 280 } else { 30 });
    let many = timed(&mut rig, 1_200..1_600, |to| if to <= 4 { 280 } else { 30 });
    assert!((1..=4).filter(|slow| many.get(slow).is_some_and(|n| *n > 20)).count() >= 2, "{many:?}");
}

#[test]
fn when_most_endpoints_fail_few_are_ejected_unless_they_are_unreachable() {
    let (_, used) = after_failures(Rig::new(settings(), 1, 9), 1..=8, Outcome::Timeout);
    assert!(used.len() >= 5, "time-outs everywhere: suspect the origin or the network: {used:?}");
    let (_, used) = after_failures(Rig::new(settings(), 1, 9), 1..=8, Outcome::ConnectFailed);
    assert_eq!(used.into_iter().collect::<Vec<_>>(), [9], "a cut zone is left at once");
}

#[test]
fn expensive_cross_zone_attempts_keep_keys_in_the_zone() {
    let zoned = Settings { zones: 2, cross_zone_price: 0.2, ..settings() };
    let mut rig = Rig::new(zoned, 1, 0);
    let zone = |id: u64| EndpointEntry { zone: ZoneId((id % 2) as u8), ..server(id) };
    rig.list(ListKind::Full, (1..=8).chain([ORIGIN]).map(zone).collect());
    assert!(homes(&mut rig, 0..300, 1).values().all(|s| s % 2 == 0));
}

#[test]
fn discovery_is_polled_again_after_a_failure_with_backoff() {
    let ask = Settings { discovery: Discovery::Poll, max_poll_interval_us: 8_000 * MS, ..settings() };
    let mut rig = Rig::new(ask, 1, 0);
    let mut actions = rig.list(ListKind::Cached, vec![server(1)]);
    let mut waits = Vec::new();
    for _ in 0..8 {
        let [Action::Timer { delay_us, .. }] = actions[..] else { panic!("one timer: {actions:?}") };
        waits.push(delay_us);
        assert_eq!(rig.pass(delay_us, &actions), [Action::Watch]);
        actions = rig.list(ListKind::Failed, vec![]);
    }
    assert!(
        waits[0] < 8_000 * MS && waits.iter().all(|&w| w < 4 * 8_000 * MS),
        "within the stated time: {waits:?}"
    );
    assert!(waits[4] > waits[1]);
    assert_eq!(rig.list(ListKind::Delta, vec![server(2)]), [], "an answered watch is not asked again");
    assert!(homes(&mut rig, 0..50, 1).values().any(|&s| s == 1), "a failure keeps the list");
}

#[test]
fn same_events_and_seed_give_the_same_actions() {
    let run = || {
        let mut rig = Rig::new(settings(), 42, 7);
        let mut log = Vec::new();
        for id in 0..500 {
            rig.now += 3 * MS;
            log.extend(rig.ask(request(id, 0, id % 37)));
            log.extend(rig.end(id, 0, if id % 5 == 0 { Outcome::Miss } else { Outcome::Ok }));
        }
        log
    };
    assert_eq!(run(), run());
}

#[test]
fn load_is_reported_once_and_weight_factors_move_keys_of_that_endpoint_only() {
    let mut rig = Rig::new(settings(), 1, 9);
    let before = homes(&mut rig, 0..600, 1);
    rig.feed(Event::PublishLoad);
    let home = rig.sent_to(request(9_000, 0, 5)).unwrap();
    rig.now += 100 * MS;
    rig.end(9_000, 0, Outcome::Error);
    rig.now += 100 * MS;
    let told = |actions: Vec<Action>| match actions.into_iter().next() {
        Some(Action::PublishLoad(loads)) => loads,
        other => panic!("{other:?}"),
    };
    let loads = told(rig.feed(Event::PublishLoad));
    assert_eq!(loads.len(), 9, "every cache server, and not the origin");
    let load = loads.iter().find(|l| l.endpoint == EndpointId(home)).unwrap();
    assert!((load.in_flight - 0.5).abs() < 1e-9 && load.failed == 1, "half the time: {load:?}");
    rig.now += 100 * MS;
    let again = told(rig.feed(Event::PublishLoad));
    let load = again.iter().find(|l| l.endpoint == EndpointId(home)).unwrap();
    assert_eq!((load.answered, load.failed), (0, 0), "each end is told once");

    let mut rig = Rig::new(settings(), 1, 9);
    rig.feed(Event::WeightFactors(vec![(EndpointId(3), 0.1), (EndpointId(77), 0.1)])); // one of them is not listed
    let after = homes(&mut rig, 0..600, 1);
    let of = |homes: &BTreeMap<u64, u64>| homes.values().filter(|s| **s == 3).count();
    assert!(of(&after) * 4 < of(&before), "{} of {}", of(&after), of(&before));
    let strays = before.iter().filter(|(key, server)| **server != 3 && after[key] != **server).count();
    assert_eq!(strays, 0, "keys of other servers stay where they are");
}
