//! One client connection: commands in, answers out in the order of the commands.

mod closing;
mod commands;

use crate::shutdown::{Activity, Schedule, Stage};
use crate::{Front, Room};
use admission::{CommandTimeout, ConnectionId};
use bytes::{BufMut, BytesMut};
use closing::{ClientEvent, Close, client_left, read_or_watch, write};
use futures_util::FutureExt;
use gateway::engine::Ticket;
use gateway::{Answer, MemoryPermit, StreamedValue};
use proto::resp;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

/// Commands of one connection that may wait for their answers; beyond it nothing is read.
const MOST_WAITING: usize = 32;
/// Bytes of answers that are gathered before they are written.
const MOST_GATHERED: usize = 256 * 1024;

/// Refuses a request with the promise that it has had no effect.
const REFUSED: &str = "-BUSY\r\n";

enum Reply {
    Now(BytesMut),
    Later(Ticket),
    Streamed(Box<StreamedValue>),
}

/// What a connection is to do next.
enum Next {
    GoOn,
    /// It gives its slot to another, unless a command has come.
    GiveWay,
    /// Its time to rest, or that of a command's head, is over, unless more has come meanwhile.
    Overdue,
    /// The time of a large value is over.
    Expired,
}

/// What the places were last notified of for a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SlotState {
    Awaits,
    Busy,
    Idle,
}

/// One client's connection.
pub(crate) struct Client {
    front: Rc<Front>,
    stream: TcpStream,
    id: ConnectionId,
    input: BytesMut,
    replies: VecDeque<Reply>,
    ending: bool,
    /// Whether its client has ended its sending.
    gone: bool,
    /// Since when a command is awaited that is not whole: the first, or one that has begun.
    awaited_since: Option<Instant>,
    /// How long a client may take over a command, from its first byte on, and over its first from connecting on.
    /// Guards places against clients that say nothing or half a command; a usual one takes milliseconds.
    patience: Duration,
    /// When the value of a command under way must have come, once its length is known.
    value_until: Option<Instant>,
    /// The room for a large value under way.
    room: Option<MemoryPermit>,
    /// How long before it was read the latest input may have come.
    input_age: Duration,
    /// How long the thread had been held up as the connection was accepted, and that had waited for its slot.
    age_at_accept: Duration,
    /// Whether it has a connection slot: all that comes on one without is refused.
    slot: Room,
    /// Bytes still to come of a large value for which there was no room: read and thrown away.
    skip: usize,
    close_signal: Rc<Notify>,
    slot_state: SlotState,
    opened: Instant,
    /// When the last request was answered, if any was.
    answered_at: Option<Instant>,
    /// When something was last written to it.
    written_at: Option<Instant>,
}

fn line(text: &str) -> Reply {
    Reply::Now(BytesMut::from(text.as_bytes()))
}

fn encode(answer: Answer) -> Reply {
    let mut out = BytesMut::new();
    match answer {
        Answer::Served(value) => resp::encode_bulk(&mut out, &value),
        Answer::Streamed(streamed) => return Reply::Streamed(streamed),
        Answer::Refused(0) => out.put_slice(b"-BUSY\r\n"),
        Answer::Refused(ms) => out.put_slice(format!("-BUSY {ms}\r\n").as_bytes()),
        Answer::Failed => out.put_slice(b"-ERR failed\r\n"),
    }
    Reply::Now(out)
}

async fn next_answer(replies: &mut VecDeque<Reply>) -> Answer {
    match replies.front_mut() {
        Some(Reply::Later(ticket)) => ticket.await,
        _ => std::future::pending().await,
    }
}

impl Client {
    /// A connection that was just accepted.
    pub(crate) fn new(
        front: Rc<Front>, stream: TcpStream, id: ConnectionId, close_signal: Rc<Notify>,
        patience: CommandTimeout, room: Room, waited: Duration,
    ) -> Self {
        let age_at_accept = waited + front.handle.stall_monitor.overdue(Instant::now());
        Self {
            front,
            stream,
            id,
            input: BytesMut::with_capacity(1024),
            replies: VecDeque::new(),
            ending: false,
            gone: false,
            awaited_since: Some(Instant::now()),
            patience: Duration::from_micros(patience.0),
            value_until: None,
            room: None,
            input_age: Duration::ZERO,
            age_at_accept,
            slot: room,
            skip: 0,
            close_signal,
            slot_state: SlotState::Awaits,
            opened: Instant::now(),
            answered_at: None,
            written_at: None,
        }
    }

