//! Orders on their way to a disk that may stand still: time and the disk are what the tests say.

use maintenance::{Change, Keeping, Maintenance, Order, OrderError, Orders, Step, Verdict, WriteError};
use proto::discovery::parse_endpoint_list;
use serde_json::json;

struct Rig {
    keeping: Keeping<u32>,
    maintenance: Maintenance,
    now: u64,
}

impl Rig {
    /// Hosts a and b are listed, and the file was looked at once.
    fn new() -> Self {
        let mut maintenance = Maintenance::new(None, Orders::default());
        let member = |id| json!({"id": id, "host_port": "127.0.0.1:1", "flavor": "m", "phase": "ready", "up_since_ms": 0});
        let members = json!({"revision": 1, "complete": true, "members": [member("a"), member("b")]});
        let _ = maintenance.hear(&parse_endpoint_list(members.to_string().as_bytes()).unwrap());
        Self { keeping: Keeping::new(true), maintenance, now: 1_000 }
    }
    fn steps(&mut self) -> Vec<Step<u32>> {
        std::iter::from_fn(|| self.keeping.poll()).collect()
    }
    fn ordered(&mut self, order: Order, who: u32) -> Vec<Step<u32>> {
        self.keeping.ordered(self.now, &mut self.maintenance, order, who);
        self.steps()
    }
    fn looked(&mut self, news: Option<Orders>) -> Vec<Step<u32>> {
        self.keeping.looked(self.now, &mut self.maintenance, news);
        self.steps()
    }
    fn wrote(&mut self, written: Result<(), String>) -> Vec<Step<u32>> {
        self.wrote_or(written.map_err(WriteError::Failed))
    }
    fn wrote_or(&mut self, written: Result<(), WriteError>) -> Vec<Step<u32>> {
        self.keeping.wrote(self.now, &mut self.maintenance, written);
        self.steps()
    }
    fn pass(&mut self, ms: u64) -> Vec<Step<u32>> {
        (0..ms / 100).flat_map(|_| self.tick()).collect()
    }
    fn tick(&mut self) -> Vec<Step<u32>> {
        self.now += 100;
        self.keeping.tick(self.now, &mut self.maintenance);
        self.steps()
    }
    fn out(&self) -> [bool; 2] {
        ["a", "b"].map(|id| self.maintenance.orders().is_out(id))
    }
}

fn out(id: &str) -> Order {
    Order::Disable(id.into())
}

fn in_force(id: &str) -> Step<u32> {
    Step::Changed(Change::Ordered(out(id)), vec![id.into()])
}

#[test]
fn an_order_is_answered_yes_once_the_file_was_looked_at_and_written() {
    let mut rig = Rig::new();
    assert_eq!(rig.ordered(out("a"), 1), [Step::Look]);
    assert_eq!(rig.ordered(out("b"), 2), [], "one operation at a time");
    let steps = rig.looked(None);
    assert_eq!(steps, [in_force("a"), Step::Write(rig.maintenance.orders().clone())]);
    assert_eq!(
        rig.wrote(Ok(())),
        [Step::Answer(1, Verdict::Kept), Step::Look],
        "the second has its own look"
    );
    assert_eq!(rig.looked(None)[0], in_force("b"));
    assert_eq!(rig.wrote(Ok(())), [Step::Answer(2, Verdict::Kept)]);
    assert_eq!(rig.ordered(out("a"), 3), [Step::Look]);
    let again = rig.looked(None);
    assert_eq!(again.last(), Some(&Step::Answer(3, Verdict::Kept)), "nothing new to write: {again:?}");
    rig.ordered(Order::Enable("nadie".into()), 4);
    let unknown = Verdict::Refused(OrderError::Unknown("nadie".into()));
    assert_eq!(rig.looked(None), [Step::Answer(4, unknown)]);
}

