//! The event loop of a connection: waits for commands and answers, writes replies, and decides when the connection
//! ends.

use super::closing::CloseReason;
use super::connection::{Client, ReportedState};
use super::reply::{BUSY, EncodedReplies, Reply, next_answer};
use super::socket::{ClientEvent, ReadMode, read_or_watch, wait_for_client_close, write_all};
use crate::shutdown::{Schedule, Stage};
use bytes::BytesMut;
use futures_util::FutureExt;
use gateway::{Answer, StreamedValue};
use proto::resp;
use std::io;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

/// Replies are written together up to this size. A longer reply is written by itself, from the buffer that its memory was
/// reserved for.
const MAX_BATCH_BYTES: usize = 16 * 1024;
/// The capacity of the buffer for the RESP bulk header of a streamed value, in bytes.
const BULK_HEADER_CAPACITY: usize = 16;

/// The number of commands after which a connection lets other tasks run. A task that always has input would otherwise
/// run until the runtime interrupts it, which takes a hundred reads and writes.
const COMMANDS_PER_TURN: usize = 8;

/// The result of waiting for the next event on a connection.
enum Event {
    /// Input, an answer, a close by the client or a wake-up was handled while waiting.
    Handled,
    /// The slot is needed for another connection.
    SlotNeeded,
    /// The connection was idle for too long, or a command did not arrive within the command timeout: the first command
    /// of the connection, or the rest of an incomplete one.
    Overdue,
    /// The last argument of a command, such as a large value, did not arrive in time.
    ValueOverdue,
}

/// The next step of a connection after an event.
enum Step {
    /// Stay open.
    Continue,
    /// After an error or `QUIT`: close the sending side, then discard input until the client closes.
    LingeringClose,
    /// No request is open: close the sending side, and leave a command that races the close unread.
    Close(CloseReason),
}

impl Client {
    /// Serves the connection until it ends. Dropping the tickets of unanswered requests tells the engine that
    /// their client has left.
    pub(crate) async fn run(mut self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        // The client may have closed the connection before it was accepted. The runtime notices the close when it polls
        // the socket; without this yield, a request would be read first.
        yield_now().await;
        let mut batch = EncodedReplies::default();
        while !self.has_client_closed {
            self.end_turn_when_due().await;
            if self.write_replies(&mut batch).await? {
                self.last_written_at = Some(Instant::now());
                continue;
            }
            match self.step().await? {
                Step::Continue => {}
                Step::LingeringClose => return self.lingering_close().await,
                Step::Close(reason) => return self.close_between_requests(reason).await,
            }
        }
        Ok(())
    }

    /// Lets other tasks run when the connection has handled its share of commands, however many more have arrived.
    async fn end_turn_when_due(&mut self) {
        if self.commands_in_turn >= COMMANDS_PER_TURN {
            self.commands_in_turn = 0;
            yield_now().await;
        }
    }

    /// Writes the replies that are ready; returns whether there were any.
    async fn write_replies(&mut self, batch: &mut EncodedReplies) -> io::Result<bool> {
        self.collect_ready_replies(batch);
        if !batch.bytes.is_empty() {
            write_all(&self.stream, &batch.bytes).await?;
            *batch = EncodedReplies::default(); // an idle connection must not keep the buffer of its answers
            return Ok(true);
        }
        match self.replies.pop_front() {
            Some(Reply::Streamed(value)) if value.is_complete() || !self.has_read_further_input() => {
                self.stream_value(*value).await?;
                Ok(true)
            }
            // If the value broke off while it is forwarded, only the end of the connection could follow, and what was
            // read behind it would never be answered.
            Some(Reply::Streamed(value)) => {
                let budget = self.front.handle.answer_memory().clone();
                self.replies.push_front(Reply::buffering(*value, budget));
                Ok(false)
            }
            other => {
                other.into_iter().for_each(|reply| self.replies.push_front(reply));
                Ok(false)
            }
        }
    }

