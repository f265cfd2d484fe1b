//! A fleet finds itself, and finds itself again after what a network and processes do to it.
mod common;

use common::{Fleet, LIFE, MS, S};
use membership::{Action, DownReason, Micros};

/// At 20 % loss, the longest that a living member is out of anyone's view.
const OUT_AT_MOST: Micros = 2 * S;

#[test]
fn all_who_start_at_once_are_in_view_of_one_another_within_three_seconds() {
    for size in [3, 50, 300] {
        let mut fleet = Fleet::new(size, 1);
        (0..size).for_each(|number| fleet.start(number, LIFE));
        assert!(fleet.settles_within(3 * S).is_some(), "{size}: {} wrong", fleet.wrong().len());
    }
}

#[test]
fn one_that_joins_knows_all_and_is_known_by_all_within_three_seconds() {
    for size in [50, 300] {
        let mut fleet = Fleet::new(size, 2);
        (0..size - 1).for_each(|number| fleet.start(number, LIFE));
        fleet.run(8 * S);
        fleet.start(size - 1, LIFE);
        assert!(fleet.settles_within(3 * S).is_some(), "{size}: {} wrong", fleet.wrong().len());
    }
}

#[test]
fn a_crash_of_seven_in_ten_is_agreed_on_by_the_rest_within_ten_seconds() {
    for seed in 0..3 {
        let mut fleet = Fleet::settled(300, seed);
        (0..210).for_each(|number| fleet.crash(number));
        assert!(fleet.settles_within(10 * S).is_some(), "seed {seed}: {} of 90 wrong", fleet.wrong().len());
    }
}

#[test]
fn two_halves_that_gave_each_other_up_are_one_again_within_five_seconds_of_the_heal() {
    let mut fleet = Fleet::settled(300, 4);
    fleet.faults.cut = Box::new(|from, to| (from < 150) != (to < 150));
    fleet.run(20 * S);
    assert!(fleet.living().iter().all(|&n| fleet.member(n).len() == 150));
    fleet.faults.cut = Box::new(|_, _| false);
    assert!(fleet.settles_within(5 * S).is_some(), "{} wrong", fleet.wrong().len());
}

#[test]
fn at_one_in_five_lost_some_repeated_and_overtaken_no_living_member_stays_out() {
    let mut fleet = Fleet::settled(50, 5);
    fleet.faults.loss = 0.2;
    fleet.faults.repeat = 0.1;
    fleet.faults.delay = 0..40 * MS;
    let mut out = std::collections::BTreeMap::new();
    for _ in 0..600 {
        fleet.run(100 * MS);
        let short: Vec<_> = fleet.living().into_iter().filter(|&n| fleet.member(n).len() < 50).collect();
        out.retain(|n, _| short.contains(n));
        for number in short {
            let since = *out.entry(number).or_insert(fleet.now);
            assert!(fleet.now - since <= OUT_AT_MOST, "{number} misses one since {since}");
        }
    }
    let suspicions: u64 = fleet.counts().iter().map(|it| it.suspicions).sum();
    assert!(
        (50..200).contains(&suspicions),
        "the loss is felt, and second tries take most of it away: {suspicions}"
    );
}

#[test]
fn a_link_that_carries_nothing_one_way_for_a_minute_puts_nobody_out() {
    let mut fleet = Fleet::settled(20, 6);
    fleet.faults.cut = Box::new(|from, to| from == 3 && to == 4);
    fleet.run(60 * S);
    assert_eq!(downs(&fleet), vec![]);
}

#[test]
fn one_that_is_not_heard_or_does_not_hear_is_out_and_comes_back_within_five_seconds() {
    for way in [true, false] {
        let mut fleet = Fleet::settled(30, 7);
        fleet.faults.cut = Box::new(move |from, to| if way { from == 8 } else { to == 8 });
        fleet.run(8 * S);
        assert!(fleet.living().iter().all(|&n| n == 8 || fleet.member(n).len() == 29), "way {way}");
        fleet.faults.cut = Box::new(|_, _| false);
        assert!(fleet.settles_within(5 * S).is_some(), "way {way}: {} wrong", fleet.wrong().len());
    }
}

#[test]
fn one_that_stood_still_for_20_s_comes_back_as_a_later_life_and_accuses_nobody() {
    for told in [true, false] {
        let mut fleet = Fleet::settled(50, 8);
        fleet.told_of_stalls = told;
        fleet.stall(9, 20 * S);
        fleet.run(20 * S - MS);
        assert_eq!(fleet.member(0).len(), 49, "it was given up");
        fleet.log.clear();
        assert!(fleet.settles_within(2 * S).is_some(), "{} wrong", fleet.wrong().len());
        fleet.run(10 * S);
        let renewed = fleet
            .log
            .iter()
            .any(|(_, n, it)| *n == 9 && matches!(it, Action::Renewed(me) if me.incarnation > LIFE));
        assert!(renewed, "its owner sees its new life");
        assert_eq!(fleet.member(9).counters().suspicions, 0);
        assert_eq!(downs(&fleet), vec![]);
    }
}

