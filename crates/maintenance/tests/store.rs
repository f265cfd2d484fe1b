//! The store of operator overrides, with time and a stalling disk under the control of the tests.

use maintenance::{
    CommandOutcome, OperatorOverrides, OverriddenList, OverrideChange, OverrideCommand, OverrideError,
    OverrideStore, StoreAction, WriteError,
};
use proto::discovery::parse_endpoint_list;
use serde_json::json;

struct Harness {
    store: OverrideStore<u32>,
    list: OverriddenList,
    now: u64,
}

impl Harness {
    /// Creates a store with a file, and a list of the endpoints `a` and `b`.
    fn new() -> Self {
        let mut list = OverriddenList::new(None, OperatorOverrides::default());
        let member = |id| json!({"id": id, "host_port": "127.0.0.1:1", "flavor": "m", "phase": "ready", "up_since_ms": 0});
        let members = json!({"revision": 1, "complete": true, "members": [member("a"), member("b")]});
        let _ = list.apply_list(&parse_endpoint_list(members.to_string().as_bytes()).unwrap());
        Self { store: OverrideStore::new(true), list, now: 1_000 }
    }
    fn actions(&mut self) -> Vec<StoreAction<u32>> {
        std::iter::from_fn(|| self.store.poll()).collect()
    }
    fn command(&mut self, command: OverrideCommand, caller: u32) -> Vec<StoreAction<u32>> {
        self.store.handle_command(self.now, &mut self.list, command, caller);
        self.actions()
    }
    /// Completes the read in progress, with the overrides in the file if it has changed.
    fn complete_read(&mut self, loaded: Option<OperatorOverrides>) -> Vec<StoreAction<u32>> {
        self.store.handle_read(self.now, &mut self.list, loaded);
        self.actions()
    }
    /// Completes the write in progress, or lets it fail for a reason.
    fn complete_write(&mut self, result: Result<(), String>) -> Vec<StoreAction<u32>> {
        self.finish_write(result.map_err(WriteError::Failed))
    }
    fn finish_write(&mut self, result: Result<(), WriteError>) -> Vec<StoreAction<u32>> {
        self.store.handle_write(self.now, &mut self.list, result);
        self.actions()
    }
    /// Advances the time by `ms` in steps of 100 ms.
    fn advance(&mut self, ms: u64) -> Vec<StoreAction<u32>> {
        (0..ms / 100).flat_map(|_| self.tick()).collect()
    }
    fn tick(&mut self) -> Vec<StoreAction<u32>> {
        self.now += 100;
        self.store.tick(self.now, &mut self.list);
        self.actions()
    }
    /// Returns whether each of the endpoints `a` and `b` is disabled.
    fn disabled(&self) -> [bool; 2] {
        ["a", "b"].map(|id| self.list.overrides().is_disabled(id))
    }
}

fn disable(id: &str) -> OverrideCommand {
    OverrideCommand::Disable(id.into())
}

/// Returns the action for a disable command that was applied.
fn applied(id: &str) -> StoreAction<u32> {
    StoreAction::Changed(OverrideChange::Command(disable(id)), vec![id.into()])
}

#[test]
fn command_is_answered_after_the_file_was_read_and_written() {
    let mut harness = Harness::new();
    assert_eq!(harness.command(disable("a"), 1), [StoreAction::Read]);
    assert_eq!(harness.command(disable("b"), 2), [], "one operation at a time");
    let actions = harness.complete_read(None);
    assert_eq!(actions, [applied("a"), StoreAction::Write(harness.list.overrides().clone())]);
    assert_eq!(
        harness.complete_write(Ok(())),
        [StoreAction::Answer(1, CommandOutcome::Persisted), StoreAction::Read],
        "the second command has its own read of the file"
    );
    assert_eq!(harness.complete_read(None)[0], applied("b"));
    assert_eq!(harness.complete_write(Ok(())), [StoreAction::Answer(2, CommandOutcome::Persisted)]);
    assert_eq!(harness.command(disable("a"), 3), [StoreAction::Read]);
    let again = harness.complete_read(None);
    assert_eq!(
        again.last(),
        Some(&StoreAction::Answer(3, CommandOutcome::Persisted)),
        "nothing new to write: {again:?}"
    );
    harness.command(OverrideCommand::Enable("nadie".into()), 4);
    let unknown = CommandOutcome::Rejected(OverrideError::Unknown("nadie".into()));
    assert_eq!(harness.complete_read(None), [StoreAction::Answer(4, unknown)]);
}

