//! Decodes the commands in the input of a connection and creates a reply to each.

use super::connection::{Client, PartialCommandSize, ReportedState};
use super::reply::{BUSY, Reply};
use super::socket::has_client_closed;
use crate::request::{self, ParsedCommand};
use crate::shutdown::Stage;
use bytes::{Buf, Bytes};
use decide::api::ClassId;
use gateway::{MemoryPermit, stall_monitor};
use proto::resp::{Command, PartialCommand};
use proto::{ProtoError, resp};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a large value may take to arrive once its length is known. Bounds how long one client holds a part of the
/// memory for values. The value must not stop arriving for longer than the command timeout.
const LARGE_VALUE_TIMEOUT: Duration = Duration::from_secs(30);

impl Client {
    /// Handles input that was just read: records its arrival, skips bytes to discard, and decodes commands.
    pub(super) fn handle_input(&mut self) {
        self.input_age = self.latest_input_age();
        self.last_input_at = Some(Instant::now());
        self.pipelines |= !self.replies.is_empty();
        if self.value_deadline.is_some() {
            self.command_awaited_since = Some(Instant::now()); // the command timeout restarts while a value arrives
        }
        if self.bytes_to_skip > 0 {
            let skipped = self.bytes_to_skip.min(self.input.len());
            self.input.bytes_mut().advance(skipped);
            self.bytes_to_skip -= skipped;
            if self.bytes_to_skip == 0 {
                self.clear_command_timers();
            }
        }
        self.decode_commands();
    }

    /// Returns the longest time ago at which the input just read may have arrived: the current stall of the event loop
    /// or, on a new connection, the age of the connection when it was accepted.
    fn latest_input_age(&self) -> Duration {
        let age = self.front.handle.stall_monitor.overdue(Instant::now());
        let is_new = self.opened_at.elapsed() < stall_monitor::CHECK_INTERVAL;
        if is_new { age.max(self.age_at_accept) } else { age }
    }

    /// Returns the earliest time at which the last byte of the command being decoded may have arrived. The time that
    /// the command waits in the input buffer after other commands is not counted.
    fn received_at(&self) -> Instant {
        let now = Instant::now();
        now.checked_sub(self.input_age).unwrap_or(now)
    }

    /// Checks an incomplete command: starts its timers, and makes room for the rest of it before that is read. Returns a
    /// reply if the command is rejected.
    fn check_partial_command(&mut self) -> Option<Reply> {
        if self.input.is_empty() || self.partial_command.is_some() || self.bytes_to_skip > 0 {
            return None;
        }
        self.command_awaited_since.get_or_insert_with(Instant::now);
        match resp::parse_partial_command(self.input.bytes()) {
            Ok(None) => self.make_room_for_head(),
            Ok(Some(partial)) => self.make_room_for_value(partial),
            Err(error) => Some(self.reject_malformed(error)),
        }
    }

    /// Makes room for the words of a command before its last one.
    fn make_room_for_head(&mut self) -> Option<Reply> {
        let is_short_of_memory = self.input.is_full()
            && self.input.ensure_capacity(2 * self.input.len(), &self.front.handle).is_err();
        // The length of the command is unknown, so the rest of it cannot be skipped.
        self.is_ending |= is_short_of_memory;
        is_short_of_memory.then(|| Reply::line(BUSY))
    }

    /// Makes room for the last word of a command, whose length is known.
    fn make_room_for_value(&mut self, partial: PartialCommand) -> Option<Reply> {
        let timeout = if partial.large { LARGE_VALUE_TIMEOUT } else { self.command_timeout };
        self.value_deadline.get_or_insert_with(|| Instant::now() + timeout);
        if partial.large && self.class_of_partial(&partial).is_none() {
            return Some(self.reject_malformed(ProtoError::TooLong("command"))); // no other command has a large argument
        }
        if self.input.ensure_capacity(partial.bytes, &self.front.handle).is_ok() {
            let size = if partial.large { PartialCommandSize::Large } else { PartialCommandSize::Buffered };
            self.partial_command = Some(size);
            return None;
        }
        if let Some(class) = self.class_of_partial(&partial) {
            self.front.handle.count_out_of_memory(class);
        }
        self.bytes_to_skip = partial.bytes.saturating_sub(self.input.len());
        self.input.clear();
        Some(Reply::line(BUSY))
    }

