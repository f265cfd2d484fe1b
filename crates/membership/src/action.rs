//! The outputs of a membership: datagrams, timers and changes of the member list.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::Micros;
use crate::identity::MemberId;
use crate::roster::Member;

/// An action for the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// The destination.
        to: SocketAddr,
        /// At most [`crate::MAX_DATAGRAM`] bytes.
        datagram: Bytes,
    },
    /// Call [`crate::Membership::handle_timer`] with the timer, once.
    Timer {
        /// Time from now.
        after: Micros,
        /// The timer to pass.
        timer: Timer,
    },
    /// A member is up.
    Up(Member),
    /// A member is down.
    Down(Member, DownReason),
    /// This member was suspected, and refuted it.
    Refuted,
    /// This member was declared down, or found a stale incarnation in its place, and continues under this incarnation.
    Renewed(Member),
    /// A later incarnation of this number is up, and this member is silent for good. An owner that knows it is the later one
    /// (its clock went back by more than the time since the last start) creates a membership with a higher incarnation than
    /// this one.
    Replaced(u64),
}

/// Why a member is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DownReason {
    /// It answered neither direct nor indirect probes, and did not refute the suspicion.
    Unresponsive,
    /// Other members declared it down.
    Gossip,
    /// It left.
    Left,
    /// A later incarnation of its number is up.
    Superseded,
}

/// A timer, which is opaque to the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timer {
    pub(crate) due: Micros,
    pub(crate) kind: TimerKind,
}

/// What a timer is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TimerKind {
    /// A timer of foca.
    Foca(foca::Timer<MemberId>),
    /// The next rejoin round. Only the timer of the latest round counts.
    Rejoin { round: u64 },
    /// The next step of a suspicion.
    Suspicion(SuspicionStep),
}

/// The state of a suspicion that this member raised: remind the suspect once more, or let foca declare it down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SuspicionStep {
    pub(crate) id: MemberId,
    pub(crate) swim_incarnation: foca::Incarnation,
    /// Reminders that are left to be sent.
    pub(crate) reminders: u8,
    /// The timer that foca set for the verdict, if this member's own probe failed.
    pub(crate) verdict: Option<foca::Timer<MemberId>>,
}
