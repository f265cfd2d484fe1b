//! The store of operator overrides. It decides when a command comes into force, when it is written for the next process
//! and when its caller is answered, even if the disk stalls.

use crate::{
    CommandOutcome, Millis, OperatorOverrides, OverriddenList, OverrideChange, OverrideCommand, StoreAction,
    WriteError,
};
use std::collections::VecDeque;

/// Maximum time that a command waits for a read of the file. The read prevents the command from overwriting those that
/// the other process of this balancer accepted. A command must be in force within a second.
const READ_TIMEOUT: Millis = 200;
/// Maximum time from a command to the answer to its caller, even if the write has not completed. A call must be
/// answered within a second.
const ANSWER_TIMEOUT: Millis = 600;
/// Delay between a failed write and its retry.
const RETRY_INTERVAL: Millis = 1_000;
/// Maximum number of commands that are remembered until they are written. If more are applied while the disk stalls,
/// the oldest are forgotten, and are not reapplied over the commands of another process.
const MAX_UNWRITTEN: usize = 256;

/// The file operation in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Operation {
    Idle,
    /// A read that started after the first `pending_commands` pending commands arrived.
    Read {
        pending_commands: usize,
    },
    /// A write that covers the first `unwritten_commands` unwritten commands, and for which the first `waiting_callers`
    /// waiting callers wait.
    Write {
        waiting_callers: usize,
        unwritten_commands: usize,
    },
}

/// A command that waits for a read of the file before it is applied.
#[derive(Debug)]
struct PendingCommand<T> {
    received_at: Millis,
    command: OverrideCommand,
    caller: T,
}

/// A command that is in force but not yet written.
#[derive(Debug)]
struct UnwrittenCommand {
    sequence: u64,
    applied_at: Millis,
    command: OverrideCommand,
}

/// A caller that waits until all commands up to and including `sequence` are written.
#[derive(Debug)]
struct WaitingCaller<T> {
    sequence: u64,
    received_at: Millis,
    caller: T,
}

/// Applies commands to the overrides in force, writes them to the file and answers their callers. At most one file
/// operation is in progress at a time.
///
/// The owner bounds the number of callers.
#[derive(Debug)]
pub struct OverrideStore<T> {
    /// Whether there is a file. Without a file, every command counts as written.
    has_file: bool,
    operation: Operation,
    pending: VecDeque<PendingCommand<T>>,
    waiting: VecDeque<WaitingCaller<T>>,
    /// Commands in force that are not yet written. They are reapplied over the overrides that the other process has
    /// written.
    unwritten: VecDeque<UnwrittenCommand>,
    /// The sequence number of the last command that was added to `unwritten`.
    last_sequence: u64,
    /// Whether the overrides in force differ from those of the last write that was requested.
    dirty: bool,
    /// Commands up to and including this sequence number were acknowledged as applied before they were written. They
    /// are never rolled back.
    acknowledged_sequence: u64,
    /// The overrides that the file contains.
    persisted: OperatorOverrides,
    /// The overrides that are being written to the file.
    writing: OperatorOverrides,
    /// The earliest time of the next write.
    retry_at: Millis,
    actions: VecDeque<StoreAction<T>>,
}

impl<T> OverrideStore<T> {
    /// Creates an idle store. `has_file` says whether there is a file. The file counts as empty until it is read.
    #[must_use]
    pub fn new(has_file: bool) -> Self {
        Self {
            has_file,
            operation: Operation::Idle,
            pending: VecDeque::new(),
            waiting: VecDeque::new(),
            unwritten: VecDeque::new(),
            last_sequence: 0,
            dirty: false,
            acknowledged_sequence: 0,
            persisted: OperatorOverrides::default(),
            writing: OperatorOverrides::default(),
            retry_at: 0,
            actions: VecDeque::new(),
        }
    }

    /// Returns the next action for the owner.
    pub fn poll(&mut self) -> Option<StoreAction<T>> {
        self.actions.pop_front()
    }

