//! Convergence of a fleet after starts, crashes, stalls and network faults.
mod common;

use common::{Fleet, INCARNATION, MS, S};
use membership::{Action, DownReason, Micros};

/// At 20 % loss, the longest time that a live member is down for any other.
const MAX_DOWN_TIME: Micros = 2 * S;

#[test]
fn members_that_start_together_see_each_other_within_three_seconds() {
    for size in [3, 50, 300] {
        let mut fleet = Fleet::new(size, 1);
        (0..size).for_each(|number| fleet.start(number, INCARNATION));
        assert!(fleet.converges_within(3 * S).is_some(), "{size}: {} wrong", fleet.wrong().len());
    }
}

#[test]
fn joining_member_sees_all_and_is_seen_by_all_within_three_seconds() {
    for size in [50, 300] {
        let mut fleet = Fleet::new(size, 2);
        (0..size - 1).for_each(|number| fleet.start(number, INCARNATION));
        fleet.run(8 * S);
        fleet.start(size - 1, INCARNATION);
        assert!(fleet.converges_within(3 * S).is_some(), "{size}: {} wrong", fleet.wrong().len());
    }
}

#[test]
fn crash_of_seventy_percent_is_detected_by_all_within_ten_seconds() {
    for seed in 0..3 {
        let mut fleet = Fleet::converged(300, seed);
        (0..210).for_each(|number| fleet.crash(number));
        assert!(fleet.converges_within(10 * S).is_some(), "seed {seed}: {} of 90 wrong", fleet.wrong().len());
    }
}

#[test]
fn healed_partition_merges_within_five_seconds() {
    let mut fleet = Fleet::converged(300, 4);
    fleet.faults.cut = Box::new(|from, to| (from < 150) != (to < 150));
    fleet.run(20 * S);
    assert!(fleet.running().iter().all(|&n| fleet.member(n).len() == 150));
    fleet.faults.cut = Box::new(|_, _| false);
    assert!(fleet.converges_within(5 * S).is_some(), "{} wrong", fleet.wrong().len());
}

#[test]
fn live_members_stay_up_at_twenty_percent_loss_with_duplicates_and_reordering() {
    let mut fleet = Fleet::converged(50, 5);
    fleet.faults.loss = 0.2;
    fleet.faults.repeat = 0.1;
    fleet.faults.delay = 0..40 * MS;
    let mut down_since = std::collections::BTreeMap::new();
    for _ in 0..600 {
        fleet.run(100 * MS);
        let short: Vec<_> = fleet.running().into_iter().filter(|&n| fleet.member(n).len() < 50).collect();
        down_since.retain(|n, _| short.contains(n));
        for number in short {
            let since = *down_since.entry(number).or_insert(fleet.now);
            assert!(fleet.now - since <= MAX_DOWN_TIME, "{number} misses one since {since}");
        }
    }
    let suspicions: u64 = fleet.counts().iter().map(|it| it.suspicions).sum();
    assert!(
        (50..200).contains(&suspicions),
        "loss raises suspicions, and repeated pings avoid most of them: {suspicions}"
    );
}

#[test]
fn one_way_loss_of_a_link_for_a_minute_takes_nobody_down() {
    let mut fleet = Fleet::converged(20, 6);
    fleet.faults.cut = Box::new(|from, to| from == 3 && to == 4);
    fleet.run(60 * S);
    assert_eq!(downs(&fleet), vec![]);
}

#[test]
fn member_cut_off_one_way_is_down_and_returns_within_five_seconds() {
    for outgoing in [true, false] {
        let mut fleet = Fleet::converged(30, 7);
        fleet.faults.cut = Box::new(move |from, to| if outgoing { from == 8 } else { to == 8 });
        fleet.run(8 * S);
        assert!(
            fleet.running().iter().all(|&n| n == 8 || fleet.member(n).len() == 29),
            "outgoing {outgoing}"
        );
        fleet.faults.cut = Box::new(|_, _| false);
        assert!(
            fleet.converges_within(5 * S).is_some(),
            "outgoing {outgoing}: {} wrong",
            fleet.wrong().len()
        );
    }
}

#[test]
fn member_stalled_for_20_s_returns_as_a_new_incarnation_and_suspects_nobody() {
    for reported in [true, false] {
        let mut fleet = Fleet::converged(50, 8);
        fleet.reports_stalls = reported;
        fleet.stall(9, 20 * S);
        fleet.run(20 * S - MS);
        assert_eq!(fleet.member(0).len(), 49, "it was declared down");
        fleet.log.clear();
        assert!(fleet.converges_within(2 * S).is_some(), "{} wrong", fleet.wrong().len());
        fleet.run(10 * S);
        let renewed = fleet
            .log
            .iter()
            .any(|(_, n, it)| *n == 9 && matches!(it, Action::Renewed(me) if me.incarnation > INCARNATION));
        assert!(renewed, "its owner learns of its new incarnation");
        assert_eq!(fleet.member(9).counters().suspicions, 0);
        assert_eq!(downs(&fleet), vec![]);
    }
}

