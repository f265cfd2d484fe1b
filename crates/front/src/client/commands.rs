//! From the bytes of a client to commands, and from a command to its reply.

use super::{Client, MOST_WAITING, REFUSED, Reply, SlotState, line};
use crate::request::{self, Asked};
use crate::shutdown::Stage;
use bytes::{Buf, Bytes};
use gateway::{MemoryPermit, stall_monitor};
use proto::resp::Command;
use proto::{ProtoError, resp};
use std::time::Duration;
use tokio::time::Instant;

/// How long a large value may take to come, from its length on; meanwhile it must go on coming. Bounds how long one client
/// holds a part of the room for values.
const LARGE_VALUE_TIME: Duration = Duration::from_secs(30);

impl Client {
    /// Something has been read.
    pub(super) fn take_in_bytes(&mut self) {
        self.input_age = self.age_of_input();
        if self.value_until.is_some() {
            self.awaited_since = Some(Instant::now()); // a value that goes on coming is waited for
        }
        if self.skip > 0 {
            let skipped = self.skip.min(self.input.len());
            self.input.advance(skipped);
            self.skip -= skipped;
            if self.skip == 0 {
                (self.awaited_since, self.value_until) = (None, None);
            }
        }
        self.read_commands();
    }

    /// How long ago what was just read may have come: as long as the thread has been held up, or was as it accepted the
    /// connection a moment ago.
    fn age_of_input(&self) -> Duration {
        let age = self.front.handle.stall_monitor.overdue(Instant::now());
        let fresh = self.opened.elapsed() < stall_monitor::CHECK_INTERVAL;
        if fresh { age.max(self.age_at_accept) } else { age }
    }

    /// When the last byte of a command that is read now came. What waited in our memory behind other commands has not aged.
    fn received(&self) -> Instant {
        let now = Instant::now();
        now.checked_sub(self.input_age).unwrap_or(now)
    }

    /// Looks at a command that is not whole: one whose value is large needs room before it is read on. An answer, if the
    /// command has come to its end by it.
    fn unfinished(&mut self) -> Option<Reply> {
        if self.input.is_empty() || self.room.is_some() || self.skip > 0 {
            return None;
        }
        self.awaited_since.get_or_insert_with(Instant::now);
        let unfinished = match resp::partial_command(&self.input) {
            Ok(found) => found?,
            Err(error) => return Some(self.malformed(error)),
        };
        let time = if unfinished.large { LARGE_VALUE_TIME } else { self.patience };
        self.value_until.get_or_insert_with(|| Instant::now() + time);
        if !unfinished.large {
            return None;
        }
        let mut command = unfinished.words;
        command.0.push(Bytes::new()); // in place of the value, so that it can be read
        let Asked::Request(incoming) = request::read(&command, &self.front.names, self.received()) else {
            return Some(self.malformed(ProtoError::TooLong("command"))); // no other has a large word
        };
        let missing = unfinished.bytes.saturating_sub(self.input.len());
        self.room = self.front.handle.reserve_memory(unfinished.bytes);
        if self.room.is_some() {
            self.input.reserve(missing);
            return None;
        }
        self.front.handle.count_out_of_memory(incoming.class);
        self.input.clear();
        self.skip = missing;
        Some(line(REFUSED))
    }

    fn malformed(&mut self, error: ProtoError) -> Reply {
        if let Some(more) = self.front.malformed.line() {
            log::info!("client {}: {error}{more}", self.id.0);
        }
        self.ending = true;
        line(&format!("-ERR {error}\r\n"))
    }

    /// Reads the commands that are whole, as far as there are places for their answers.
    pub(super) fn read_commands(&mut self) {
        let stage = self.schedule().stage_now();
        while !self.ending && self.replies.len() < MOST_WAITING {
            let found = match self.room {
                Some(_) => resp::decode_large_command(&mut self.input),
                None => resp::decode_command(&mut self.input),
            };
            let room = if let Ok(Some(_)) = found {
                (self.awaited_since, self.value_until) = (None, None);
                self.notify_slots(SlotState::Busy);
                self.room.take()
            } else {
                None
            };
            let reply = match found {
                Ok(None) => match self.unfinished() {
                    Some(reply) => reply,
                    None => return,
                },
                Ok(Some(command)) => self.reply_to(&command, room, stage),
                Err(error) => self.malformed(error),
            };
            self.replies.push_back(reply);
        }
    }

    fn reply_to(&mut self, command: &Command, room: Option<MemoryPermit>, stage: Stage) -> Reply {
        match request::read(command, &self.front.names, self.received()) {
            Asked::Request(incoming) if stage >= Stage::Shedding => {
                self.front.handle.count_shed(incoming.class);
                line(REFUSED)
            }
            Asked::Request(mut incoming) => {
                incoming.memory = room;
                match self.front.handle.submit(incoming) {
                    Some(ticket) => Reply::Later(ticket),
                    None => line("-ERR a request with this id is open\r\n"),
                }
            }
            Asked::Ping => line(self.answer_to_ping()),
            Asked::Ok => line("+OK\r\n"),
            Asked::Quit => {
                self.ending = true;
                line("+OK\r\n")
            }
            Asked::Refused(why) => line(&format!("-ERR {why}\r\n")),
        }
    }

    /// Any other answer than yes sends clients elsewhere.
    fn answer_to_ping(&self) -> &'static str {
        let handle = &self.front.handle;
        if self.front.shutdown.get().is_draining() {
            "-DRAINING\r\n"
        } else if handle.ready() {
            "+PONG\r\n"
        } else if handle.fenced() {
            "-LOADING fenced\r\n"
        } else {
            "-LOADING the list of peers has not come yet\r\n"
        }
    }
}