    /// Serves the connection until it ends. What is still unanswered then has lost its client.
    pub(crate) async fn run(mut self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        // Guards against taking a request whose client has left while its connection waited to be accepted: the runtime knows of
        // the end once it has looked at the socket, and would read before that.
        yield_now().await;
        let mut out = BytesMut::new();
        loop {
            self.gather(&mut out);
            if !out.is_empty() {
                write(&self.stream, &out).await?;
                self.written_at = Some(Instant::now());
                out.clear();
                continue;
            }
            if let Some(Reply::Streamed(_)) = self.replies.front() {
                self.stream_answer().await?;
                self.written_at = Some(Instant::now());
                continue;
            }
            if self.ending && self.replies.is_empty() {
                return self.lingering_close().await;
            }
            let schedule = self.schedule();
            let stage = schedule.stage_now();
            if stage >= Stage::Finishing && self.refuse_part_of_command() {
                continue;
            }
            if stage >= Stage::Finishing && self.replies.is_empty() {
                return self.close_between_requests(Close::Shutdown).await;
            }
            if stage == Stage::Failing {
                self.fail_owed_answers();
                continue;
            }
            match self.next_event(&schedule, stage).await? {
                Next::GoOn => {}
                Next::Expired => self.end_unfinished(),
                // Guards a request that arrived as the connection was about to close: it has been taken.
                Next::GiveWay | Next::Overdue if !self.nothing_more_came().await? => {}
                Next::Overdue if self.has_unfinished() => self.end_unfinished(),
                Next::GiveWay => return self.close_between_requests(Close::GivesWay).await,
                Next::Overdue if self.front.shutdown.get().is_closing() => {
                    return self.close_between_requests(Close::Shutdown).await;
                }
                Next::Overdue => return self.close_between_requests(Close::Rested).await,
            }
            if self.gone {
                return Ok(());
            }
        }
    }

    /// Whether part of a command has come.
    fn has_unfinished(&self) -> bool {
        !self.input.is_empty() || self.skip > 0
    }

    /// Ends the connection with an error behind what is owed: the rest of a command did not come in time.
    fn end_unfinished(&mut self) {
        self.ending = true;
        self.replies.push_back(line("-ERR the command did not end in time\r\n"));
    }

    /// Waits for what comes next, and takes it in.
    async fn next_event(&mut self, schedule: &Schedule, stage: Stage) -> io::Result<Next> {
        let at_rest = self.replies.is_empty();
        if at_rest {
            self.notify_slots(if self.awaited_since.is_some() { SlotState::Awaits } else { SlotState::Idle });
        }
        let may_read = !self.ending && self.replies.len() < MOST_WAITING && stage < Stage::Finishing;
        let idle = at_rest && !self.has_unfinished();
        let patience = self.awaited_since.filter(|_| may_read).map(|since| since + self.patience);
        let value_until = self.value_until.filter(|_| may_read);
        let idle_until = schedule.idle.filter(|_| idle);
        let deadline = patience.into_iter().chain(value_until).chain(idle_until).min();
        // Ahead of the socket, of which there may always be more to read.
        if let Some(deadline) = deadline.filter(|deadline| *deadline <= Instant::now()) {
            let expired = value_until.is_some_and(|until| until <= deadline);
            return Ok(if expired { Next::Expired } else { Next::Overdue });
        }
        let wakes = deadline.into_iter().chain(schedule.next_stage(stage)).min();
        tokio::select! {
            biased;
            answer = next_answer(&mut self.replies) => {
                self.replies[0] = encode(answer);
                self.answered_at = self.front.shutdown.get().is_closing().then(Instant::now);
            }
            event = read_or_watch(&mut self.stream, &mut self.input, may_read, stage >= Stage::Abandoning) => match event? {
                ClientEvent::Bytes => self.take_in_bytes(),
                ClientEvent::End => self.gone = true,
                ClientEvent::SentOn => self.fail_owed_answers(),
            },
            () = self.close_signal.notified(), if at_rest => {
                let closing = self.front.slots.borrow().is_closing(self.id);
                return Ok(if closing { Next::GiveWay } else { Next::GoOn });
            }
            () = self.front.shutdown_changed.notified() => {}
            () = sleep_until(wakes.unwrap_or(self.opened)), if wakes.is_some() => {}
        }
        Ok(Next::GoOn)
    }

