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
    fn command(&mut self, command: OverrideCommand, who: u32) -> Vec<StoreAction<u32>> {
        self.store.handle_command(self.now, &mut self.list, command, who);
        self.actions()
    }
    fn read(&mut self, loaded: Option<OperatorOverrides>) -> Vec<StoreAction<u32>> {
        self.store.handle_read(self.now, &mut self.list, loaded);
        self.actions()
    }
    fn written(&mut self, written: Result<(), String>) -> Vec<StoreAction<u32>> {
        self.written_or_error(written.map_err(WriteError::Failed))
    }
    fn written_or_error(&mut self, written: Result<(), WriteError>) -> Vec<StoreAction<u32>> {
        self.store.handle_write(self.now, &mut self.list, written);
        self.actions()
    }
    fn pass(&mut self, ms: u64) -> Vec<StoreAction<u32>> {
        (0..ms / 100).flat_map(|_| self.tick()).collect()
    }
    fn tick(&mut self) -> Vec<StoreAction<u32>> {
        self.now += 100;
        self.store.tick(self.now, &mut self.list);
        self.actions()
    }
    fn disabled(&self) -> [bool; 2] {
        ["a", "b"].map(|id| self.list.overrides().is_out(id))
    }
}

fn disable(id: &str) -> OverrideCommand {
    OverrideCommand::Disable(id.into())
}

fn in_force(id: &str) -> StoreAction<u32> {
    StoreAction::Changed(OverrideChange::Command(disable(id)), vec![id.into()])
}

#[test]
fn command_is_answered_after_the_file_was_read_and_written() {
    let mut harness = Harness::new();
    assert_eq!(harness.command(disable("a"), 1), [StoreAction::Read]);
    assert_eq!(harness.command(disable("b"), 2), [], "one operation at a time");
    let actions = harness.read(None);
    assert_eq!(actions, [in_force("a"), StoreAction::Write(harness.list.overrides().clone())]);
    assert_eq!(
        harness.written(Ok(())),
        [StoreAction::Answer(1, CommandOutcome::Persisted), StoreAction::Read],
        "the second command has its own read of the file"
    );
    assert_eq!(harness.read(None)[0], in_force("b"));
    assert_eq!(harness.written(Ok(())), [StoreAction::Answer(2, CommandOutcome::Persisted)]);
    assert_eq!(harness.command(disable("a"), 3), [StoreAction::Read]);
    let again = harness.read(None);
    assert_eq!(
        again.last(),
        Some(&StoreAction::Answer(3, CommandOutcome::Persisted)),
        "nothing new to write: {again:?}"
    );
    harness.command(OverrideCommand::Enable("nadie".into()), 4);
    let unknown = CommandOutcome::Rejected(OverrideError::Unknown("nadie".into()));
    assert_eq!(harness.read(None), [StoreAction::Answer(4, unknown)]);
}

#[test]
fn command_on_a_stalled_disk_is_applied_and_answered_in_time_and_written_later() {
    let mut harness = Harness::new();
    harness.command(disable("a"), 1);
    assert_eq!(harness.pass(200), [in_force("a")], "the read has not completed");
    assert_eq!(harness.pass(500), [StoreAction::Answer(1, CommandOutcome::Applied)]);
    assert!(matches!(harness.read(None)[..], [StoreAction::Write(_)]));
    harness.command(disable("b"), 2);
    assert_eq!(harness.pass(200), [in_force("b")], "the write has not completed");
    assert_eq!(harness.pass(500), [StoreAction::Answer(2, CommandOutcome::Applied)]);
    let failed = harness.written(Err("full".into()));
    assert_eq!(
        (failed, harness.disabled()),
        (vec![], [true, true]),
        "acknowledged commands are not rolled back"
    );
    assert!(harness.pass(900).iter().all(|action| *action == StoreAction::Read));
    harness.read(None);
    let again = harness.pass(200);
    assert!(
        again.iter().any(|action| matches!(action, StoreAction::Write(overrides) if overrides.is_out("b"))),
        "{again:?}"
    );
    assert_eq!(harness.written(Ok(())), []);
    harness.read(None);
    assert!(
        harness.pass(3_000).iter().all(|action| *action == StoreAction::Read),
        "nothing is written again"
    );
}