    /// Returns the class of an incomplete write.
    fn class_of_partial(&self, partial: &PartialCommand) -> Option<ClassId> {
        let mut command = partial.words.clone();
        command.0.push(Bytes::new()); // a placeholder for the value, so that the command can be parsed
        request::class_of(&command, &self.front.names)
    }

    /// Returns an error reply to malformed input, after which the connection ends.
    fn reject_malformed(&mut self, error: ProtoError) -> Reply {
        if let Some(suppressed) = self.front.log_throttles.malformed_command.admit_line() {
            log::info!("front: client {}: {error}{suppressed}", self.id.0);
        }
        self.is_ending = true;
        Reply::line(&format!("-ERR {error}\r\n"))
    }

    /// Decodes the complete commands in the input, up to the limit of pending replies.
    pub(super) fn decode_commands(&mut self) {
        let stage = self.schedule().stage_now();
        while self.accepts_commands() {
            let decoded = match self.partial_command {
                Some(PartialCommandSize::Large) => resp::decode_large_command(self.input.bytes_mut()),
                Some(PartialCommandSize::Buffered) | None => resp::decode_command(self.input.bytes_mut()),
            };
            let memory = self.input.memory();
            if let Ok(Some(_)) = decoded {
                self.partial_command = None;
                self.clear_command_timers();
                self.report_state(ReportedState::Busy);
                self.input.release();
            }
            let reply = match decoded {
                Ok(None) => match self.check_partial_command() {
                    Some(reply) => reply,
                    None => return,
                },
                Ok(Some(command)) => self.reply_to(&command, memory, stage),
                Err(error) => self.reject_malformed(error),
            };
            self.commands_in_turn += 1;
            self.replies.push_back(reply);
        }
    }

    fn reply_to(&mut self, command: &Command, memory: Option<Rc<MemoryPermit>>, stage: Stage) -> Reply {
        match request::parse(command, &self.front.names, self.received_at()) {
            // The end of the connection arrived with this command, or lies behind commands that are not read yet.
            ParsedCommand::Request(_) if has_client_closed(&self.stream) => {
                self.has_client_closed = true;
                Reply::line(BUSY)
            }
            ParsedCommand::Request(incoming) if stage >= Stage::Shedding => {
                self.front.handle.count_shed(incoming.class);
                Reply::line(BUSY)
            }
            ParsedCommand::Request(mut incoming) => {
                incoming.memory = memory;
                self.awaits_large_answer = self.front.handle.expects_large_answer(incoming.class);
                match self.front.handle.submit(incoming) {
                    Some(ticket) => Reply::Pending(ticket),
                    None => Reply::line("-ERR a request with this id is open\r\n"),
                }
            }
            ParsedCommand::Ping => Reply::line(self.ping_reply()),
            ParsedCommand::Ok => Reply::line("+OK\r\n"),
            ParsedCommand::Quit => {
                self.is_ending = true;
                Reply::line("+OK\r\n")
            }
            ParsedCommand::Invalid(why) => Reply::line(&format!("-ERR {why}\r\n")),
        }
    }

    /// Returns the reply to `PING`. Any reply other than `+PONG` makes clients connect elsewhere.
    fn ping_reply(&self) -> &'static str {
        let handle = &self.front.handle;
        if self.front.shutdown().is_draining() {
            "-DRAINING\r\n"
        } else if handle.is_ready() {
            "+PONG\r\n"
        } else if handle.is_fenced() {
            "-LOADING fenced\r\n"
        } else {
            "-LOADING the list of peers has not come yet\r\n"
        }
    }
}
