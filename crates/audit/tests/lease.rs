//! What a lease allows, whatever happens to its holder, its council and its clock.

use audit::Micros;
use audit::lease::{
    Lease, LeaseGrant, LeaseGranter, LeaseHolders, LeaseRequest, LeaseState, Settings, TimeInterval,
};

const SECOND: Micros = 1_000_000;
const LEASE: Micros = 8 * SECOND;
const FRESH: Micros = 3 * SECOND;
const START: Micros = 500 * SECOND;
/// A lease on its holder's clock: shorter by the error of rates.
const OWN: Micros = LEASE - LEASE / 1_000;

fn settings(roster: u16) -> Settings {
    Settings::new(LEASE, FRESH, roster)
}

fn grant(ask: LeaseRequest) -> LeaseGrant {
    LeaseGrant { number: ask.number, incarnation: ask.incarnation, serial: ask.serial }
}

/// Balancer 0 of 12, which asked at `START` and applied its grant a second later.
fn held() -> Lease {
    let mut lease = Lease::new(0, 7, settings(12), START);
    let ask = lease.poll_request(START).unwrap();
    lease.apply_grants(START + SECOND, 1, 90_000, &[grant(ask)]);
    lease
}

/// All others said this, twice a second, from `from` to `to`.
fn all_say(lease: &mut Lease, from: Micros, to: Micros, granted_at: impl Fn(Micros) -> Option<u64>) {
    for now in (from..=to).step_by(SECOND as usize / 2) {
        (1..12).for_each(|number| lease.record_peer_grant(now, number, granted_at(now)));
    }
}

/// The stamp of a grant made now, in the fleet time of [`held`].
fn stamp(now: Micros) -> Option<u64> {
    Some(90_000 + now - START)
}

#[test]
fn a_lease_counts_from_asking_and_ends_by_itself_in_a_process_that_was_stopped() {
    let lease = held();
    let until = START + OWN;
    assert_eq!(lease.state(START + SECOND), (LeaseState::Held, until));
    assert_eq!((lease.serve_until(START + SECOND), lease.change_until(START + SECOND)), (until, until));
    assert_eq!(lease.revision(until - 1), Some(1));
    // Stopped here, and looked at for the first time when it is past.
    for now in [until, START + 900 * SECOND] {
        assert_eq!(lease.state(now), (LeaseState::Fenced, Micros::MAX));
        assert_eq!((lease.serve_until(now), lease.change_until(now), lease.revision(now)), (0, 0, None));
    }
}

#[test]
fn a_start_is_fenced_until_its_first_grant_or_until_a_lease_has_brought_nobody_a_new_one() {
    for last in [None, Some(90_000)] {
        let mut lease = Lease::new(0, 7, settings(12), START);
        assert_eq!(lease.granted_at(), None);
        all_say(&mut lease, START, START + LEASE, |_| last);
        let now = START + LEASE;
        assert_eq!((lease.state(now).0, lease.serve_until(now)), (LeaseState::Fenced, 0));
        let mut orphan = lease.clone();
        all_say(&mut orphan, now, now + SECOND, |_| last);
        assert_eq!(orphan.state(now + SECOND).0, LeaseState::Orphaned);
        orphan.record_peer_grant(now + SECOND, 3, Some(90_001));
        assert_eq!(orphan.state(now + SECOND).0, LeaseState::Fenced, "somebody was granted one");
        let ask = lease.poll_request(now).unwrap();
        lease.apply_grants(
            now,
            1,
            0,
            &[LeaseGrant { incarnation: 8, ..grant(ask) }, LeaseGrant { number: 1, ..grant(ask) }],
        );
        assert_eq!(lease.serve_until(now), 0, "another life's grant, and another's, are not ours");
        lease.apply_grants(now, 2, 0, &[grant(ask)]);
        assert_eq!((lease.state(now).0, lease.granted_at()), (LeaseState::Held, Some(0)));
    }
}