#[test]
fn command_that_cannot_be_written_is_rolled_back() {
    let mut harness = Harness::new();
    harness.command(disable("a"), 1);
    harness.read(None);
    harness.command(disable("a"), 2); // repeats the command that is being written
    let actions = harness.written(Err("no space".into()));
    let not_persisted = |who| StoreAction::Answer(who, CommandOutcome::NotPersisted("no space".into()));
    assert_eq!(
        actions[..2],
        [StoreAction::Changed(OverrideChange::RolledBack, vec!["a".into()]), not_persisted(1)]
    );
    assert_eq!(harness.disabled(), [false, false]);
    assert_eq!(harness.read(None)[0], in_force("a"), "the second command is applied on its own");
}

#[test]
fn loaded_overrides_and_unwritten_commands_are_both_in_force() {
    let mut harness = Harness::new();
    harness.command(disable("a"), 1);
    harness.pass(200); // the command is in force, and the read is still in progress
    let mut other = Harness::new();
    other.command(disable("b"), 9);
    other.read(None);
    let found = harness.read(Some(other.list.overrides().clone()));
    assert_eq!(found[0], StoreAction::Changed(OverrideChange::Loaded, vec!["b".into()]));
    assert!(
        matches!(&found[1], StoreAction::Write(both) if both.is_out("a") && both.is_out("b")),
        "{found:?}"
    );
}

/// Guards against losing overrides when two processes read the file and then both write it. The second write must
/// include the overrides of the first.
#[test]
fn overrides_written_by_the_other_process_since_the_read_are_kept() {
    let mut harness = Harness::new();
    harness.command(OverrideCommand::Drain, 1);
    assert!(matches!(harness.read(None).last(), Some(StoreAction::Write(_))));
    let mut other = Harness::new();
    other.command(disable("b"), 9);
    other.read(None);
    let changed = Err(WriteError::Changed(other.list.overrides().clone()));
    let again = harness.written_or_error(changed);
    assert_eq!(again[0], StoreAction::Changed(OverrideChange::Loaded, vec!["b".into()]));
    assert!(
        matches!(&again[1], StoreAction::Write(both) if both.draining() && both.is_out("b")),
        "{again:?}"
    );
    assert_eq!(again.len(), 2, "the caller waits for the second write");
    assert_eq!(harness.written(Ok(())), [StoreAction::Answer(1, CommandOutcome::Persisted)]);
}

/// Guards against keeping a command whose write failed. One command is acknowledged while the disk stalls, and the
/// write of the next command finds the disk full.
#[test]
fn unwritten_command_is_rolled_back_even_after_an_acknowledged_one() {
    let mut harness = Harness::new();
    harness.command(disable("a"), 1);
    harness.pass(200);
    assert_eq!(harness.pass(500), [StoreAction::Answer(1, CommandOutcome::Applied)]);
    harness.read(None);
    harness.command(OverrideCommand::Drain, 2);
    harness.command(disable("a"), 3); // repeats a command that is in force and acknowledged
    harness.pass(200);
    assert!(harness.list.overrides().draining());
    let actions = harness.written(Err("no space".into()));
    assert_eq!(actions[0], StoreAction::Changed(OverrideChange::RolledBack, vec![]));
    assert!(
        actions.contains(&StoreAction::Answer(2, CommandOutcome::NotPersisted("no space".into()))),
        "{actions:?}"
    );
    assert_eq!((harness.disabled(), harness.list.overrides().draining()), ([true, false], false));
}

#[test]
fn commands_without_a_file_are_applied_at_once() {
    let mut harness = Harness { store: OverrideStore::new(false), ..Harness::new() };
    assert_eq!(
        harness.command(disable("a"), 1),
        [in_force("a"), StoreAction::Answer(1, CommandOutcome::Persisted)]
    );
    assert_eq!(harness.pass(1_000), []);
}