    /// Handles an operator's command.
    pub fn handle_command(
        &mut self, now: Millis, list: &mut OverriddenList, command: OverrideCommand, caller: T,
    ) {
        self.pending.push_back(PendingCommand { received_at: now, command, caller });
        self.start_operation(now, list);
    }

    /// Handles the result of a read. `loaded` contains the overrides in the file if the file has changed.
    pub fn handle_read(&mut self, now: Millis, list: &mut OverriddenList, loaded: Option<OperatorOverrides>) {
        let Operation::Read { pending_commands } = self.operation else { return };
        self.operation = Operation::Idle;
        if let Some(loaded) = loaded {
            self.persisted = loaded;
            self.rebuild_overrides(list, OverrideChange::Loaded);
        }
        for _ in 0..pending_commands {
            self.apply_next_command(now, list);
        }
        self.start_operation(now, list);
    }

    /// Handles the result of a write.
    pub fn handle_write(&mut self, now: Millis, list: &mut OverriddenList, written: Result<(), WriteError>) {
        let Operation::Write { waiting_callers, unwritten_commands } = self.operation else { return };
        self.operation = Operation::Idle;
        match written {
            Ok(()) => {
                self.persisted = std::mem::take(&mut self.writing);
                self.unwritten.drain(..unwritten_commands.min(self.unwritten.len()));
                let answered = if self.dirty { waiting_callers } else { self.waiting.len() };
                self.answer_waiting(answered, &CommandOutcome::Persisted);
            }
            Err(WriteError::Changed(loaded)) => {
                self.persisted = loaded;
                self.rebuild_overrides(list, OverrideChange::Loaded);
                self.dirty = true;
            }
            Err(WriteError::Failed(reason)) => self.roll_back(now, list, &reason),
        }
        self.start_operation(now, list);
    }

    /// Rolls back the commands that were not acknowledged, after a failed write. Acknowledged commands are written
    /// later.
    fn roll_back(&mut self, now: Millis, list: &mut OverriddenList, reason: &str) {
        let before = self.unwritten.len();
        self.unwritten.retain(|unwritten| unwritten.sequence <= self.acknowledged_sequence);
        if self.unwritten.len() < before {
            self.rebuild_overrides(list, OverrideChange::RolledBack);
        }
        self.dirty = !self.unwritten.is_empty();
        self.retry_at = now + RETRY_INTERVAL;
        for waiting in std::mem::take(&mut self.waiting) {
            let outcome = if waiting.sequence <= self.acknowledged_sequence {
                CommandOutcome::Applied
            } else {
                CommandOutcome::NotPersisted(reason.to_owned())
            };
            self.actions.push_back(StoreAction::Answer(waiting.caller, outcome));
        }
    }

    /// Puts the overrides of the file into force, with the unwritten commands reapplied over them.
    fn rebuild_overrides(&mut self, list: &mut OverriddenList, change: OverrideChange) {
        let before = list.overrides().clone();
        list.replace_overrides(self.persisted.clone());
        for unwritten in &self.unwritten {
            // The command was valid when it was accepted. If it fails now, its endpoint has left the list since then.
            let _ = list.apply_command(unwritten.applied_at, &unwritten.command);
        }
        let hosts = list.changed_since(&before);
        self.actions.push_back(StoreAction::Changed(change, hosts));
    }

    /// Handles timeouts, and starts a read of the file if no operation is in progress. Call this about ten times a
    /// second.
    pub fn tick(&mut self, now: Millis, list: &mut OverriddenList) {
        while self.pending.front().is_some_and(|pending| now >= pending.received_at + READ_TIMEOUT) {
            self.apply_next_command(now, list);
            if let Operation::Read { pending_commands } = &mut self.operation {
                *pending_commands = pending_commands.saturating_sub(1);
            }
        }
        self.acknowledge_late_callers(now);
        self.start_operation(now, list);
        if self.has_file && self.operation == Operation::Idle {
            self.start_read();
        }
    }

