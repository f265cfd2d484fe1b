//! The outputs of a fleet member to its owner.

use agreement::{Micros, NodeId, Revision, VotingBlock};
use audit::lease::Lease;
use calendar::{Applied, Calendar};
use membership::Timer;
use std::net::SocketAddr;

/// An action that the owner carries out, or an event that it is notified of.
#[derive(Debug)]
pub enum Output {
    /// Send a datagram. It may be lost.
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
    /// The lease changed. The owner passes this copy to the core.
    LeaseChanged(Box<Lease>),
    /// The calendar changed. The owner passes this copy to the core.
    CalendarChanged(Box<Calendar>),
    /// The number of members changed. The number includes this balancer.
    MembersChanged(usize),
    /// This balancer has applied all revisions that others advertised, up to this one. Also yielded after each
    /// change of the calendar.
    CaughtUp(Revision),
    /// This balancer became the leader, or is the leader no longer.
    LeadershipChanged(bool),
    /// The voters changed to these.
    VotersChanged(Vec<NodeId>),
    /// This balancer is a voter but must not vote.
    VotingBlocked(VotingBlock),
    /// A proposal made with [`crate::FleetMember::propose`] ended.
    ProposalFinished {
        /// The identifier that [`crate::FleetMember::propose`] returned.
        id: u64,
        /// The outcome of the proposal.
        outcome: ProposalOutcome,
    },
}

/// The outcome of a proposal to change the calendar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The proposal is committed.
    Committed {
        /// The revision of the proposal.
        revision: Revision,
        /// The result of applying the proposal to the calendar; `None` if this balancer learned of the commit but
        /// did not apply the entry itself.
        applied: Option<Applied>,
    },
    /// The proposal was not known to be committed before the timeout. It may still be committed, at most once.
    TimedOut,
}