#[test]
fn resumed_member_with_unread_answers_suspects_nobody() {
    for reported in [true, false] {
        let mut fleet = Fleet::converged(20, 14);
        fleet.reports_stalls = reported;
        fleet.faults.delay = 30 * MS..45 * MS;
        for number in 0..20 {
            let phase = fleet.random.u64(0..300) * MS;
            fleet.run(phase);
            let before = fleet.member(number).counters().suspicions;
            fleet.stall(number, S);
            fleet.run(3 * S);
            assert_eq!(fleet.member(number).counters().suspicions, before, "{number}, reported: {reported}");
        }
    }
}

#[test]
fn member_stalled_for_two_seconds_refutes_suspicion_and_stays_up() {
    let mut fleet = Fleet::converged(50, 9);
    fleet.stall(9, 2 * S);
    fleet.run(15 * S);
    assert!(fleet.log.iter().any(|(_, n, it)| *n == 9 && *it == Action::Refuted));
    assert_eq!(downs(&fleet), vec![]);
    assert_eq!(fleet.member(9).local_member().incarnation, INCARNATION);
}

#[test]
fn restarted_member_supersedes_its_earlier_incarnation_even_if_its_clock_went_back() {
    for incarnation in [INCARNATION + S, INCARNATION - 30 * S] {
        let mut fleet = Fleet::converged(30, 10);
        fleet.start(7, incarnation);
        assert!(fleet.converges_within(3 * S).is_some(), "{} wrong", fleet.wrong().len());
        fleet.run(10 * S);
        assert!(fleet.member(7).local_member().incarnation > INCARNATION);
        assert_eq!(downs(&fleet), vec![]);
        let replaced =
            |it: &Action| matches!(it, Action::Down(earlier, DownReason::Superseded) if earlier.number == 7);
        assert_eq!(fleet.log.iter().filter(|(_, _, it)| replaced(it)).count(), 29);
    }
}

#[test]
fn late_datagrams_of_an_old_incarnation_do_not_affect_the_new_one() {
    let mut fleet = Fleet::converged(10, 11);
    fleet.captured = Some(Vec::new());
    fleet.run(2 * S);
    fleet.leave(7);
    fleet.run(S);
    let late = fleet.captured.take().unwrap();
    fleet.start(7, INCARNATION + S);
    assert!(fleet.converges_within(3 * S).is_some());
    fleet.log.clear();
    for (to, datagram) in late {
        fleet.with(to, |it, now| it.handle_datagram(now, &datagram));
    }
    fleet.run(5 * S);
    assert_eq!(fleet.log, vec![]);
    assert!(fleet.counts().iter().map(|it| it.stale_incarnation).sum::<u64>() > 0);
}

#[test]
fn leaving_member_is_down_at_once_with_reason_left() {
    let mut fleet = Fleet::converged(50, 12);
    fleet.leave(7);
    assert!(fleet.converges_within(S).is_some());
    let left = |it: &Action| matches!(it, Action::Down(gone, DownReason::Left) if gone.number == 7);
    assert_eq!(fleet.log.iter().filter(|(_, _, it)| left(it)).count(), 49);
}

#[test]
fn replaced_process_learns_of_its_replacement_and_falls_silent() {
    let mut fleet = Fleet::converged(10, 13);
    let mut old = fleet.take(7);
    fleet.start(7, INCARNATION + S);
    assert!(fleet.converges_within(3 * S).is_some());
    old.join(fleet.now, &[common::address(0)]);
    let announcement = std::iter::from_fn(|| old.poll()).find_map(|it| match it {
        Action::Send { to, datagram } if to == common::address(0) => Some(datagram),
        _ => None,
    });
    fleet.captured = Some(Vec::new());
    fleet.with(0, |it, now| it.handle_datagram(now, &announcement.unwrap()));
    for (_, answer) in fleet.captured.take().unwrap() {
        old.handle_datagram(fleet.now, &answer);
    }
    let after: Vec<_> = std::iter::from_fn(|| old.poll()).collect();
    assert!(after.contains(&Action::Replaced(INCARNATION + S)), "{after:?}");
    old.join(fleet.now, &[common::address(0)]);
    assert_eq!(old.poll(), None);
}

/// Which member declared which down, without replacements.
fn downs(fleet: &Fleet) -> Vec<(usize, u16)> {
    let out = |(_, n, it): &(Micros, usize, Action)| match it {
        Action::Down(gone, why) if *why != DownReason::Superseded => Some((*n, gone.number)),
        _ => None,
    };
    fleet.log.iter().filter_map(out).collect()
}
