//! Orders on their way to a disk that may stand still: time and the disk are what the tests say.

use maintenance::{
    CommandOutcome, OperatorOverrides, OverriddenList, OverrideChange, OverrideCommand, OverrideError,
    OverrideStore, StoreAction, WriteError,
};
use proto::discovery::parse_endpoint_list;
use serde_json::json;

struct Rig {
    keeping: OverrideStore<u32>,
    maintenance: OverriddenList,
    now: u64,
}

impl Rig {
    /// Hosts a and b are listed, and the file was looked at once.
    fn new() -> Self {
        let mut maintenance = OverriddenList::new(None, OperatorOverrides::default());
        let member = |id| json!({"id": id, "host_port": "127.0.0.1:1", "flavor": "m", "phase": "ready", "up_since_ms": 0});
        let members = json!({"revision": 1, "complete": true, "members": [member("a"), member("b")]});
        let _ = maintenance.apply_list(&parse_endpoint_list(members.to_string().as_bytes()).unwrap());
        Self { keeping: OverrideStore::new(true), maintenance, now: 1_000 }
    }
    fn steps(&mut self) -> Vec<StoreAction<u32>> {
        std::iter::from_fn(|| self.keeping.poll()).collect()
    }
    fn ordered(&mut self, order: OverrideCommand, who: u32) -> Vec<StoreAction<u32>> {
        self.keeping.handle_command(self.now, &mut self.maintenance, order, who);
        self.steps()
    }
    fn looked(&mut self, news: Option<OperatorOverrides>) -> Vec<StoreAction<u32>> {
        self.keeping.handle_read(self.now, &mut self.maintenance, news);
        self.steps()
    }
    fn wrote(&mut self, written: Result<(), String>) -> Vec<StoreAction<u32>> {
        self.wrote_or(written.map_err(WriteError::Failed))
    }
    fn wrote_or(&mut self, written: Result<(), WriteError>) -> Vec<StoreAction<u32>> {
        self.keeping.handle_write(self.now, &mut self.maintenance, written);
        self.steps()
    }
    fn pass(&mut self, ms: u64) -> Vec<StoreAction<u32>> {
        (0..ms / 100).flat_map(|_| self.tick()).collect()
    }
    fn tick(&mut self) -> Vec<StoreAction<u32>> {
        self.now += 100;
        self.keeping.tick(self.now, &mut self.maintenance);
        self.steps()
    }
    fn out(&self) -> [bool; 2] {
        ["a", "b"].map(|id| self.maintenance.overrides().is_out(id))
    }
}

fn out(id: &str) -> OverrideCommand {
    OverrideCommand::Disable(id.into())
}

fn in_force(id: &str) -> StoreAction<u32> {
    StoreAction::Changed(OverrideChange::Command(out(id)), vec![id.into()])
}

#[test]
fn an_order_is_answered_yes_once_the_file_was_looked_at_and_written() {
    let mut rig = Rig::new();
    assert_eq!(rig.ordered(out("a"), 1), [StoreAction::Read]);
    assert_eq!(rig.ordered(out("b"), 2), [], "one operation at a time");
    let steps = rig.looked(None);
    assert_eq!(steps, [in_force("a"), StoreAction::Write(rig.maintenance.overrides().clone())]);
    assert_eq!(
        rig.wrote(Ok(())),
        [StoreAction::Answer(1, CommandOutcome::Persisted), StoreAction::Read],
        "the second has its own look"
    );
    assert_eq!(rig.looked(None)[0], in_force("b"));
    assert_eq!(rig.wrote(Ok(())), [StoreAction::Answer(2, CommandOutcome::Persisted)]);
    assert_eq!(rig.ordered(out("a"), 3), [StoreAction::Read]);
    let again = rig.looked(None);
    assert_eq!(
        again.last(),
        Some(&StoreAction::Answer(3, CommandOutcome::Persisted)),
        "nothing new to write: {again:?}"
    );
    rig.ordered(OverrideCommand::Enable("nadie".into()), 4);
    let unknown = CommandOutcome::Rejected(OverrideError::Unknown("nadie".into()));
    assert_eq!(rig.looked(None), [StoreAction::Answer(4, unknown)]);
}