#[test]
fn when_nobody_is_granted_any_more_requests_go_on_without_a_gap_and_changes_stop() {
    let mut lease = held();
    let ends = START + OWN;
    all_say(&mut lease, START, ends, |now| stamp(now.min(START + 2 * SECOND)));
    assert!(lease.serve_until(ends - 1) > ends, "no turn is needed at the lease's end");
    assert_eq!(lease.change_until(ends - 1), ends);
    let (standing, until) = lease.state(ends);
    assert_eq!(standing, LeaseState::Orphaned);
    assert_eq!((lease.serve_until(ends), lease.change_until(ends)), (until, 0));
    assert!(until <= ends + FRESH);
    assert_eq!(lease.state(until).0, LeaseState::Fenced, "it ends by itself in a stopped process");
    // What lay in its socket meanwhile is no proof.
    let woken = until + 60 * SECOND;
    (1..12).for_each(|number| lease.record_peer_grant(woken, number, stamp(START)));
    assert_eq!(lease.state(woken), (LeaseState::Fenced, woken + FRESH));
}

#[test]
fn one_whose_asks_alone_are_lost_is_fenced_also_if_stopped_a_moment_at_its_leases_end() {
    // A new leader's clock may be behind: fleet time then goes on by single microseconds.
    // In a small one nobody's grant is heard of for a pause between asks and a second.
    for (pause, step) in [(1, 1), (SECOND, 1), (3 * SECOND, 1), (3 * SECOND, 3 * SECOND)] {
        let said = |now: Micros| Some(90_000 + (now - START) / pause * step);
        for stopped in (0..FRESH).step_by(SECOND as usize / 4) {
            let (mut lease, ends) = (held(), START + OWN);
            // All but one are heard of an old grant: there are enough of them.
            for now in (START..ends - stopped).step_by(SECOND as usize / 4) {
                (1..12).for_each(|it| {
                    lease.record_peer_grant(now, it, if it == 1 { said(now) } else { said(START) })
                });
                assert!(lease.serve_until(now) <= ends, "stopped at {now}, it would go on past its lease");
            }
            assert_eq!((lease.state(ends).0, lease.serve_until(ends)), (LeaseState::Fenced, 0));
            // Read on waking, sent while it was stopped.
            (2..12).for_each(|it| lease.record_peer_grant(ends, it, said(START)));
            assert_eq!(lease.state(ends).0, LeaseState::Fenced, "stopped for {stopped}");
        }
    }
}

#[test]
fn one_granted_long_before_another_or_that_hears_nearly_nobody_is_fenced() {
    let (mut lease, ends) = (held(), START + OWN);
    all_say(&mut lease, START, ends, |_| stamp(START + 5 * SECOND));
    assert_eq!(lease.state(ends).0, LeaseState::Orphaned, "one ask lost, late and gathered");
    let mut late = held();
    all_say(&mut late, START, ends, |_| stamp(START + 5 * SECOND + 1));
    assert_eq!(late.state(ends).0, LeaseState::Fenced, "granted much later: the fault is ours");
    all_say(&mut late, ends, ends + SECOND, |_| stamp(START));
    assert_eq!(late.state(ends + SECOND).0, LeaseState::Orphaned, "theirs have ended as well by now");
    let mut lone = held();
    for now in (START..=ends).step_by(SECOND as usize / 2) {
        [1, 2, 0, 12, 99].into_iter().for_each(|number| lone.record_peer_grant(now, number, None));
    }
    let standing = lone.state(ends).0;
    assert_eq!(standing, LeaseState::Fenced, "two others of twelve, itself and strangers are too few");
    lone.record_peer_grant(ends, 3, None);
    assert_eq!(lone.state(ends).0, LeaseState::Orphaned);
    lone.apply_grants(ends, 2, 95_000, &[LeaseGrant { number: 3, incarnation: 3, serial: 3 }]);
    assert_eq!(lone.state(ends).0, LeaseState::Fenced, "the log goes on, whatever is said");
}

