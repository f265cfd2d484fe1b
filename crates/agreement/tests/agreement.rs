//! Tests of the guarantees of the log, on a virtual clock and a faulty network.
mod common;
use agreement::{ProposalOutcome, VotingBlock};
use common::{SECOND, Sim};

fn simulation_with_leader(seed: u64, balancers: u16, voters: u16) -> Sim {
    let mut sim = Sim::new(seed, balancers, voters);
    let end = sim.now + 10 * SECOND;
    assert!(sim.run_until(end, |sim| sim.leader().is_some()), "seed {seed}: no leader after 10 seconds");
    sim
}

#[test]
fn entry_reaches_99_percent_of_300_within_2_s_at_20_percent_loss() {
    for seed in 0..3 {
        let mut sim = simulation_with_leader(seed, 300, 5);
        sim.loss = 0.2;
        sim.run(3 * SECOND);
        for proposer in [7, 299, 0] {
            let start = sim.now;
            let id = sim.propose(proposer, vec![proposer as u8; 40]);
            let before = sim.committed.len() as u64;
            let end = start + 10 * SECOND;
            assert!(
                sim.run_until(end, |sim| sim.committed.len() as u64 > before),
                "seed {seed}: the entry is not committed"
            );
            let revision = sim.committed.len() as u64;
            let committed_at = sim.now;
            assert!(
                sim.run_until(committed_at + 2 * SECOND, |sim| sim.count_caught_up(revision) >= 297),
                "seed {seed}: fewer than 297 balancers caught up"
            );
            assert!(
                sim.run_until_committed(proposer, id, 5 * SECOND),
                "seed {seed}: the proposer gets no outcome"
            );
        }
    }
}

#[test]
fn proposal_of_leader_in_minority_commits_only_after_healing() {
    let mut sim = simulation_with_leader(1, 9, 5);
    let leader = sim.leader().expect("a balancer leads");
    let follower = (leader + 1) % 5;
    sim.isolate(&[leader, follower]);
    let minority_id = sim.propose(leader, b"in the minority".to_vec());
    let majority_voter = (0..5).find(|n| ![leader, follower].contains(n)).expect("three voters remain");
    let majority_id = sim.propose(majority_voter, b"in the majority".to_vec());
    assert!(sim.run_until_committed(majority_voter, majority_id, 8 * SECOND));
    assert_eq!(sim.outcome(leader, minority_id), None);
    sim.blocked_links.clear();
    assert!(sim.run_until_committed(leader, minority_id, 4 * SECOND));
    sim.run(3 * SECOND);
    sim.assert_converged();
}

#[test]
fn one_way_links_for_a_minute_do_not_stop_commits() {
    let mut sim = simulation_with_leader(2, 9, 5);
    let leader = sim.leader().expect("a balancer leads");
    let unreached_voter = (leader + 1) % 5;
    sim.blocked_links.insert((leader, unreached_voter));
    sim.blocked_links.insert((8, leader));
    for round in 0..60 {
        let id = sim.propose(8, vec![round]);
        assert!(sim.run_until_committed(8, id, 4 * SECOND), "round {round}");
        sim.run(SECOND);
    }
    sim.blocked_links.clear();
    sim.run(3 * SECOND);
    sim.assert_converged();
}

#[test]
fn voter_without_its_state_does_not_vote_until_added_again() {
    let mut sim = simulation_with_leader(3, 7, 3);
    let id = sim.propose(5, vec![1]);
    assert!(sim.run_until_committed(5, id, 3 * SECOND));
    sim.stop(1);
    sim.balancers[1].disk = Default::default();
    sim.start(1);
    sim.run(5 * SECOND);
    assert_eq!(sim.balancers[1].voting_block, Some(VotingBlock::LostState));
    assert!(!sim.node(1).is_voting());
    let id = sim.change_voters_at(6, None, Some(1));
    assert!(sim.run_until_committed(6, id, 5 * SECOND));
    sim.run(3 * SECOND);
    assert!(sim.node(1).is_voting());
    sim.stop(0);
    let id = sim.propose(5, vec![2]);
    assert!(
        sim.run_until_committed(5, id, 8 * SECOND),
        "the commit needs the vote of the voter that was added again"
    );
}

#[test]
fn two_of_three_voters_that_lost_their_state_cannot_fork_the_log() {
    let mut sim = simulation_with_leader(4, 5, 3);
    let id = sim.propose(4, vec![1]);
    assert!(sim.run_until_committed(4, id, 3 * SECOND));
    for voter in [0, 1] {
        sim.stop(voter);
        sim.balancers[voter as usize].disk = Default::default();
    }
    sim.isolate(&[0, 1]);
    sim.start(0);
    sim.start(1);
    let id = sim.propose(0, vec![2]);
    sim.run(12 * SECOND);
    assert_eq!(sim.outcome(0, id), Some(ProposalOutcome::TimedOut));
    assert_eq!(sim.committed.len(), 1);
}