#[test]
fn on_a_disk_that_stands_still_an_order_is_in_force_and_answered_in_time_and_written_later() {
    let mut rig = Rig::new();
    rig.ordered(out("a"), 1);
    assert_eq!(rig.pass(200), [in_force("a")], "the look has not come back");
    assert_eq!(rig.pass(500), [StoreAction::Answer(1, CommandOutcome::Applied)]);
    assert!(matches!(rig.looked(None)[..], [StoreAction::Write(_)]));
    rig.ordered(out("b"), 2);
    assert_eq!(rig.pass(200), [in_force("b")], "nor has the write");
    assert_eq!(rig.pass(500), [StoreAction::Answer(2, CommandOutcome::Applied)]);
    let failed = rig.wrote(Err("full".into()));
    assert_eq!((failed, rig.out()), (vec![], [true, true]), "what was promised is not taken back");
    assert!(rig.pass(900).iter().all(|step| *step == StoreAction::Read));
    rig.looked(None);
    let again = rig.pass(200);
    assert!(
        again.iter().any(|step| matches!(step, StoreAction::Write(orders) if orders.is_out("b"))),
        "{again:?}"
    );
    assert_eq!(rig.wrote(Ok(())), []);
    rig.looked(None);
    assert!(rig.pass(3_000).iter().all(|step| *step == StoreAction::Read), "and nothing is written again");
}

#[test]
fn an_order_that_cannot_be_written_is_taken_back_and_answered_no() {
    let mut rig = Rig::new();
    rig.ordered(out("a"), 1);
    rig.looked(None);
    rig.ordered(out("a"), 2); // the same again while it is written
    let steps = rig.wrote(Err("no space".into()));
    let no = |who| StoreAction::Answer(who, CommandOutcome::NotPersisted("no space".into()));
    assert_eq!(steps[..2], [StoreAction::Changed(OverrideChange::RolledBack, vec!["a".into()]), no(1)]);
    assert_eq!(rig.out(), [false, false]);
    assert_eq!(rig.looked(None)[0], in_force("a"), "the second call stands for itself");
}

#[test]
fn what_the_other_process_was_ordered_and_what_is_still_to_be_written_are_both_in_force() {
    let mut rig = Rig::new();
    rig.ordered(out("a"), 1);
    rig.pass(200); // in force, the look still out
    let mut other = Rig::new();
    other.ordered(out("b"), 9);
    other.looked(None);
    let found = rig.looked(Some(other.maintenance.overrides().clone()));
    assert_eq!(found[0], StoreAction::Changed(OverrideChange::Loaded, vec!["b".into()]));
    assert!(
        matches!(&found[1], StoreAction::Write(both) if both.is_out("a") && both.is_out("b")),
        "{found:?}"
    );
}

/// Both processes look, then each writes: who comes second finds the other's orders in the file, and writes both.
#[test]
fn what_the_other_process_wrote_since_the_look_is_not_written_over() {
    let mut rig = Rig::new();
    rig.ordered(OverrideCommand::Drain, 1);
    assert!(matches!(rig.looked(None).last(), Some(StoreAction::Write(_))));
    let mut other = Rig::new();
    other.ordered(out("b"), 9);
    other.looked(None);
    let changed = Err(WriteError::Changed(other.maintenance.overrides().clone()));
    let again = rig.wrote_or(changed);
    assert_eq!(again[0], StoreAction::Changed(OverrideChange::Loaded, vec!["b".into()]));
    assert!(
        matches!(&again[1], StoreAction::Write(both) if both.draining() && both.is_out("b")),
        "{again:?}"
    );
    assert_eq!(again.len(), 2, "the caller waits for that write");
    assert_eq!(rig.wrote(Ok(())), [StoreAction::Answer(1, CommandOutcome::Persisted)]);
}

/// One order is promised, on a disk that stood still; the next, behind it, meets a disk that is full.
#[test]
fn an_order_that_cannot_be_written_is_taken_back_also_behind_one_that_was_promised() {
    let mut rig = Rig::new();
    rig.ordered(out("a"), 1);
    rig.pass(200);
    assert_eq!(rig.pass(500), [StoreAction::Answer(1, CommandOutcome::Applied)]);
    rig.looked(None);
    rig.ordered(OverrideCommand::Drain, 2);
    rig.ordered(out("a"), 3); // in force already, and promised
    rig.pass(200);
    assert!(rig.maintenance.overrides().draining());
    let steps = rig.wrote(Err("no space".into()));
    assert_eq!(steps[0], StoreAction::Changed(OverrideChange::RolledBack, vec![]));
    assert!(
        steps.contains(&StoreAction::Answer(2, CommandOutcome::NotPersisted("no space".into()))),
        "{steps:?}"
    );
    assert_eq!((rig.out(), rig.maintenance.overrides().draining()), ([true, false], false));
}

#[test]
fn without_a_file_orders_are_in_force_at_once() {
    let mut rig = Rig { keeping: OverrideStore::new(false), ..Rig::new() };
    assert_eq!(rig.ordered(out("a"), 1), [in_force("a"), StoreAction::Answer(1, CommandOutcome::Persisted)]);
    assert_eq!(rig.pass(1_000), []);
}
