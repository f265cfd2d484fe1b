//! When an order comes into force, when it is kept for the next process, and when its caller hears of it, on a disk that
//! may stand still at any moment.

use crate::{Millis, OperatorOverrides, OverriddenList, OverrideCommand, OverrideError};
use std::collections::VecDeque;
use std::io;
use thiserror::Error;

/// How long an order waits for a look at what the other process of this balancer was ordered, which it must not write over.
/// It is due in force within a second.
const LOOK_TIME: Millis = 200;
/// How long a caller waits for the order to be written; a call is due its answer within a second.
const ANSWER_TIME: Millis = 600;
/// The pause after a write that failed and must be made good.
const RETRY: Millis = 1_000;

/// What is to be done, in order. `T` is whom to answer.
#[derive(Debug, PartialEq, Eq)]
pub enum StoreAction<T> {
    /// Look whether the file holds other orders than it was last seen to hold: [`OverrideStore::handle_read`].
    Read,
    /// Write these orders, whole or not at all: [`OverrideStore::handle_write`].
    Write(OperatorOverrides),
    /// Orders came into force or out of it: there is something new to tell of these hosts, and perhaps of the drain.
    Changed(OverrideChange, Vec<String>),
    /// Answer a call.
    Answer(T, CommandOutcome),
}

/// Why the orders in force have changed.
#[derive(Debug, PartialEq, Eq)]
pub enum OverrideChange {
    /// A call.
    Command(OverrideCommand),
    /// The file held others: another process of this balancer was called.
    Loaded,
    /// They could not be written, and were taken back.
    RolledBack,
}

/// Why orders were not written; the file holds what it held.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WriteError {
    /// Another process of this balancer has written others since the last look.
    #[error("another process has written other orders")]
    Changed(OperatorOverrides),
    /// The system says no.
    #[error("{0}")]
    Failed(String),
}

impl From<io::Error> for WriteError {
    fn from(error: io::Error) -> Self {
        Self::Failed(error.to_string())
    }
}

/// What a caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandOutcome {
    /// In force, and the next process will find it.
    Persisted,
    /// In force in this process; it is written as soon as the disk moves.
    Applied,
    /// Not in force: it cannot be carried out.
    Rejected(OverrideError),
    /// Not in force: it could not be written, for this reason.
    NotPersisted(String),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Under {
    Nothing,
    /// A look, and how many of the calls that wait came before it.
    Look(usize),
    /// A write, how many of the callers who wait it is for, and how many of the orders not written so far it covers.
    Write(usize, usize),
}

/// Orders remembered until they are written. More than these, all while the disk stands still, are carried out all the same;
/// what is lost of the first is only that they are not carried out again over orders of the other process.
const MOST_REMEMBERED: usize = 256;

/// An order in force that is not written.
#[derive(Debug)]
struct Unwritten {
    number: u64,
    at: Millis,
    order: OverrideCommand,
}

/// A caller who waits until all orders up to a number are written.
#[derive(Debug)]
struct Waiting<T> {
    number: u64,
    since: Millis,
    who: T,
}

/// Orders on their way between callers, the balancer and the file. At most one operation on the file is under way.
///
/// The calls it holds are as many as its owner lets in at a time.
#[derive(Debug)]
pub struct OverrideStore<T> {
    /// Whether there is a file; without one every order is as good as kept.
    file: bool,
    under: Under,
    /// Calls that wait for a look.
    asked: VecDeque<(Millis, OverrideCommand, T)>,
    /// Calls whose orders are in force, and wait to be written.
    unwritten: VecDeque<Waiting<T>>,
    /// What was ordered and is not written: carried out again over what the other process has written meanwhile.
    remembered: VecDeque<Unwritten>,
    /// The number of the last order that was remembered.
    number: u64,
    /// Whether the orders in force differ from what was last given to be written.
    dirty: bool,
    /// Callers were told that the orders up to this number are in force though they may not be written: none is taken back.
    promised: u64,
    /// What the file holds, and what is written to it now.
    kept: OperatorOverrides,
    writing: OperatorOverrides,
    not_before: Millis,
    steps: VecDeque<StoreAction<T>>,
}

impl<T> OverrideStore<T> {
    /// Nothing under way; `file`: whether there is a file, which holds nothing as far as is known.
    #[must_use]
    pub fn new(file: bool) -> Self {
        Self {
            file,
            under: Under::Nothing,
            asked: VecDeque::new(),
            unwritten: VecDeque::new(),
            remembered: VecDeque::new(),
            number: 0,
            dirty: false,
            promised: 0,
            kept: OperatorOverrides::default(),
            writing: OperatorOverrides::default(),
            not_before: 0,
            steps: VecDeque::new(),
        }
    }

    /// The next thing to do.
    pub fn poll(&mut self) -> Option<StoreAction<T>> {
        self.steps.pop_front()
    }

    /// Takes in a call.
    pub fn handle_command(
        &mut self, now: Millis, maintenance: &mut OverriddenList, order: OverrideCommand, who: T,
    ) {
        self.asked.push_back((now, order, who));
        self.go_on(now, maintenance);
    }

    /// Takes in what a look found, if that was new.
    pub fn handle_read(
        &mut self, now: Millis, maintenance: &mut OverriddenList, news: Option<OperatorOverrides>,
    ) {
        let Under::Look(before) = std::mem::replace(&mut self.under, Under::Nothing) else { return };
        if let Some(news) = news {
            self.kept = news;
            self.rebuild(maintenance, OverrideChange::Loaded);
        }
        for _ in 0..before {
            self.carry_out_first(now, maintenance);
        }
        self.go_on(now, maintenance);
    }