#[test]
fn one_that_wakes_with_its_answers_unread_accuses_nobody() {
    for told in [true, false] {
        let mut fleet = Fleet::settled(20, 14);
        fleet.told_of_stalls = told;
        fleet.faults.delay = 30 * MS..45 * MS;
        for number in 0..20 {
            let phase = fleet.random.u64(0..300) * MS;
            fleet.run(phase);
            let before = fleet.member(number).counters().suspicions;
            fleet.stall(number, S);
            fleet.run(3 * S);
            assert_eq!(fleet.member(number).counters().suspicions, before, "{number}, told: {told}");
        }
    }
}

#[test]
fn one_that_stood_still_for_two_seconds_says_that_it_lives_and_stays_in() {
    let mut fleet = Fleet::settled(50, 9);
    fleet.stall(9, 2 * S);
    fleet.run(15 * S);
    assert!(fleet.log.iter().any(|(_, n, it)| *n == 9 && *it == Action::Refuted));
    assert_eq!(downs(&fleet), vec![]);
    assert_eq!(fleet.member(9).local_member().incarnation, LIFE);
}

#[test]
fn one_restarted_without_memory_replaces_its_ghost_also_where_its_clock_went_back() {
    for incarnation in [LIFE + S, LIFE - 30 * S] {
        let mut fleet = Fleet::settled(30, 10);
        fleet.start(7, incarnation);
        assert!(fleet.settles_within(3 * S).is_some(), "{} wrong", fleet.wrong().len());
        fleet.run(10 * S);
        assert!(fleet.member(7).local_member().incarnation > LIFE);
        assert_eq!(downs(&fleet), vec![]);
        let replaced =
            |it: &Action| matches!(it, Action::Down(ghost, DownReason::Superseded) if ghost.number == 7);
        assert_eq!(fleet.log.iter().filter(|(_, _, it)| replaced(it)).count(), 29);
    }
}

#[test]
fn late_datagrams_of_an_old_life_do_not_touch_the_new_one() {
    let mut fleet = Fleet::settled(10, 11);
    fleet.kept = Some(Vec::new());
    fleet.run(2 * S);
    fleet.leave(7);
    fleet.run(S);
    let late = fleet.kept.take().unwrap();
    fleet.start(7, LIFE + S);
    assert!(fleet.settles_within(3 * S).is_some());
    fleet.log.clear();
    for (to, datagram) in late {
        fleet.with(to, |it, now| it.handle_datagram(now, &datagram));
    }
    fleet.run(5 * S);
    assert_eq!(fleet.log, vec![]);
    assert!(fleet.counts().iter().map(|it| it.stale_incarnation).sum::<u64>() > 0);
}

#[test]
fn one_that_leaves_is_out_at_once_and_known_to_have_left() {
    let mut fleet = Fleet::settled(50, 12);
    fleet.leave(7);
    assert!(fleet.settles_within(S).is_some());
    let left = |it: &Action| matches!(it, Action::Down(gone, DownReason::Left) if gone.number == 7);
    assert_eq!(fleet.log.iter().filter(|(_, _, it)| left(it)).count(), 49);
}

#[test]
fn a_process_whose_number_a_later_one_took_learns_it_and_falls_silent() {
    let mut fleet = Fleet::settled(10, 13);
    let mut old = fleet.take(7);
    fleet.start(7, LIFE + S);
    assert!(fleet.settles_within(3 * S).is_some());
    old.join(fleet.now, &[common::address(0)]);
    let asked = std::iter::from_fn(|| old.poll()).find_map(|it| match it {
        Action::Send { to, datagram } if to == common::address(0) => Some(datagram),
        _ => None,
    });
    fleet.kept = Some(Vec::new());
    fleet.with(0, |it, now| it.handle_datagram(now, &asked.unwrap()));
    for (_, answer) in fleet.kept.take().unwrap() {
        old.handle_datagram(fleet.now, &answer);
    }
    let after: Vec<_> = std::iter::from_fn(|| old.poll()).collect();
    assert!(after.contains(&Action::Replaced(LIFE + S)), "{after:?}");
    old.join(fleet.now, &[common::address(0)]);
    assert_eq!(old.poll(), None);
}

/// Who declared whom out, replacements aside.
fn downs(fleet: &Fleet) -> Vec<(usize, u16)> {
    let out = |(_, n, it): &(Micros, usize, Action)| match it {
        Action::Down(gone, why) if *why != DownReason::Superseded => Some((*n, gone.number)),
        _ => None,
    };
    fleet.log.iter().filter_map(out).collect()
}
