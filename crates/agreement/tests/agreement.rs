//! What the log promises, on a virtual clock and a network that does its worst.
mod common;
use agreement::{ProposalOutcome, VotingBlock};
use common::{SECOND, Sim};

fn started(seed: u64, balancers: u16, council: u16) -> Sim {
    let mut sim = Sim::new(seed, balancers, council);
    let end = sim.now + 10 * SECOND;
    assert!(sim.run_until(end, |sim| sim.leader().is_some()), "seed {seed}: a leader");
    sim
}

#[test]
fn an_agreed_entry_is_known_to_99_of_100_of_300_within_2_s_at_20_percent_loss() {
    for seed in 0..3 {
        let mut sim = started(seed, 300, 5);
        sim.loss = 0.2;
        sim.run(3 * SECOND);
        for by in [7, 299, 0] {
            let start = sim.now;
            let id = sim.propose(by, vec![by as u8; 40]);
            let before = sim.agreed.len() as u64;
            let end = start + 10 * SECOND;
            assert!(sim.run_until(end, |sim| sim.agreed.len() as u64 > before), "seed {seed}: decided");
            let revision = sim.agreed.len() as u64;
            let agreed = sim.now;
            assert!(sim.run_until(agreed + 2 * SECOND, |sim| sim.know(revision) >= 297), "seed {seed}");
            assert!(sim.decided(by, id, 5 * SECOND), "seed {seed}");
        }
    }
}

#[test]
fn a_leader_in_the_minority_decides_nothing_and_what_it_took_is_not_lost_or_doubled() {
    let mut sim = started(1, 9, 5);
    let leader = sim.leader().expect("leads");
    let friend = (leader + 1) % 5;
    sim.isolate(&[leader, friend]);
    let lost = sim.propose(leader, b"in the minority".to_vec());
    let other = (0..5).find(|n| ![leader, friend].contains(n)).expect("a majority");
    let kept = sim.propose(other, b"in the majority".to_vec());
    assert!(sim.decided(other, kept, 8 * SECOND));
    assert_eq!(sim.outcome(leader, lost), None);
    sim.cut.clear();
    assert!(sim.decided(leader, lost, 4 * SECOND));
    sim.run(3 * SECOND);
    sim.assert_alike();
}

#[test]
fn a_link_of_one_way_for_a_minute_does_not_stop_the_council() {
    let mut sim = started(2, 9, 5);
    let leader = sim.leader().expect("leads");
    let deaf = (leader + 1) % 5;
    sim.cut.insert((leader, deaf));
    sim.cut.insert((8, leader));
    for round in 0..60 {
        let id = sim.propose(8, vec![round]);
        assert!(sim.decided(8, id, 4 * SECOND), "round {round}");
        sim.run(SECOND);
    }
    sim.cut.clear();
    sim.run(3 * SECOND);
    sim.assert_alike();
}

#[test]
fn a_member_that_lost_its_memory_does_not_vote_until_it_is_taken_in_anew() {
    let mut sim = started(3, 7, 3);
    let id = sim.propose(5, vec![1]);
    assert!(sim.decided(5, id, 3 * SECOND));
    sim.stop(1);
    sim.balancers[1].disk = Default::default();
    sim.start(1);
    sim.run(5 * SECOND);
    assert_eq!(sim.balancers[1].why, Some(VotingBlock::LostState));
    assert!(!sim.node(1).is_voting());
    let id = sim.exchange(6, None, Some(1));
    assert!(sim.decided(6, id, 5 * SECOND));
    sim.run(3 * SECOND);
    assert!(sim.node(1).is_voting());
    sim.stop(0);
    let id = sim.propose(5, vec![2]);
    assert!(sim.decided(5, id, 8 * SECOND), "its vote is needed now");
}

#[test]
fn two_that_lost_their_memory_cannot_fork_the_log_of_three() {
    let mut sim = started(4, 5, 3);
    let id = sim.propose(4, vec![1]);
    assert!(sim.decided(4, id, 3 * SECOND));
    for lost in [0, 1] {
        sim.stop(lost);
        sim.balancers[lost as usize].disk = Default::default();
    }
    sim.isolate(&[0, 1]);
    sim.start(0);
    sim.start(1);
    let id = sim.propose(0, vec![2]);
    sim.run(12 * SECOND);
    assert_eq!(sim.outcome(0, id), Some(ProposalOutcome::TimedOut));
    assert_eq!(sim.agreed.len(), 1);
}

