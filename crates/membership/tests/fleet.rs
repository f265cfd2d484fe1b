//! Convergence of a fleet after starts, crashes, stalls and network faults.
mod common;

use common::{Fleet, INCARNATION, MILLISECOND, SECOND};
use membership::{Action, DownReason, Micros};

/// The longest time that a live member may be down for another member at 20 % loss.
const MAX_DOWN_TIME: Micros = 2 * SECOND;

#[test]
fn members_started_together_converge_within_three_seconds() {
    for size in [3, 50, 300] {
        let mut fleet = Fleet::new(size, 1);
        (0..size).for_each(|number| fleet.start(number, INCARNATION));
        assert!(
            fleet.converges_within(3 * SECOND).is_some(),
            "{size} members: {} have a wrong view",
            fleet.members_with_wrong_view().len()
        );
    }
}

#[test]
fn joining_member_converges_with_fleet_within_three_seconds() {
    for size in [50, 300] {
        let mut fleet = Fleet::new(size, 2);
        (0..size - 1).for_each(|number| fleet.start(number, INCARNATION));
        fleet.run(8 * SECOND);
        fleet.start(size - 1, INCARNATION);
        assert!(
            fleet.converges_within(3 * SECOND).is_some(),
            "{size} members: {} have a wrong view",
            fleet.members_with_wrong_view().len()
        );
    }
}

#[test]
fn crash_of_seventy_percent_is_detected_within_ten_seconds() {
    for seed in 0..3 {
        let mut fleet = Fleet::converged(300, seed);
        (0..210).for_each(|number| fleet.crash(number));
        assert!(
            fleet.converges_within(10 * SECOND).is_some(),
            "seed {seed}: {} of 90 wrong",
            fleet.members_with_wrong_view().len()
        );
    }
}

#[test]
fn healed_partition_merges_within_five_seconds() {
    let mut fleet = Fleet::converged(300, 4);
    fleet.faults.cut = Box::new(|from, to| (from < 150) != (to < 150));
    fleet.run(20 * SECOND);
    assert!(fleet.running().iter().all(|&n| fleet.member(n).len() == 150));
    fleet.faults.cut = Box::new(|_, _| false);
    assert!(
        fleet.converges_within(5 * SECOND).is_some(),
        "{} members have a wrong view",
        fleet.members_with_wrong_view().len()
    );
}

#[test]
fn live_members_stay_up_despite_loss_duplicates_and_reordering() {
    let mut fleet = Fleet::converged(50, 5);
    fleet.faults.loss = 0.2;
    fleet.faults.duplication = 0.1;
    fleet.faults.delay = 0..40 * MILLISECOND;
    let mut down_since = std::collections::BTreeMap::new();
    for _ in 0..600 {
        fleet.run(100 * MILLISECOND);
        let incomplete: Vec<_> =
            fleet.running().into_iter().filter(|&n| fleet.member(n).len() < 50).collect();
        down_since.retain(|n, _| incomplete.contains(n));
        for number in incomplete {
            let since = *down_since.entry(number).or_insert(fleet.now);
            assert!(
                fleet.now - since <= MAX_DOWN_TIME,
                "member {number} misses a live member since {since} us"
            );
        }
    }
    let suspicions: u64 = fleet.counters().iter().map(|it| it.suspicions).sum();
    assert!(
        (50..200).contains(&suspicions),
        "{suspicions} suspicions: loss must raise some, and repeated pings must prevent most"
    );
}

#[test]
fn one_way_link_loss_for_a_minute_takes_no_member_down() {
    let mut fleet = Fleet::converged(20, 6);
    fleet.faults.cut = Box::new(|from, to| from == 3 && to == 4);
    fleet.run(60 * SECOND);
    assert_eq!(downs(&fleet), vec![]);
}

#[test]
fn member_cut_off_one_way_rejoins_within_five_seconds() {
    for outgoing in [true, false] {
        let mut fleet = Fleet::converged(30, 7);
        fleet.faults.cut = Box::new(move |from, to| if outgoing { from == 8 } else { to == 8 });
        fleet.run(8 * SECOND);
        assert!(
            fleet.running().iter().all(|&n| n == 8 || fleet.member(n).len() == 29),
            "outgoing {outgoing}"
        );
        fleet.faults.cut = Box::new(|_, _| false);
        assert!(
            fleet.converges_within(5 * SECOND).is_some(),
            "outgoing {outgoing}: {} members have a wrong view",
            fleet.members_with_wrong_view().len()
        );
    }
}

#[test]
fn member_stalled_for_20_s_renews_and_suspects_nobody() {
    for reported in [true, false] {
        let mut fleet = Fleet::converged(50, 8);
        fleet.reports_stalls = reported;
        fleet.stall(9, 20 * SECOND);
        fleet.run(20 * SECOND - MILLISECOND);
        assert_eq!(fleet.member(0).len(), 49, "the stalled member must be declared down");
        fleet.log.clear();
        assert!(
            fleet.converges_within(2 * SECOND).is_some(),
            "{} members have a wrong view",
            fleet.members_with_wrong_view().len()
        );
        fleet.run(10 * SECOND);
        let renewed = fleet.log.iter().any(|(_, n, it)| {
            *n == 9 && matches!(it, Action::Renewed(local) if local.incarnation > INCARNATION)
        });
        assert!(renewed, "the stalled member must report its new incarnation to its owner");
        assert_eq!(fleet.member(9).counters().suspicions, 0);
        assert_eq!(downs(&fleet), vec![]);
    }
}

