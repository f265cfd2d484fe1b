//! What a fleet member yields to its owner.

use agreement::{Micros, NodeId, Revision, VotingBlock};
use audit::lease::Lease;
use calendar::{Applied, Calendar};
use membership::Timer;
use std::net::SocketAddr;

/// An action that the owner carries out, or an event that it is notified of.
#[derive(Debug)]
pub enum Output {
    /// Send a datagram; it may be lost.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The bytes to send.
        datagram: Vec<u8>,
    },
    /// Pass the timer to [`crate::FleetMember::handle_timer`] after a delay.
    SetTimer {
        /// The delay.
        after: Micros,
        /// The timer.
        timer: Timer,
    },
    /// The lease changed; the core needs a copy.
    LeaseChanged(Box<Lease>),
    /// The calendar changed; the core needs a copy.
    CalendarChanged(Box<Calendar>),
    /// The number of members changed; this balancer is counted.
    MembersChanged(usize),
    /// Everything that others advertised is applied, up to this revision. Also yielded after each change of
    /// the calendar.
    CaughtUp(Revision),
    /// This balancer became the leader, or is the leader no longer.
    LeadershipChanged(bool),
    /// The voters from now on.
    VotersChanged(Vec<NodeId>),
    /// This voter must not vote.
    VotingBlocked(VotingBlock),
    /// A proposal of [`crate::FleetMember::propose`] ended.
    ProposalFinished {
        /// The identifier that `propose` returned.
        id: u64,
        /// How it ended.
        outcome: ProposalOutcome,
    },
}

/// How a proposal for the calendar ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The proposal is committed.
    Committed {
        /// Its revision.
        revision: Revision,
        /// The calendar's result; `None` if this balancer learned of the commit but did not apply the entry
        /// itself.
        applied: Option<Applied>,
    },
    /// The proposal is not known to be committed in time. It may still be committed, at most once.
    TimedOut,
}