    /// Answers the callers whose [`ANSWER_TIMEOUT`] has expired.
    fn acknowledge_late_callers(&mut self, now: Millis) {
        let is_late = |waiting: &&WaitingCaller<T>| now >= waiting.received_at + ANSWER_TIMEOUT;
        let late = self.waiting.iter().take_while(is_late).count();
        let Some(last) = late.checked_sub(1).and_then(|index| self.waiting.get(index)) else { return };
        self.acknowledged_sequence = last.sequence;
        self.answer_waiting(late, &CommandOutcome::Applied);
        if let Operation::Write { waiting_callers, .. } = &mut self.operation {
            *waiting_callers = waiting_callers.saturating_sub(late);
        }
    }

    /// Starts a read of the file on behalf of all pending commands.
    fn start_read(&mut self) {
        self.operation = Operation::Read { pending_commands: self.pending.len() };
        self.actions.push_back(StoreAction::Read);
    }

    /// Starts the next operation on the file, if none is in progress. Without a file, applies all pending commands.
    fn start_operation(&mut self, now: Millis, list: &mut OverriddenList) {
        if !self.has_file {
            return self.apply_without_file(now, list);
        }
        if self.operation != Operation::Idle {
            return;
        }
        if self.dirty && now >= self.retry_at {
            self.dirty = false;
            self.writing = list.overrides().clone();
            self.operation = Operation::Write {
                waiting_callers: self.waiting.len(),
                unwritten_commands: self.unwritten.len(),
            };
            self.actions.push_back(StoreAction::Write(self.writing.clone()));
        } else if !self.pending.is_empty() {
            self.start_read();
        }
    }

    /// Applies all pending commands, and answers their callers as if the commands were written.
    fn apply_without_file(&mut self, now: Millis, list: &mut OverriddenList) {
        while !self.pending.is_empty() {
            self.apply_next_command(now, list);
        }
        self.dirty = false;
        self.unwritten.clear();
        self.answer_waiting(self.waiting.len(), &CommandOutcome::Persisted);
    }

    /// Applies the first pending command, or answers its caller with the reason for its rejection.
    fn apply_next_command(&mut self, now: Millis, list: &mut OverriddenList) {
        let Some(PendingCommand { received_at, command, caller }) = self.pending.pop_front() else { return };
        let before = list.overrides().clone();
        let hosts = match list.apply_command(now, &command) {
            Ok(hosts) => hosts,
            Err(error) => {
                let outcome = CommandOutcome::Rejected(error);
                return self.actions.push_back(StoreAction::Answer(caller, outcome));
            }
        };
        if *list.overrides() != before {
            self.remember_unwritten(now, command.clone());
        }
        self.actions.push_back(StoreAction::Changed(OverrideChange::Command(command), hosts));
        // A command that changes nothing is already persisted, unless the command that it repeats is not yet written.
        if self.dirty || matches!(self.operation, Operation::Write { .. }) {
            self.waiting.push_back(WaitingCaller { sequence: self.last_sequence, received_at, caller });
        } else {
            self.actions.push_back(StoreAction::Answer(caller, CommandOutcome::Persisted));
        }
    }

    /// Remembers a command that is in force, until it is written.
    fn remember_unwritten(&mut self, applied_at: Millis, command: OverrideCommand) {
        self.dirty = true;
        self.last_sequence += 1;
        self.unwritten.push_back(UnwrittenCommand { sequence: self.last_sequence, applied_at, command });
        if self.unwritten.len() > MAX_UNWRITTEN {
            self.unwritten.pop_front();
            if let Operation::Write { unwritten_commands, .. } = &mut self.operation {
                *unwritten_commands = unwritten_commands.saturating_sub(1);
            }
        }
    }

    /// Answers the first `count` waiting callers.
    fn answer_waiting(&mut self, count: usize, outcome: &CommandOutcome) {
        let answered = self.waiting.drain(..count.min(self.waiting.len()));
        self.actions.extend(answered.map(|it| StoreAction::Answer(it.caller, outcome.clone())));
    }
}