#[test]
fn voter_with_stale_disk_is_detected_and_does_not_vote() {
    let mut sim = simulation_with_leader(5, 5, 3);
    let stale_disk = sim.balancers[2].disk.copy();
    for n in 0..10 {
        let id = sim.propose(4, vec![n]);
        assert!(sim.run_until_committed(4, id, 3 * SECOND));
    }
    sim.run(SECOND);
    sim.stop(2);
    sim.balancers[2].disk = stale_disk;
    sim.start(2);
    sim.run(5 * SECOND);
    assert!(
        matches!(sim.balancers[2].voting_block, Some(VotingBlock::StaleStore { stored, observed }) if stored < observed)
    );
    assert!(!sim.node(2).is_voting());
}

#[test]
fn voter_with_full_disk_is_blocked_and_others_continue() {
    let mut sim = simulation_with_leader(6, 5, 3);
    let leader = sim.leader().expect("a balancer leads");
    sim.balancers[leader as usize].disk.fill();
    let id = sim.propose(4, vec![1]);
    assert!(sim.run_until_committed(4, id, 9 * SECOND));
    assert_eq!(
        sim.balancers[leader as usize].voting_block,
        Some(VotingBlock::StorageFailed("disk is full".into()))
    );
    sim.run(3 * SECOND);
    sim.assert_converged();
}

#[test]
fn voters_that_restart_with_their_disks_continue() {
    let mut sim = simulation_with_leader(7, 5, 3);
    for n in 0..20 {
        let id = sim.propose(4, vec![n]);
        assert!(sim.run_until_committed(4, id, 3 * SECOND));
    }
    (0..5).for_each(|node_id| sim.stop(node_id));
    (0..3).for_each(|node_id| sim.start(node_id));
    sim.run(5 * SECOND);
    let id = sim.propose(1, vec![99]);
    assert!(sim.run_until_committed(1, id, 8 * SECOND));
    assert!(sim.committed.len() >= 21);
    sim.run(2 * SECOND);
    sim.assert_converged();
}

#[test]
fn voters_replaced_one_by_one_commit_without_the_old_ones() {
    let mut sim = simulation_with_leader(8, 12, 5);
    for n in 0..5 {
        let id = sim.change_voters_at(11, Some(n), Some(5 + n));
        assert!(sim.run_until_committed(11, id, 8 * SECOND), "voter {n}");
        sim.run(3 * SECOND);
    }
    (0..5).for_each(|node_id| sim.stop(node_id));
    let id = sim.propose(10, vec![1]);
    assert!(sim.run_until_committed(10, id, 8 * SECOND));
    sim.run(2 * SECOND);
    sim.assert_converged();
}

/// A log of 3,500 entries also spans several segments.
#[test]
fn balancer_behind_trimmed_entries_catches_up_by_snapshot() {
    let mut sim = simulation_with_leader(9, 5, 3);
    sim.snapshot_interval = 100;
    sim.stop(2);
    sim.stop(4);
    for batch in 0..70 {
        let ids: Vec<_> = (0..50).map(|n| sim.propose(3, vec![batch, n])).collect();
        for id in ids {
            assert!(sim.run_until_committed(3, id, 8 * SECOND), "batch {batch}");
        }
    }
    sim.start(2);
    sim.start(4);
    sim.run(8 * SECOND);
    assert!(
        sim.committed.len() > 3_502,
        "new segments have revisions of their own, but only {} are committed",
        sim.committed.len()
    );
    assert!(sim.balancers[4].restored_snapshots == 1 && sim.balancers[2].restored_snapshots == 1);
    assert!(sim.node(2).is_voting());
    sim.assert_converged();
}

#[test]
fn long_entries_are_committed_within_the_message_size() {
    let mut sim = simulation_with_leader(10, 9, 3);
    sim.loss = 0.2;
    for n in 0..10 {
        let id = sim.propose(8, vec![n; 20_000]);
        assert!(sim.run_until_committed(8, id, 9 * SECOND), "entry {n}");
    }
    sim.loss = 0.0;
    sim.run(2 * SECOND);
    sim.assert_converged();
}

#[test]
fn all_states_converge_after_mixed_faults() {
    for seed in 0..12 {
        let voters = [3, 5, 7][seed as usize % 3];
        let mut sim = Sim::new(seed, 12, voters);
        sim.snapshot_interval = 20;
        sim.run(5 * SECOND);
        let mut pending_restart = None;
        for round in 0..20_u8 {
            common::inject_fault(&mut sim, &mut pending_restart, voters);
            let proposer = sim.random.u16(..12);
            if sim.balancers[proposer as usize].node.is_some() {
                sim.propose(proposer, vec![round]);
            }
            sim.run(2 * SECOND);
        }
        common::end_faults(&mut sim, &mut pending_restart);
        let id = sim.propose(11, b"final".to_vec());
        assert!(sim.run_until_committed(11, id, 12 * SECOND), "seed {seed}: no commit after the faults end");
        sim.run(15 * SECOND);
        sim.assert_converged();
    }
}
