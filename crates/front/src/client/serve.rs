//! The event loop of a connection: waits for commands and answers, writes replies, and decides when the connection
//! ends.

use super::closing::CloseReason;
use super::connection::{Client, MAX_PENDING_REPLIES, ReportedState};
use super::reply::{BUSY, Reply, next_answer};
use super::socket::{ClientEvent, ReadMode, read_or_watch, wait_for_client_close, write_all};
use crate::shutdown::{Schedule, Stage};
use bytes::BytesMut;
use futures_util::FutureExt;
use proto::resp;
use std::io;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

/// The size of a batch of replies from which on no further reply is added to it.
const MAX_BATCH_BYTES: usize = 256 * 1024;
/// The capacity of the buffer for the header of a streamed value.
const HEADER_BYTES: usize = 16;

/// What happened on a connection.
enum Event {
    /// An event that needs no further handling.
    Handled,
    /// The slot is needed for another connection.
    SlotNeeded,
    /// The connection was idle for too long, or its command is overdue.
    Overdue,
    /// The last word of a command, such as a large value, did not arrive in time.
    ValueOverdue,
}

/// The next step of a connection after an event.
enum Step {
    /// Stay open.
    Continue,
    /// Close after an error or `QUIT`.
    LingeringClose,
    /// Close between requests.
    Close(CloseReason),
}