    /// Waits for the next event and returns the next step.
    async fn step(&mut self) -> io::Result<Step> {
        if self.is_ending && self.replies.is_empty() {
            return Ok(Step::LingeringClose);
        }
        let schedule = self.schedule();
        let stage = schedule.stage_now();
        if stage < Stage::Finishing {
            self.has_read_final_input = false; // a drain can be undone, and a later one has its own final input
        } else {
            if !self.has_read_final_input {
                self.read_final_input().await?;
                return Ok(Step::Continue); // the commands in that input have entries in `replies` now
            }
            if self.reject_partial_command() {
                return Ok(Step::Continue);
            }
            if self.replies.is_empty() {
                return Ok(Step::Close(CloseReason::Shutdown));
            }
        }
        if stage == Stage::Failing {
            self.fail_pending_replies();
            return Ok(Step::Continue);
        }
        match self.next_event(&schedule, stage).await? {
            Event::Handled => {}
            Event::ValueOverdue => self.end_overdue_command(),
            // The guard reads once more: a request that arrived just before the close is served.
            Event::SlotNeeded | Event::Overdue if self.read_available_input().await? => {}
            Event::Overdue if self.has_partial_command() => self.end_overdue_command(),
            Event::SlotNeeded => return Ok(Step::Close(CloseReason::SlotNeeded)),
            Event::Overdue if self.front.shutdown().is_closing() => {
                return Ok(Step::Close(CloseReason::Shutdown));
            }
            Event::Overdue => return Ok(Step::Close(CloseReason::IdleTimeout)),
        }
        Ok(Step::Continue)
    }

    /// Ends the connection with an error after the pending replies: the rest of a command did not arrive in time.
    fn end_overdue_command(&mut self) {
        self.is_ending = true;
        self.replies.push_back(Reply::line("-ERR the command did not end in time\r\n"));
    }

    /// Waits for the next event. Input and answers are handled here.
    async fn next_event(&mut self, schedule: &Schedule, stage: Stage) -> io::Result<Event> {
        let has_no_replies = self.replies.is_empty();
        if has_no_replies {
            let is_awaiting_command = self.command_awaited_since.is_some();
            let state =
                if is_awaiting_command { ReportedState::AwaitingCommand } else { ReportedState::Idle };
            self.report_state(state);
        }
        let mode = self.read_mode(stage);
        let may_read = mode == ReadMode::Read;
        let command_deadline = self.command_awaited_since.map(|since| since + self.command_timeout);
        let command_deadline = command_deadline.filter(|_| may_read);
        let value_deadline = self.value_deadline.filter(|_| may_read);
        let idle_deadline = schedule.close_idle_at.filter(|_| has_no_replies && !self.has_partial_command());
        let eviction_deadline = if has_no_replies { self.eviction_deadline() } else { None };
        if eviction_deadline.is_some_and(|deadline| deadline <= Instant::now()) {
            self.was_asked_to_close = false;
            return Ok(Event::SlotNeeded);
        }
        let close_deadline = idle_deadline.into_iter().chain(eviction_deadline).min();
        let deadline = command_deadline.into_iter().chain(value_deadline).chain(close_deadline).min();
        // Deadlines are checked before the socket: a client that never stops sending would otherwise defer them
        // forever.
        if let Some(deadline) = deadline.filter(|deadline| *deadline <= Instant::now()) {
            let value_is_overdue = value_deadline.is_some_and(|until| until <= deadline);
            return Ok(if value_is_overdue { Event::ValueOverdue } else { Event::Overdue });
        }
        let wake_at = deadline.into_iter().chain(schedule.next_stage(stage)).min();
        tokio::select! {
            biased;
            answer = next_answer(&mut self.replies) => {
                self.replies[0].resolve(answer);
                // Only an answer during a shutdown counts: after it, an idle connection may close at once.
                self.last_answered_at = self.front.shutdown().is_closing().then(Instant::now);
            }
            event = read_or_watch(&mut self.stream, &mut self.input, &self.front, mode) => match event? {
                ClientEvent::Input => self.handle_input(),
                ClientEvent::Closed => self.has_client_closed = true,
                // The unread bytes count as an open request, so the connection must not wait for answers any longer.
                ClientEvent::UnreadInput => self.fail_pending_replies(),
            },
            () = self.close_signal.notified(), if has_no_replies => self.was_asked_to_close = true,
            () = self.front.shutdown_changed.notified() => {}
            // Without a wake-up time, the branch is disabled and the fallback is not used.
            () = sleep_until(wake_at.unwrap_or(self.opened_at)), if wake_at.is_some() => {}
        }
        Ok(Event::Handled)
    }

