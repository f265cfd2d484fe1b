//! The guarantees of the log, on a virtual clock and a faulty network.
mod common;
use agreement::{ProposalOutcome, VotingBlock};
use common::{SECOND, Sim};

fn with_leader(seed: u64, balancers: u16, voters: u16) -> Sim {
    let mut sim = Sim::new(seed, balancers, voters);
    let end = sim.now + 10 * SECOND;
    assert!(sim.run_until(end, |sim| sim.leader().is_some()), "seed {seed}: a leader");
    sim
}

#[test]
fn committed_entry_reaches_99_percent_of_300_within_2_s_at_20_percent_loss() {
    for seed in 0..3 {
        let mut sim = with_leader(seed, 300, 5);
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
            assert!(
                sim.run_until(agreed + 2 * SECOND, |sim| sim.count_caught_up(revision) >= 297),
                "seed {seed}"
            );
            assert!(sim.decided(by, id, 5 * SECOND), "seed {seed}");
        }
    }
}

#[test]
fn leader_in_minority_commits_nothing_and_its_proposal_is_committed_once_later() {
    let mut sim = with_leader(1, 9, 5);
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
    sim.assert_converged();
}

#[test]
fn one_way_links_for_a_minute_do_not_stop_commits() {
    let mut sim = with_leader(2, 9, 5);
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
    sim.assert_converged();
}

#[test]
fn voter_that_lost_its_state_does_not_vote_until_it_is_added_again() {
    let mut sim = with_leader(3, 7, 3);
    let id = sim.propose(5, vec![1]);
    assert!(sim.decided(5, id, 3 * SECOND));
    sim.stop(1);
    sim.balancers[1].disk = Default::default();
    sim.start(1);
    sim.run(5 * SECOND);
    assert_eq!(sim.balancers[1].voting_block, Some(VotingBlock::LostState));
    assert!(!sim.node(1).is_voting());
    let id = sim.change_voters_at(6, None, Some(1));
    assert!(sim.decided(6, id, 5 * SECOND));
    sim.run(3 * SECOND);
    assert!(sim.node(1).is_voting());
    sim.stop(0);
    let id = sim.propose(5, vec![2]);
    assert!(sim.decided(5, id, 8 * SECOND), "its vote is needed now");
}

#[test]
fn two_of_three_voters_that_lost_their_state_cannot_fork_the_log() {
    let mut sim = with_leader(4, 5, 3);
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
fn voter_with_stale_disk_is_detected_and_does_not_vote() {
    let mut sim = with_leader(5, 5, 3);
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
        matches!(sim.balancers[2].voting_block, Some(VotingBlock::StaleStore { stored, observed }) if stored < observed)
    );
    assert!(!sim.node(2).is_voting());
}

#[test]
fn voter_whose_disk_fails_reports_it_and_the_others_continue() {
    let mut sim = with_leader(6, 5, 3);
    let leader = sim.leader().expect("leads");
    sim.balancers[leader as usize].disk.0.borrow_mut().1 = true;
    let id = sim.propose(4, vec![1]);
    assert!(sim.decided(4, id, 9 * SECOND));
    assert_eq!(
        sim.balancers[leader as usize].voting_block,
        Some(VotingBlock::StorageFailed("disk is full".into()))
    );
    sim.run(3 * SECOND);
    sim.assert_converged();
}

#[test]
fn voters_that_restart_with_their_disks_continue() {
    let mut sim = with_leader(7, 5, 3);
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
    sim.assert_converged();
}

#[test]
fn voters_are_replaced_one_by_one_and_commit_without_the_old_ones() {
    let mut sim = with_leader(8, 12, 5);
    for n in 0..5 {
        let id = sim.change_voters_at(11, Some(n), Some(5 + n));
        assert!(sim.decided(11, id, 8 * SECOND), "member {n}");
        sim.run(3 * SECOND);
    }
    (0..5).for_each(|number| sim.stop(number));
    let id = sim.propose(10, vec![1]);
    assert!(sim.decided(10, id, 8 * SECOND));
    sim.run(2 * SECOND);
    sim.assert_converged();
}

#[test]
fn balancer_that_missed_trimmed_entries_catches_up_by_snapshot_and_a_long_log_gets_new_segments() {
    let mut sim = with_leader(9, 5, 3);
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
    sim.assert_converged();
}

#[test]
fn long_entries_are_sent_in_fragments_and_no_message_exceeds_a_datagram() {
    let mut sim = with_leader(10, 9, 3);
    sim.loss = 0.2;
    for n in 0..10 {
        let id = sim.propose(8, vec![n; 20_000]);
        assert!(sim.decided(8, id, 9 * SECOND), "entry {n}");
    }
    sim.loss = 0.0;
    sim.run(2 * SECOND);
    sim.assert_converged();
}

#[test]
fn mixed_faults_neither_fork_nor_lose_entries_and_all_states_converge() {
    for seed in 0..12 {
        let voters = [3, 5, 7][seed as usize % 3];
        let mut sim = Sim::new(seed, 12, voters);
        sim.snapshot_each = 20;
        sim.run(5 * SECOND);
        let mut away = None;
        for round in 0..20_u8 {
            common::fault(&mut sim, &mut away, voters);
            let by = sim.random.u16(..12);
            if sim.balancers[by as usize].node.is_some() {
                sim.propose(by, vec![round]);
            }
            sim.run(2 * SECOND);
        }
        common::end_faults(&mut sim, &mut away);
        let id = sim.propose(11, b"peace".to_vec());
        assert!(sim.decided(11, id, 12 * SECOND), "seed {seed} recovers");
        sim.run(15 * SECOND);
        sim.assert_converged();
    }
}