impl Client {
    /// Serves the connection until it ends. Dropping the tickets of unanswered requests tells the core that their
    /// client has left.
    pub(crate) async fn run(mut self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        // The client may have closed the connection while it waited to be accepted. The runtime notices that once it
        // has polled the socket; without this yield, a request would be read first.
        yield_now().await;
        let mut batch = BytesMut::new();
        while !self.has_client_closed {
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

    /// Writes the replies that are ready; returns whether there were any.
    async fn write_replies(&mut self, batch: &mut BytesMut) -> io::Result<bool> {
        self.collect_ready_replies(batch);
        if !batch.is_empty() {
            write_all(&self.stream, batch).await?;
            batch.clear();
            return Ok(true);
        }
        if let Some(Reply::Streamed(_)) = self.replies.front() {
            self.stream_value().await?;
            return Ok(true);
        }
        Ok(false)
    }

    /// Waits for the next event and returns the next step.
    async fn step(&mut self) -> io::Result<Step> {
        if self.is_ending && self.replies.is_empty() {
            return Ok(Step::LingeringClose);
        }
        let schedule = self.schedule();
        let stage = schedule.stage_now();
        if stage < Stage::Finishing {
            self.has_read_final_input = false;
        } else {
            if !self.has_read_final_input {
                self.read_final_input().await?;
                return Ok(Step::Continue); // the commands in that input have replies now
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
            // A request that arrived just before the close was read and is served.
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
        let all_answered = self.replies.is_empty();
        if all_answered {
            let is_awaiting = self.command_awaited_since.is_some();
            let state = if is_awaiting { ReportedState::AwaitingCommand } else { ReportedState::Idle };
            self.report_state(state);
        }
        let mode = self.read_mode(stage);
        let may_read = mode == ReadMode::Read;
        let command_deadline = self.command_awaited_since.map(|since| since + self.command_timeout);
        let command_deadline = command_deadline.filter(|_| may_read);
        let value_deadline = self.value_deadline.filter(|_| may_read);
        let idle_deadline = schedule.close_idle_at.filter(|_| all_answered && !self.has_partial_command());
        let eviction_deadline = if all_answered { self.eviction_deadline() } else { None };
        if eviction_deadline.is_some_and(|deadline| deadline <= Instant::now()) {
            self.was_asked_to_close = false;
            return Ok(Event::SlotNeeded);
        }
        let idle_deadline = idle_deadline.into_iter().chain(eviction_deadline).min();
        let deadline = command_deadline.into_iter().chain(value_deadline).chain(idle_deadline).min();
        // Deadlines are checked before the socket, which may always have more to read.
        if let Some(deadline) = deadline.filter(|deadline| *deadline <= Instant::now()) {
            let value_is_overdue = value_deadline.is_some_and(|until| until <= deadline);
            return Ok(if value_is_overdue { Event::ValueOverdue } else { Event::Overdue });
        }
        let wake_at = deadline.into_iter().chain(schedule.next_stage(stage)).min();
        tokio::select! {
            biased;
            answer = next_answer(&mut self.replies) => {
                self.replies[0] = Reply::encode(answer);
                self.last_answered_at = self.front.shutdown().is_closing().then(Instant::now);
            }
            event = read_or_watch(&mut self.stream, &mut self.input, mode) => match event? {
                ClientEvent::Input => self.handle_input(),
                ClientEvent::Closed => self.has_client_closed = true,
                ClientEvent::UnreadInput => self.fail_pending_replies(),
            },
            () = self.close_signal.notified(), if all_answered => self.was_asked_to_close = true,
            () = self.front.shutdown_changed.notified() => {}
            () = sleep_until(wake_at.unwrap_or(self.opened_at)), if wake_at.is_some() => {}
        }
        Ok(Event::Handled)
    }

    fn read_mode(&self, stage: Stage) -> ReadMode {
        if !self.is_ending && self.replies.len() < MAX_PENDING_REPLIES && stage < Stage::Finishing {
            ReadMode::Read
        } else if stage >= Stage::Abandoning {
            ReadMode::WatchForInput
        } else {
            ReadMode::WatchForClose
        }
    }

    /// Moves the replies that are ready to `batch`, and decodes further commands as the number of pending replies
    /// falls.
    fn collect_ready_replies(&mut self, batch: &mut BytesMut) {
        loop {
            while batch.len() < MAX_BATCH_BYTES {
                match self.replies.pop_front() {
                    Some(Reply::Ready(bytes)) if batch.is_empty() => *batch = bytes,
                    Some(Reply::Ready(bytes)) => batch.unsplit(bytes),
                    Some(pending) => {
                        self.replies.push_front(pending);
                        break;
                    }
                    None => break,
                }
            }
            // Decodes commands that the limit of pending replies held back; otherwise they would wait for more input.
            let pending = self.replies.len();
            self.read_commands();
            if self.replies.len() == pending {
                return;
            }
        }
    }

    /// Rejects an incomplete command after the end of reading: the rest of it may be in transit, and the command would
    /// be lost with the connection. Returns whether there was one.
    fn reject_partial_command(&mut self) -> bool {
        // At the limit of pending replies the input may hold complete commands, which are decoded as replies are
        // written.
        let may_hold_complete = self.replies.len() >= MAX_PENDING_REPLIES;
        if self.is_ending || may_hold_complete || self.input.is_empty() || self.bytes_to_skip > 0 {
            return false;
        }
        self.memory = None;
        self.replies.push_back(Reply::line(BUSY));
        self.input.clear();
        self.clear_command_timers();
        true
    }

    /// Stops waiting for answers, since the connection closes: unanswered requests are answered as failed.
    fn fail_pending_replies(&mut self) {
        for reply in &mut self.replies {
            if let Reply::Pending(ticket) = reply {
                let answer = ticket.now_or_never().unwrap_or_else(|| ticket.abandon());
                *reply = Reply::encode(answer);
            }
        }
    }

    /// Forwards a large value as it arrives. If the value breaks off, the connection ends; the client detects this by
    /// the length in the header.
    async fn stream_value(&mut self) -> io::Result<()> {
        let Some(Reply::Streamed(mut streamed)) = self.replies.pop_front() else { return Ok(()) };
        let mut header = BytesMut::with_capacity(HEADER_BYTES);
        resp::encode_bulk_header(&mut header, streamed.length());
        write_all(&self.stream, &header).await?;
        while !streamed.is_finished() {
            let bytes = tokio::select! {
                bytes = streamed.next_chunk() => bytes?,
                () = wait_for_client_close(&self.stream) => return Err(io::ErrorKind::ConnectionAborted.into()),
            };
            let written = bytes.len();
            write_all(&self.stream, bytes).await?;
            streamed.consume(written);
        }
        write_all(&self.stream, b"\r\n").await
    }
}