    fn schedule(&self) -> Schedule {
        let has_asked = self.slot_state != SlotState::Awaits;
        let activity = Activity { opened: self.opened, has_asked, answered_at: self.answered_at };
        let schedule = self.front.shutdown.get().schedule(&activity);
        match self.slot {
            Room::Slot => schedule,
            Room::None => schedule.without_slot(&activity, self.patience),
        }
    }

    /// Moves the answers that are due to `out`, and reads on where that has made room.
    fn gather(&mut self, out: &mut BytesMut) {
        loop {
            while out.len() < MOST_GATHERED {
                match self.replies.pop_front() {
                    Some(Reply::Now(bytes)) if out.is_empty() => *out = bytes,
                    Some(Reply::Now(bytes)) => out.unsplit(bytes),
                    Some(later) => {
                        self.replies.push_front(later);
                        break;
                    }
                    None => break,
                }
            }
            // Guards commands that were read but had no place: each place that falls free is used at once.
            let waiting = self.replies.len();
            self.read_commands();
            if self.replies.len() == waiting {
                return;
            }
        }
    }

    /// Refuses the command of which only a part has come, where no more is read: its last bytes may be on their way, and it
    /// would be lost with the connection. Whether there was one.
    fn refuse_part_of_command(&mut self) -> bool {
        let room = self.room.take();
        // Behind as many as may wait, whole commands may stand there still: they are read as those are answered.
        let partial = !self.ending && self.replies.len() < MOST_WAITING && !self.input.is_empty();
        if partial && self.skip == 0 {
            self.replies.push_back(line(REFUSED));
            self.input.clear();
            (self.awaited_since, self.value_until) = (None, None);
            return true;
        }
        self.room = room;
        false
    }

    /// Gives every request that is still owed its answer one: it would be lost with the connection.
    fn fail_owed_answers(&mut self) {
        for reply in &mut self.replies {
            if let Reply::Later(ticket) = reply {
                let answer = ticket.now_or_never().unwrap_or_else(|| ticket.give_up());
                *reply = encode(answer);
            }
        }
    }

    /// Passes on the large answer that is due, as it comes. If it breaks off, so does the client's connection: it can tell
    /// by the length that went ahead.
    async fn stream_answer(&mut self) -> io::Result<()> {
        let Some(Reply::Streamed(mut streamed)) = self.replies.pop_front() else { return Ok(()) };
        let mut head = BytesMut::with_capacity(16);
        resp::encode_bulk_header(&mut head, streamed.length());
        write(&self.stream, &head).await?;
        while !streamed.done() {
            let bytes = tokio::select! {
                bytes = streamed.next() => bytes?,
                () = client_left(&self.stream) => return Err(io::ErrorKind::ConnectionAborted.into()),
            };
            let taken = bytes.len();
            write(&self.stream, bytes).await?;
            streamed.take(taken);
        }
        write(&self.stream, b"\r\n").await
    }

    /// Notifies the places of what this connection does, where it has changed.
    fn notify_slots(&mut self, state: SlotState) {
        if std::mem::replace(&mut self.slot_state, state) == state {
            return;
        }
        let id = self.id;
        self.front.decide(|slots, now| match state {
            SlotState::Awaits => slots.command_started(now, id),
            SlotState::Busy => slots.command_received(now, id),
            SlotState::Idle => slots.answered(now, id),
        });
    }
}