#[test]
fn a_member_with_an_old_disk_is_found_out_and_does_not_vote() {
    let mut sim = started(5, 5, 3);
    let old = sim.balancers[2].disk.copy();
    for n in 0..10 {
        let id = sim.propose(4, vec![n]);
        assert!(sim.decided(4, id, 3 * SECOND));
    }
    sim.run(SECOND);
    sim.stop(2);
    sim.balancers[2].disk = old;
    sim.start(2);
    sim.run(5 * SECOND);
    assert!(
        matches!(sim.balancers[2].why, Some(VotingBlock::StaleStore { stored, observed }) if stored < observed)
    );
    assert!(!sim.node(2).is_voting());
}

#[test]
fn a_member_whose_disk_fails_says_so_and_the_others_go_on() {
    let mut sim = started(6, 5, 3);
    let leader = sim.leader().expect("leads");
    sim.balancers[leader as usize].disk.0.borrow_mut().1 = true;
    let id = sim.propose(4, vec![1]);
    assert!(sim.decided(4, id, 9 * SECOND));
    assert_eq!(sim.balancers[leader as usize].why, Some(VotingBlock::StorageFailed("disk is full".into())));
    sim.run(3 * SECOND);
    sim.assert_alike();
}

#[test]
fn members_that_restart_with_their_disks_go_on_where_they_were() {
    let mut sim = started(7, 5, 3);
    for n in 0..20 {
        let id = sim.propose(4, vec![n]);
        assert!(sim.decided(4, id, 3 * SECOND));
    }
    (0..5).for_each(|number| sim.stop(number));
    (0..3).for_each(|number| sim.start(number));
    sim.run(5 * SECOND);
    let id = sim.propose(1, vec![99]);
    assert!(sim.decided(1, id, 8 * SECOND));
    assert!(sim.agreed.len() >= 21);
    sim.run(2 * SECOND);
    sim.assert_alike();
}

#[test]
fn the_council_is_replaced_member_by_member_and_goes_on_without_the_old_one() {
    let mut sim = started(8, 12, 5);
    for n in 0..5 {
        let id = sim.exchange(11, Some(n), Some(5 + n));
        assert!(sim.decided(11, id, 8 * SECOND), "member {n}");
        sim.run(3 * SECOND);
    }
    (0..5).for_each(|number| sim.stop(number));
    let id = sim.propose(10, vec![1]);
    assert!(sim.decided(10, id, 8 * SECOND));
    sim.run(2 * SECOND);
    sim.assert_alike();
}

#[test]
fn one_that_missed_trimmed_entries_is_brought_up_by_a_snapshot_and_a_long_log_gets_new_segments() {
    let mut sim = started(9, 5, 3);
    sim.snapshot_each = 100;
    sim.stop(2);
    sim.stop(4);
    for batch in 0..70 {
        let ids: Vec<_> = (0..50).map(|n| sim.propose(3, vec![batch, n])).collect();
        for id in ids {
            assert!(sim.decided(3, id, 8 * SECOND), "batch {batch}");
        }
    }
    sim.start(2);
    sim.start(4);
    sim.run(8 * SECOND);
    assert!(sim.agreed.len() > 3_502, "segments took revisions of their own: {}", sim.agreed.len());
    assert!(sim.balancers[4].restored == 1 && sim.balancers[2].restored == 1);
    assert!(sim.node(2).is_voting());
    sim.assert_alike();
}

#[test]
fn long_entries_go_in_pieces_and_no_message_is_longer_than_a_datagram() {
    let mut sim = started(10, 9, 3);
    sim.loss = 0.2;
    for n in 0..10 {
        let id = sim.propose(8, vec![n; 20_000]);
        assert!(sim.decided(8, id, 9 * SECOND), "entry {n}");
    }
    sim.loss = 0.0;
    sim.run(2 * SECOND);
    sim.assert_alike();
}

#[test]
fn mixed_faults_fork_nothing_lose_nothing_and_end_in_one_state() {
    for seed in 0..12 {
        let council = [3, 5, 7][seed as usize % 3];
        let mut sim = Sim::new(seed, 12, council);
        sim.snapshot_each = 20;
        sim.run(5 * SECOND);
        let mut away = None;
        for round in 0..20_u8 {
            common::fault(&mut sim, &mut away, council);
            let by = sim.random.u16(..12);
            if sim.balancers[by as usize].node.is_some() {
                sim.propose(by, vec![round]);
            }
            sim.run(2 * SECOND);
        }
        common::peace(&mut sim, &mut away);
        let id = sim.propose(11, b"peace".to_vec());
        assert!(sim.decided(11, id, 12 * SECOND), "seed {seed} recovers");
        sim.run(15 * SECOND);
        sim.assert_alike();
    }
}