#[test]
fn resumed_member_with_unread_answers_suspects_nobody() {
    for reported in [true, false] {
        let mut fleet = Fleet::converged(20, 14);
        fleet.reports_stalls = reported;
        fleet.faults.delay = 30 * MILLISECOND..45 * MILLISECOND;
        for number in 0..20 {
            let phase = fleet.random.u64(0..300) * MILLISECOND;
            fleet.run(phase);
            let before = fleet.member(number).counters().suspicions;
            fleet.stall(number, SECOND);
            fleet.run(3 * SECOND);
            assert_eq!(fleet.member(number).counters().suspicions, before, "{number}, reported: {reported}");
        }
    }
}

#[test]
fn member_stalled_for_2_s_refutes_suspicion_and_stays_up() {
    let mut fleet = Fleet::converged(50, 9);
    fleet.stall(9, 2 * SECOND);
    fleet.run(15 * SECOND);
    assert!(fleet.log.iter().any(|(_, n, it)| *n == 9 && *it == Action::Refuted));
    assert_eq!(downs(&fleet), vec![]);
    assert_eq!(fleet.member(9).local_member().incarnation, INCARNATION);
}

#[test]
fn restarted_member_supersedes_its_earlier_incarnation() {
    // The second incarnation is that of a process whose clock went back.
    for incarnation in [INCARNATION + SECOND, INCARNATION - 30 * SECOND] {
        let mut fleet = Fleet::converged(30, 10);
        fleet.start(7, incarnation);
        assert!(
            fleet.converges_within(3 * SECOND).is_some(),
            "{} members have a wrong view",
            fleet.members_with_wrong_view().len()
        );
        fleet.run(10 * SECOND);
        assert!(fleet.member(7).local_member().incarnation > INCARNATION);
        assert_eq!(downs(&fleet), vec![]);
        let replaced =
            |it: &Action| matches!(it, Action::Down(earlier, DownReason::Superseded) if earlier.number == 7);
        assert_eq!(fleet.log.iter().filter(|(_, _, it)| replaced(it)).count(), 29);
    }
}

#[test]
fn late_datagrams_of_old_incarnation_do_not_affect_new_one() {
    let mut fleet = Fleet::converged(10, 11);
    fleet.captured = Some(Vec::new());
    fleet.run(2 * SECOND);
    fleet.leave(7);
    fleet.run(SECOND);
    let late = fleet.captured.take().unwrap();
    fleet.start(7, INCARNATION + SECOND);
    assert!(fleet.converges_within(3 * SECOND).is_some());
    fleet.log.clear();
    for (to, datagram) in late {
        fleet.drive(to, |it, now| it.handle_datagram(now, &datagram));
    }
    fleet.run(5 * SECOND);
    assert_eq!(fleet.log, vec![]);
    assert!(fleet.counters().iter().map(|it| it.stale_incarnation).sum::<u64>() > 0);
}

#[test]
fn leaving_member_is_down_at_once_with_reason_left() {
    let mut fleet = Fleet::converged(50, 12);
    fleet.leave(7);
    assert!(fleet.converges_within(SECOND).is_some());
    let left = |it: &Action| matches!(it, Action::Down(gone, DownReason::Left) if gone.number == 7);
    assert_eq!(fleet.log.iter().filter(|(_, _, it)| left(it)).count(), 49);
}

#[test]
fn replaced_process_reports_replacement_and_ignores_inputs() {
    let mut fleet = Fleet::converged(10, 13);
    let mut old = fleet.take_process(7);
    fleet.start(7, INCARNATION + SECOND);
    assert!(fleet.converges_within(3 * SECOND).is_some());
    old.join(fleet.now, &[common::address(0)]);
    let announcement = std::iter::from_fn(|| old.poll()).find_map(|it| match it {
        Action::Send { to, datagram } if to == common::address(0) => Some(datagram),
        _ => None,
    });
    fleet.captured = Some(Vec::new());
    fleet.drive(0, |it, now| it.handle_datagram(now, &announcement.unwrap()));
    for (_, answer) in fleet.captured.take().unwrap() {
        old.handle_datagram(fleet.now, &answer);
    }
    let after: Vec<_> = std::iter::from_fn(|| old.poll()).collect();
    assert!(after.contains(&Action::Replaced(INCARNATION + SECOND)), "{after:?}");
    old.join(fleet.now, &[common::address(0)]);
    assert_eq!(old.poll(), None);
}

/// Returns pairs of a member and the number that it declared down. Replaced incarnations are not counted.
fn downs(fleet: &Fleet) -> Vec<(usize, u16)> {
    let down_pair = |(_, n, it): &(Micros, usize, Action)| match it {
        Action::Down(gone, why) if *why != DownReason::Superseded => Some((*n, gone.number)),
        _ => None,
    };
    fleet.log.iter().filter_map(down_pair).collect()
}