    /// Takes in the end of a write.
    pub fn handle_write(
        &mut self, now: Millis, maintenance: &mut OverriddenList, written: Result<(), WriteError>,
    ) {
        let Under::Write(callers, orders) = std::mem::replace(&mut self.under, Under::Nothing) else {
            return;
        };
        match written {
            Ok(()) => {
                self.kept = std::mem::take(&mut self.writing);
                self.remembered.drain(..orders.min(self.remembered.len()));
                self.answer_first(
                    if self.dirty { callers } else { self.unwritten.len() },
                    &CommandOutcome::Persisted,
                );
            }
            Err(WriteError::Changed(news)) => {
                self.kept = news;
                self.rebuild(maintenance, OverrideChange::Loaded);
                self.dirty = true;
            }
            Err(WriteError::Failed(why)) => self.write_failed(now, maintenance, &why),
        }
        self.go_on(now, maintenance);
    }

    /// Takes back what nobody was told is in force; what is left is written later.
    fn write_failed(&mut self, now: Millis, maintenance: &mut OverriddenList, why: &str) {
        let before = self.remembered.len();
        self.remembered.retain(|order| order.number <= self.promised);
        if self.remembered.len() < before {
            self.rebuild(maintenance, OverrideChange::RolledBack);
        }
        self.dirty = !self.remembered.is_empty();
        self.not_before = now + RETRY;
        for waiting in std::mem::take(&mut self.unwritten) {
            let promised = waiting.number <= self.promised;
            let verdict =
                if promised { CommandOutcome::Applied } else { CommandOutcome::NotPersisted(why.to_owned()) };
            self.steps.push_back(StoreAction::Answer(waiting.who, verdict));
        }
    }

    /// Puts in force what the file holds and, over it, what was ordered and is not written.
    fn rebuild(&mut self, maintenance: &mut OverriddenList, change: OverrideChange) {
        let ours = maintenance.overrides().clone();
        maintenance.replace_overrides(self.kept.clone());
        for it in &self.remembered {
            // One that cannot be carried out now was when it was ordered: its host has left since.
            let _ = maintenance.apply_command(it.at, &it.order);
        }
        let hosts = maintenance.changed_since(&ours);
        self.steps.push_back(StoreAction::Changed(change, hosts));
    }

    /// Lets time pass: to be called about ten times a second. Looks at the file where nothing else is to be done.
    pub fn tick(&mut self, now: Millis, maintenance: &mut OverriddenList) {
        while self.asked.front().is_some_and(|(since, ..)| now >= since + LOOK_TIME) {
            self.carry_out_first(now, maintenance);
            if let Under::Look(before) = &mut self.under {
                *before = before.saturating_sub(1);
            }
        }
        let late = self.unwritten.iter().take_while(|it| now >= it.since + ANSWER_TIME).count();
        if let Some(last) = late.checked_sub(1).and_then(|at| self.unwritten.get(at)) {
            self.promised = last.number;
            self.answer_first(late, &CommandOutcome::Applied);
            if let Under::Write(callers, _) = &mut self.under {
                *callers = callers.saturating_sub(late);
            }
        }
        self.go_on(now, maintenance);
        if self.file && self.under == Under::Nothing {
            self.look();
        }
    }

    fn look(&mut self) {
        self.under = Under::Look(self.asked.len());
        self.steps.push_back(StoreAction::Read);
    }

    /// Begins what is to be done next, if nothing is under way.
    fn go_on(&mut self, now: Millis, maintenance: &mut OverriddenList) {
        if !self.file {
            while !self.asked.is_empty() {
                self.carry_out_first(now, maintenance);
            }
            self.dirty = false;
            self.remembered.clear();
            return self.answer_first(self.unwritten.len(), &CommandOutcome::Persisted);
        }
        if self.under != Under::Nothing {
            return;
        }
        if self.dirty && now >= self.not_before {
            self.dirty = false;
            self.writing = maintenance.overrides().clone();
            self.under = Under::Write(self.unwritten.len(), self.remembered.len());
            self.steps.push_back(StoreAction::Write(self.writing.clone()));
        } else if !self.asked.is_empty() {
            self.look();
        }
    }

    /// Puts the first call's order in force, or answers why not.
    fn carry_out_first(&mut self, now: Millis, maintenance: &mut OverriddenList) {
        let Some((since, order, who)) = self.asked.pop_front() else { return };
        let before = maintenance.overrides().clone();
        match maintenance.apply_command(now, &order) {
            Err(why) => self.steps.push_back(StoreAction::Answer(who, CommandOutcome::Rejected(why))),
            Ok(hosts) => {
                if *maintenance.overrides() != before {
                    self.dirty = true;
                    self.number += 1;
                    self.remembered.push_back(Unwritten {
                        number: self.number,
                        at: now,
                        order: order.clone(),
                    });
                    if self.remembered.len() > MOST_REMEMBERED {
                        self.remembered.pop_front();
                        if let Under::Write(_, orders) = &mut self.under {
                            *orders = orders.saturating_sub(1);
                        }
                    }
                }
                self.steps.push_back(StoreAction::Changed(OverrideChange::Command(order), hosts));
                // One that changes nothing is kept already, unless what it repeats is still to be written.
                if self.dirty || matches!(self.under, Under::Write(..)) {
                    self.unwritten.push_back(Waiting { number: self.number, since, who });
                } else {
                    self.steps.push_back(StoreAction::Answer(who, CommandOutcome::Persisted));
                }
            }
        }
    }

    fn answer_first(&mut self, count: usize, verdict: &CommandOutcome) {
        let answers = self.unwritten.drain(..count.min(self.unwritten.len()));
        self.steps.extend(answers.map(|it| StoreAction::Answer(it.who, verdict.clone())));
    }
}
