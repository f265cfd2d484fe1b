//! The state of a client connection.

use super::input::InputBuffer;
use super::reply::Reply;
use crate::front::Front;
use crate::shutdown::{Activity, Schedule};
use crate::slotless::SlotlessTimeouts;
use admission::{CommandTimeout, ConnectionId};
use std::collections::VecDeque;
use std::mem;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The most unanswered commands of one connection; at this number nothing more is read.
pub(super) const MAX_PENDING_REPLIES: usize = 32;

/// A connection that was just accepted.
pub(crate) struct AcceptedConnection {
    /// The socket.
    pub(crate) stream: TcpStream,
    /// Asks the connection to close when another connection needs its slot.
    pub(crate) close_signal: Rc<Notify>,
    /// The timeout for reading a command.
    pub(crate) timeout: CommandTimeout,
    /// The timeouts of a connection without a slot; `None` if the connection has a slot.
    pub(crate) slotless: Option<SlotlessTimeouts>,
    /// How long the connection has waited for its slot.
    pub(crate) waited: Duration,
}

/// The state of a connection that was last reported to the connection slots.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ReportedState {
    /// Waiting for a command: the first one, or the rest of one.
    AwaitingCommand,
    /// A command was read and is not answered yet.
    Busy,
    /// All commands were answered.
    Idle,
}

/// Whether an incomplete command has a large value.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum PartialCommandSize {
    /// At most the value of a buffered command is missing.
    Buffered,
    /// The value is large.
    Large,
}

/// One client connection.
pub(crate) struct Client {
    pub(super) front: Rc<Front>,
    pub(super) stream: TcpStream,
    pub(super) id: ConnectionId,
    pub(super) input: InputBuffer,
    pub(super) replies: VecDeque<Reply>,
    /// Whether the last reply is expected to be a large value. Nothing is read or decoded behind its command until it
    /// is written: if it breaks off while it is forwarded, what has been read behind it would never be answered.
    pub(super) awaits_large_answer: bool,
    /// The number of commands handled since the connection last let other tasks run.
    pub(super) commands_in_turn: usize,
    /// Whether the connection ends once its replies are written.
    pub(super) is_ending: bool,
    /// Whether the client has closed its sending side.
    pub(super) has_client_closed: bool,
    /// When the wait for a command began: for the first command when the connection was opened, for a later one when it
    /// was first found incomplete in the input, and while the last argument of a command arrives, at the latest input.
    /// `None` between commands.
    pub(super) command_awaited_since: Option<Instant>,
    /// How long a command may take from its first byte to its last; for the first command the time starts when the
    /// connection opens. Protects the slots from clients that send nothing or half a command; a usual command takes
    /// milliseconds.
    pub(super) command_timeout: Duration,
    /// The deadline for the arrival of an incomplete command, once the length of its last argument is known.
    pub(super) value_deadline: Option<Instant>,
    /// The incomplete command in the input, once there is room for all of it.
    pub(super) partial_command: Option<PartialCommandSize>,
    /// The longest time for which the latest input may have waited before it was read.
    pub(super) input_age: Duration,
    /// The longest time for which the connection may have existed when it was accepted: its wait for a slot and a stall
    /// of the event loop.
    pub(super) age_at_accept: Duration,
    /// The timeouts of a connection without a slot, whose requests are all rejected; `None` if it has a slot.
    pub(super) slotless: Option<SlotlessTimeouts>,
    /// The remaining bytes of a large value that was rejected for lack of memory: they are read and discarded.
    pub(super) bytes_to_skip: usize,
    /// Asks the connection to close when another connection needs its slot.
    pub(super) close_signal: Rc<Notify>,
    /// Whether the close signal was received and the connection has sent no command since.
    pub(super) was_asked_to_close: bool,
    pub(super) reported_state: ReportedState,
    pub(super) opened_at: Instant,
    /// The time of the last answer, if it was given during a shutdown.
    pub(super) last_answered_at: Option<Instant>,
    /// When a reply was last written.
    pub(super) last_written_at: Option<Instant>,
    /// When input was last read.
    pub(super) last_input_at: Option<Instant>,
    /// Whether the input that had arrived before the end of reading was read.
    pub(super) has_read_final_input: bool,
    /// Whether the client pipelines in separate writes: it has sent commands while earlier ones were unanswered.
    pub(super) pipelines: bool,
}

impl Client {
    /// Creates the state of a connection that was just accepted.
    pub(crate) fn new(front: Rc<Front>, id: ConnectionId, accepted: AcceptedConnection) -> Self {
        let now = Instant::now();
        Self {
            id,
            age_at_accept: accepted.waited + front.handle.stall_monitor.overdue(now),
            front,
            stream: accepted.stream,
            input: InputBuffer::new(),
            replies: VecDeque::new(),
            awaits_large_answer: false,
            commands_in_turn: 0,
            is_ending: false,
            has_client_closed: false,
            command_awaited_since: Some(now),
            command_timeout: Duration::from_micros(accepted.timeout.0),
            value_deadline: None,
            partial_command: None,
            input_age: Duration::ZERO,
            slotless: accepted.slotless,
            bytes_to_skip: 0,
            close_signal: accepted.close_signal,
            was_asked_to_close: false,
            reported_state: ReportedState::AwaitingCommand,
            opened_at: now,
            last_answered_at: None,
            last_written_at: None,
            last_input_at: None,
            has_read_final_input: false,
            pipelines: false,
        }
    }

    /// Returns whether a further command may be read and decoded.
    pub(super) fn accepts_commands(&self) -> bool {
        !self.is_ending && !self.awaits_large_answer && self.replies.len() < MAX_PENDING_REPLIES
    }

    /// Whether part of a command has arrived.
    pub(super) fn has_partial_command(&self) -> bool {
        !self.input.is_empty() || self.bytes_to_skip > 0
    }

    /// Clears the timers of the wait for a command.
    pub(super) fn clear_command_timers(&mut self) {
        self.command_awaited_since = None;
        self.value_deadline = None;
    }

    fn activity(&self) -> Activity {
        let was_answered = self.last_written_at.is_some();
        Activity {
            opened_at: self.opened_at,
            has_sent_command: was_answered || self.reported_state != ReportedState::AwaitingCommand,
            last_answered_at: self.last_answered_at,
            last_input_at: self.last_input_at,
            pipelines: self.pipelines,
        }
    }

    /// Returns when the connection closes for another one, if it was asked to and has sent no command since. A batch is
    /// not interrupted.
    pub(super) fn eviction_deadline(&mut self) -> Option<Instant> {
        self.was_asked_to_close &= self.front.is_closing(self.id);
        self.was_asked_to_close.then(|| self.activity().evictable_from())
    }

    /// Returns when the connection closes, and how its requests are handled until then.
    pub(super) fn schedule(&self) -> Schedule {
        let activity = self.activity();
        let schedule = self.front.shutdown().schedule(&activity);
        match self.slotless {
            None => schedule,
            Some(timeouts) => schedule.without_slot(&activity, timeouts),
        }
    }

    /// Reports the state of the connection to the connection slots if it has changed.
    pub(super) fn report_state(&mut self, state: ReportedState) {
        if mem::replace(&mut self.reported_state, state) == state {
            return;
        }
        let id = self.id;
        self.front.update_slots(|slots, now| match state {
            ReportedState::AwaitingCommand => slots.command_started(now, id),
            ReportedState::Busy => slots.command_received(now, id),
            ReportedState::Idle => slots.answered(now, id),
        });
    }
}