#[test]
fn a_holder_sees_its_lease_end_before_others_do_at_the_worst_of_rates() {
    let mut lease = Lease::new(0, 7, settings(12), 0);
    let mut holders = LeaseHolders::new(settings(12));
    let ask = lease.poll_request(0).unwrap();
    lease.apply_grants(0, 1, 0, &[grant(ask)]);
    holders.apply_grants(0, 1, &[grant(ask)]);
    // The holder's clock runs slow by one in a thousand, theirs is right.
    for real in (0..2 * LEASE).step_by(1_000) {
        let own = real - real / 1_000;
        assert!(lease.change_until(own) == 0 || holders.holds(0, 7, real), "at {real}");
    }
    assert!(!holders.holds(0, 8, 0), "a restart holds nothing of what the life before held");
    assert!(!holders.holds(0, 7, 2 * LEASE));
    assert_eq!(holders.grants(), [grant(ask)]);
}

#[test]
fn fleet_time_lies_between_asking_and_hearing_and_no_step_of_a_stamp_moves_a_lease() {
    let mut lease = held();
    let now = START + 3 * SECOND;
    let span = TimeInterval { earliest: 90_000 + 2 * SECOND - 2_000, latest: 90_000 + 3 * SECOND + 3_000 };
    assert_eq!(lease.fleet_time(now), Some(span));
    let before = lease.state(now);
    let other = LeaseGrant { number: 3, incarnation: 3, serial: 3 };
    lease.apply_grants(now, 2, 3_600 * SECOND, &[other]);
    assert_eq!((lease.state(now), lease.fleet_time(now)), (before, Some(span)));
    let ask = lease.poll_request(now).unwrap();
    lease.apply_grants(now, 3, 7_200 * SECOND, &[grant(ask)]);
    assert_eq!(lease.state(now).1, now + OWN, "counted on our clock whatever the leader's says");
    lease.apply_grants(now, 3, 9_000 * SECOND, &[grant(ask)]);
    assert_eq!(lease.fleet_time(now).unwrap().earliest, 7_200 * SECOND, "a revision counts once");
}

#[test]
fn a_lease_is_asked_for_four_times_and_a_late_grant_counts_from_its_own_ask() {
    let mut lease = Lease::new(0, 7, settings(12), START);
    let asks: Vec<_> = (START..START + LEASE)
        .step_by(1_000)
        .filter_map(|now| Some((now, lease.poll_request(now)?)))
        .collect();
    assert!((4..=6).contains(&asks.len()), "{asks:?}");
    assert!(asks.windows(2).any(|it| it[1].0 - it[0].0 != asks[1].0 - asks[0].0), "all at one pause");
    lease.apply_grants(START + LEASE - 1, 1, 0, &[grant(asks[2].1)]);
    assert_eq!(lease.state(START + LEASE - 1).1, asks[2].0 + OWN);
    lease.apply_grants(START + LEASE - 1, 2, 0, &[grant(asks[1].1)]);
    assert_eq!(lease.state(START + LEASE - 1).1, asks[2].0 + OWN, "an older grant takes nothing away");
}

#[test]
fn the_granter_puts_the_asks_of_half_a_second_into_one_entry_newest_serial_each() {
    let mut granter = LeaseGranter::new(3);
    let ask = |number, incarnation, serial| LeaseRequest { number, incarnation, serial };
    assert_eq!(granter.poll_grants(START), None);
    granter.handle_request(ask(1, 1, 1));
    assert_eq!(granter.poll_grants(START), Some(vec![grant(ask(1, 1, 1))]));
    for late in [ask(1, 1, 3), ask(1, 1, 2), ask(0, 5, 9), ask(0, 6, 1), ask(3, 1, 1)] {
        granter.handle_request(late);
    }
    assert_eq!((granter.poll_grants(START + 499_999), granter.next_due()), (None, Some(START + 500_000)));
    assert_eq!(granter.poll_grants(START + 500_000), Some(vec![grant(ask(0, 6, 1)), grant(ask(1, 1, 3))]));
    granter.handle_request(ask(2, 1, 1));
    granter.clear();
    assert_eq!((granter.poll_grants(START + 5_000_000), granter.next_due()), (None, None));
}