    /// Returns what is awaited on the socket: input while commands are read; otherwise the close by the client and,
    /// from [`Stage::Abandoning`] on, also the arrival of input, at which pending requests fail.
    fn read_mode(&self, stage: Stage) -> ReadMode {
        if self.accepts_commands() && stage < Stage::Finishing {
            ReadMode::Read
        } else if stage >= Stage::Abandoning {
            ReadMode::WatchForInput
        } else {
            ReadMode::WatchForClose
        }
    }

    /// Moves the replies that are ready to `batch`, and decodes further commands as the number of replies
    /// falls.
    fn collect_ready_replies(&mut self, batch: &mut EncodedReplies) {
        loop {
            while let Some(reply) = self.replies.pop_front() {
                match reply {
                    Reply::Ready(reply)
                        if batch.bytes.is_empty()
                            || batch.bytes.len() + reply.bytes.len() <= MAX_BATCH_BYTES =>
                    {
                        batch.append(reply);
                    }
                    other => {
                        self.replies.push_front(other);
                        break;
                    }
                }
            }
            self.awaits_large_answer &= !self.replies.is_empty();
            // Decodes commands that were held back; otherwise they would wait for more input.
            let reply_count = self.replies.len();
            self.decode_commands();
            if self.replies.len() == reply_count {
                return;
            }
        }
    }

    /// Rejects an incomplete command with `-BUSY` after the end of reading. The rest of the command may be in transit
    /// but is no longer read; without a reply, the command would be lost with the connection. Returns whether there was
    /// one.
    fn reject_partial_command(&mut self) -> bool {
        // The input may hold complete commands that are held back, which are decoded as replies are written. Bytes to
        // skip belong to a value whose command was already rejected.
        if !self.accepts_commands() || self.input.is_empty() || self.bytes_to_skip > 0 {
            return false;
        }
        self.partial_command = None;
        self.replies.push_back(Reply::line(BUSY));
        self.input.clear();
        self.clear_command_timers();
        true
    }

    /// Stops waiting for answers, since the connection closes. Answers that have already arrived are used; the other
    /// pending requests are answered as failed.
    fn fail_pending_replies(&mut self) {
        for reply in &mut self.replies {
            match reply {
                Reply::Pending(ticket) => {
                    let answer = ticket.now_or_never().unwrap_or_else(|| ticket.abandon());
                    reply.resolve(answer);
                }
                Reply::Buffering(value) => {
                    let answer = value.now_or_never().unwrap_or(Answer::Failed);
                    reply.resolve(answer);
                }
                Reply::Ready(_) | Reply::Streamed(_) => {}
            }
        }
    }

    /// Returns whether input has been read beyond the command of the reply that was taken last: further commands, or
    /// part of one.
    fn has_read_further_input(&self) -> bool {
        !self.replies.is_empty() || self.has_partial_command()
    }

    /// Forwards a large value as it arrives. The line end is written only when the value is known to be complete. If it
    /// is not, the connection ends; the client detects this by the length in the header and the missing line end.
    async fn stream_value(&mut self, mut streamed: StreamedValue) -> io::Result<()> {
        let mut header = BytesMut::with_capacity(BULK_HEADER_CAPACITY);
        resp::encode_bulk_header(&mut header, streamed.length());
        write_all(&self.stream, &header).await?;
        while !streamed.is_consumed() {
            let bytes = tokio::select! {
                bytes = streamed.next_chunk() => bytes?,
                () = wait_for_client_close(&self.stream) => return Err(io::ErrorKind::ConnectionAborted.into()),
            };
            let written = bytes.len();
            write_all(&self.stream, bytes).await?;
            streamed.consume(written);
        }
        tokio::select! {
            biased;
            finished = streamed.finish() => finished?,
            () = wait_for_client_close(&self.stream) => return Err(io::ErrorKind::ConnectionAborted.into()),
        }
        write_all(&self.stream, b"\r\n").await
    }
}