#[test]
fn on_a_disk_that_stands_still_an_order_is_in_force_and_answered_in_time_and_written_later() {
    let mut rig = Rig::new();
    rig.ordered(out("a"), 1);
    assert_eq!(rig.pass(200), [in_force("a")], "the look has not come back");
    assert_eq!(rig.pass(500), [Step::Answer(1, Verdict::InForce)]);
    assert!(matches!(rig.looked(None)[..], [Step::Write(_)]));
    rig.ordered(out("b"), 2);
    assert_eq!(rig.pass(200), [in_force("b")], "nor has the write");
    assert_eq!(rig.pass(500), [Step::Answer(2, Verdict::InForce)]);
    let failed = rig.wrote(Err("full".into()));
    assert_eq!((failed, rig.out()), (vec![], [true, true]), "what was promised is not taken back");
    assert!(rig.pass(900).iter().all(|step| *step == Step::Look));
    rig.looked(None);
    let again = rig.pass(200);
    assert!(again.iter().any(|step| matches!(step, Step::Write(orders) if orders.is_out("b"))), "{again:?}");
    assert_eq!(rig.wrote(Ok(())), []);
    rig.looked(None);
    assert!(rig.pass(3_000).iter().all(|step| *step == Step::Look), "and nothing is written again");
}

#[test]
fn an_order_that_cannot_be_written_is_taken_back_and_answered_no() {
    let mut rig = Rig::new();
    rig.ordered(out("a"), 1);
    rig.looked(None);
    rig.ordered(out("a"), 2); // the same again while it is written
    let steps = rig.wrote(Err("no space".into()));
    let no = |who| Step::Answer(who, Verdict::NotKept("no space".into()));
    assert_eq!(steps[..2], [Step::Changed(Change::TakenBack, vec!["a".into()]), no(1)]);
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
    let found = rig.looked(Some(other.maintenance.orders().clone()));
    assert_eq!(found[0], Step::Changed(Change::Found, vec!["b".into()]));
    assert!(matches!(&found[1], Step::Write(both) if both.is_out("a") && both.is_out("b")), "{found:?}");
}

/// Both processes look, then each writes: who comes second finds the other's orders in the file, and writes both.
#[test]
fn what_the_other_process_wrote_since_the_look_is_not_written_over() {
    let mut rig = Rig::new();
    rig.ordered(Order::Drain, 1);
    assert!(matches!(rig.looked(None).last(), Some(Step::Write(_))));
    let mut other = Rig::new();
    other.ordered(out("b"), 9);
    other.looked(None);
    let changed = Err(WriteError::Changed(other.maintenance.orders().clone()));
    let again = rig.wrote_or(changed);
    assert_eq!(again[0], Step::Changed(Change::Found, vec!["b".into()]));
    assert!(matches!(&again[1], Step::Write(both) if both.draining() && both.is_out("b")), "{again:?}");
    assert_eq!(again.len(), 2, "the caller waits for that write");
    assert_eq!(rig.wrote(Ok(())), [Step::Answer(1, Verdict::Kept)]);
}

/// One order is promised, on a disk that stood still; the next, behind it, meets a disk that is full.
#[test]
fn an_order_that_cannot_be_written_is_taken_back_also_behind_one_that_was_promised() {
    let mut rig = Rig::new();
    rig.ordered(out("a"), 1);
    rig.pass(200);
    assert_eq!(rig.pass(500), [Step::Answer(1, Verdict::InForce)]);
    rig.looked(None);
    rig.ordered(Order::Drain, 2);
    rig.ordered(out("a"), 3); // in force already, and promised
    rig.pass(200);
    assert!(rig.maintenance.orders().draining());
    let steps = rig.wrote(Err("no space".into()));
    assert_eq!(steps[0], Step::Changed(Change::TakenBack, vec![]));
    assert!(steps.contains(&Step::Answer(2, Verdict::NotKept("no space".into()))), "{steps:?}");
    assert_eq!((rig.out(), rig.maintenance.orders().draining()), ([true, false], false));
}

#[test]
fn without_a_file_orders_are_in_force_at_once() {
    let mut rig = Rig { keeping: Keeping::new(false), ..Rig::new() };
    assert_eq!(rig.ordered(out("a"), 1), [in_force("a"), Step::Answer(1, Verdict::Kept)]);
    assert_eq!(rig.pass(1_000), []);
}