#[test]
fn command_on_stalled_disk_is_applied_in_time_and_written_later() {
    let mut harness = Harness::new();
    harness.command(disable("a"), 1);
    assert_eq!(harness.advance(200), [applied("a")], "the read has not completed");
    assert_eq!(harness.advance(500), [StoreAction::Answer(1, CommandOutcome::Applied)]);
    assert!(matches!(harness.complete_read(None)[..], [StoreAction::Write(_)]));
    harness.command(disable("b"), 2);
    assert_eq!(harness.advance(200), [applied("b")], "the write has not completed");
    assert_eq!(harness.advance(500), [StoreAction::Answer(2, CommandOutcome::Applied)]);
    let failed = harness.complete_write(Err("full".into()));
    assert_eq!(
        (failed, harness.disabled()),
        (vec![], [true, true]),
        "acknowledged commands are not rolled back"
    );
    assert!(harness.advance(900).iter().all(|action| *action == StoreAction::Read));
    harness.complete_read(None);
    let again = harness.advance(200);
    assert!(
        again
            .iter()
            .any(|action| matches!(action, StoreAction::Write(overrides) if overrides.is_disabled("b"))),
        "{again:?}"
    );
    assert_eq!(harness.complete_write(Ok(())), []);
    harness.complete_read(None);
    assert!(
        harness.advance(3_000).iter().all(|action| *action == StoreAction::Read),
        "nothing is written again"
    );
}

#[test]
fn command_that_cannot_be_written_is_rolled_back() {
    let mut harness = Harness::new();
    harness.command(disable("a"), 1);
    harness.complete_read(None);
    harness.command(disable("a"), 2); // repeats the command that is being written
    let actions = harness.complete_write(Err("no space".into()));
    let not_persisted = |caller| StoreAction::Answer(caller, CommandOutcome::NotPersisted("no space".into()));
    assert_eq!(
        actions[..2],
        [StoreAction::Changed(OverrideChange::RolledBack, vec!["a".into()]), not_persisted(1)]
    );
    assert_eq!(harness.disabled(), [false, false]);
    assert_eq!(harness.complete_read(None)[0], applied("a"), "the second command is applied on its own");
}

#[test]
fn loaded_overrides_and_unwritten_commands_are_both_in_force() {
    let mut harness = Harness::new();
    harness.command(disable("a"), 1);
    harness.advance(200); // the command is in force, and the read is still in progress
    let mut other = Harness::new();
    other.command(disable("b"), 9);
    other.complete_read(None);
    let actions = harness.complete_read(Some(other.list.overrides().clone()));
    assert_eq!(actions[0], StoreAction::Changed(OverrideChange::Loaded, vec!["b".into()]));
    assert!(
        matches!(&actions[1], StoreAction::Write(both) if both.is_disabled("a") && both.is_disabled("b")),
        "{actions:?}"
    );
}

/// Guards against losing overrides when two processes read the file and then both write it. The second write must
/// include the overrides of the first.
#[test]
fn overrides_written_by_other_process_after_the_read_are_kept() {
    let mut harness = Harness::new();
    harness.command(OverrideCommand::Drain, 1);
    assert!(matches!(harness.complete_read(None).last(), Some(StoreAction::Write(_))));
    let mut other = Harness::new();
    other.command(disable("b"), 9);
    other.complete_read(None);
    let changed = Err(WriteError::Changed(other.list.overrides().clone()));
    let again = harness.finish_write(changed);
    assert_eq!(again[0], StoreAction::Changed(OverrideChange::Loaded, vec!["b".into()]));
    assert!(
        matches!(&again[1], StoreAction::Write(both) if both.is_draining() && both.is_disabled("b")),
        "{again:?}"
    );
    assert_eq!(again.len(), 2, "the caller waits for the second write");
    assert_eq!(harness.complete_write(Ok(())), [StoreAction::Answer(1, CommandOutcome::Persisted)]);
}

/// Guards against keeping a command whose write failed. One command is acknowledged while the disk stalls, and the
/// write of the next command finds the disk full.
#[test]
fn failed_write_rolls_back_only_unacknowledged_commands() {
    let mut harness = Harness::new();
    harness.command(disable("a"), 1);
    harness.advance(200);
    assert_eq!(harness.advance(500), [StoreAction::Answer(1, CommandOutcome::Applied)]);
    harness.complete_read(None);
    harness.command(OverrideCommand::Drain, 2);
    harness.command(disable("a"), 3); // repeats a command that is in force and acknowledged
    harness.advance(200);
    assert!(harness.list.overrides().is_draining());
    let actions = harness.complete_write(Err("no space".into()));
    assert_eq!(actions[0], StoreAction::Changed(OverrideChange::RolledBack, vec![]));
    assert!(
        actions.contains(&StoreAction::Answer(2, CommandOutcome::NotPersisted("no space".into()))),
        "{actions:?}"
    );
    assert_eq!((harness.disabled(), harness.list.overrides().is_draining()), ([true, false], false));
}

#[test]
fn commands_without_a_file_are_applied_at_once() {
    let mut harness = Harness { store: OverrideStore::new(false), ..Harness::new() };
    assert_eq!(
        harness.command(disable("a"), 1),
        [applied("a"), StoreAction::Answer(1, CommandOutcome::Persisted)]
    );
    assert_eq!(harness.advance(1_000), []);
}
